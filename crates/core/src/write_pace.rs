//! Pace of the writes that each of several processes sends to a store with a limit on the writes of all.

use std::time::Duration;

/// Factor by which the interval grows when the store refuses a write because there are too many.
const SLOWDOWN_FACTOR: f64 = 2.0;
/// Factor by which it shrinks with each write that the store accepts.
const RECOVERY_FACTOR: f64 = 0.95;
/// Maximum multiple of the interval, for a store that takes far fewer writes than expected.
const MAX_SLOWDOWN: f64 = 64.0;

/// Interval between two writes of one process. It is the process's share of the expected rate until the store refuses
/// writes, and adapts to the rate that the store accepts from then on.
#[derive(Clone, Copy, Debug)]
pub struct WritePace {
    slowdown: f64,
}

impl Default for WritePace {
    fn default() -> Self {
        Self { slowdown: 1.0 }
    }
}

impl WritePace {
    /// Returns the interval for one of `writers` processes that together make `writes_per_s`.
    pub fn interval(&self, writers: usize, writes_per_s: f64) -> Duration {
        Duration::from_secs_f64(self.slowdown * writers as f64 / writes_per_s.max(1.0))
    }

    /// Records that the store accepted a write.
    pub fn on_accepted(&mut self) {
        self.slowdown = (self.slowdown * RECOVERY_FACTOR).max(1.0);
    }

    /// Records that the store refused a write because there were too many.
    pub fn on_refused(&mut self) {
        self.slowdown = (self.slowdown * SLOWDOWN_FACTOR).min(MAX_SLOWDOWN);
    }
}
