//! Decisions that a configuration of some age permits.

use std::time::Duration;

use marigold_core::freshness::{Confidence, Freshness};

const CHANGE: Duration = Duration::from_secs(2);
const REVOCATION: Option<Duration> = Some(Duration::from_secs(5));

fn at(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn confidence_without_proof_permits_nothing() {
    let freshness = Freshness::default();
    assert_eq!(
        freshness.confidence(at(9_000), CHANGE, REVOCATION),
        Confidence { can_accept_keys: false, can_refuse_unknown: false }
    );
}

#[test]
fn confidence_keys_end_before_revocation_bound() {
    let mut freshness = Freshness::default();
    freshness.record_proof(at(1_000));
    assert!(freshness.confidence(at(5_400), CHANGE, REVOCATION).can_accept_keys);
    // A key removed right after the proof has to be refused from 6,000 on.
    assert!(!freshness.confidence(at(5_999), CHANGE, REVOCATION).can_accept_keys);
}

#[test]
fn confidence_includes_suspended_time() {
    // The clock advances while the VM is suspended, so the first check after it finds an old proof.
    let mut freshness = Freshness::default();
    freshness.record_proof(at(1_000));
    assert!(!freshness.confidence(at(60_000), CHANGE, REVOCATION).can_accept_keys);
}

#[test]
fn confidence_refusing_unknown_needs_a_newer_proof_than_accepting_keys() {
    let mut freshness = Freshness::default();
    freshness.record_proof(at(1_000));
    assert_eq!(
        freshness.confidence(at(3_500), CHANGE, REVOCATION),
        Confidence { can_accept_keys: true, can_refuse_unknown: false }
    );
    assert_eq!(
        freshness.confidence(at(2_000), CHANGE, REVOCATION),
        Confidence { can_accept_keys: true, can_refuse_unknown: true }
    );
}

#[test]
fn confidence_without_revocation_bound_keys_stay_accepted() {
    let mut freshness = Freshness::default();
    freshness.record_proof(at(1_000));
    assert!(freshness.confidence(at(600_000), CHANGE, None).can_accept_keys);
}

#[test]
fn record_proof_older_proof_has_no_effect() {
    let mut freshness = Freshness::default();
    freshness.record_proof(at(4_000));
    freshness.record_proof(at(1_000));
    assert_eq!(freshness.age(at(5_000)), Some(at(1_000)));
}
