//! Data centres that the operator evacuates, as known from the store and from other gateways.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{Name, Uptime};

/// Era and revision of the store; a store that was restored from an older copy gives revisions out again in a later era.
pub type StoreVersion = (u64, u64);

/// The last list of evacuated data centres.
///
/// Lists are ordered by the version of the store that they reflect, so that answers which overtake each other undo nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationList {
    listed: BTreeSet<Name>,
    /// Data centres that a restored store does not list although they were evacuated before, with the times until which the
    /// evacuations hold.
    held: BTreeMap<Name, Uptime>,
    version: Option<StoreVersion>,
    proved_at: Uptime,
}

impl EvacuationList {
    /// Returns the version of the store that the list reflects; `None` before the first list.
    pub fn version(&self) -> Option<StoreVersion> {
        self.version
    }

    /// Returns the data centres that the store lists.
    pub fn listed(&self) -> &BTreeSet<Name> {
        &self.listed
    }

    /// Returns the time since the list was known to be the newest; `None` before the first list.
    pub fn age(&self, now: Uptime) -> Option<Duration> {
        self.version.map(|_| now.saturating_sub(self.proved_at))
    }

    /// Returns the data centres that get nothing new.
    pub fn evacuated(&self, now: Uptime) -> BTreeSet<Name> {
        let held = self.held.iter().filter(|(_, until)| now < **until);
        self.listed.iter().chain(held.map(|(name, _)| name)).cloned().collect()
    }

    /// Returns when the last evacuation ends that is held although a restored store does not list it.
    pub fn held_until(&self) -> Option<Uptime> {
        self.held.values().max().copied()
    }

    /// Replaces the list by one that reflects `version` and was the newest at `at`; ignores one of an earlier version.
    ///
    /// A store that was restored from an older copy may lack evacuations that it has confirmed, until the operator has written
    /// them again. They hold for `hold`.
    pub fn replace(
        &mut self,
        listed: BTreeSet<Name>,
        version: StoreVersion,
        at: Uptime,
        now: Uptime,
        hold: Duration,
    ) {
        let is_other_era = self.version.is_some_and(|(era, _)| era != version.0);
        if !is_other_era && self.version > Some(version) {
            return;
        }
        self.held.retain(|name, until| now < *until && !listed.contains(name));
        if is_other_era {
            let missing = self.listed.difference(&listed).cloned();
            self.held.extend(missing.map(|name| (name, now + hold)));
        }
        self.set(listed, version, at);
    }

    /// Applies changes, each a data centre and whether it is evacuated now, that lead from an earlier version to `version`;
    /// ignores them if the list reflects a later version.
    pub fn apply(&mut self, changes: Vec<(Name, bool)>, version: StoreVersion, at: Uptime) {
        if self.version > Some(version) {
            return;
        }
        let mut listed = self.listed.clone();
        for (name, is_evacuated) in changes {
            self.held.remove(&name);
            if is_evacuated {
                listed.insert(name);
            } else {
                listed.remove(&name);
            }
        }
        self.set(listed, version, at);
    }

    fn set(&mut self, listed: BTreeSet<Name>, version: StoreVersion, at: Uptime) {
        self.listed = listed;
        self.version = Some(version);
        self.proved_at = self.proved_at.max(at);
    }

    /// Adopts the list of another gateway, which was the newest at `at`, unless it is of an earlier version or era.
    pub fn merge(
        &mut self,
        listed: BTreeSet<Name>,
        version: StoreVersion,
        at: Uptime,
        now: Uptime,
        hold: Duration,
    ) {
        if self.version.is_none_or(|own| version >= own) {
            self.replace(listed, version, at, now, hold);
        }
    }
}
