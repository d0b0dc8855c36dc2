//! Software versions that may have begun streams which are still awaited, as the store holds them.
//!
//! A version is added before any gateway begins a stream there, so the set proves at any time where streams began that are
//! awaited. It is removed in two steps: it is marked, and leaves when the same mark has been seen for longer than streams live.
//! Whoever uses the version again takes the mark away first.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use marigold_schema::messages::{StoredVersion, StoredVersions};

use super::PoolVersion;
use crate::ids::{Name, SoftwareVersion, Uptime};

/// Time for which a mark is seen in addition to the life of a stream. Longer than a list of targets counts as current, and
/// than a gateway takes to add a version.
const MARK_MARGIN: Duration = Duration::from_secs(10);

/// Number of a mark: the revision of the set that was read for it. A mark that is made again has another one.
type Mark = u64;

/// Versions by pool.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct VersionSet {
    /// Whether no version is missing.
    is_complete: bool,
    versions: BTreeMap<PoolVersion, Option<Mark>>,
}

/// What a set proves of a pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Proof {
    /// It has had only this version.
    Only(SoftwareVersion),
    /// It has had several.
    Several,
    /// Nothing, as versions may be missing.
    Incomplete,
}

impl VersionSet {
    /// Returns an empty set in which no version is missing, for a system that starts for the first time.
    pub fn complete() -> Self {
        Self { is_complete: true, ..Self::default() }
    }

    /// Returns whether no version is missing.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the pools and versions.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &SoftwareVersion)> {
        self.versions.keys().map(|(pool, version)| (pool, version))
    }

    /// Adds versions that are about to be used; returns whether that changes the set.
    pub fn add(&mut self, used: &BTreeSet<PoolVersion>) -> bool {
        let mut is_changed = false;
        for key in used {
            is_changed |= self.versions.insert(key.clone(), None) != Some(None);
        }
        is_changed
    }

    /// Returns what the set proves of a pool.
    pub fn proof(&self, pool: &str) -> Proof {
        let mut versions = self.iter().filter(|(other, _)| *other == pool);
        match (versions.next(), versions.next()) {
            (_, Some(_)) => Proof::Several,
            (Some((_, version)), None) if self.is_complete => Proof::Only(version.clone()),
            _ => Proof::Incomplete,
        }
    }
}

impl From<StoredVersions> for VersionSet {
    fn from(stored: StoredVersions) -> Self {
        let of_pool = |(pool, versions): (Name, Vec<StoredVersion>)| {
            versions.into_iter().map(move |stored| ((pool.clone(), stored.version), stored.mark))
        };
        Self {
            is_complete: stored.complete,
            versions: stored.pools.into_iter().flat_map(of_pool).collect(),
        }
    }
}

impl From<&VersionSet> for StoredVersions {
    fn from(set: &VersionSet) -> Self {
        let mut pools: BTreeMap<Name, Vec<StoredVersion>> = BTreeMap::new();
        for ((pool, version), mark) in &set.versions {
            let stored = StoredVersion { version: version.clone(), mark: *mark };
            pools.entry(pool.clone()).or_default().push(stored);
        }
        Self { complete: set.is_complete, pools }
    }
}

/// Marks that a gateway has seen, and since when.
#[derive(Debug, Default)]
pub struct Review {
    seen: BTreeMap<PoolVersion, (Mark, Uptime)>,
}

impl Review {
    /// Returns the set as it should be, if that differs from `set`, which was read with `revision`. `recent` are the
    /// versions that had targets in the last `window`, which is longer than streams live.
    pub fn revise(
        &mut self,
        set: &VersionSet,
        revision: u64,
        recent: &BTreeSet<PoolVersion>,
        now: Uptime,
        window: Duration,
    ) -> Option<VersionSet> {
        let mut revised = set.clone();
        if !set.is_complete {
            revised.add(recent);
            revised.is_complete = true;
        }
        self.seen.retain(|key, (mark, _)| {
            !recent.contains(key) && set.versions.get(key) == Some(&Some(*mark))
        });
        for (key, mark) in &set.versions {
            if recent.contains(key) {
                continue;
            }
            let Some(mark) = mark else {
                revised.versions.insert(key.clone(), Some(revision));
                continue;
            };
            let (_, since) = *self.seen.entry(key.clone()).or_insert((*mark, now));
            if since + window + MARK_MARGIN <= now {
                revised.versions.remove(key);
            }
        }
        (revised != *set).then_some(revised)
    }

    /// Forgets the marks, after a time in which the list of targets was not known.
    pub fn on_gap(&mut self) {
        self.seen.clear();
    }
}
