//! State of an agent that its tasks share.

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

use crate::feed::Feed;
use crate::target::HttpTarget;

/// Heartbeats that an entry may miss before it counts as dead.
const ENTRY_TIMEOUT_BEATS: u32 = 3;
/// Time after which a silent entry is forgotten.
const FORGET_ENTRY: Duration = Duration::from_secs(60);
/// Entries on a roll at the most; others pass keyed calls to one of these.
const MAX_ROLL: usize = 8;
/// Shortest time between the heartbeats of one entry.
const MIN_HEARTBEAT: Duration = Duration::from_millis(1000);
/// Time between any two heartbeats that the agent answers, on average.
const HEARTBEAT_SPACING: Duration = Duration::from_millis(12);

/// Time between the heartbeats of one entry when so many send them.
pub(crate) fn heartbeat_interval(entries: usize) -> Duration {
    (HEARTBEAT_SPACING * entries as u32).max(MIN_HEARTBEAT)
}

/// Tables that change together.
#[derive(Default)]
pub(crate) struct Tables {
    pub(crate) attempts: Attempts,
    pub(crate) ledger: Ledger,
    pub(crate) holdings: BTreeMap<Shard, Licence>,
    /// Entries that sent a heartbeat, and when the last one came.
    pub(crate) entries: BTreeMap<Member, Duration>,
    /// Running attempts and finished ones that may be asked for.
    pub(crate) feeds: HashMap<AttemptKey, Arc<Feed>>,
    /// Feeds of running keys.
    pub(crate) key_feeds: HashMap<KeyDigest, Arc<Feed>>,
    /// Shards whose home cannot be reached, as entries say.
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
    /// Whether the target loads a model and takes no calls.
    pub(crate) loading: AtomicBool,
    pub(crate) queued: AtomicU32,
    /// Wakes the licence task before its next tick.
    pub(crate) licence_work: Notify,
}

impl Shared {
    pub(crate) fn now(&self) -> Duration {
        self.clock.now()
    }

    pub(crate) fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Whether new calls are taken.
    pub(crate) fn takes_calls(&self) -> bool {
        !self.is_leaving() && !self.loading.load(Ordering::SeqCst)
    }

    pub(crate) fn in_flight(&self) -> usize {
        self.tables.lock().attempts.running()
    }

    /// Entries that are to be on the rolls: some of those whose heartbeats come.
    pub(crate) fn enrolled_entries(&self) -> BTreeSet<Member> {
        let now = self.now();
        let tables = self.tables.lock();
        let timeout = ENTRY_TIMEOUT_BEATS * heartbeat_interval(tables.entries.len());
        let live = tables.entries.iter().filter(|(_, seen)| now.saturating_sub(**seen) < timeout);
        let mut ranked: Vec<&Member> = live.map(|(member, _)| member).collect();
        let target = &self.settings.target;
        ranked.sort_by_cached_key(|member| {
            std::cmp::Reverse(rendezvous::score(target, &member.address))
        });
        ranked.into_iter().take(MAX_ROLL).cloned().collect()
    }

    /// Notes a heartbeat; a new incarnation of an entry replaces the old one.
    pub(crate) fn note_entry(&self, member: Member) {
        let now = self.now();
        let mut tables = self.tables.lock();
        let is_new = !tables.entries.contains_key(&member);
        if is_new {
            tables.entries.retain(|known, _| known.name != member.name);
            self.licence_work.notify_one();
        }
        tables.entries.insert(member, now);
        tables.entries.retain(|_, seen| now.saturating_sub(*seen) < FORGET_ENTRY);
    }

    /// Adopts a newer part of the configuration.
    pub(crate) fn adopt(&self, revision: Revision, slice: Option<PoolSlice>) {
        if let Some(slice) = slice
            && self.slice.load().as_ref().is_none_or(|known| known.revision < slice.revision)
        {
            tracing::info!(
                revision = slice.revision,
                preset = slice.preset,
                "configuration in force"
            );
            self.slice.store(Some(Arc::new(slice)));
            self.licence_work.notify_one();
        }
        self.revision.fetch_max(revision, Ordering::SeqCst);
    }
}
