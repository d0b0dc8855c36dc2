//! Orders to the engine: keeps the declared model loaded, a quarter of the pool at a time.
//!
//! The fencing number is the revision of the configuration, which the platform made: an agent that was replaced, and
//! still sends an old order, is refused by an engine that checks. One that does not check may carry it out; the model
//! is read back and ordered again.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marigold_schema::messages::PoolSlice;

use crate::state::Shared;
use crate::target::{OrderEnd, Target as _};

/// Time between two looks at the loaded model.
const TICK: Duration = Duration::from_millis(500);
/// Parts of the pool that load one after the other.
const WAVES: usize = 4;
/// Longest wait for calls in flight before a load.
const DRAIN_BOUND: Duration = Duration::from_secs(30);
/// Added to the declared loading time before an order is given up.
const ORDER_SLACK: Duration = Duration::from_secs(10);

pub(crate) async fn run(shared: Arc<Shared>) {
    let mut wanted_since: Option<(String, Duration)> = None;
    loop {
        tokio::time::sleep(TICK).await;
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
        // An engine without a model serves nothing yet, so it loads at once.
        if !loaded.is_empty() && shared.now() < since + wave_delay(&shared, &slice) {
            continue;
        }
        load(&shared, &slice, &model).await;
    }
}

/// Time until this target's part of the pool may load.
fn wave_delay(shared: &Shared, slice: &PoolSlice) -> Duration {
    let rank = slice.targets.iter().position(|name| *name == shared.settings.target).unwrap_or(0);
    let load = Duration::from_secs(u64::from(slice.load_s)) + TICK;
    load * (rank % WAVES) as u32
}

async fn load(shared: &Shared, slice: &PoolSlice, model: &str) {
    shared.loading.store(true, Ordering::SeqCst);
    let started = shared.now();
    while shared.in_flight() > 0 && shared.now() < started + DRAIN_BOUND {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let bound = Duration::from_secs(u64::from(slice.load_s)) + ORDER_SLACK;
    match shared.target.load_model(model, slice.revision, bound).await {
        OrderEnd::Done => tracing::info!(model, fencing = slice.revision, "model loaded"),
        OrderEnd::Fenced => {
            tracing::warn!(model, fencing = slice.revision, "order refused; a later one was given")
        }
        OrderEnd::Unknown(reason) => {
            tracing::warn!(model, reason, "order not confirmed; read back next")
        }
    }
    shared.loading.store(false, Ordering::SeqCst);
}
