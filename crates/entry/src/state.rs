//! State shared by the tasks and requests of an entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use marigold_core::burn::BurnTracker;
use marigold_core::cost::Accounts;
use marigold_core::deadline::StageDurations;
use marigold_core::head::Replica;
use marigold_core::ids::{Member, Name};
use marigold_core::retry::RetryBudget;
use marigold_core::sent::SentLog;
use marigold_core::shares::Shares;
use marigold_core::view::View;
use marigold_link::peer::Peer;
use marigold_link::security::Security;
use marigold_platform::store::PlatformStore;
use marigold_process::uptime::Uptime;
use marigold_schema::settings::EntrySettings;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::metrics::Metrics;
use crate::targets::TargetHandle;

/// Handles of all targets to which the entry has links, by name.
pub(crate) type Targets = BTreeMap<Name, Arc<TargetHandle>>;

/// State that an entry keeps for a pool.
pub(crate) struct PoolState {
    pub(crate) shares: Mutex<Shares>,
    pub(crate) retries: RetryBudget,
    pub(crate) durations: Mutex<StageDurations>,
}

pub(crate) struct Shared {
    pub(crate) settings: EntrySettings,
    pub(crate) member: Member,
    pub(crate) clock: Uptime,
    pub(crate) store: PlatformStore,
    pub(crate) security: Arc<Security>,
    pub(crate) peers: Vec<Arc<Peer>>,
    pub(crate) view: ArcSwapOption<View>,
    pub(crate) replica: Mutex<Replica>,
    /// Uptime in milliseconds at which the platform last confirmed the revision in force.
    pub(crate) confirmed_at_ms: AtomicU64,
    /// Whether the configuration has been verified as current since the start.
    pub(crate) is_current: AtomicBool,
    /// Wakes the task that pulls configuration changes from peers.
    pub(crate) pull_now: Notify,
    pub(crate) targets: ArcSwap<Targets>,
    pub(crate) pools: ArcSwap<BTreeMap<Name, Arc<PoolState>>>,
    pub(crate) sent: Mutex<SentLog>,
    pub(crate) next_attempt: AtomicU64,
    pub(crate) next_request: AtomicU64,
    pub(crate) in_flight: AtomicUsize,
    pub(crate) leaving: AtomicBool,
    pub(crate) accounts: Mutex<Accounts>,
    pub(crate) burn: Mutex<BurnTracker>,
    pub(crate) metrics: Metrics,
}

impl Shared {
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    pub(crate) fn is_ready(&self) -> bool {
        !self.is_leaving() && self.is_current.load(Ordering::SeqCst) && self.view.load().is_some()
    }

    pub(crate) fn new_attempt_id(&self) -> u64 {
        self.next_attempt.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns a request ID that is unique in the cluster.
    pub(crate) fn new_request_id(&self) -> String {
        let serial = self.next_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:x}-{serial:x}", self.member.name, self.member.incarnation)
    }

    /// Returns the time since the platform last confirmed the revision in force.
    pub(crate) fn confirmation_age(&self) -> Duration {
        let confirmed = Duration::from_millis(self.confirmed_at_ms.load(Ordering::Relaxed));
        self.now().saturating_sub(confirmed)
    }

    pub(crate) fn record_confirmation(&self) {
        self.confirmed_at_ms.store(self.now().as_millis() as u64, Ordering::Relaxed);
        self.is_current.store(true, Ordering::SeqCst);
    }

    pub(crate) fn pool(&self, name: &str) -> Option<Arc<PoolState>> {
        self.pools.load().get(name).cloned()
    }
}

/// Counts a request as in flight until dropped.
pub(crate) struct InFlight {
    shared: Arc<Shared>,
}

impl InFlight {
    pub(crate) fn enter(shared: &Arc<Shared>) -> Self {
        shared.in_flight.fetch_add(1, Ordering::SeqCst);
        Self { shared: shared.clone() }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}
