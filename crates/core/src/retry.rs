//! Retry budget: a share of successes, so that retries cannot feed an overload.

use std::sync::atomic::{AtomicI64, Ordering};

/// Thousandths of a retry that one success may add at the most to the reserve.
const MAX_RESERVE: i64 = 20_000;
/// Thousandths of a retry.
const ONE: i64 = 1_000;

/// Tokens for retries.
#[derive(Debug)]
pub struct RetryBudget {
    reserve: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { reserve: AtomicI64::new(MAX_RESERVE / 2) }
    }
}

impl RetryBudget {
    /// Adds the share of one success.
    pub fn deposit(&self, share: f64) {
        let added = (share * ONE as f64) as i64;
        let update = |reserve: i64| Some((reserve + added).min(MAX_RESERVE));
        let _ = self.reserve.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Takes one retry out; false when the budget is spent.
    pub fn withdraw(&self) -> bool {
        let update = |reserve: i64| (reserve >= ONE).then_some(reserve - ONE);
        self.reserve.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update).is_ok()
    }
}
