//! Targets by pool, with the load of each.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use marigold_core::ids::{Name, SoftwareVersion, Uptime};
use marigold_core::load_reports::InFlight;
use marigold_core::router::{Candidate, Load};
use marigold_core::stream_origin::version_set::VersionSet;
use marigold_core::stream_origin::{Origin, PoolVersion, VersionHistory};
use marigold_core::target_hold::TargetHold;
use marigold_core::targets::{Target, TargetList};
use marigold_core::{placement, targets};
use marigold_process::boottime;
use parking_lot::Mutex;

/// A target and the estimate of its load.
#[derive(Debug)]
pub(crate) struct TrackedTarget {
    pub(crate) target: Target,
    pub(crate) load: Arc<Load>,
    /// Pause that the target has asked for.
    pub(crate) hold: Arc<TargetHold>,
}

impl TrackedTarget {
    /// Returns the candidate for the choice among targets, as seen from `own_data_centre`.
    pub(crate) fn candidate(&self, own_data_centre: &str, now: Uptime) -> Candidate {
        Candidate {
            load: self.load.snapshot(now),
            concurrency: self.target.slots.max(1),
            round_trip: placement::round_trip(self.target.data_centre == own_data_centre),
            has_prefix: false,
        }
    }
}

/// Age of the list of targets up to which it counts as current. The watch is answered at least each 1.5 s, and given up
/// after 2 s more.
pub(crate) const MAX_LIST_AGE: Duration = Duration::from_secs(5);

type Pools = HashMap<Name, Vec<Arc<TrackedTarget>>>;

/// All targets that accept requests.
#[derive(Default)]
pub(crate) struct TargetTable {
    list: Mutex<TargetList>,
    versions: Mutex<VersionHistory>,
    /// Pools that have got a second software version since they were last taken.
    newly_mixed: Mutex<Vec<Name>>,
    pools: ArcSwap<Pools>,
}

impl TargetTable {
    /// Returns the targets of a pool that accept requests.
    pub(crate) fn in_pool(&self, pool: &str) -> Vec<Arc<TrackedTarget>> {
        self.pools.load().get(pool).cloned().unwrap_or_default()
    }

    /// Returns the target at an address.
    pub(crate) fn at_addr(&self, addr: SocketAddr) -> Option<Arc<TrackedTarget>> {
        let pools = self.pools.load();
        pools.values().flatten().find(|tracked| tracked.target.addr == addr).cloned()
    }

    /// Returns the software version of a pool if it has had no other in the last `window`.
    pub(crate) fn only_version(
        &self,
        pool: &str,
        now: Uptime,
        window: Duration,
    ) -> Option<SoftwareVersion> {
        self.versions.lock().only_version(pool, now, window).cloned()
    }

    /// Returns whether targets of a pool with a software version are listed.
    pub(crate) fn is_version_listed(&self, pool: &str, version: &str) -> bool {
        self.versions.lock().is_listed(pool, version)
    }

    /// Returns the software versions that are listed, and whether they have been for so long that all gateways with a current
    /// list know them.
    pub(crate) fn listed_versions(&self, now: Uptime) -> BTreeMap<PoolVersion, bool> {
        let versions = self.versions.lock();
        let listed = versions.listed().map(|(pool, version, since)| {
            ((pool.clone(), version.clone()), since + MAX_LIST_AGE <= now)
        });
        listed.collect()
    }

    /// Adds the versions of a set that lacks none to the history.
    pub(crate) fn restore_history(&self, set: &VersionSet, now: Uptime) {
        self.versions.lock().restore(set.iter(), now);
    }

    /// Returns the versions that had targets in the last `window`, or `None` if that is not known for all of it.
    pub(crate) fn recent_versions(
        &self,
        now: Uptime,
        window: Duration,
    ) -> Option<BTreeSet<PoolVersion>> {
        self.versions.lock().recent(now, window)
    }

    /// Records that a target has said in a reply that it leaves; returns whether that is new.
    pub(crate) fn announce_leaving(&self, target: &Target, now: Uptime) -> bool {
        // Each of its replies says so, and an update is not cheap.
        if !self.has_start(&target.id, target.started_at_ms) {
            return false;
        }
        self.update(|list| list.announce_leaving(target, now))
    }

    /// Records that changes of the list may have been missed before now.
    pub(crate) fn on_gap(&self, now: Uptime) {
        self.versions.lock().on_gap(now);
    }

    /// Takes the pools that have got a second software version since the last call.
    pub(crate) fn take_newly_mixed(&self) -> Vec<Name> {
        std::mem::take(&mut *self.newly_mixed.lock())
    }

    /// Returns whether it is uncertain which start of a target began a stream.
    pub(crate) fn is_doubted(&self, origin: &Origin) -> bool {
        self.list.lock().all().any(|target| origin.is_doubted_by(target))
    }

    /// Returns whether another start of a target is listed at its address, or a later one under its id.
    pub(crate) fn is_replaced(&self, target: &Target) -> bool {
        let is_other = |listed: &Target| {
            let is_later = listed.id == target.id && listed.started_at_ms > target.started_at_ms;
            is_later || (listed.id != target.id && listed.addr == target.addr)
        };
        self.list.lock().all().any(is_other)
    }

    /// Returns whether a target with this id and start accepts requests.
    pub(crate) fn has_start(&self, id: &str, started_at_ms: u64) -> bool {
        let pools = self.pools.load();
        let mut all = pools.values().flatten().map(|tracked| &tracked.target);
        all.any(|target| target.id == id && target.started_at_ms == started_at_ms)
    }

    /// Returns the number of targets that accept requests, by pool and version of their software.
    pub(crate) fn count_by_version(&self) -> BTreeMap<(Name, SoftwareVersion), u64> {
        let mut counts = BTreeMap::new();
        for tracked in self.pools.load().values().flatten() {
            let Target { pool, version, .. } = &tracked.target;
            *counts.entry((pool.clone(), version.clone())).or_default() += 1;
        }
        counts
    }

    /// Returns the own requests in flight by target, of targets that have some.
    pub(crate) fn own_in_flight(&self) -> InFlight {
        let pools = self.pools.load();
        let counts =
            pools.values().flatten().map(|tracked| (&tracked.target.id, tracked.load.own()));
        counts.filter(|(_, own)| *own > 0).map(|(id, own)| (id.clone(), own)).collect()
    }

    /// Sets the requests of all gateways in flight; those of targets that are not in `totals` are unknown.
    pub(crate) fn report_loads(&self, totals: &InFlight) {
        for tracked in self.pools.load().values().flatten() {
            tracked.load.on_report(totals.get(&tracked.target.id).copied().unwrap_or_default());
        }
    }

    /// Returns the number of targets that accept requests.
    pub(crate) fn len(&self) -> usize {
        self.pools.load().values().map(Vec::len).sum()
    }

    /// Returns the number of targets that are kept although the store does not list them.
    pub(crate) fn missing_count(&self) -> usize {
        self.list.lock().missing_count()
    }

    /// Changes the list with `change` and updates the table; targets that have not started again keep their load and hold.
    pub(crate) fn update<T>(&self, change: impl FnOnce(&mut targets::TargetList) -> T) -> T {
        let mut list = self.list.lock();
        let result = change(&mut list);
        let mut versions = self.versions.lock();
        let newly_mixed = versions.update(list.all(), boottime::now());
        self.newly_mixed.lock().extend(newly_mixed);
        let old = self.pools.load();
        let by_id: BTreeMap<&str, &Arc<TrackedTarget>> =
            old.values().flatten().map(|tracked| (tracked.target.id.as_str(), tracked)).collect();
        let mut pools = Pools::new();
        for target in list.usable() {
            let kept =
                by_id.get(target.id.as_str()).filter(|tracked| tracked.target.is_same(target));
            let tracked = kept.map(|tracked| Arc::clone(tracked)).unwrap_or_else(|| {
                let same_start = by_id
                    .get(target.id.as_str())
                    .filter(|tracked| tracked.target.started_at_ms == target.started_at_ms);
                let (load, hold) = same_start
                    .map(|tracked| (tracked.load.clone(), tracked.hold.clone()))
                    .unwrap_or_default();
                Arc::new(TrackedTarget { target: target.clone(), load, hold })
            });
            pools.entry(target.pool.clone()).or_default().push(tracked);
        }
        self.pools.store(Arc::new(pools));
        result
    }
}
