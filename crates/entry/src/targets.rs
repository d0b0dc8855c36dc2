//! Targets to which the entry has links: heartbeats, reports and load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use marigold_core::ids::{Epoch, Name, Revision, Shard};
use marigold_core::rendezvous;
use marigold_core::router::Load;
use marigold_core::view::{PoolView, View};
use marigold_link::peer::Peer;
use marigold_schema::messages::{Heartbeat, PoolSlice, Reply, Report, Request};
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::state::{PoolState, Shared, Targets};

/// Number of entries that rendezvous hashing links to each target.
pub(crate) const LINKS_PER_TARGET: usize = 3;
/// Minimum number of targets of each pool that an entry links to.
const MIN_LINKS_PER_POOL: usize = 2;
/// Number of entries up to which every entry links to every target.
const MAX_FULL_MESH_ENTRIES: usize = 8;
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(700);
const HEARTBEAT_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time without a report after which a target gets no new work; three heartbeat intervals if that is longer.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2500);

/// Target and the link to its agent.
pub(crate) struct TargetHandle {
    pub(crate) name: Name,
    pub(crate) pool: Name,
    pub(crate) data_centre: Name,
    pub(crate) peer: Peer,
    pub(crate) load: Load,
    pub(crate) report: ArcSwapOption<Report>,
    reported_at_ms: AtomicU64,
    heartbeat_ms: AtomicU64,
    leaving: AtomicBool,
    slice: Mutex<Option<PoolSlice>>,
    /// Wakes the heartbeat task before the next heartbeat is due.
    pub(crate) heartbeat_now: Notify,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl Drop for TargetHandle {
    fn drop(&mut self) {
        if let Some(task) = self.task.lock().take() {
            task.abort();
        }
    }
}

impl TargetHandle {
    /// Returns whether new work may be sent to the target.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        let report = self.report.load();
        let Some(report) = report.as_ref() else { return false };
        let reported_at = Duration::from_millis(self.reported_at_ms.load(Ordering::Relaxed));
        let timeout = REPORT_TIMEOUT
            .max(3 * Duration::from_millis(self.heartbeat_ms.load(Ordering::Relaxed)));
        !report.leaving
            && !self.leaving.load(Ordering::Relaxed)
            && now.saturating_sub(reported_at) < timeout
    }

    /// Sets whether the target is leaving, according to the platform or the operators.
    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Returns whether the target is leaving, according to its agent, the platform or the operators.
    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
            || self.report.load().as_ref().is_some_and(|report| report.leaving)
    }

    /// Returns the epoch of the agent's licence for a shard, whether this entry is enrolled, and the link addresses of
    /// enrolled entries.
    pub(crate) fn licence(&self, shard: Shard) -> Option<(Epoch, bool, Vec<String>)> {
        let report = self.report.load();
        let licence = report.as_ref()?.licences.iter().find(|licence| licence.shard == shard)?;
        Some((licence.epoch, licence.enrolled, licence.via.clone()))
    }

    /// Sets the part of the configuration that the agent needs; a newer one is sent immediately.
    fn set_slice(&self, wanted: &PoolSlice) {
        let mut slice = self.slice.lock();
        if slice.as_ref().is_none_or(|current| current.revision < wanted.revision) {
            *slice = Some(wanted.clone());
            self.heartbeat_now.notify_one();
        }
    }

    async fn send_heartbeat(&self, shared: &Shared) -> marigold_link::Result<Duration> {
        let agent_revision = self.report.load().as_ref().map(|report| report.slice_revision);
        let slice = self
            .slice
            .lock()
            .clone()
            .filter(|slice| agent_revision.is_none_or(|revision| revision < slice.revision));
        let revision = shared.view.load().as_ref().map_or(0, |view| view.revision);
        let heartbeat = Heartbeat { sender: shared.member.clone().into(), revision, slice };
        let reply = self.peer.request(&Request::Heartbeat(heartbeat), HEARTBEAT_TIMEOUT).await?;
        let Reply::Report(report) = reply else { return Ok(HEARTBEAT_RETRY_DELAY) };
        self.load.on_report(report.in_flight.max(report.queued));
        let interval = Duration::from_millis(u64::from(report.heartbeat_ms));
        let lacks_slice =
            self.slice.lock().as_ref().is_some_and(|slice| report.slice_revision < slice.revision);
        self.heartbeat_ms.store(interval.as_millis() as u64, Ordering::Relaxed);
        self.reported_at_ms.store(shared.now().as_millis() as u64, Ordering::Relaxed);
        self.report.store(Some(Arc::new(report)));
        Ok(if lacks_slice { Duration::ZERO } else { interval })
    }
}

async fn heartbeat_forever(shared: std::sync::Weak<Shared>, handle: std::sync::Weak<TargetHandle>) {
    loop {
        let (Some(shared), Some(handle)) = (shared.upgrade(), handle.upgrade()) else { return };
        let wait = match handle.send_heartbeat(&shared).await {
            Ok(interval) => interval,
            Err(err) => {
                tracing::debug!(%err, target = handle.name, "heartbeat failed");
                HEARTBEAT_RETRY_DELAY
            }
        };
        drop(shared);
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = handle.heartbeat_now.notified() => {}
        }
    }
}

/// Returns the link addresses of all entries, which are their names in rendezvous hashing.
pub(crate) fn entry_addresses(shared: &Shared) -> Vec<String> {
    let peers = shared.peers.iter().map(|peer| peer.addr().to_string());
    peers.chain([shared.member.address.clone()]).collect()
}

/// Returns the names of the targets that an entry links to.
fn linked_targets<'a>(own_address: &str, entries: &[String], pool: &'a PoolView) -> Vec<&'a Name> {
    if entries.len() <= MAX_FULL_MESH_ENTRIES {
        return pool.targets.keys().collect();
    }
    let top_ranked =
        rendezvous::rank(own_address, pool.targets.keys()).into_iter().take(MIN_LINKS_PER_POOL);
    let by_target = pool
        .targets
        .keys()
        .filter(|target| rendezvous::is_linked(target, own_address, entries, LINKS_PER_TARGET));
    let mut linked: Vec<&Name> = top_ranked.chain(by_target).collect();
    linked.sort_unstable();
    linked.dedup();
    linked
}

/// Updates the handles to a view: links to added targets, drops removed ones, and sends agents the parts of the
/// configuration that changed.
pub(crate) fn apply_view(shared: &Arc<Shared>, old_view: Option<&View>, view: &View) {
    let is_unchanged = |pool: &Arc<PoolView>| {
        old_view
            .and_then(|old_view| old_view.pools.get(&pool.name))
            .is_some_and(|old| Arc::ptr_eq(old, pool))
    };
    let current = shared.targets.load_full();
    if old_view.is_some_and(|old_view| Arc::ptr_eq(&old_view.pools, &view.pools)) {
        current.iter().for_each(|(name, handle)| handle.set_leaving(view.draining.contains(name)));
        return;
    }
    let entries = entry_addresses(shared);
    let mut targets = Targets::new();
    for pool in view.pools.values() {
        if is_unchanged(pool) {
            let handles = current.iter().filter(|(_, handle)| handle.pool == pool.name);
            targets.extend(handles.map(|(name, handle)| (name.clone(), handle.clone())));
            continue;
        }
        for name in linked_targets(&shared.member.address, &entries, pool) {
            let Some(handle) = get_or_create_handle(shared, &current, pool, name) else { continue };
            handle.set_slice(&pool.slice);
            targets.insert(name.clone(), handle);
        }
    }
    targets.iter().for_each(|(name, handle)| handle.set_leaving(view.draining.contains(name)));
    shared.targets.store(Arc::new(targets));
    update_pools(shared, view);
}

fn get_or_create_handle(
    shared: &Arc<Shared>,
    current: &Targets,
    pool: &PoolView,
    name: &Name,
) -> Option<Arc<TargetHandle>> {
    let target = &pool.targets[name];
    let addr: SocketAddr = target.address.parse().ok()?;
    if let Some(handle) =
        current.get(name).filter(|handle| handle.peer.addr() == addr && handle.pool == pool.name)
    {
        return Some(handle.clone());
    }
    let handle = Arc::new(TargetHandle {
        name: name.clone(),
        pool: pool.name.clone(),
        data_centre: target.data_centre.clone(),
        peer: Peer::new(addr, shared.security.clone()),
        load: Load::default(),
        report: ArcSwapOption::empty(),
        reported_at_ms: AtomicU64::new(0),
        heartbeat_ms: AtomicU64::new(0),
        leaving: AtomicBool::new(false),
        slice: Mutex::new(None),
        heartbeat_now: Notify::new(),
        task: Mutex::new(None),
    });
    let task = tokio::spawn(heartbeat_forever(Arc::downgrade(shared), Arc::downgrade(&handle)));
    *handle.task.lock() = Some(task);
    Some(handle)
}

fn update_pools(shared: &Shared, view: &View) {
    let current = shared.pools.load_full();
    let entries = shared.peers.len() as u32 + 1;
    let states = view.pools.iter().map(|(name, pool)| {
        let capacity = (pool.concurrency * pool.targets.len() as u32).div_ceil(entries).max(4);
        let state =
            current.get(name).cloned().unwrap_or_else(|| Arc::new(new_pool_state(capacity)));
        state.shares.lock().resize(capacity);
        (name.clone(), state)
    });
    shared.pools.store(Arc::new(states.collect::<BTreeMap<_, _>>()));
}

fn new_pool_state(capacity: u32) -> PoolState {
    PoolState {
        shares: Mutex::new(marigold_core::shares::Shares::new(capacity)),
        retries: Default::default(),
        durations: Mutex::default(),
    }
}

/// Returns the revision in force at an agent according to its last report; 0 without a report.
pub(crate) fn reported_revision(handle: &TargetHandle) -> Revision {
    handle.report.load().as_ref().map_or(0, |report| report.revision)
}
