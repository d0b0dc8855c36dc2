//! State shared by the tasks of an agent.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use marigold_core::attempts::{AttemptKey, Attempts};
use marigold_core::ids::{Incarnation, KeyDigest, Member, Revision, Shard};
use marigold_core::ledger::Ledger;
use marigold_core::licence::Licence;
use marigold_core::rendezvous;
use marigold_link::security::Security;
use marigold_platform::store::PlatformStore;
use marigold_process::uptime::Uptime;
use marigold_schema::messages::PoolSlice;
use marigold_schema::settings::AgentSettings;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::attempt_stream::AttemptStream;
use crate::target::HttpTarget;

/// Heartbeat intervals without a heartbeat after which an entry counts as dead.
const ENTRY_TIMEOUT_INTERVALS: u32 = 3;
/// Time for which an entry is kept after its last heartbeat.
const ENTRY_RETENTION: Duration = Duration::from_secs(60);
/// Largest number of entries enrolled in a licence; other entries forward calls with idempotency keys to one of
/// them.
const MAX_ENROLLED: usize = 8;
/// Shortest interval between the heartbeats of one entry.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);
/// Mean time between the heartbeats of all entries, which limits the rate at one agent.
const HEARTBEAT_SPACING: Duration = Duration::from_millis(12);

/// Returns the interval between the heartbeats of one entry, given the number of entries.
pub(crate) fn heartbeat_interval(entries: usize) -> Duration {
    (HEARTBEAT_SPACING * entries as u32).max(MIN_HEARTBEAT_INTERVAL)
}

/// Tables guarded by one lock.
#[derive(Default)]
pub(crate) struct Tables {
    pub(crate) attempts: Attempts,
    pub(crate) ledger: Ledger,
    pub(crate) licences: BTreeMap<Shard, Licence>,
    /// Entries, with the time of the last heartbeat of each.
    pub(crate) entries: BTreeMap<Member, Duration>,
    /// Streams of running attempts, and of finished ones that an entry may still read.
    pub(crate) streams: HashMap<AttemptKey, Arc<AttemptStream>>,
    /// Streams of running attempts by idempotency key.
    pub(crate) key_streams: HashMap<KeyDigest, Arc<AttemptStream>>,
    /// Shards whose holder cannot be reached, as reported by entries.
    pub(crate) hints: BTreeSet<Shard>,
}

pub(crate) struct Shared {
    pub(crate) settings: AgentSettings,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Uptime,
    pub(crate) store: PlatformStore,
    pub(crate) security: Arc<Security>,
    pub(crate) target: HttpTarget,
    pub(crate) tables: Mutex<Tables>,
    pub(crate) slice: ArcSwapOption<PoolSlice>,
    pub(crate) revision: std::sync::atomic::AtomicU64,
    pub(crate) leaving: AtomicBool,
    /// Whether the target is loading a model; new calls are refused meanwhile.
    pub(crate) loading: AtomicBool,
    /// Calls in progress and queued, as last reported by the target.
    pub(crate) queued: AtomicU32,
    /// Starts the next update of the licences without waiting for the interval.
    pub(crate) licence_wakeup: Notify,
}

impl Shared {
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns whether new calls are accepted.
    pub(crate) fn accepts_calls(&self) -> bool {
        !self.is_leaving() && !self.loading.load(Ordering::SeqCst)
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.tables.lock().attempts.running()
    }

    /// Returns the entries to enrol: the live ones with the highest rendezvous scores, up to `MAX_ENROLLED`.
    pub(crate) fn enrolled_entries(&self) -> BTreeSet<Member> {
        let now = self.now();
        let tables = self.tables.lock();
        let timeout = ENTRY_TIMEOUT_INTERVALS * heartbeat_interval(tables.entries.len());
        let live = tables.entries.iter().filter(|(_, seen)| now.saturating_sub(**seen) < timeout);
        let mut ranked: Vec<&Member> = live.map(|(member, _)| member).collect();
        let target = &self.settings.target;
        ranked.sort_by_cached_key(|member| {
            std::cmp::Reverse(rendezvous::score(target, &member.address))
        });
        ranked.into_iter().take(MAX_ENROLLED).cloned().collect()
    }

    /// Records a heartbeat; a new incarnation of an entry replaces the old one.
    pub(crate) fn record_heartbeat(&self, member: Member) {
        let now = self.now();
        let mut tables = self.tables.lock();
        let is_new = !tables.entries.contains_key(&member);
        if is_new {
            tables.entries.retain(|other, _| other.name != member.name);
            self.licence_wakeup.notify_one();
        }
        tables.entries.insert(member, now);
        tables.entries.retain(|_, seen| now.saturating_sub(*seen) < ENTRY_RETENTION);
    }

    /// Adopts the agent's part of the configuration if it is newer, and raises the revision that is reported
    /// to entries.
    pub(crate) fn adopt_slice(&self, revision: Revision, slice: Option<PoolSlice>) {
        if let Some(slice) = slice
            && self.slice.load().as_ref().is_none_or(|current| current.revision < slice.revision)
        {
            tracing::info!(
                revision = slice.revision,
                preset = slice.preset,
                "configuration in force"
            );
            self.slice.store(Some(Arc::new(slice)));
            self.licence_wakeup.notify_one();
        }
        self.revision.fetch_max(revision, Ordering::SeqCst);
    }
}
