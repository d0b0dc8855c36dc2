//! The adoption of the configuration holds, and each rule of it is needed.

use marigold_model::adoption::{Rule, explore};

#[test]
fn explore_full_protocol() {
    let found = explore(None);
    println!("adoption: {} states, depth {}", found.states, found.depth);
    assert_eq!(found.violation, None);
    assert!(found.states > 1_000, "only {} states: the bounds hide the protocol", found.states);
}

fn assert_needed(rule: Rule) {
    let found = explore(Some(rule));
    println!("without {rule:?}: {:?}", found.violation);
    assert!(
        found.violation.is_some(),
        "nothing fails without {rule:?}: the check proves nothing about it"
    );
}

#[test]
fn explore_without_conditional() {
    assert_needed(Rule::Conditional);
}

#[test]
fn explore_without_no_gap() {
    assert_needed(Rule::NoGap);
}

#[test]
fn explore_without_monotone() {
    assert_needed(Rule::Monotone);
}

#[test]
fn explore_without_current_start() {
    assert_needed(Rule::CurrentStart);
}
