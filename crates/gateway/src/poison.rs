//! Requests that crash targets: evidence that gateways gather together, and what they refuse because of it.
//!
//! Each gateway reports what it lost to a crash to the detectors of the pool, two gateways that are chosen by hashing. Each of
//! them finds what the crashes have in common, asks all gateways for answers that speak against it, and tells all of
//! them what to refuse. Gateways compare what they refuse with each poll, and keep it in the store.

pub(crate) mod evidence;
pub(crate) mod spread;
pub(crate) mod stored;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use marigold_core::ids::{Incarnation, Name, Uptime};
use marigold_core::poison::answers::AnswerLog;
use marigold_core::poison::detector::Detector;
use marigold_core::poison::quarantine::{Entry, Quarantines};
use marigold_core::poison::{self, Suspect};
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages::CrashReport;
use opentelemetry::KeyValue;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::dialect::Dialect;
use crate::shared::Shared;

/// Detector of a pool on this gateway.
#[derive(Default)]
struct PoolDetector {
    detector: Detector,
    /// Whether there is evidence that has not been searched.
    is_due: bool,
    is_detecting: bool,
    /// When the gateways were last asked for answers with all suspects.
    all_asked_at: Option<Uptime>,
}

/// A report of this gateway, and the detectors that have it, with the runs of their processes.
struct SentReport {
    report: CrashReport,
    at: Uptime,
    acknowledged: Vec<(Name, Incarnation)>,
}

/// Evidence and quarantines of a gateway.
#[derive(Default)]
pub(crate) struct Poison {
    /// Answers to requests with parts of prompts.
    answers: Mutex<AnswerLog>,
    /// Answers to whole requests, which would push out those with parts.
    request_answers: Mutex<AnswerLog>,
    reports: Mutex<Vec<SentReport>>,
    detectors: Mutex<HashMap<Name, PoolDetector>>,
    quarantines: Mutex<Quarantines>,
    /// Whether there are quarantines, so that requests do not take the lock without them.
    has_quarantines: AtomicBool,
    /// Notified when this gateway has changed a quarantine.
    changed: Notify,
    /// Whether the quarantines have been read from the store.
    is_restored: AtomicBool,
}

impl Poison {
    fn change<T>(&self, change: impl FnOnce(&mut Quarantines) -> T) -> T {
        let mut quarantines = self.quarantines.lock();
        let result = change(&mut quarantines);
        self.has_quarantines.store(!quarantines.is_empty(), Ordering::Relaxed);
        result
    }

    /// Returns whether the quarantines have been read from the store.
    pub(crate) fn is_restored(&self) -> bool {
        self.is_restored.load(Ordering::Relaxed)
    }

    /// Returns the quarantine of a request with `suspects`, in ascending order.
    pub(crate) fn find(&self, pool: &str, suspects: &[Suspect], now: Uptime) -> Option<Entry> {
        if suspects.is_empty() || !self.has_quarantines.load(Ordering::Relaxed) {
            return None;
        }
        self.quarantines.lock().find(pool, suspects, now).cloned()
    }

    /// Returns whether a request with `suspects` may find out if a quarantine is still needed.
    pub(crate) fn can_probe(&self, entry: &Entry, suspects: &[Suspect], now: Uptime) -> bool {
        self.quarantines.lock().can_probe(&entry.key, suspects, now)
    }

    /// Returns a hash of the quarantines, zero without any.
    pub(crate) fn digest(&self) -> u64 {
        if !self.has_quarantines.load(Ordering::Relaxed) {
            return 0;
        }
        self.quarantines.lock().digest()
    }

    /// Returns the number of quarantines in force by pool, and of the pools whose last one has ended recently.
    pub(crate) fn count_by_pool(&self) -> HashMap<Name, u64> {
        let mut counts = HashMap::new();
        for entry in self.quarantines.lock().all() {
            *counts.entry(entry.key.0.clone()).or_default() += u64::from(!entry.is_released);
        }
        counts
    }
}

/// Records that a target of a pool began an answer to a request, and ends the quarantines that would refuse it.
pub(crate) fn on_answer<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    pool: &str,
    version: &str,
    customer: Option<&str>,
    suspects: &[Suspect],
) {
    if suspects.is_empty() {
        return;
    }
    let (poison, now) = (&shared.poison, boottime::now());
    let parts_end = suspects.partition_point(|suspect| poison::is_part(suspect));
    let (parts, requests) = suspects.split_at(parts_end);
    if !parts.is_empty() {
        poison.answers.lock().record(pool, version, customer, parts, now);
    }
    poison.request_answers.lock().record(pool, version, customer, requests, now);
    if !poison.has_quarantines.load(Ordering::Relaxed) {
        return;
    }
    let released = poison.change(|all| all.release(pool, suspects, version, now));
    for entry in released {
        tracing::info!(
            pool,
            suspects = text(&entry),
            probes = entry.probes,
            software = version,
            "quarantine ended by an answer"
        );
        spread::announce(shared, &entry);
    }
}

/// Records that a request was refused.
pub(crate) fn on_refusal<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, entry: &Entry) {
    let labels = [KeyValue::new("pool", entry.key.0.clone())];
    shared.metrics.quarantine_refusals.add(1, &labels);
    if let Some(renewed) =
        shared.poison.change(|quarantines| quarantines.renew(&entry.key, boottime::now()))
    {
        spread::send(shared, &renewed);
    }
}

/// Drops what has expired and continues what was not finished; called with each round of polls.
pub(crate) fn maintain<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>) {
    let now = boottime::now();
    if shared.poison.has_quarantines.load(Ordering::Relaxed) {
        for entry in shared.poison.change(|quarantines| quarantines.remove_expired(now)) {
            let (pool, suspects) = (&entry.key.0, text(&entry));
            tracing::info!(pool, suspects, "quarantine ended; nobody has asked for it");
        }
    }
    evidence::resend(shared, now);
    evidence::detect_due(shared);
}

/// Returns the suspects of a quarantine as text.
pub(crate) fn text(entry: &Entry) -> String {
    entry.key.1.iter().map(String::as_str).collect::<Vec<_>>().join(", ")
}
