//! Retry budgets, which keep retries from amplifying an overload.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use crate::ids::Uptime;

/// Capacity of the reserve, in tokens.
const MAX_RESERVE: i64 = 20_000;
/// Tokens that one retry costs.
const TOKENS_PER_RETRY: i64 = 1_000;

/// Token bucket that each success refills by a share of a retry.
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
    /// Adds the tokens of one success; `share` is the fraction of a retry that it allows.
    pub fn deposit(&self, share: f64) {
        let added = (share * TOKENS_PER_RETRY as f64) as i64;
        let update = |reserve: i64| Some((reserve + added).min(MAX_RESERVE));
        let _ = self.reserve.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Withdraws one retry; returns false when the budget is exhausted.
    pub fn withdraw(&self) -> bool {
        let update =
            |reserve: i64| (reserve >= TOKENS_PER_RETRY).then_some(reserve - TOKENS_PER_RETRY);
        self.reserve.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update).is_ok()
    }
}

/// Share of the reserve that gateways use. The rest is for those that have started within the window, since they have lost
/// their counts of recent retries, and may all have done so at once.
const RESERVE_SHARE: f64 = 0.6;

/// Limit on the retries of all gateways together in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLimit {
    /// Retries per request.
    pub ratio: f64,
    /// Retries allowed in addition.
    pub reserve: f64,
    /// Length of the window.
    pub window: Duration,
}

impl WindowLimit {
    /// Returns the limit for a gateway that may have made retries within the window in an earlier process.
    pub fn after_restart(self) -> Self {
        Self { reserve: self.reserve * (1.0 - RESERVE_SHARE) / RESERVE_SHARE, ..self }
    }
}

/// One gateway's share of a [`WindowLimit`], as a sliding window.
#[derive(Debug, Default)]
pub struct WindowBudget {
    requests: VecDeque<Uptime>,
    retries: VecDeque<Uptime>,
}

impl WindowBudget {
    fn expire(&mut self, now: Uptime, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|at| *at + window < now) {
                times.pop_front();
            }
        }
    }

    /// Counts a request.
    pub fn on_request(&mut self, now: Uptime, limit: &WindowLimit) {
        self.expire(now, limit.window);
        self.requests.push_back(now);
    }

    /// Withdraws one retry from the share of one of `gateways`; returns false when it is exhausted.
    pub fn withdraw(&mut self, now: Uptime, limit: &WindowLimit, gateways: usize) -> bool {
        self.expire(now, limit.window);
        let reserve = limit.reserve * RESERVE_SHARE / gateways.max(1) as f64;
        let allowed = limit.ratio * self.requests.len() as f64 + reserve;
        let is_allowed = (self.retries.len() as f64) + 1.0 <= allowed;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }
}
