//! Targets that crashed, and the requests that were lost with them.
//!
//! A connection that breaks does not prove a crash: the path to the target may have failed. The target has crashed if its
//! address refuses connections afterwards, or if another start of it is listed there.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use marigold_core::ids::{Name, Uptime};
use marigold_core::poison::Suspect;
use marigold_objects::Store;
use marigold_process::boottime;
use opentelemetry::KeyValue;
use parking_lot::Mutex;
use tokio::time;

use crate::dialect::Dialect;
use crate::poison::evidence;
use crate::shared::Shared;
use crate::targets::TrackedTarget;
use crate::upstream;

/// Time after the first broken connection in which the others of the same crash break.
const GATHERING_TIME: Duration = Duration::from_millis(100);
/// Time within which a target that was restarted at once lists its new start; several heartbeats.
const RESTART_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which the list is searched for a new start.
const RESTART_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of suspects in a field of the log.
const MAX_LOGGED_SUSPECTS: usize = 16;

/// One start of a target.
type TargetStart = (Name, u64);

/// A request that a target did not answer before its connection broke.
#[derive(Clone, Debug)]
pub(crate) struct LostRun {
    /// What may have crashed the target, if this request did.
    pub(crate) suspects: Arc<[Suspect]>,
    /// Whether the head of the reply has arrived.
    pub(crate) has_begun: bool,
    /// When it was sent to the target.
    pub(crate) sent_at: Uptime,
}

/// A target that has crashed.
#[derive(Clone, Debug)]
pub(crate) struct Crash {
    pub(crate) tracked: Arc<TrackedTarget>,
    /// When the first connection broke.
    pub(crate) at: Uptime,
    /// Requests of this gateway without an answer.
    pub(crate) lost: Vec<LostRun>,
}

/// Broken connections of targets that may have crashed.
#[derive(Default)]
pub(crate) struct Crashes {
    pending: Mutex<HashMap<TargetStart, Vec<LostRun>>>,
}

/// Records a broken connection to a target, with the request that has no answer, if there is one. Finds out whether the
/// target has crashed, unless it was about to leave.
pub(crate) fn on_break<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    tracked: &Arc<TrackedTarget>,
    lost: Option<LostRun>,
) {
    let start = (tracked.target.id.clone(), tracked.target.started_at_ms);
    if !shared.targets.has_start(&start.0, start.1) {
        return;
    }
    let mut pending = shared.crashes.pending.lock();
    let is_first = !pending.contains_key(&start);
    pending.entry(start.clone()).or_default().extend(lost);
    drop(pending);
    if is_first {
        tokio::spawn(check(shared.clone(), tracked.clone(), start));
    }
}

async fn check<D: Dialect, S: Store>(
    shared: Arc<Shared<D, S>>,
    tracked: Arc<TrackedTarget>,
    start: TargetStart,
) {
    let at = boottime::now();
    time::sleep(GATHERING_TIME).await;
    let is_crash = has_ended(&shared, &tracked).await;
    let lost = shared.crashes.pending.lock().remove(&start).unwrap_or_default();
    if is_crash {
        let crash = Crash { tracked, at, lost };
        record(&shared, &crash);
        evidence::report(&shared, &crash);
    }
}

async fn has_ended<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    tracked: &Arc<TrackedTarget>,
) -> bool {
    if upstream::is_refused(tracked.target.addr).await {
        return true;
    }
    let checks = RESTART_TIMEOUT.div_duration_f64(RESTART_CHECK_INTERVAL) as u32;
    for _ in 0..checks {
        if shared.targets.is_replaced(&tracked.target) {
            return true;
        }
        time::sleep(RESTART_CHECK_INTERVAL).await;
    }
    false
}

fn record<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, crash: &Crash) {
    let target = &crash.tracked.target;
    let suspects = |has_begun: bool| {
        let lost = crash.lost.iter().filter(|run| run.has_begun == has_begun);
        let names: BTreeSet<&str> =
            lost.flat_map(|run| run.suspects.iter().map(String::as_str)).collect();
        Vec::from_iter(names.into_iter().take(MAX_LOGGED_SUSPECTS)).join(", ")
    };
    tracing::warn!(
        target = target.id,
        pool = target.pool,
        software = target.version,
        lost = crash.lost.len(),
        begun = suspects(true),
        waiting = suspects(false),
        detected_after_ms = boottime::now().saturating_sub(crash.at).as_millis() as u64,
        "target crashed"
    );
    let labels = [KeyValue::new("pool", target.pool.clone())];
    shared.metrics.target_crashes.add(1, &labels);
}
