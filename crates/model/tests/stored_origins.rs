//! Checks that the model of stored origins and of the set of versions has no stream of two versions, that streams can go on
//! after all gateways were killed, and that each rule is needed.

use marigold_model::stored_origins::{Goal, Rule, Scope, explore, is_reached};

fn assert_safe(scope: Scope) {
    let result = explore(scope, None);
    println!("stored origins, {scope:?}: {} states, depth {}", result.states, result.depth);
    assert_eq!(result.violation, None);
    assert!(result.states > 10_000, "only {} states: the bounds are too small", result.states);
}

#[test]
fn explore_release() {
    assert_safe(Scope::Release);
}

#[test]
fn explore_records() {
    assert_safe(Scope::Records);
}

#[test]
fn explore_removal() {
    assert_safe(Scope::Removal);
}

#[test]
fn explore_restore() {
    assert_safe(Scope::Restore);
}

#[test]
fn explore_first_start() {
    assert_safe(Scope::FirstStart);
}

#[test]
fn explore_upgrade() {
    assert_safe(Scope::Upgrade);
}

fn assert_reached(scope: Scope, goal: Goal) {
    assert!(is_reached(scope, goal), "{goal:?} is not reached: the model holds trivially");
}

#[test]
fn is_reached_stream_that_goes_on_by_its_record() {
    assert_reached(Scope::Records, Goal::ByRecord);
}

#[test]
fn is_reached_stream_that_goes_on_by_the_set() {
    assert_reached(Scope::Release, Goal::BySet);
    assert_reached(Scope::Upgrade, Goal::CompleteAndOnly);
}

#[test]
fn is_reached_removal() {
    assert_reached(Scope::Removal, Goal::CompleteAndOnly);
}

#[test]
fn is_reached_completeness_after_a_restore() {
    assert_reached(Scope::Restore, Goal::CompleteAgain);
    assert_reached(Scope::FirstStart, Goal::CompleteAgain);
}

fn assert_needed(rule: Rule, scope: Scope) {
    let result = explore(scope, Some(rule));
    println!("without {rule:?}, {scope:?}: {} states, depth {}", result.states, result.depth);
    assert!(
        result.violation.is_some(),
        "no violation without {rule:?}: the model does not show that the rule is needed"
    );
}

#[test]
fn explore_without_add_before_use() {
    assert_needed(Rule::AddBeforeUse, Scope::Release);
}

#[test]
fn explore_without_read_set_again() {
    assert_needed(Rule::ReadSetAgain, Scope::Removal);
}

#[test]
fn explore_without_check_after_gap() {
    assert_needed(Rule::CheckAfterGap, Scope::Release);
}

#[test]
fn explore_without_same_era() {
    assert_needed(Rule::SameEra, Scope::Restore);
}

#[test]
fn explore_without_conditional_write() {
    assert_needed(Rule::ConditionalWrite, Scope::Removal);
}

#[test]
fn explore_without_mark_before_removal() {
    assert_needed(Rule::MarkBeforeRemoval, Scope::Removal);
}

#[test]
fn explore_without_marked_for_life() {
    assert_needed(Rule::MarkedForLife, Scope::Removal);
}

#[test]
fn explore_without_numbered_marks() {
    assert_needed(Rule::NumberedMarks, Scope::Removal);
}

#[test]
fn explore_without_whole_window() {
    assert_needed(Rule::WholeWindow, Scope::Upgrade);
}

#[test]
fn explore_without_complete_from_history() {
    assert_needed(Rule::CompleteFromHistory, Scope::Upgrade);
}

#[test]
fn explore_without_all_keep_set() {
    assert_needed(Rule::AllKeepSet, Scope::Upgrade);
}

#[test]
fn explore_without_set_of_era() {
    assert_needed(Rule::SetOfEra, Scope::Restore);
}

#[test]
fn explore_without_first_era() {
    assert_needed(Rule::FirstEra, Scope::FirstStart);
}

#[test]
fn explore_without_read_for_proof() {
    assert_needed(Rule::ReadForProof, Scope::Release);
}

#[test]
fn explore_without_absence_proves_nothing() {
    assert_needed(Rule::AbsenceProvesNothing, Scope::Records);
}
