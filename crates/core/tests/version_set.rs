//! The set of software versions that may have begun streams, and how versions leave it.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_core::stream_origin::VersionHistory;
use marigold_core::stream_origin::version_set::{Proof, Review, VersionSet};
use marigold_core::targets::Target;
use marigold_schema::messages::StoredVersions;

const POOL: &str = "engines";
const WINDOW: Duration = Duration::from_secs(30);
/// Time for which a version has to be marked and unused until it is removed.
const REMOVAL_S: u64 = 40;

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn versions(names: &[&str]) -> BTreeSet<(String, String)> {
    names.iter().map(|name| (POOL.to_owned(), (*name).to_owned())).collect()
}

fn complete(names: &[&str]) -> VersionSet {
    let mut set = VersionSet::complete();
    set.add(&versions(names));
    set
}

fn only(version: &str) -> Proof {
    Proof::Only(version.to_owned())
}

#[test]
fn proof_by_number_of_versions() {
    assert_eq!(complete(&["v1"]).proof(POOL), only("v1"));
    assert_eq!(complete(&["v1", "v2"]).proof(POOL), Proof::Several);
    assert_eq!(complete(&["v1"]).proof("other"), Proof::Incomplete);
}

/// A set that lacks versions, as after a restore of the store from an older copy, proves nothing.
#[test]
fn proof_of_an_incomplete_set_is_incomplete() {
    let mut set = VersionSet::default();
    assert_eq!(set.proof(POOL), Proof::Incomplete);
    set.add(&versions(&["v1"]));
    assert_eq!(set.proof(POOL), Proof::Incomplete);
}

#[test]
fn add_known_versions_changes_nothing() {
    let mut set = complete(&["v1"]);
    assert!(!set.add(&versions(&["v1"])));
    assert!(set.add(&versions(&["v1", "v2"])));
}

#[test]
fn stored_form_keeps_the_set() {
    let marked =
        Review::default().revise(&complete(&["v1", "v2"]), 7, &versions(&["v2"]), at(0), WINDOW);
    for set in [complete(&["v1"]), marked.unwrap(), VersionSet::default()] {
        let text = serde_json::to_string(&StoredVersions::from(&set)).unwrap();
        let stored: StoredVersions = serde_json::from_str(&text).unwrap();
        assert_eq!(VersionSet::from(stored), set);
    }
}

/// A stream that is awaited may have begun at a version that has left, so it stays in the set for as long as streams live.
#[test]
fn revise_removes_a_version_after_its_mark_was_seen_for_the_window() {
    let (mut review, in_use) = (Review::default(), versions(&["v2"]));
    let set = complete(&["v1", "v2"]);
    let marked = review.revise(&set, 7, &in_use, at(0), WINDOW).unwrap();
    assert_eq!(marked.proof(POOL), Proof::Several);
    assert_eq!(review.revise(&marked, 8, &in_use, at(1), WINDOW), None);
    assert_eq!(review.revise(&marked, 8, &in_use, at(REMOVAL_S), WINDOW), None);
    let removed = review.revise(&marked, 8, &in_use, at(1 + REMOVAL_S), WINDOW);
    assert_eq!(removed.unwrap().proof(POOL), only("v2"));
}

/// A gateway that has just read the set does not know for how long the mark has been there.
#[test]
fn revise_with_an_old_mark_waits_for_the_window() {
    let in_use = versions(&["v2"]);
    let set = complete(&["v1", "v2"]);
    let marked = Review::default().revise(&set, 7, &in_use, at(0), WINDOW).unwrap();
    let mut other = Review::default();
    assert_eq!(other.revise(&marked, 8, &in_use, at(500), WINDOW), None);
    assert_eq!(other.revise(&marked, 8, &in_use, at(499 + REMOVAL_S), WINDOW), None);
    assert!(other.revise(&marked, 8, &in_use, at(500 + REMOVAL_S), WINDOW).is_some());
}

/// A reader takes the mark away before it uses the version again; a mark that another gateway makes later counts anew.
#[test]
fn revise_with_a_mark_that_was_made_again_starts_anew() {
    let (mut review, in_use) = (Review::default(), versions(&["v2"]));
    let set = complete(&["v1", "v2"]);
    let marked = review.revise(&set, 7, &in_use, at(0), WINDOW).unwrap();
    assert_eq!(review.revise(&marked, 8, &in_use, at(1), WINDOW), None);
    let mut used = marked.clone();
    assert!(used.add(&versions(&["v1"])));
    let again = Review::default().revise(&used, 9, &in_use, at(20), WINDOW).unwrap();
    assert_eq!(review.revise(&again, 10, &in_use, at(1 + REMOVAL_S), WINDOW), None);
    let removed = review.revise(&again, 10, &in_use, at(1 + 2 * REMOVAL_S), WINDOW);
    assert_eq!(removed.unwrap().proof(POOL), only("v2"));
}

#[test]
fn revise_after_a_gap_starts_anew() {
    let (mut review, in_use) = (Review::default(), versions(&["v2"]));
    let set = complete(&["v1", "v2"]);
    let marked = review.revise(&set, 7, &in_use, at(0), WINDOW).unwrap();
    assert_eq!(review.revise(&marked, 8, &in_use, at(1), WINDOW), None);
    review.on_gap();
    assert_eq!(review.revise(&marked, 8, &in_use, at(1 + REMOVAL_S), WINDOW), None);
}

#[test]
fn revise_keeps_versions_in_use() {
    let set = complete(&["v1", "v2"]);
    let in_use = versions(&["v1", "v2"]);
    assert_eq!(Review::default().revise(&set, 7, &in_use, at(0), WINDOW), None);
}

/// After a restore of the store from an older copy, the set must get back what the copy lacks before it proves anything.
#[test]
fn revise_an_incomplete_set_adds_what_was_in_use() {
    let mut set = VersionSet::default();
    set.add(&versions(&["v1"]));
    let in_use = versions(&["v1", "v2"]);
    let revised = Review::default().revise(&set, 3, &in_use, at(0), WINDOW).unwrap();
    assert!(revised.is_complete());
    assert_eq!(revised.proof(POOL), Proof::Several);
}

fn target(id: &str, version: &str) -> Target {
    Target {
        id: id.to_owned(),
        pool: POOL.to_owned(),
        addr: "10.0.0.1:8000".parse().unwrap(),
        data_centre: "north".to_owned(),
        version: version.to_owned(),
        slots: 1,
        is_leaving: false,
        started_at_ms: 1,
        cold_until: Duration::ZERO,
    }
}

/// A gateway that has lost its history takes it over from the set; a version that is not listed any more may have begun
/// streams up to now.
#[test]
fn restore_versions_that_have_left_count_from_now() {
    let mut history = VersionHistory::default();
    let set = complete(&["v1", "v2"]);
    history.restore(set.iter(), at(90));
    history.update([target("a", "v2")].iter(), at(100));
    assert_eq!(history.only_version(POOL, at(101), WINDOW), None);
    history.restore(set.iter(), at(101));
    assert_eq!(history.only_version(POOL, at(130), WINDOW), None);
    assert_eq!(history.recent(at(130), WINDOW), Some(versions(&["v1", "v2"])));
    assert_eq!(history.only_version(POOL, at(131), WINDOW).map(String::as_str), Some("v2"));
    history.on_gap(at(140));
    assert_eq!(history.recent(at(141), WINDOW), None);
}
