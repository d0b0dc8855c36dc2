//! The process's clocks.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct Uptime {
    started: Instant,
}

impl Default for Uptime {
    fn default() -> Self {
        Self { started: Instant::now() }
    }
}

impl Uptime {
    /// Time since the start, from the monotonic clock.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Milliseconds since the epoch, from the wall clock.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
