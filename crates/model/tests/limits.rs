//! Checks that the model of the grants for a target with a limit stays within the bound, and that each of its rules is
//! needed.

use marigold_model::limits::{Rule, Scope, explore};

#[test]
fn explore_full_protocol() {
    for scope in [Scope::Views, Scope::Cut, Scope::Restarts] {
        let result = explore(scope, None);
        println!("limits, {scope:?}: {} states, depth {}", result.states, result.depth);
        assert_eq!(result.violation, None);
        assert!(result.states > 1_000, "only {} states: the bounds are too small", result.states);
    }
}

fn assert_needed(scope: Scope, rule: Rule) {
    let result = explore(scope, Some(rule));
    println!("without {rule:?}: {} states, depth {}", result.states, result.depth);
    assert!(
        result.violation.is_some(),
        "no violation without {rule:?}: the model does not show that the rule is needed"
    );
}

#[test]
fn explore_without_one_owner() {
    assert_needed(Scope::Cut, Rule::OneOwner);
}

#[test]
fn explore_without_reachable_part() {
    assert_needed(Scope::Views, Rule::ReachablePart);
}

#[test]
fn explore_without_empty_bucket() {
    assert_needed(Scope::Restarts, Rule::EmptyBucket);
}
