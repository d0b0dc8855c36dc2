//! Clocks of the process: uptime and wall clock.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Clock that starts at its creation, usually at the start of the process.
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
    /// Returns the time since the start, on the monotonic clock.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Returns the milliseconds since the Unix epoch, on the wall clock; zero if the clock is set before it.
pub fn wall_clock_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
