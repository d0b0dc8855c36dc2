//! Data centres that are evacuated, as far as this gateway knows from the store and from other gateways.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_core::evacuation::{EvacuationList, StoreVersion};
use marigold_core::ids::{Name, Uptime};
use marigold_schema::messages;
use parking_lot::Mutex;

/// Handle of the list.
#[derive(Default)]
pub(crate) struct Evacuations {
    list: Mutex<EvacuationList>,
}

impl Evacuations {
    /// Returns the time since the list was known to be the newest; `None` before the first list.
    pub(crate) fn age(&self, now: Uptime) -> Option<Duration> {
        self.list.lock().age(now)
    }

    /// Returns the data centres that get nothing new.
    pub(crate) fn evacuated(&self, now: Uptime) -> BTreeSet<Name> {
        self.list.lock().evacuated(now)
    }

    /// Returns when the last evacuation ends that is held although a restored store does not list it.
    pub(crate) fn held_until(&self) -> Option<Uptime> {
        self.list.lock().held_until()
    }

    /// Changes the list; returns whether other data centres are evacuated now.
    fn update(&self, now: Uptime, change: impl FnOnce(&mut EvacuationList)) -> bool {
        let mut list = self.list.lock();
        let before = list.evacuated(now);
        change(&mut list);
        list.evacuated(now) != before
    }

    /// Applies a full list from the store that was asked for at `at`; returns whether other data centres are evacuated now.
    pub(crate) fn replace(
        &self,
        listed: BTreeSet<Name>,
        version: StoreVersion,
        at: Uptime,
        now: Uptime,
        hold: Duration,
    ) -> bool {
        self.update(now, |list| list.replace(listed, version, at, now, hold))
    }

    /// Applies changes from the store that were asked for at `at`; returns whether other data centres are evacuated now.
    pub(crate) fn apply(
        &self,
        changes: Vec<(Name, bool)>,
        version: StoreVersion,
        at: Uptime,
        now: Uptime,
    ) -> bool {
        self.update(now, |list| list.apply(changes, version, at))
    }

    /// Merges the list that another gateway sent in a message at `sent` or later; returns whether other data centres are
    /// evacuated now.
    pub(crate) fn merge(
        &self,
        message: &messages::EvacuationList,
        sent: Uptime,
        now: Uptime,
        hold: Duration,
    ) -> bool {
        let version = (message.version.era, message.version.revision);
        let at = sent.saturating_sub(Duration::from_millis(message.age_ms));
        let listed = message.data_centres.iter().cloned().collect();
        self.update(now, |list| list.merge(listed, version, at, now, hold))
    }

    /// Returns the list for other gateways; `None` before it is known.
    pub(crate) fn message(&self, now: Uptime) -> Option<messages::EvacuationList> {
        let list = self.list.lock();
        let (era, revision) = list.version()?;
        Some(messages::EvacuationList {
            version: messages::StoreVersion { era, revision },
            age_ms: list.age(now)?.as_millis() as u64,
            data_centres: list.listed().iter().cloned().collect(),
        })
    }
}
