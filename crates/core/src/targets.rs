//! List of targets from the platform, with a grace period for those that disappear after a store outage.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{Name, Uptime};

/// A target that runs requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of this instance of the target.
    pub id: Name,
    /// Pool that it belongs to.
    pub pool: Name,
    /// Address at which it serves requests.
    pub addr: SocketAddr,
    /// Data centre of the target.
    pub data_centre: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to leave and accepts no new requests.
    pub is_leaving: bool,
    /// Start of this instance in milliseconds since the Unix epoch; distinguishes two instances with the same id.
    pub started_at_ms: u64,
}

#[derive(Clone, Debug)]
struct ListedTarget {
    target: Target,
    /// Set while the target is missing from the platform's list after a store outage.
    missing_since: Option<Uptime>,
}

/// The last list of targets from the store.
#[derive(Debug, Default)]
pub struct TargetList {
    listed: BTreeMap<Name, ListedTarget>,
    /// When the store last recovered from an outage.
    store_recovered_at: Option<Uptime>,
}

impl TargetList {
    /// Records that the store has recovered from an outage.
    pub fn on_store_recovered(&mut self, now: Uptime) {
        self.store_recovered_at = Some(now);
    }

    /// Adds or replaces a target.
    pub fn put(&mut self, target: Target) {
        self.listed.insert(target.id.clone(), ListedTarget { target, missing_since: None });
    }

    /// Removes a target that is missing from the platform's list.
    ///
    /// Records in the store expire during an outage and reappear with the next heartbeats of the targets. A target that
    /// disappears within `grace_period` of the recovery is therefore kept for that time, unless it is leaving.
    pub fn remove(&mut self, id: &str, now: Uptime, grace_period: Duration) {
        let is_store_stable = self.store_recovered_at.is_none_or(|at| at + grace_period < now);
        if is_store_stable || self.listed.get(id).is_some_and(|listed| listed.target.is_leaving) {
            self.listed.remove(id);
        } else if let Some(listed) = self.listed.get_mut(id) {
            listed.missing_since.get_or_insert(now);
        }
    }

    /// Replaces the list; targets that are missing from the new one are removed as by [`Self::remove`].
    pub fn replace(&mut self, targets: Vec<Target>, now: Uptime, grace_period: Duration) {
        let missing: Vec<Name> = self
            .listed
            .keys()
            .filter(|id| !targets.iter().any(|target| target.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now, grace_period);
        }
        for target in targets {
            self.put(target);
        }
    }

    /// Removes the targets whose grace period has ended, and returns their ids.
    pub fn remove_expired(&mut self, now: Uptime, grace_period: Duration) -> Vec<Name> {
        let is_over =
            |listed: &ListedTarget| listed.missing_since.is_some_and(|at| at + grace_period <= now);
        let expired: Vec<Name> = self
            .listed
            .iter()
            .filter(|(_, listed)| is_over(listed))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.listed.remove(id);
        }
        expired
    }

    /// Returns the number of targets that are kept although the platform's list lacks them.
    pub fn missing_count(&self) -> usize {
        self.listed.values().filter(|listed| listed.missing_since.is_some()).count()
    }

    /// Returns the targets that accept requests.
    pub fn usable(&self) -> impl Iterator<Item = &Target> {
        self.listed.values().map(|listed| &listed.target).filter(|target| !target.is_leaving)
    }
}
