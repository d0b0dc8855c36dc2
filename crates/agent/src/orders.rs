//! Task that keeps the declared model loaded in an engine. A new model is loaded in waves, each by a quarter of the
//! pool.
//!
//! The fencing token of an order is the revision of the configuration, which the platform assigns. An engine that
//! checks it refuses an old order of an agent that was replaced. An engine that does not check may execute the
//! old order; the loaded model is then read back and the declared one ordered again.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marigold_schema::messages::PoolSlice;

use crate::state::Shared;
use crate::target::{OrderOutcome, Target as _};

/// Interval at which the loaded model is read.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Number of parts of the pool that load one after the other.
const WAVES: usize = 4;
/// Longest wait for calls in progress before a load.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Added to the declared loading time to get the timeout of an order.
const ORDER_MARGIN: Duration = Duration::from_secs(10);

pub(crate) async fn run(shared: Arc<Shared>) {
    let mut wanted_since: Option<(String, Duration)> = None;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let Some(slice) = shared.slice.load_full().filter(|slice| slice.engine) else { continue };
        let Some(model) = slice.model.clone().filter(|_| !shared.is_leaving()) else { continue };
        let Some(loaded) = shared.target.model().await else { continue };
        if loaded == model {
            wanted_since = None;
            continue;
        }
        let since = match &wanted_since {
            Some((wanted, since)) if *wanted == model => *since,
            _ => shared.now(),
        };
        wanted_since = Some((model.clone(), since));
        // An engine without a model serves no calls, so it loads immediately.
        if !loaded.is_empty() && shared.now() < since + wave_delay(&shared, &slice) {
            continue;
        }
        load(&shared, &slice, &model).await;
    }
}

/// Returns the delay before this target's part of the pool may load.
fn wave_delay(shared: &Shared, slice: &PoolSlice) -> Duration {
    let rank = slice.targets.iter().position(|name| *name == shared.settings.target).unwrap_or(0);
    let load_time = Duration::from_secs(u64::from(slice.load_s)) + POLL_INTERVAL;
    load_time * (rank % WAVES) as u32
}

async fn load(shared: &Shared, slice: &PoolSlice, model: &str) {
    shared.loading.store(true, Ordering::SeqCst);
    let started = shared.now();
    while shared.in_flight() > 0 && shared.now() < started + DRAIN_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let timeout = Duration::from_secs(u64::from(slice.load_s)) + ORDER_MARGIN;
    match shared.target.load_model(model, slice.revision, timeout).await {
        OrderOutcome::Done => tracing::info!(model, fencing = slice.revision, "model loaded"),
        OrderOutcome::Fenced => {
            tracing::warn!(
                model,
                fencing = slice.revision,
                "order to load refused; the engine has received a later one"
            )
        }
        OrderOutcome::Unknown(reason) => {
            tracing::warn!(
                model,
                reason,
                "order to load not confirmed; reading the loaded model back"
            )
        }
    }
    shared.loading.store(false, Ordering::SeqCst);
}
