//! Configuration head in the platform, and deltas by which processes update their replicas.
//!
//! The configuration is a map of items. Items are stored in content-addressed buckets. A small head object holds the
//! revision and the hashes of the buckets; it is replaced by conditional writes, so that exactly one of several
//! concurrent changes succeeds. Messages between processes carry the changes of a range of revisions and the age of
//! the sender's last confirmation from the platform, as snapshot histories do in TimeLine (Moh and Liskov, sections 3.2
//! and 3.3).

use std::collections::{BTreeMap, BTreeSet};

use marigold_schema::messages;
use serde::{Deserialize, Serialize};

use crate::digest;
use crate::ids::Revision;

/// Number of buckets over which the items are distributed.
pub const BUCKETS: usize = 64;
/// Largest number of revisions in a history; a reader at an older revision reads the buckets.
pub const HISTORY_REVISIONS: usize = 64;
/// Largest size in bytes of the changes in a history.
pub const HISTORY_BYTES: usize = 64 * 1024;
/// Key of the item that holds the name of the preset in force.
pub const PRESET_ITEM: &str = "in_force/preset";

/// Items by key; the values are JSON text.
pub type Items = BTreeMap<String, String>;

/// Key and new value of a changed item; no value if the item was removed.
pub type ItemChange = (String, Option<String>);

/// Changes of one revision.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Revision that the changes created.
    pub revision: Revision,
    /// Author of the changes.
    pub by: String,
    /// Changes of the revision.
    pub changes: Vec<ItemChange>,
    /// Hashes of the buckets that the revision replaced.
    pub replaced: Vec<String>,
}

/// Head object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Current revision.
    pub revision: Revision,
    /// Hash of each bucket; empty for a bucket that no change has touched.
    pub buckets: Vec<String>,
    /// Latest changes, oldest first.
    pub history: Vec<HistoryEntry>,
}

/// A new head, to be written after its buckets.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Head, to be written conditionally.
    pub head: Head,
    /// Items of that head.
    pub items: Items,
    /// Buckets to write before the head, by hash.
    pub buckets: BTreeMap<String, String>,
    /// Hashes of buckets that no reader needs once the head is written.
    pub garbage: Vec<String>,
}

/// Returns the bucket of an item.
pub fn bucket_of(key: &str) -> usize {
    (xxhash_rust::xxh3::xxh3_64(key.as_bytes()) % BUCKETS as u64) as usize
}

/// Returns the content of a bucket as JSON text.
pub fn bucket_text(items: &Items, bucket: usize) -> String {
    let content: BTreeMap<&String, &String> =
        items.iter().filter(|(key, _)| bucket_of(key) == bucket).collect();
    serde_json::to_string(&content).expect("a map of strings serialises")
}

/// Applies changes to items.
pub fn apply(items: &mut Items, changes: impl IntoIterator<Item = ItemChange>) {
    for (key, value) in changes {
        match value {
            Some(value) => items.insert(key, value),
            None => items.remove(&key),
        };
    }
}

/// Returns the changes that turn one set of items into another.
pub fn diff(from: &Items, to: &Items) -> Vec<ItemChange> {
    let set = to.iter().filter(|(key, value)| from.get(*key) != Some(value));
    let removed = from.keys().filter(|key| !to.contains_key(*key));
    set.map(|(key, value)| (key.clone(), Some(value.clone())))
        .chain(removed.map(|key| (key.clone(), None)))
        .collect()
}

impl Head {
    /// Prepares the next revision; `items` are the items of this head.
    pub fn propose(&self, items: &Items, changes: Vec<ItemChange>, by: &str) -> Proposal {
        let mut next_items = items.clone();
        apply(&mut next_items, changes.iter().cloned());
        let mut hashes = self.buckets.clone();
        hashes.resize(BUCKETS, String::new());
        let touched: BTreeSet<usize> = changes.iter().map(|(key, _)| bucket_of(key)).collect();
        let mut buckets = BTreeMap::new();
        let mut replaced = Vec::new();
        for bucket in touched {
            let text = bucket_text(&next_items, bucket);
            let hash = digest::sha256_hex(&text);
            let old = std::mem::replace(&mut hashes[bucket], hash.clone());
            if !old.is_empty() && old != hash {
                replaced.push(old);
            }
            buckets.insert(hash, text);
        }
        let revision = self.revision + 1;
        let mut history = self.history.clone();
        history.push(HistoryEntry { revision, by: by.to_owned(), changes, replaced });
        let garbage = trim_history(&mut history);
        let garbage = garbage.into_iter().filter(|hash| !hashes.contains(hash)).collect();
        Proposal {
            head: Head { revision, buckets: hashes, history },
            items: next_items,
            buckets,
            garbage,
        }
    }

    /// Returns the changes after `from`, or none when the history does not reach back that far.
    pub fn delta(&self, from: Revision, as_of_ms: u64) -> Option<messages::Delta> {
        (from >= self.oldest_base()).then(|| delta_of(&self.history, from, self.revision, as_of_ms))
    }

    /// Checks changes based on revision `base` for conflicts with later revisions.
    ///
    /// # Errors
    /// [`Conflict`] when a later revision changed one of the items differently, or when the history does not reach
    /// back to `base`.
    pub fn check_conflicts(
        &self,
        base: Revision,
        changes: &[ItemChange],
    ) -> std::result::Result<(), Conflict> {
        if base < self.oldest_base() {
            return Err(Conflict::TooOld { base, oldest: self.oldest_base() });
        }
        let newer = || self.history.iter().rev().take_while(|entry| entry.revision > base);
        for (key, value) in changes {
            let touching = |entry: &&HistoryEntry| entry.changes.iter().any(|(k, _)| k == key);
            let Some(entry) = newer().find(touching) else { continue };
            let is_same = entry.changes.iter().any(|(k, v)| k == key && v == value);
            if !is_same {
                let (revision, by) = (entry.revision, entry.by.clone());
                return Err(Conflict::Item { key: key.clone(), revision, by });
            }
        }
        Ok(())
    }

    /// Returns the oldest revision after which the history contains all changes.
    fn oldest_base(&self) -> Revision {
        self.history.first().map_or(self.revision, |entry| entry.revision - 1)
    }
}

/// Reason why a change based on an older revision is refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Conflict {
    /// The item was changed in a later revision.
    #[error("`{key}` was changed in revision {revision} by {by}; read the configuration again")]
    Item {
        /// Key of the item.
        key: String,
        /// Revision of the conflicting change.
        revision: Revision,
        /// Author of the conflicting change.
        by: String,
    },
    /// The history does not contain all changes since the base revision.
    #[error(
        "revision {base} is too old, changes are known since {oldest}; read the configuration again"
    )]
    TooOld {
        /// Revision that the change is based on.
        base: Revision,
        /// Oldest revision that a change may be based on.
        oldest: Revision,
    },
}

/// Drops the oldest entries until the history is within its limits, and returns the buckets that they replaced.
fn trim_history(history: &mut Vec<HistoryEntry>) -> Vec<String> {
    let size = |entry: &HistoryEntry| -> usize {
        entry
            .changes
            .iter()
            .map(|(key, value)| key.len() + value.as_ref().map_or(0, String::len))
            .sum()
    };
    let mut bytes: usize = history.iter().map(size).sum();
    let mut garbage = Vec::new();
    while !history.is_empty() && (history.len() > HISTORY_REVISIONS || bytes > HISTORY_BYTES) {
        let entry = history.remove(0);
        bytes -= size(&entry);
        garbage.extend(entry.replaced);
    }
    garbage
}

fn delta_of(
    history: &[HistoryEntry],
    from: Revision,
    to: Revision,
    as_of_ms: u64,
) -> messages::Delta {
    let newer = history.iter().filter(|entry| entry.revision > from);
    let changes = newer.flat_map(|entry| {
        entry.changes.iter().map(|(key, value)| messages::Change {
            revision: entry.revision,
            key: key.clone(),
            value: value.clone(),
        })
    });
    messages::Delta { from, to, as_of_ms, relay: false, changes: changes.collect() }
}

/// Result of adopting a delta or a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Adoption {
    /// The replica was updated.
    Adopted,
    /// The replica was already at this revision or a later one.
    Current,
    /// Revisions between the replica's and the start of the delta are missing.
    Gap,
}

/// A process's copy of the configuration; its revision never decreases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Replica {
    /// Revision of the copy.
    pub revision: Revision,
    /// Items of that revision.
    pub items: Items,
    /// Latest changes, to be forwarded as deltas.
    pub history: Vec<HistoryEntry>,
}

impl Replica {
    /// Applies a delta unless it starts after the revision of the replica.
    pub fn adopt(&mut self, delta: &messages::Delta) -> Adoption {
        if delta.to <= self.revision {
            return Adoption::Current;
        }
        if delta.from > self.revision {
            return Adoption::Gap;
        }
        if delta.from == 0 && self.revision > 0 {
            // The delta is a snapshot of all items, so that items missing from it were removed.
            *self = Replica::default();
        }
        let newer: Vec<&messages::Change> =
            delta.changes.iter().filter(|change| change.revision > self.revision).collect();
        let revisions: BTreeSet<Revision> = newer.iter().map(|change| change.revision).collect();
        for revision in revisions {
            let of_revision = newer.iter().filter(|change| change.revision == revision);
            let changes: Vec<ItemChange> =
                of_revision.map(|change| (change.key.clone(), change.value.clone())).collect();
            apply(&mut self.items, changes.iter().cloned());
            self.history.push(HistoryEntry {
                revision,
                by: String::new(),
                changes,
                replaced: Vec::new(),
            });
        }
        trim_history(&mut self.history);
        self.revision = delta.to;
        Adoption::Adopted
    }

    /// Replaces all items by the snapshot of a later revision.
    pub fn adopt_snapshot(&mut self, revision: Revision, items: Items) -> Adoption {
        if revision <= self.revision {
            return Adoption::Current;
        }
        *self = Replica { revision, items, history: Vec::new() };
        Adoption::Adopted
    }

    /// Returns the changes after `from`, or a snapshot of all items (a delta from zero) when the history does not
    /// reach back that far.
    pub fn delta(&self, from: Revision, as_of_ms: u64) -> messages::Delta {
        let oldest_base = self.history.first().map_or(self.revision, |entry| entry.revision - 1);
        if from >= oldest_base {
            return delta_of(&self.history, from, self.revision, as_of_ms);
        }
        let snapshot = self.items.iter().map(|(key, value)| messages::Change {
            revision: self.revision,
            key: key.clone(),
            value: Some(value.clone()),
        });
        messages::Delta {
            from: 0,
            to: self.revision,
            as_of_ms,
            relay: false,
            changes: snapshot.collect(),
        }
    }
}
