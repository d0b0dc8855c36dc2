//! Targets that disappear from the platform's list.

use std::time::Duration;

use marigold_core::targets::{self, Target, TargetList};
use marigold_schema::messages::ListedTarget;

const GRACE_PERIOD: Duration = Duration::from_millis(2_200);

fn target(id: &str) -> Target {
    Target {
        id: id.to_owned(),
        pool: "engines".to_owned(),
        addr: "10.0.0.1:8000".parse().unwrap(),
        data_centre: "north".to_owned(),
        version: "v1".to_owned(),
        slots: 1,
        is_leaving: false,
        started_at_ms: 1,
        cold_until: Duration::ZERO,
    }
}

fn usable(list: &TargetList) -> Vec<&str> {
    list.usable().map(|target| target.id.as_str()).collect()
}

#[test]
fn remove_without_outage_is_immediate() {
    let mut list = TargetList::default();
    list.put(target("a"));
    list.remove("a", Duration::from_secs(30), GRACE_PERIOD);
    assert!(usable(&list).is_empty());
}

#[test]
fn remove_after_outage_waits_for_the_heartbeat() {
    let mut list = TargetList::default();
    list.put(target("a"));
    list.put(target("b"));
    list.on_store_recovered(Duration::from_secs(30));
    list.remove("a", Duration::from_millis(30_100), GRACE_PERIOD);
    list.remove("b", Duration::from_millis(30_100), GRACE_PERIOD);
    assert_eq!(usable(&list), ["a", "b"]);
    list.put(target("a"));
    assert_eq!(list.remove_expired(Duration::from_millis(32_300), GRACE_PERIOD), ["b"]);
    assert_eq!(usable(&list), ["a"]);
}

/// A target removed while only this process was cut off stayed in use for the grace period of an outage.
#[test]
fn remove_after_outage_that_others_did_not_see_is_immediate() {
    let mut list = TargetList::default();
    list.put(target("a"));
    list.put(target("b"));
    list.on_store_recovered(Duration::from_secs(30));
    list.remove("a", Duration::from_millis(30_100), GRACE_PERIOD);
    list.on_store_recovered(Duration::from_secs(9));
    assert_eq!(list.remove_expired(Duration::from_millis(30_400), GRACE_PERIOD), ["a"]);
    list.remove("b", Duration::from_millis(30_500), GRACE_PERIOD);
    assert!(usable(&list).is_empty());
}

/// The grace period counts from the recovery of the store and not from the time at which the removal is read.
#[test]
fn remove_read_late_after_an_outage_ends_with_the_grace_period() {
    let mut list = TargetList::default();
    list.put(target("a"));
    list.on_store_recovered(Duration::from_secs(30));
    list.remove("a", Duration::from_secs(32), GRACE_PERIOD);
    assert_eq!(usable(&list), ["a"]);
    assert_eq!(list.remove_expired(Duration::from_millis(32_200), GRACE_PERIOD), ["a"]);
}

#[test]
fn remove_leaving_target_is_immediate_after_an_outage() {
    let mut list = TargetList::default();
    list.put(Target { is_leaving: true, ..target("a") });
    list.on_store_recovered(Duration::from_secs(30));
    list.remove("a", Duration::from_secs(30), GRACE_PERIOD);
    assert!(list.remove_expired(Duration::from_secs(40), GRACE_PERIOD).is_empty());
}

#[test]
fn replace_keeps_listed_targets_and_removes_the_rest() {
    let mut list = TargetList::default();
    list.put(target("a"));
    list.put(target("b"));
    list.replace(vec![target("b"), target("c")], Duration::from_secs(30), GRACE_PERIOD);
    assert_eq!(usable(&list), ["b", "c"]);
}

#[test]
fn put_leaving_target_is_not_usable() {
    let mut list = TargetList::default();
    list.put(target("a"));
    list.put(Target { is_leaving: true, ..target("a") });
    assert!(usable(&list).is_empty());
}

const HOLD: Duration = Duration::from_secs(4);

/// A restored store lists targets as ready that have left since the copy was made.
#[test]
fn replace_restored_holds_targets_that_had_left() {
    let (now, later) = (Duration::from_secs(10), Duration::from_secs(14));
    let mut list = TargetList::default();
    for id in ["drained", "removed", "restarted", "live"] {
        list.put(target(id));
    }
    list.put(Target { is_leaving: true, ..target("drained") });
    list.remove("removed", now, GRACE_PERIOD);
    list.remove("restarted", now, GRACE_PERIOD);
    let restarted = Target { started_at_ms: 2, ..target("restarted") };
    let copy = vec![target("drained"), target("removed"), restarted, target("live")];
    list.replace_restored(copy, now, GRACE_PERIOD, HOLD);
    assert_eq!(usable(&list), ["live", "restarted"]);
    assert_eq!(list.release_held(now), 2);
    // The entry of one has expired meanwhile.
    list.remove("removed", later, GRACE_PERIOD);
    assert_eq!(list.release_held(later), 0);
    assert_eq!(usable(&list), ["drained", "live", "restarted"]);
}

/// A target that writes itself as ready after the restore is used at once.
#[test]
fn replace_restored_own_write_ends_the_hold() {
    let mut list = TargetList::default();
    list.put(target("a"));
    list.remove("a", Duration::from_secs(10), GRACE_PERIOD);
    list.replace_restored(vec![target("a")], Duration::from_secs(11), GRACE_PERIOD, HOLD);
    assert!(usable(&list).is_empty());
    list.put(target("a"));
    assert_eq!(usable(&list), ["a"]);
    assert_eq!(list.release_held(Duration::from_secs(11)), 0);
}

/// Without a restore, a target that lapsed and is listed again is used at once.
#[test]
fn replace_listed_again_is_not_held() {
    let mut list = TargetList::default();
    list.put(target("a"));
    list.remove("a", Duration::from_secs(10), GRACE_PERIOD);
    list.replace(vec![target("a")], Duration::from_secs(11), GRACE_PERIOD);
    assert_eq!(usable(&list), ["a"]);
}

#[test]
fn target_is_the_same_after_a_message() {
    let target = Target { is_leaving: true, ..target("a") };
    let wire = ListedTarget::from(target.clone());
    assert_eq!(Target::try_from(("a".to_owned(), wire.clone())), Ok(target));
    let invalid = ListedTarget { address: "north".to_owned(), ..wire };
    assert!(Target::try_from(("a".to_owned(), invalid)).is_err());
}

/// The entry in the store may be older than the reply, or come back with a store that was restored or was silent.
#[test]
fn announce_leaving_holds_whatever_the_list_says() {
    let now = Duration::from_secs(30);
    let mut list = TargetList::default();
    list.put(target("a"));
    list.put(target("b"));
    assert!(list.announce_leaving(&target("a"), now));
    assert!(!list.announce_leaving(&target("a"), now));
    assert_eq!(usable(&list), ["b"]);
    list.put(target("a"));
    assert_eq!(usable(&list), ["b"]);
    list.remove("a", now, GRACE_PERIOD);
    list.replace(vec![target("a"), target("b")], now, GRACE_PERIOD);
    assert_eq!(usable(&list), ["b"]);
    list.replace_restored(vec![target("a")], now, GRACE_PERIOD, GRACE_PERIOD);
    assert!(usable(&list).is_empty());
    list.release_held(now + GRACE_PERIOD * 2);
    assert!(usable(&list).is_empty());
}

#[test]
fn announce_leaving_ends_with_another_start() {
    let mut list = TargetList::default();
    list.put(target("a"));
    list.announce_leaving(&target("a"), Duration::from_secs(30));
    let restarted = Target { started_at_ms: 2, ..target("a") };
    list.put(restarted.clone());
    assert_eq!(usable(&list), ["a"]);
    // A late reply of the start before says nothing of this one.
    assert!(!list.announce_leaving(&target("a"), Duration::from_secs(31)));
    assert_eq!(usable(&list), ["a"]);
}

/// A cold target writes its entry with another remaining time each 1.2 s; its load was lost if that made it another target.
#[test]
fn is_same_ignores_the_cold_time_only() {
    let cold = Target { cold_until: Duration::from_secs(5), ..target("a") };
    assert!(cold.is_same(&target("a")));
    let others = [
        target("b"),
        Target { pool: "others".to_owned(), ..target("a") },
        Target { addr: "10.0.0.1:8001".parse().unwrap(), ..target("a") },
        Target { data_centre: "south".to_owned(), ..target("a") },
        Target { version: "v2".to_owned(), ..target("a") },
        Target { slots: 2, ..target("a") },
        Target { is_leaving: true, ..target("a") },
        Target { started_at_ms: 2, ..target("a") },
    ];
    for other in others {
        assert!(!target("a").is_same(&other), "{other:?}");
    }
}

/// Two gateways have different clocks, so a message tells the remaining time.
#[test]
fn cold_time_counts_from_the_read_and_shrinks_on_the_way() {
    let parsed = Target { cold_until: Duration::from_secs(5), ..target("a") };
    let read = parsed.read_at(Duration::from_secs(100));
    assert_eq!(read.cold_until, Duration::from_secs(105));
    let wire = ListedTarget::from(read.clone().sent_at(Duration::from_secs(102)));
    assert_eq!(wire.cold_remaining_ms, Some(3_000));
    let relayed = Target::try_from(("a".to_owned(), wire)).unwrap();
    assert_eq!(relayed.read_at(Duration::from_secs(40)).cold_until, Duration::from_secs(43));
    let late = ListedTarget::from(read.sent_at(Duration::from_secs(106)));
    assert_eq!(late.cold_remaining_ms, None);
}

/// A target that is not cold, or with a message of a gateway that does not know the field, must not become cold by the read.
#[test]
fn cold_time_of_a_warm_target_stays_zero() {
    assert_eq!(target("a").read_at(Duration::from_secs(100)).cold_until, Duration::ZERO);
    let wire = ListedTarget::from(target("a"));
    assert_eq!(wire.cold_remaining_ms, None);
    let odd = ListedTarget { cold_remaining_ms: Some(u64::MAX), ..wire };
    assert_eq!(Target::try_from(("a".to_owned(), odd)).unwrap().cold_until, Duration::ZERO);
}

/// An odd number in an entry limited its target, for good if it was large.
#[test]
fn cold_time_of_odd_numbers_is_zero() {
    for odd in [-1.0, 0.0, -0.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY, f64::MAX, 1e12] {
        assert_eq!(targets::cold_time(odd), Duration::ZERO, "{odd}");
    }
    assert_eq!(targets::cold_time(1_500.0), Duration::from_millis(1_500));
}
