//! Checks that the model of streams that are taken up has no stream of two versions, and that each of its rules is needed.

use marigold_model::origins::{Rule, explore};

#[test]
fn explore_full_protocol() {
    let result = explore(None);
    println!("origins: {} states, depth {}", result.states, result.depth);
    assert_eq!(result.violation, None);
    assert!(result.states > 1_000, "only {} states: the bounds are too small", result.states);
}

fn assert_needed(rule: Rule) {
    let result = explore(Some(rule));
    println!("without {rule:?}: {} states, depth {}", result.states, result.depth);
    assert!(
        result.violation.is_some(),
        "no violation without {rule:?}: the model does not show that the rule is needed"
    );
}

#[test]
fn explore_without_established() {
    assert_needed(Rule::Established);
}

#[test]
fn explore_without_current_list() {
    assert_needed(Rule::CurrentList);
}

#[test]
fn explore_without_window() {
    assert_needed(Rule::Window);
}

#[test]
fn explore_without_lost_history() {
    assert_needed(Rule::LostHistory);
}
