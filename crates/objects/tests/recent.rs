//! Changes that one process passes on to others.

use std::time::Duration;

use marigold_objects::{Changes, Object, RecentChanges, Version};

const fn version(revision: u64) -> Version {
    Version { era: 1, revision }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn changes(revision: u64, names: &[&str]) -> Changes {
    let object = |name: &&str| Object {
        name: (*name).to_owned(),
        version: version(revision),
        value: Some(String::new()),
    };
    let objects = names.iter().map(object).collect();
    Changes { version: version(revision), objects, unreadable: Vec::new() }
}

fn recent() -> RecentChanges<String> {
    let mut recent = RecentChanges::default();
    assert!(recent.replace(version(10), secs(1)));
    assert!(recent.extend(version(10), &changes(12, &["a", "b"]), secs(2)));
    assert!(recent.extend(version(12), &changes(15, &["a"]), secs(3)));
    recent
}

fn names(changes: &Changes) -> Vec<&str> {
    changes.objects.iter().map(|object| object.name.as_str()).collect()
}

#[test]
fn since_returns_all_later_changes() {
    let recent = recent();
    assert_eq!(names(&recent.since(version(10)).expect("kept")), ["a", "b", "a"]);
    assert_eq!(names(&recent.since(version(12)).expect("kept")), ["a"]);
    let none = recent.since(version(15)).expect("kept");
    assert_eq!((none.version, none.objects.len()), (version(15), 0));
}

/// Whoever asks from a version that is not known here reads the store: changes could be missing.
#[test]
fn since_refuses_unknown_versions() {
    let recent = recent();
    assert!(recent.since(version(9)).is_none());
    assert!(recent.since(version(16)).is_none());
    assert!(recent.since(Version::default()).is_none());
    assert!(recent.since(Version { era: 0, revision: 12 }).is_none());
    assert!(recent.since(Version { era: 2, revision: 12 }).is_none());
    assert!(RecentChanges::<String>::default().since(Version::default()).is_none());
}

/// Two peers and the store may send the same changes, and the later answer must not undo the earlier one.
#[test]
fn extend_refuses_changes_after_another_version() {
    let mut recent = recent();
    assert!(!recent.extend(version(12), &changes(15, &["a"]), secs(4)));
    assert!(!recent.extend(version(10), &changes(20, &["a"]), secs(4)));
    assert_eq!(recent.version(), version(15));
    assert_eq!(recent.age(secs(5)), Some(secs(2)));
    let mut unread = RecentChanges::default();
    assert!(!unread.extend(Version::default(), &changes(1, &["a"]), secs(1)));
}

/// A list that was asked for before later changes came from a peer must not undo them; a store whose revisions have gone back
/// is followed.
#[test]
fn replace_refuses_an_outdated_list() {
    let mut recent = recent();
    assert!(!recent.replace(version(14), secs(2)));
    assert_eq!(recent.version(), version(15));
    assert!(recent.replace(version(14), secs(4)));
    assert!(recent.replace(Version { era: 2, revision: 3 }, secs(1)));
    assert!(recent.since(version(14)).is_none());
}

/// The age counts from the last moment at which the version was known to be the newest, whoever told it first.
#[test]
fn age_counts_from_the_latest_proof() {
    let mut recent = recent();
    assert!(recent.verify(version(15), secs(8)));
    assert!(recent.verify(version(15), secs(6)));
    assert!(!recent.verify(version(16), secs(9)));
    assert_eq!(recent.age(secs(10)), Some(secs(2)));
    assert_eq!(RecentChanges::<String>::default().age(secs(10)), None);
    assert!(!RecentChanges::<String>::default().verify(Version::default(), secs(1)));
}

/// Memory is bounded, and what was dropped is not passed over in silence.
#[test]
fn since_refuses_versions_before_dropped_changes() {
    let mut recent = recent();
    for revision in 16..3_000 {
        assert!(recent.extend(version(revision - 1), &changes(revision, &["a"]), secs(4)));
    }
    assert!(recent.since(version(15)).is_none());
    let kept = recent.since(version(2_000)).expect("kept");
    assert_eq!(kept.objects.len(), 999);
    assert!((1_000..=1_024).any(|count| recent.since(version(2_999 - count)).is_some()));
    assert!(recent.since(version(2_999 - 1_025)).is_none());
}
