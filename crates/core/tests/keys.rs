//! Tests of the ledger, the log of sent keys, the table of attempts and licences.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_core::attempts::{Attempts, FINISHED_RETENTION, Settled};
use marigold_core::ids::Member;
use marigold_core::ledger::{Decision, Ledger};
use marigold_core::licence::{CLOCK_DRIFT_MARGIN, Denied, Holder, Licence, Record};
use marigold_core::outcome::{Answer, NotRunCause, Outcome};
use marigold_core::sent::{PoolShard, RETENTION_MARGIN, SentLog};

const T0: Duration = Duration::ZERO;
const TERM: Duration = Duration::from_secs(1200);

fn member(name: &str) -> Member {
    Member { name: name.to_owned(), incarnation: 1, address: String::new() }
}

fn answer() -> Answer {
    Answer { status: 200, body: "{}".to_owned(), tokens: 0 }
}

fn holder(target: &str) -> Holder {
    Holder { target: target.to_owned(), incarnation: 1 }
}

fn held(entries: &[&str]) -> Licence {
    let live: BTreeSet<Member> = entries.iter().map(|name| member(name)).collect();
    let mut licence = Licence::idle(0, TERM);
    licence.start_collecting(Record::acquired(None, holder("a"), &live), None, T0, Duration::ZERO);
    licence
}

#[test]
fn ledger_replays_until_retention() {
    let (mut ledger, one) = (Ledger::default(), member("e1"));
    assert_eq!(ledger.admit(1, 0, "body", &one, T0), Decision::Start);
    assert_eq!(ledger.admit(1, 0, "body", &one, T0), Decision::Join);
    ledger.finish(1, &Outcome::Done(answer()), T0);
    assert_eq!(ledger.admit(1, 0, "body", &one, T0), Decision::Replay(answer()));
    assert_eq!(ledger.admit(1, 0, "other", &one, T0), Decision::Mismatch);
    ledger.expire(Duration::from_secs(599), Duration::from_secs(600));
    assert_eq!(ledger.len(), 1);
    ledger.expire(Duration::from_secs(600), Duration::from_secs(600));
    assert_eq!(ledger.len(), 0);
}

#[test]
fn ledger_keeps_running_key() {
    let (mut ledger, one) = (Ledger::default(), member("e1"));
    ledger.admit(1, 0, "body", &one, T0);
    ledger.expire(Duration::from_secs(100_000), Duration::from_secs(600));
    assert_eq!(ledger.admit(1, 0, "body", &one, T0), Decision::Join);
}

#[test]
fn ledger_full_refuses_new_keys() {
    let (mut ledger, one) = (Ledger::default(), member("e1"));
    let large = Answer { body: "x".repeat(1024 * 1024), ..answer() };
    let refused = (0..100).find(|key| {
        let decision = ledger.admit(*key, 0, "body", &one, T0);
        ledger.finish(*key, &Outcome::Done(large.clone()), T0);
        decision == Decision::Full
    });
    assert_eq!(refused, Some(24));
    assert_eq!(ledger.admit(0, 0, "body", &one, T0), Decision::Replay(large));
}

#[test]
fn sent_sealed_epoch_is_refused() {
    let (mut sent, shard): (SentLog, PoolShard) = (SentLog::default(), ("pool".to_owned(), 0));
    sent.record(&shard, 1, 7, T0).unwrap();
    assert_eq!(sent.seal(&shard, 2), vec![7]);
    assert!(sent.record(&shard, 1, 8, T0).is_err());
    sent.record(&shard, 2, 8, T0).unwrap();
    assert_eq!(sent.seal(&shard, 1), vec![7, 8], "a seal with a lower epoch has no effect");
    assert!(sent.record(&shard, 1, 9, T0).is_err());
}

#[test]
fn sent_retract_only_own_sends() {
    let (mut sent, shard): (SentLog, PoolShard) = (SentLog::default(), ("pool".to_owned(), 0));
    sent.record(&shard, 1, 7, T0).unwrap();
    sent.record(&shard, 1, 7, T0).unwrap();
    sent.retract(&shard, 7);
    assert_eq!(sent.len(), 1, "another attempt may have run");
    sent.retract(&shard, 7);
    assert_eq!(sent.len(), 0);
    sent.add_replicated(&shard, [9], T0);
    sent.retract(&shard, 9);
    assert_eq!(sent.len(), 1, "a licence holder replicated the key");
    sent.expire("pool", Duration::from_secs(599) + RETENTION_MARGIN, Duration::from_secs(600));
    assert_eq!(sent.len(), 1);
    sent.expire("pool", Duration::from_secs(600) + RETENTION_MARGIN, Duration::from_secs(600));
    assert_eq!(sent.len(), 0);
}

#[test]
fn attempts_settle_fences_unseen() {
    let mut attempts = Attempts::default();
    let key = |id| ("e1".to_owned(), 1, id);
    assert_eq!(attempts.settle(key(1), T0), Settled::Fenced);
    assert!(!attempts.start(key(1)), "a fenced attempt never starts");
    assert!(attempts.start(key(2)));
    assert!(!attempts.start(key(2)), "an attempt starts once");
    assert_eq!(attempts.running(), 1);
    assert_eq!(attempts.settle(key(2), T0), Settled::Running);
    attempts.finish(key(2), Outcome::Done(answer()), T0);
    assert_eq!(attempts.settle(key(2), T0), Settled::Finished(Outcome::Done(answer())));
    assert_eq!(attempts.running(), 0);
    attempts.expire(FINISHED_RETENTION);
    assert!(!attempts.contains(&key(2)));
}

#[test]
fn licence_serves_through_outage() {
    let licence = held(&["e1"]);
    let mut ledger = Ledger::default();
    let mut served = 0;
    for second in 0..600 {
        // The last renewal was sent when the outage began; no renewal succeeds for ten minutes.
        let now = Duration::from_secs(second);
        if licence.admit(&member("e1"), 1, now).is_ok()
            && ledger.admit(u128::from(second), 0, "body", &member("e1"), now) == Decision::Start
        {
            served += 1;
        }
    }
    println!("first attempts run during a 10-minute outage: {served} of 600, bound 594");
    assert!(served >= 594);
}

#[test]
fn licence_ends_after_term() {
    let licence = held(&["e1"]);
    assert!(licence.admit(&member("e1"), 1, TERM - Duration::from_millis(1)).is_ok());
    assert_eq!(licence.admit(&member("e1"), 1, TERM), Err(Denied::NotRun(NotRunCause::NoLicence)));
    assert_eq!(licence.admit(&member("e2"), 1, T0), Err(Denied::NotRun(NotRunCause::NotEnrolled)));
    assert_eq!(licence.admit(&member("e1"), 2, T0), Err(Denied::NotRun(NotRunCause::NoLicence)));
}

#[test]
fn licence_waits_for_unresponsive_entry() {
    let prior = held(&["e1", "e2"]).record().unwrap().clone();
    let live = BTreeSet::from([member("e1")]);
    let mut licence = Licence::idle(0, TERM);
    let mut ledger = Ledger::default();
    licence.start_collecting(
        Record::acquired(Some(&prior), holder("b"), &live),
        Some(&prior),
        T0,
        Duration::ZERO,
    );
    licence.on_keys_reported(&member("e1"), &[7], &mut ledger, T0);
    assert!(!licence.is_held(T0), "e2 has not answered");
    let retention = Duration::from_secs(600);
    assert!(!licence.abandon_unresponsive(TERM, retention));
    assert!(licence.abandon_unresponsive(TERM + CLOCK_DRIFT_MARGIN, retention));
    let now = TERM + CLOCK_DRIFT_MARGIN;
    let renewal = licence.prepare_renewal(&live, &ledger, 1).unwrap();
    licence.on_renewed(renewal.record, now);
    assert_eq!(licence.admit(&member("e1"), 2, now), Err(Denied::Quarantined));
    assert!(licence.admit(&member("e1"), 2, now + retention).is_ok());
    assert_eq!(ledger.admit(7, 0, "body", &member("e1"), now), Decision::Unknown);
}

#[test]
fn licence_renewal_replicates_keys_of_dropped_entry() {
    let mut licence = held(&["e1", "e2"]);
    let mut ledger = Ledger::default();
    ledger.admit(1, 0, "body", &member("e1"), T0);
    ledger.admit(2, 0, "body", &member("e2"), T0);
    let live = BTreeSet::from([member("e2"), member("e3")]);
    let renewal = licence.prepare_renewal(&live, &ledger, 0).unwrap();
    assert_eq!(renewal.unacknowledged, vec![1], "only the dropped entry knows key 1");
    assert_eq!(renewal.record.enrolled, live);
    assert_eq!(licence.admit(&member("e1"), 1, T0), Err(Denied::NotRun(NotRunCause::NotEnrolled)));
    assert_eq!(licence.admit(&member("e3"), 1, T0), Err(Denied::NotRun(NotRunCause::NotEnrolled)));
    ledger.mark_acknowledged(&renewal.unacknowledged, &member("e3"));
    assert!(licence.prepare_renewal(&live, &ledger, 0).unwrap().unacknowledged.is_empty());
}

#[test]
fn ledger_join_adds_no_acknowledgement() {
    // The second entry may retract its send on proof that its own attempt did not run.
    let (mut ledger, one, two) = (Ledger::default(), member("e1"), member("e2"));
    assert_eq!(ledger.admit(1, 0, "body", &one, T0), Decision::Start);
    assert_eq!(ledger.admit(1, 0, "body", &two, T0), Decision::Join);
    assert_eq!(ledger.unacknowledged_by(0, &BTreeSet::from([two])), vec![1]);
}

#[test]
fn attempts_expired_are_not_reported_fenced() {
    let mut attempts = Attempts::default();
    let key = |id| ("e1".to_owned(), 1, id);
    attempts.start(key(5));
    attempts.finish(key(5), Outcome::Done(answer()), T0);
    attempts.settle(key(7), T0);
    attempts.expire(FINISHED_RETENTION);
    // An entry that was suspended for a long time settles an attempt late; an attempt that ran must not be reported
    // as not run.
    assert_eq!(attempts.settle(key(5), FINISHED_RETENTION), Settled::Expired);
    assert!(!attempts.start(key(7)), "a fenced attempt never starts, however late it arrives");
    assert!(attempts.start(key(8)));
    assert!(
        !attempts.start(("e1".to_owned(), 0, 100)),
        "an older incarnation of the entry has ended"
    );
}
