//! Checks that the model of a restored store has no violation, and that each of its rules is needed.

use marigold_model::restore::{Rule, explore};

#[test]
fn explore_full_protocol() {
    let result = explore(None);
    println!("restore: {} states, depth {}", result.states, result.depth);
    assert_eq!(result.violation, None);
    assert!(result.states > 1_000, "only {} states: the bounds are too small", result.states);
}

fn assert_needed(rule: Rule) {
    let result = explore(Some(rule));
    println!("without {rule:?}: {:?}, depth {}", result.violation, result.depth);
    assert!(
        result.violation.is_some(),
        "no violation without {rule:?}: the model does not show that the rule is needed"
    );
}

#[test]
fn explore_without_era() {
    assert_needed(Rule::Era);
}

#[test]
fn explore_without_operator_version() {
    assert_needed(Rule::OperatorVersion);
}
