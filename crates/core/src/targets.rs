//! Targets as the platform's list names them, and what becomes of those that vanish from it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::ids::{Name, Uptime};

/// A target that may be sent requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of this life of the target.
    pub id: Name,
    /// Pool that it belongs to.
    pub pool: Name,
    /// Where it answers.
    pub addr: SocketAddr,
    /// Data centre.
    pub data_centre: Name,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it is about to leave and takes nothing new.
    pub is_leaving: bool,
    /// Start of this life in milliseconds since the epoch; tells two lives under one id apart.
    pub started_at_ms: u64,
}

#[derive(Clone, Debug)]
struct ListedTarget {
    target: Target,
    /// Set while the target is missing from the list after an outage of the store.
    missing_since: Option<Uptime>,
}

/// The list of targets as last seen.
#[derive(Debug, Default)]
pub struct TargetList {
    listed: BTreeMap<Name, ListedTarget>,
    /// When the store answered again after it had failed.
    store_recovered_at: Option<Uptime>,
}

impl TargetList {
    /// Notes that the store answers again after an outage.
    pub fn on_store_recovered(&mut self, now: Uptime) {
        self.store_recovered_at = Some(now);
    }

    /// Takes in a target.
    pub fn put(&mut self, target: Target) {
        self.listed.insert(target.id.clone(), ListedTarget { target, missing_since: None });
    }

    /// Takes out a target that the list no longer holds.
    ///
    /// Entries lapse while the store is away and come back with the targets' next heartbeats, so one that vanishes
    /// within `lapse` of the store's return is kept for that time.
    pub fn remove(&mut self, id: &str, now: Uptime, grace_period: Duration) {
        let is_settled = self.store_recovered_at.is_none_or(|at| at + grace_period < now);
        if is_settled || self.listed.get(id).is_some_and(|listed| listed.target.is_leaving) {
            self.listed.remove(id);
        } else if let Some(listed) = self.listed.get_mut(id) {
            listed.missing_since.get_or_insert(now);
        }
    }

    /// Takes in a full list: what it does not hold is removed.
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

    /// Drops the targets whose time of grace is over; gives their ids.
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

    /// Targets that take requests.
    pub fn usable(&self) -> impl Iterator<Item = &Target> {
        self.listed.values().map(|listed| &listed.target).filter(|target| !target.is_leaving)
    }
}
