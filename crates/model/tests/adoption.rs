//! Checks that the model of configuration adoption has no violation, and that each of its rules is needed.

use marigold_model::adoption::{Rule, explore};

#[test]
fn explore_full_protocol() {
    let result = explore(None);
    println!("adoption: {} states, depth {}", result.states, result.depth);
    assert_eq!(result.violation, None);
    assert!(result.states > 1_000, "only {} states: the bounds are too small", result.states);
}

fn assert_needed(rule: Rule) {
    let result = explore(Some(rule));
    println!("without {rule:?}: {:?}", result.violation);
    assert!(
        result.violation.is_some(),
        "no violation without {rule:?}: the model does not show that the rule is needed"
    );
}

#[test]
fn explore_without_conditional_write() {
    assert_needed(Rule::ConditionalWrite);
}

#[test]
fn explore_without_no_gap() {
    assert_needed(Rule::NoGap);
}

#[test]
fn explore_without_monotonic() {
    assert_needed(Rule::Monotonic);
}

#[test]
fn explore_without_quorum_start() {
    assert_needed(Rule::QuorumStart);
}
