//! Checks that the model of relayed lists of targets has no violation, and that each of its rules is needed.

use marigold_model::target_relay::{Rule, explore};

#[test]
fn explore_full_protocol() {
    let result = explore(None);
    println!("target relay: {} states, depth {}", result.states, result.depth);
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
fn explore_without_own_version() {
    assert_needed(Rule::OwnVersion);
}

#[test]
fn explore_without_kept_only() {
    assert_needed(Rule::KeptOnly);
}

#[test]
fn explore_without_same_era() {
    assert_needed(Rule::SameEra);
}

#[test]
fn explore_without_no_older_list() {
    assert_needed(Rule::NoOlderList);
}
