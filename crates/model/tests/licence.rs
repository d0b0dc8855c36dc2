//! Checks that the model of the licence protocol has no violation, and that each of its rules is needed.

use marigold_model::licence::{Bounds, Rule, explore, explore_joined, explore_quarantined};

/// Crashes of entries and agents, without pauses.
const CRASHES: Bounds = Bounds {
    attempts: 2,
    crashes: 2,
    epochs: 2,
    split_renewals: false,
    releases: false,
    refusals: false,
    pauses: false,
};

/// One crash, holders paused past their term, and running entries that appear dead.
const PAUSES: Bounds = Bounds { crashes: 1, pauses: true, ..CRASHES };

/// Calls between the preparation of a renewal and its write.
const SPLIT: Bounds = Bounds { crashes: 0, pauses: true, split_renewals: true, ..CRASHES };

/// Releases, refusals by targets and lost responses of the platform, over three epochs.
const RELEASES: Bounds =
    Bounds { crashes: 0, epochs: 3, releases: true, refusals: true, ..CRASHES };

/// A third attempt, which may follow one that joined the execution of another.
const JOINS: Bounds = Bounds { attempts: 3, ..CRASHES };

fn assert_holds(bounds: Bounds, min_states: usize) {
    let result = explore(bounds, None);
    println!("{bounds:?}: {} states, depth {}", result.states, result.depth);
    assert_eq!(result.violation, None);
    assert!(result.states >= min_states, "only {} states: the bounds are too small", result.states);
}

#[test]
fn explore_crashes() {
    assert_holds(CRASHES, 100_000);
}

#[test]
fn explore_after_join() {
    let result = explore_joined(JOINS);
    println!("after a join: {} states, depth {}", result.states, result.depth);
    assert_eq!(result.violation, None);
    assert!(result.states > 1_000, "only {} states: the bounds are too small", result.states);
}

#[test]
fn explore_pauses() {
    assert_holds(PAUSES, 100_000);
}

#[test]
fn explore_split_renewals() {
    assert_holds(SPLIT, 100_000);
}

#[test]
fn explore_releases() {
    assert_holds(RELEASES, 100_000);
}

fn assert_needed(rule: Rule, bounds: Bounds) {
    let result = explore(bounds, Some(rule));
    println!("without {rule:?}: {:?} after {} states", result.violation, result.states);
    assert!(
        result.violation.is_some(),
        "no violation without {rule:?}: the model does not show that the rule is needed"
    );
}

macro_rules! needed {
    ($($name:ident: $rule:ident in $bounds:expr,)*) => {
        $(#[test]
        fn $name() {
            assert_needed(Rule::$rule, $bounds);
        })*
    };
}

needed! {
    explore_without_record: Record in CRASHES,
    explore_without_enrolment: Enrolment in CRASHES,
    explore_without_collect_keys: CollectKeys in CRASHES,
    explore_without_seal_and_expiry: SealAndExpiry in Bounds { crashes: 0, ..CRASHES },
    explore_without_quarantine: Quarantine in CRASHES,
    explore_without_refuse_dropped: RefuseDropped in Bounds { pauses: true, ..CRASHES },
    explore_without_replicate_keys: ReplicateKeys in CRASHES,
    explore_without_retract_on_proof: RetractOnProof in CRASHES,
}

/// States after a quarantine: one more crash and one more acquisition.
const AFTER_QUARANTINE: Bounds = Bounds { crashes: 1, epochs: 3, ..CRASHES };

#[test]
fn explore_after_quarantine() {
    let result = explore_quarantined(AFTER_QUARANTINE, None);
    println!("after a quarantine: {} states, depth {}", result.states, result.depth);
    assert_eq!(result.violation, None);
    assert!(result.states > 1_000, "only {} states: the bounds are too small", result.states);
}

#[test]
fn explore_without_persist_quarantine() {
    let result = explore_quarantined(AFTER_QUARANTINE, Some(Rule::PersistQuarantine));
    println!("without PersistQuarantine: {:?} after {} states", result.violation, result.states);
    assert!(result.violation.is_some(), "no violation without the rule");
}
