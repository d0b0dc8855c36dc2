//! Cost accounts and burn rates: charges attempts, and writes cumulative totals to the platform.

use std::sync::Arc;
use std::time::Duration;

use marigold_core::cost::{Account, Accounts, Line, Total, Worth};
use marigold_core::view::PoolView;
use marigold_objects::{Error, Expect, Store, Version};
use opentelemetry::KeyValue;

use crate::state::Shared;

/// Interval between writes. An entry that crashes loses at most the charges of one interval.
const FLUSH_INTERVAL: Duration = Duration::from_secs(10);
const COST_KIND: &str = "cost";
pub(crate) const BURN_KIND: &str = "burn";
/// Objective of a pipeline that has been removed from the configuration.
const DEFAULT_OBJECTIVE: f64 = 0.99;

/// Charges one attempt to its account, and counts it in the metrics.
pub(crate) fn charge(shared: &Shared, pool: &PoolView, account: Account, tokens: u32) {
    let micros = pool.pool.call_price_micros + pool.pool.token_price_micros * u64::from(tokens);
    let labels = [
        KeyValue::new("stage", account.stage.clone()),
        KeyValue::new("worth", worth_label(account.worth)),
    ];
    shared.metrics.attempts.add(1, &labels);
    shared
        .accounts
        .lock()
        .charge(account, Total { attempts: 1, tokens: u64::from(tokens), micros });
}

fn worth_label(worth: Worth) -> &'static str {
    match worth {
        Worth::Useful => "useful",
        Worth::Retried => "retried",
        Worth::Cancelled => "cancelled",
        Worth::Late => "late",
        Worth::Failed => "failed",
    }
}

/// Writes the cost totals of this entry to the platform, if there are any.
pub(crate) async fn flush(shared: &Shared) -> Result<(), Error> {
    let lines = shared.accounts.lock().lines();
    if lines.is_empty() {
        return Ok(());
    }
    let name = format!("{}.{}", shared.member.name, shared.member.incarnation);
    let text = serde_json::to_string(&lines).expect("cost lines serialise");
    shared.store.put(COST_KIND, &name, text, Expect::Any).await.map(drop)
}

/// Writes the burn rates of this entry to the platform, if there are any.
pub(crate) async fn flush_burn(shared: &Shared) -> Result<(), Error> {
    let view = shared.view.load_full();
    let objective = |pipeline: &str| {
        let declared = view.as_ref().and_then(|view| view.pipelines.get(pipeline));
        declared.map_or(DEFAULT_OBJECTIVE, |pipeline| pipeline.objective)
    };
    let lines = shared.burn.lock().report(objective, shared.now());
    if lines.is_empty() {
        return Ok(());
    }
    shared.metrics.pages.record(lines.iter().filter(|line| line.page).count() as u64, &[]);
    let text = serde_json::to_string(&lines).expect("burn lines serialise");
    shared.store.put(BURN_KIND, &shared.member.name, text, Expect::Any).await.map(drop)
}

pub(crate) async fn flush_forever(shared: Arc<Shared>) {
    let mut flushed_attempts = 0;
    loop {
        tokio::time::sleep(FLUSH_INTERVAL).await;
        let attempts = shared.accounts.lock().sum().attempts;
        if attempts == flushed_attempts {
            continue;
        }
        match flush(&shared).await.and(flush_burn(&shared).await) {
            Ok(()) => flushed_attempts = attempts,
            Err(err) => tracing::debug!(%err, "costs not written; retrying at the next interval"),
        }
    }
}

/// The stored totals of all writers.
#[derive(Debug, Default)]
pub struct StoredCosts {
    /// Sum of the totals.
    pub accounts: Accounts,
    /// Objects that could not be read, and are missing from the sum.
    pub unreadable: Vec<UnreadableCosts>,
}

/// A stored object without valid cost lines. The error does not repeat the object's text, which may be long.
#[derive(Debug, thiserror::Error)]
#[error(
    "{COST_KIND}/{name} holds no cost lines: {category:?} error at line {line}, column {column}"
)]
pub struct UnreadableCosts {
    /// Name of the object.
    pub name: String,
    category: serde_json::error::Category,
    line: usize,
    column: usize,
}

/// Reads the stored totals of all writers.
///
/// # Errors
/// When the store cannot be read. Objects that are no cost lines do not fail the call.
pub async fn read_all<S: Store>(store: &S) -> Result<StoredCosts, Error> {
    let changes = store.watch(COST_KIND, Version::default(), Duration::ZERO).await?;
    let mut costs = StoredCosts::default();
    for object in changes.objects {
        let text = object.value.as_deref().unwrap_or("[]");
        match serde_json::from_str::<Vec<Line>>(text) {
            Ok(lines) => costs.accounts.add_lines(&lines),
            Err(err) => costs.unreadable.push(UnreadableCosts {
                name: object.name,
                category: err.classify(),
                line: err.line(),
                column: err.column(),
            }),
        }
    }
    Ok(costs)
}
