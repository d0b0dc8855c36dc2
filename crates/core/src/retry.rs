//! Retry budget: a share of successes, so that retries cannot feed an overload.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use crate::ids::Uptime;

/// Thousandths of a retry that one success may add at the most to the reserve.
const MAX_RESERVE: i64 = 20_000;
/// Thousandths of a retry.
const TOKENS_PER_RETRY: i64 = 1_000;

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
        let added = (share * TOKENS_PER_RETRY as f64) as i64;
        let update = |reserve: i64| Some((reserve + added).min(MAX_RESERVE));
        let _ = self.reserve.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Takes one retry out; false when the budget is spent.
    pub fn withdraw(&self) -> bool {
        let update =
            |reserve: i64| (reserve >= TOKENS_PER_RETRY).then_some(reserve - TOKENS_PER_RETRY);
        self.reserve.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update).is_ok()
    }
}

/// Share of the reserve that one gateway uses: a process that starts anew forgets what it repeated before.
const RESERVE_SHARE: f64 = 0.6;

/// What all gateways together may repeat in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowLimit {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats besides those.
    pub reserve: f64,
    /// Length of the window.
    pub window: Duration,
}

/// One gateway's part of a limit on repeats in a sliding window.
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

    /// Takes one repeat out of the part of one of `gateways`; false when it is spent.
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
