//! State shared by all tasks of a gateway.

use std::collections::{BTreeMap, HashMap};
use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use marigold_core::freshness::{Confidence, Freshness};
use marigold_core::ids::{Name, SoftwareVersion, Uptime};
use marigold_core::retry::{WindowBudget, WindowLimit};
use marigold_core::routes::{Repeat, Route, Routing};
use marigold_core::store_service::{self, StoreService};
use marigold_core::targets::Target;
use marigold_objects::RecentChanges;
use marigold_process::boottime;
use marigold_schema::messages::{self, GatewayEntry, GatewayFacts, TargetInFlight};
use opentelemetry::KeyValue;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::batcher::Batcher;
use crate::connections::Connections;
use crate::crashes::Crashes;
use crate::dialect::Dialect;
use crate::evacuations::Evacuations;
use crate::hedging::Hedging;
use crate::in_progress::InProgress;
use crate::learned_durations::LearnedDurations;
use crate::limits::Limits;
use crate::load_reports::{self, SharedLoad};
use crate::members::Members;
use crate::memory::Memory;
use crate::metrics::Metrics;
use crate::odd_objects::OddObjects;
use crate::origins::Origins;
use crate::origins::versions::Versions;
use crate::poison::{self, Poison};
use crate::reply_memory::ReplyMemory;
use crate::settings::Settings;
use crate::stage_connections::StageConnections;
use crate::stage_runner::ReleaseQueue;
use crate::stop::StopSignal;
use crate::target_relay;
use crate::targets::{self, TargetTable};

/// Number of parts of a configuration that cannot be used which are logged; the metric counts all.
const MAX_LOGGED_DEFECTS: usize = 32;
/// Memory for all replies of targets that are being read, in bytes.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
/// Memory for the incomplete events of all streams, beside a small part of each, in bytes.
const MAX_INCOMPLETE_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// What became of a configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Adoption {
    InForce,
    /// The one in force is as new, or newer.
    NotNewer,
    /// It cannot be read, so that nothing is known of its version.
    Invalid,
}

/// The configuration in force.
pub(crate) struct AdoptedConfig {
    /// Text of the object in the store, for peers that cannot reach the store.
    pub(crate) text: String,
    pub(crate) routing: Routing,
}

/// How often the store was restored from an older copy.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct StoreEra {
    /// `None` before the first answer.
    pub(crate) era: Option<u64>,
    /// When this gateway learned of the last restore.
    pub(crate) restored_at: Option<Uptime>,
}

/// State of one gateway.
pub(crate) struct Shared<D, S> {
    settings: ArcSwap<Settings>,
    pub(crate) incarnation: u64,
    started: Uptime,
    pub(crate) store: S,
    pub(crate) adopted: ArcSwapOption<AdoptedConfig>,
    pub(crate) freshness: Mutex<Freshness>,
    pub(crate) targets: TargetTable,
    /// Changes of the list of targets, for other gateways.
    pub(crate) target_changes: Mutex<RecentChanges<Target>>,
    pub(crate) evacuations: Evacuations,
    pub(crate) limits: Limits,
    pub(crate) load: SharedLoad,
    pub(crate) hedging: Hedging,
    pub(crate) crashes: Crashes,
    pub(crate) poison: Poison,
    pub(crate) members: Members,
    pub(crate) memory: Memory,
    /// Connections of callers.
    pub(crate) connections: Connections,
    pub(crate) origins: Origins,
    pub(crate) versions: Versions,
    pub(crate) batcher: Batcher,
    pub(crate) stage_connections: StageConnections,
    pub(crate) release_queue: ReleaseQueue,
    pub(crate) durations: LearnedDurations,
    pub(crate) metrics: Metrics,
    pub(crate) odd_objects: OddObjects,
    pub(crate) stop: StopSignal,
    /// Whether the list of targets has been read.
    pub(crate) has_targets: watch::Sender<bool>,
    /// When the store last answered a watch, by kind of objects.
    pub(crate) store_answers: Mutex<BTreeMap<&'static str, Uptime>>,
    pub(crate) store_service: Mutex<StoreService>,
    /// Era of the store.
    pub(crate) store_era: watch::Sender<StoreEra>,
    /// Notified when another gateway has told what it knows of the store's service.
    pub(crate) store_service_merged: Notify,
    /// Notified at each answer of the store to a watch.
    pub(crate) store_answered: Notify,
    /// Whether the configuration in the store cannot be read, so that it may be newer than the one in force.
    pub(crate) is_stored_config_unread: AtomicBool,
    /// Whether the store answered the last call for the configuration.
    pub(crate) is_store_reachable: AtomicBool,
    /// Whether the store was restored from an older copy since the list of targets was read.
    pub(crate) has_unread_restore: AtomicBool,
    is_reading_config: AtomicBool,
    /// Whether changes of the targets are being read from a peer.
    is_reading_targets: AtomicBool,
    /// When resumable routes were last moved to other pools, by name of the route.
    routes_moved: Mutex<HashMap<Name, Uptime>>,
    /// Pools from which routes were moved since they were last taken.
    left_pools: Mutex<Vec<Name>>,
    /// Since when a peer has had a newer configuration.
    pub(crate) newer_config_since: Mutex<Option<Uptime>>,
    budgets: Mutex<HashMap<Name, WindowBudget>>,
    /// Versions of targets that the metrics have, with the last counts.
    reported_versions: Mutex<BTreeMap<(Name, SoftwareVersion), u64>>,
    /// Memory for the replies of targets that are being read.
    pub(crate) replies: ReplyMemory,
    /// Memory for the incomplete events of all streams.
    pub(crate) incomplete_events: ReplyMemory,
    /// Requests of callers in progress.
    pub(crate) in_progress: InProgress,
    dialect: PhantomData<D>,
}

impl<D: Dialect, S> Shared<D, S> {
    pub(crate) fn new(settings: Settings, store: S, members: Members, metrics: Metrics) -> Self {
        let memory = Memory::new(settings.memory_mb, metrics.memory_refusals.clone());
        Self {
            settings: ArcSwap::from_pointee(settings),
            incarnation: marigold_process::uptime::wall_clock_ms(),
            started: boottime::now(),
            store,
            adopted: ArcSwapOption::empty(),
            freshness: Mutex::default(),
            targets: TargetTable::default(),
            target_changes: Mutex::default(),
            evacuations: Evacuations::default(),
            limits: Limits::default(),
            load: SharedLoad::default(),
            hedging: Hedging::default(),
            crashes: Crashes::default(),
            poison: Poison::default(),
            members,
            memory,
            connections: Connections::default(),
            origins: Origins::default(),
            versions: Versions::default(),
            batcher: Batcher::default(),
            stage_connections: StageConnections::default(),
            release_queue: ReleaseQueue::default(),
            durations: LearnedDurations::default(),
            metrics,
            odd_objects: OddObjects::default(),
            stop: StopSignal::default(),
            has_targets: watch::Sender::new(false),
            store_answers: Mutex::default(),
            store_service: Mutex::default(),
            store_era: watch::Sender::default(),
            store_service_merged: Notify::new(),
            store_answered: Notify::new(),
            is_stored_config_unread: AtomicBool::new(false),
            is_store_reachable: AtomicBool::new(false),
            has_unread_restore: AtomicBool::new(false),
            is_reading_config: AtomicBool::new(false),
            is_reading_targets: AtomicBool::new(false),
            routes_moved: Mutex::default(),
            left_pools: Mutex::default(),
            newer_config_since: Mutex::default(),
            budgets: Mutex::default(),
            reported_versions: Mutex::default(),
            replies: ReplyMemory::new(MAX_REPLY_BYTES),
            incomplete_events: ReplyMemory::new(MAX_INCOMPLETE_EVENT_BYTES),
            in_progress: InProgress::default(),
            dialect: PhantomData,
        }
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Arc<Settings> {
        self.settings.load_full()
    }

    /// Replaces the settings in force.
    pub(crate) fn set_settings(&self, settings: Settings) {
        self.memory.set_megabytes(settings.memory_mb);
        self.settings.store(Arc::new(settings));
    }

    /// Returns the version of the configuration in force, zero before the first one.
    ///
    /// The operator raises it with each configuration, while the revisions of a store that was restored from an older copy
    /// go back.
    pub(crate) fn config_version(&self) -> u64 {
        self.adopted.load().as_ref().map_or(0, |adopted| adopted.routing.version)
    }

    /// Puts a configuration in force if it is valid and newer than the current one. Parts of it that cannot be used are left
    /// out.
    pub(crate) fn adopt(&self, text: &str, source: &str) -> Adoption {
        let in_force = self.config_version();
        match D::parse_routing(text) {
            Ok(routing) if routing.version <= in_force => Adoption::NotNewer,
            Ok(routing) => {
                tracing::info!(
                    version = routing.version,
                    in_force,
                    source,
                    "configuration put in force"
                );
                for defect in routing.defects.iter().take(MAX_LOGGED_DEFECTS) {
                    tracing::error!(
                        version = routing.version,
                        defect,
                        "part of the configuration cannot be used"
                    );
                }
                self.metrics.config_defects.record(routing.defects.len() as u64, &[]);
                *self.newer_config_since.lock() = None;
                self.metrics.config_version.record(routing.version, &[]);
                self.durations.retain(&routing);
                self.hedging.retain(&routing);
                self.record_moved_routes(&routing);
                self.limits.set_cold_rates(&routing);
                self.adopted
                    .store(Some(Arc::new(AdoptedConfig { text: text.to_owned(), routing })));
                self.members.set_pools(self.pools_with_stages());
                Adoption::InForce
            }
            Err(err) => {
                tracing::error!(in_force, source, %err, "invalid configuration; keeping the one in force");
                Adoption::Invalid
            }
        }
    }

    fn record_moved_routes(&self, routing: &Routing) {
        let Some(before) = self.adopted.load_full() else { return };
        let now = boottime::now();
        let before: HashMap<&Name, &Arc<Route>> =
            before.routing.routes().map(|route| (&route.name, route)).collect();
        let mut moved = self.routes_moved.lock();
        for route in routing.routes().filter(|route| route.repeat == Repeat::Resumable) {
            let earlier = before.get(&route.name);
            if let Some(earlier) = earlier.filter(|earlier| earlier.pools != route.pools) {
                moved.insert(route.name.clone(), now);
                let pools = earlier.pools.iter().map(|(pool, _)| pool.clone());
                self.left_pools.lock().extend(pools);
            }
        }
    }

    /// Returns whether a route was moved to other pools after a time.
    pub(crate) fn was_moved_after(&self, route: &str, at: Uptime) -> bool {
        self.routes_moved.lock().get(route).is_some_and(|moved| *moved > at)
    }

    /// Takes the pools from which routes were moved since the last call.
    pub(crate) fn take_left_pools(&self) -> Vec<Name> {
        std::mem::take(&mut *self.left_pools.lock())
    }

    /// Returns the pools that run stages in the configuration in force.
    pub(crate) fn pools_with_stages(&self) -> Vec<Name> {
        let adopted = self.adopted.load();
        let pools = adopted.iter().flat_map(|adopted| adopted.routing.pools.values());
        pools.filter(|pool| pool.stage.is_some()).map(|pool| pool.name.clone()).collect()
    }

    /// Returns the decisions that the age of the configuration permits.
    pub(crate) fn confidence(&self, now: Uptime) -> Confidence {
        let settings = self.settings();
        let (change_bound, revocation_bound) = (settings.change_bound, settings.revocation_bound);
        self.freshness.lock().confidence(now, change_bound, revocation_bound)
    }

    /// Records an answer of the store to a watch on objects of a kind; returns the age of the answer before.
    pub(crate) fn record_store_answer(&self, kind: &'static str, now: Uptime) -> Option<Duration> {
        let before = self.store_answers.lock().insert(kind, now);
        self.store_service.lock().record_answer(now, self.min_outage());
        self.store_answered.notify_waiters();
        before.map(|at| now.saturating_sub(at))
    }

    /// Records that the store had told another gateway at `at` what this one knows of the targets.
    pub(crate) fn record_relayed_targets(&self, at: Uptime) {
        let mut answers = self.store_answers.lock();
        let last = answers.entry(D::TARGET_KIND).or_insert(at);
        *last = at.max(*last);
    }

    /// Software versions may have come and gone unseen before a list that is adopted when the one before, `recent`, is old.
    pub(crate) fn check_targets_gap(&self, recent: &RecentChanges<Target>, now: Uptime) {
        if recent.age(now).is_some_and(|age| age > targets::MAX_LIST_AGE) {
            self.on_targets_gap(now);
        }
    }

    fn on_targets_gap(&self, now: Uptime) {
        self.targets.on_gap(now);
        self.versions.on_gap();
    }

    /// Returns whether the list of targets is recent enough to tell the software versions of targets. Its age counts from
    /// the question that it answers: an answer lies in the socket while the process stands still.
    pub(crate) fn has_current_targets(&self, now: Uptime) -> bool {
        let age = self.target_changes.lock().age(now);
        age.is_some_and(|age| age <= targets::MAX_LIST_AGE)
    }

    /// Records the era of the store from an answer. It falls when the store does not tell it any more, or is another one.
    pub(crate) fn record_store_era(&self, era: u64) {
        let before = *self.store_era.borrow();
        if before.era == Some(era) {
            return;
        }
        self.metrics.store_era.record(era, &[]);
        let era = StoreEra { era: Some(era), ..before };
        let Some(era_before) = before.era else {
            // The other watches need not read again.
            self.store_era.send_if_modified(|current| {
                *current = era;
                false
            });
            return;
        };
        let now = boottime::now();
        if era.era > before.era {
            tracing::warn!(
                era = era.era,
                before = era_before,
                "store was restored from an older copy"
            );
        } else {
            tracing::warn!(era = era.era, before = era_before, "era of the store fell");
        }
        self.on_targets_gap(now);
        self.has_unread_restore.store(true, Ordering::Relaxed);
        self.store_era.send_replace(StoreEra { restored_at: Some(now), ..era });
    }

    /// Returns the period in which the store has answered, as far as this gateway knows.
    pub(crate) fn store_service(&self) -> Option<messages::StoreService> {
        let now = boottime::now();
        let age_ms = |at: Uptime| now.saturating_sub(at).as_millis() as u64;
        let period = self.store_service.lock().newest()?;
        let (since_age_ms, until_age_ms) = (age_ms(period.since), age_ms(period.until));
        Some(messages::StoreService { since_age_ms, until_age_ms })
    }

    /// Returns the time for which missing targets are kept, as far as this gateway knows when the store recovered.
    pub(crate) fn remaining_grace_period(&self, now: Uptime) -> Duration {
        let ends_at = self.store_recovered_at().map(|at| at + self.grace_period());
        ends_at.unwrap_or_default().saturating_sub(now)
    }

    /// Returns when the store last recovered from an outage, or was restored from an older copy, as far as known.
    pub(crate) fn store_recovered_at(&self) -> Option<Uptime> {
        let period = self.store_service.lock().newest();
        period.map(|period| period.since).max(self.store_era.borrow().restored_at)
    }

    /// Returns the time after the store's recovery in which expired entries of live targets reappear.
    pub(crate) fn grace_period(&self) -> Duration {
        self.settings().lapse
    }

    /// Returns the time after a restore of the store within which targets write themselves again, and the entries of those
    /// that are gone expire.
    pub(crate) fn restore_hold(&self) -> Duration {
        store_service::expiry(self.settings().target_heartbeat) + self.grace_period()
    }

    /// Returns the shortest outage of the store in which the entries of live targets can expire.
    pub(crate) fn min_outage(&self) -> Duration {
        store_service::min_outage(self.settings().target_heartbeat)
    }

    /// Returns this gateway's entry in the membership.
    pub(crate) fn entry(&self) -> GatewayEntry {
        let settings = self.settings();
        GatewayEntry {
            incarnation: self.incarnation,
            address: settings.link_address.clone(),
            weight: settings.weight,
            settled: self.members.is_settled(),
        }
    }

    /// Returns the state that this gateway reports to others.
    pub(crate) fn facts(&self) -> GatewayFacts {
        let now = boottime::now();
        let age = self.freshness.lock().age(now);
        GatewayFacts {
            name: self.settings().name.clone(),
            entry: self.entry(),
            config_version: self.config_version(),
            proof_age_ms: age.map(|age| age.as_millis() as u64),
            leaving: self.is_stopping(),
            limits: self.limits.changed(now),
            quarantines: self.poison.digest(),
            targets: target_relay::state(&self.target_changes.lock(), now),
            evacuations: self.evacuations.message(now),
            store_service: self.store_service(),
            in_flight: Vec::new(),
            total_in_flight: Vec::new(),
        }
    }

    /// Returns the requests that this gateway has in flight, if loads are exchanged in a fleet of this size.
    pub(crate) fn own_in_flight(&self) -> Vec<TargetInFlight> {
        if !marigold_core::load_reports::is_due(self.members.alive_count(), &mut rand::rng()) {
            return Vec::new();
        }
        load_reports::to_message(self.targets.own_in_flight())
    }

    /// Returns the requests that all gateways have in flight, if this one is polled by many.
    pub(crate) fn total_in_flight(&self) -> Vec<TargetInFlight> {
        if !self.members.is_watcher() {
            return Vec::new();
        }
        let own = load_reports::to_message(self.targets.own_in_flight());
        self.load.totals(own, self.members.alive_count(), boottime::now())
    }

    /// Applies the sums that another gateway sent; an empty list says nothing.
    pub(crate) fn merge_total_in_flight(&self, totals: Vec<TargetInFlight>) {
        if totals.is_empty() || totals.len() > marigold_core::load_reports::MAX_REPORTED {
            return;
        }
        self.load.on_totals(boottime::now());
        self.targets.report_loads(&load_reports::parse(totals));
    }

    /// Returns whether the process was asked to stop.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stop.has_begun()
    }

    /// Returns whether this gateway knows the targets and the pools that they are in.
    pub(crate) fn knows_pools(&self) -> bool {
        *self.has_targets.borrow() && self.adopted.load().is_some()
    }

    /// Returns whether this gateway accepts callers.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping()
            && self.knows_pools()
            && self.knows_quarantines()
            && self.knows_evacuations()
            && self.confidence(boottime::now()).can_accept_keys
    }

    /// Returns whether it is known what the gateways refused before this one started, or that took too long.
    pub(crate) fn knows_quarantines(&self) -> bool {
        self.poison.is_restored()
            || boottime::now() >= self.started + poison::stored::RESTORE_TIMEOUT
    }

    /// Returns whether the evacuated data centres are known, or it took too long to learn them.
    pub(crate) fn knows_evacuations(&self) -> bool {
        let now = boottime::now();
        let Some(bound) = self.settings().evacuation_bound else { return true };
        let is_overdue = now >= self.started + bound;
        self.evacuations.age(now).is_some() || is_overdue
    }

    /// Marks the start of reading the configuration from a peer; returns false if another read is running.
    pub(crate) fn start_config_read(&self) -> bool {
        !self.is_reading_config.swap(true, Ordering::Relaxed)
    }

    pub(crate) fn end_config_read(&self) {
        self.is_reading_config.store(false, Ordering::Relaxed);
    }

    /// Marks the start of reading changes of the targets from a peer; returns false if another read is running.
    pub(crate) fn start_targets_read(&self) -> bool {
        !self.is_reading_targets.swap(true, Ordering::Relaxed)
    }

    pub(crate) fn end_targets_read(&self) {
        self.is_reading_targets.store(false, Ordering::Relaxed);
    }

    fn retry_limit(&self, now: Uptime) -> WindowLimit {
        let settings = self.settings();
        let limit = WindowLimit {
            ratio: settings.retry_ratio,
            reserve: settings.retry_reserve,
            window: settings.retry_window,
        };
        if now < self.started + limit.window { limit.after_restart() } else { limit }
    }

    /// Counts a request for a pool in its retry budget.
    pub(crate) fn count_request(&self, pool: &str) {
        let now = boottime::now();
        let limit = self.retry_limit(now);
        let mut budgets = self.budgets.lock();
        budgets.entry(pool.to_owned()).or_default().on_request(now, &limit);
    }

    /// Counts a request in the budget of hedged requests if it may be repeated.
    pub(crate) fn count_repeatable(&self, repeat: Repeat) {
        let settings = self.settings();
        if settings.hedge_ratio > 0.0 && repeat != Repeat::Never {
            let (ratio, window) = (settings.hedge_ratio, settings.retry_window);
            self.hedging.on_request(boottime::now(), ratio, window);
        }
    }

    /// Withdraws one retry from a pool's budget; returns false when it is exhausted.
    pub(crate) fn withdraw_retry(&self, pool: &str) -> bool {
        let now = boottime::now();
        let limit = self.retry_limit(now);
        let gateways = self.members.serving_count(now);
        let mut budgets = self.budgets.lock();
        budgets.entry(pool.to_owned()).or_default().withdraw(now, &limit, gateways)
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn metrics_text(&self) -> String {
        let now = boottime::now();
        for (kind, at) in self.store_answers.lock().iter() {
            let age = now.saturating_sub(*at).as_secs_f64();
            self.metrics.store_answer_age.record(age, &[KeyValue::new("kind", *kind)]);
        }
        let (held, budget) = self.memory.usage();
        self.metrics.memory_held.record(held as u64, &[]);
        self.metrics.memory_budget.record(budget as u64, &[]);
        self.metrics.caller_connections.record(self.connections.len() as u64, &[]);
        self.metrics.stream_origins.record(self.origins.len() as u64, &[]);
        if let Some(age) = self.load.age(now) {
            self.metrics.load_age.record(age.as_secs_f64(), &[]);
        }
        // Versions that no target has any more are reported as zero.
        let mut versions = self.reported_versions.lock();
        versions.values_mut().for_each(|count| *count = 0);
        versions.extend(self.targets.count_by_version());
        for ((pool, version), count) in versions.iter() {
            let labels =
                [KeyValue::new("pool", pool.clone()), KeyValue::new("version", version.clone())];
            self.metrics.target_versions.record(*count, &labels);
        }
        versions.retain(|_, count| *count > 0);
        for (pool, count) in self.poison.count_by_pool() {
            self.metrics.quarantines.record(count, &[KeyValue::new("pool", pool)]);
        }
        for (pool, limits) in self.limits.summary(now) {
            let labels = [KeyValue::new("pool", pool)];
            self.metrics.limited_targets.record(limits.targets, &labels);
            self.metrics.cold_targets.record(limits.cold_targets, &labels);
            self.metrics.target_limits.record(limits.per_s, &labels);
            self.metrics.limit_age.record(limits.oldest_notice_s, &labels);
        }
        self.metrics.text()
    }
}
