//! Records of where streams began, and the proof that a pool has had one version.

use std::time::Duration;

use marigold_core::digest;
use marigold_core::ids::KeyDigest;
use marigold_core::stream_origin::{self, Origin, OriginTable, Record, VersionHistory, stored};
use marigold_core::targets::Target;
use marigold_schema::messages::StoredStreams;

const WINDOW: Duration = Duration::from_secs(10);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn target(id: &str, version: &str, started_at_ms: u64) -> Target {
    Target {
        id: id.to_owned(),
        pool: "engines".to_owned(),
        addr: "10.0.0.1:8000".parse().unwrap(),
        data_centre: "north".to_owned(),
        version: version.to_owned(),
        slots: 1,
        is_leaving: false,
        started_at_ms,
        cold_until: Duration::ZERO,
    }
}

fn record(customer: Option<&str>, request: &str, version: &str, expires: u64) -> Record {
    Record {
        key: stream_origin::key(customer, request),
        customer: customer.map(str::to_owned),
        origin: Origin::from(&target("a", version, 1)),
        expires: at(expires),
    }
}

fn version_of(table: &OriginTable, key: KeyDigest, now: u64) -> Option<&str> {
    table.get(key, at(now)).map(|record| record.origin.version.as_str())
}

#[test]
fn key_same_id_of_two_customers_differs() {
    let keys = [Some("a"), Some("b"), Some(""), None].map(|c| stream_origin::key(c, "r"));
    for (number, key) in keys.iter().enumerate() {
        assert!(!keys[..number].contains(key));
    }
}

#[test]
fn get_until_expiry() {
    let mut table = OriginTable::default();
    let stored = record(Some("a"), "r", "v1", 5);
    table.insert(stored.clone(), true, at(0));
    assert_eq!(version_of(&table, stored.key, 4), Some("v1"));
    assert_eq!(version_of(&table, stored.key, 5), None);
    assert_eq!(version_of(&table, stream_origin::key(Some("b"), "r"), 4), None);
}

/// A caller that uses one id for two streams must not get a mixture of them.
#[test]
fn insert_two_versions_under_one_id_is_unknown() {
    let mut table = OriginTable::default();
    let first = record(Some("a"), "r", "v1", 5);
    table.insert(first.clone(), true, at(0));
    table.insert(first.clone(), false, at(1));
    assert_eq!(version_of(&table, first.key, 1), Some("v1"));
    table.insert(record(Some("a"), "r", "v2", 5), true, at(1));
    assert_eq!(version_of(&table, first.key, 1), None);
    // After the expiry the id may be used again.
    table.insert(record(Some("a"), "r", "v2", 9), true, at(6));
    assert_eq!(version_of(&table, first.key, 6), Some("v2"));
}

#[test]
fn insert_one_customer_cannot_displace_the_records_of_another() {
    let mut table = OriginTable::default();
    let small = record(Some("small"), "r", "v1", 60);
    table.insert(small.clone(), true, at(0));
    for number in 0..50_000 {
        let customer = format!("large{}", number % 3);
        table.insert(record(Some(&customer), &number.to_string(), "v1", 60), true, at(1));
    }
    assert!(table.len() <= 3 * 4_096 + 1);
    assert_eq!(version_of(&table, small.key, 2), Some("v1"));
    for number in 0..50_000 {
        let customer = format!("other{number}");
        table.insert(record(Some(&customer), "r", "v1", 60), true, at(1));
    }
    assert_eq!(table.len(), 16_384);
    assert_eq!(version_of(&table, small.key, 2), Some("v1"));
    table.remove_expired(at(60));
    assert!(table.insert(record(Some("large0"), "r", "v1", 90), true, at(60)));
    assert_eq!(table.len(), 1);
}

#[test]
fn own_leaves_out_the_records_kept_for_others() {
    let mut table = OriginTable::default();
    let own = record(None, "own", "v1", 60);
    table.insert(own.clone(), true, at(0));
    table.insert(record(None, "kept", "v1", 60), false, at(0));
    assert_eq!(table.own(Some("engines"), at(1)), [own]);
    assert!(table.own(Some("other"), at(1)).is_empty());
}

/// The record of a stream that has ended must not stay in the store until its caller's deadline.
#[test]
fn is_needed_until_a_while_after_the_end() {
    let mut table = OriginTable::default();
    let stream = record(Some("a"), "r", "v1", 60);
    assert!(!table.is_needed(stream.key, at(0)));
    table.insert(stream.clone(), true, at(0));
    assert!(table.is_needed(stream.key, at(59)));
    table.on_end(stream.key, at(7));
    assert!(table.is_needed(stream.key, at(6)));
    assert!(!table.is_needed(stream.key, at(7)));
    assert!(table.own(Some("engines"), at(7)).is_empty());
    // Its caller may not have the last event.
    assert_eq!(version_of(&table, stream.key, 59), Some("v1"));
}

#[test]
fn encode_then_decode_keeps_the_records() {
    let mut records: Vec<Record> = (0..5)
        .map(|number| {
            let customer = ["a", "b"].get(number % 3).copied();
            let version = if number % 2 == 0 { "v1" } else { "v2" };
            record(customer, &number.to_string(), version, 20)
        })
        .collect();
    let encoded = stored::encode(&records, at(8));
    assert_eq!((encoded.origins.len(), encoded.customers.len()), (2, 2));
    let text = serde_json::to_string(&encoded).unwrap();
    let read: StoredStreams = serde_json::from_str(&text).unwrap();
    // The clock of the run that reads them has nothing to do with the one before.
    records.iter_mut().for_each(|record| record.expires = at(1_012));
    assert_eq!(stored::decode(&read, at(1_000)), records);
}

/// One record that cannot be read must not cost the others, nor end the process.
#[test]
fn decode_invalid_streams_are_left_out() {
    let sound = record(Some("a"), "r", "v1", 20);
    let mut encoded = stored::encode(&[sound.clone(), sound.clone(), sound.clone()], at(0));
    encoded.streams[0].key = "no number".to_owned();
    encoded.streams[1].origin = 7;
    assert_eq!(stored::decode(&encoded, at(0)), std::slice::from_ref(&sound));
    encoded.streams[2].customer = Some(7);
    assert!(stored::decode(&encoded, at(0)).is_empty());
    let mut encoded = stored::encode(std::slice::from_ref(&sound), at(0));
    encoded.streams[0].left_ms = u64::MAX;
    assert_eq!(digest::from_wire(&encoded.streams[0].key), Some(sound.key));
    let read = stored::decode(&encoded, at(1_000));
    assert!(read[0].expires <= at(1_600), "{read:?}");
}

#[test]
fn remove_expired_empties_the_table() {
    let mut table = OriginTable::default();
    table.insert(record(None, "r", "v1", 5), true, at(0));
    table.remove_expired(at(5));
    assert!(table.is_empty());
}

#[test]
fn is_doubted_by_a_later_start_with_another_version() {
    let origin = Origin::from(&target("a", "v1", 1));
    assert!(!origin.is_doubted_by(&target("a", "v1", 1)));
    assert!(!origin.is_doubted_by(&target("a", "v1", 2)));
    assert!(!origin.is_doubted_by(&target("b", "v2", 2)));
    assert!(origin.is_doubted_by(&target("a", "v2", 2)));
}

#[test]
fn only_version_needs_the_whole_window() {
    let mut history = VersionHistory::default();
    assert!(history.update([target("a", "v1", 1)].iter(), at(0)).is_empty());
    assert_eq!(history.only_version("engines", at(9), WINDOW), None);
    assert_eq!(history.only_version("engines", at(10), WINDOW).map(String::as_str), Some("v1"));
    assert_eq!(history.only_version("other", at(10), WINDOW), None);
    history.on_gap(at(12));
    assert_eq!(history.only_version("engines", at(21), WINDOW), None);
    assert!(history.only_version("engines", at(22), WINDOW).is_some());
}

/// A version that has just left the list may have begun a stream that is taken up now.
#[test]
fn only_version_counts_versions_that_left_within_the_window() {
    let mut history = VersionHistory::default();
    history.update([target("a", "v1", 1)].iter(), at(0));
    let both = [target("a", "v1", 1), target("b", "v2", 1)];
    assert_eq!(history.update(both.iter(), at(20)), ["engines"]);
    assert!(history.update(both.iter(), at(21)).is_empty());
    assert_eq!(history.only_version("engines", at(25), WINDOW), None);
    history.update([target("b", "v2", 1)].iter(), at(30));
    assert_eq!(history.only_version("engines", at(39), WINDOW), None);
    assert_eq!(history.only_version("engines", at(40), WINDOW).map(String::as_str), Some("v2"));
}

/// A version is used for streams only after a while, and that has to start anew when it comes back.
#[test]
fn listed_since_begins_with_each_appearance() {
    let mut history = VersionHistory::default();
    let (old, new) = (target("a", "v1", 1), target("b", "v2", 1));
    history.update([old.clone()].iter(), at(5));
    assert_eq!(history.listed_since("engines", "v1"), Some(at(5)));
    history.update([old.clone(), new.clone()].iter(), at(20));
    history.update([old.clone(), new.clone()].iter(), at(30));
    assert_eq!(history.listed_since("engines", "v2"), Some(at(20)));
    history.update([old.clone()].iter(), at(40));
    assert_eq!(history.listed_since("engines", "v2"), None);
    history.update([old, new].iter(), at(50));
    assert_eq!(history.listed_since("engines", "v2"), Some(at(50)));
}

/// A target that starts again under its id with another version replaces the version in the list.
#[test]
fn only_version_restart_with_another_version() {
    let mut history = VersionHistory::default();
    history.update([target("a", "v1", 1)].iter(), at(0));
    history.update([target("a", "v2", 2)].iter(), at(20));
    assert_eq!(history.only_version("engines", at(29), WINDOW), None);
    assert!(history.only_version("engines", at(30), WINDOW).is_some());
}
