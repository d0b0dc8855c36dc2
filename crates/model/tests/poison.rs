//! Exploration of the model of requests that crash targets.

use marigold_model::poison::{self, Rule, Scope};

fn violation(scope: Scope, omitted: Rule) -> Option<&'static str> {
    poison::explore(scope, Some(omitted)).violation
}

#[test]
fn explore_finds_no_violation_with_all_rules() {
    for scope in [Scope::Kill, Scope::Cut] {
        let exploration = poison::explore(scope, None);
        println!("{scope:?}: {exploration:?}");
        assert_eq!(exploration.violation, None, "{scope:?}");
        assert!(exploration.states > 1_000, "{scope:?}: {exploration:?}");
    }
}

#[test]
fn explore_blames_a_sound_part_by_one_crash() {
    let expected = Some("a sound part was blamed before it could have an answer");
    assert_eq!(violation(Scope::Kill, Rule::SeveralCrashes), expected);
}

#[test]
fn explore_blames_a_sound_part_unless_all_gateways_are_asked() {
    let expected = Some("a sound part was blamed although it had an answer");
    assert_eq!(violation(Scope::Kill, Rule::AskAll), expected);
}

#[test]
fn explore_loses_evidence_that_ends_with_its_gateway() {
    let expected = Some("a gateway still serves the bad part");
    assert_eq!(violation(Scope::Kill, Rule::KeptTwice), expected);
}

/// The first detector that restarts lacks what only its successor knows.
#[test]
fn explore_misses_evidence_if_only_the_first_detector_decides() {
    let expected = Some("a gateway still serves the bad part");
    assert_eq!(violation(Scope::Kill, Rule::BothDetect), expected);
}

#[test]
fn explore_leaves_out_gateways_that_missed_the_announcement() {
    let expected = Some("a gateway still serves the bad part");
    assert_eq!(violation(Scope::Kill, Rule::Compared), expected);
    assert_eq!(violation(Scope::Cut, Rule::Compared), expected);
}
