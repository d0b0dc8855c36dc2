//! Time limits of a process that is being stopped.

use std::time::Duration;

use crate::ids::Uptime;

/// Part of the stop time that is reserved for sending the last answers and closing connections.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);
/// Time before the end of the stop time at which the process ends, whatever is left.
const EXIT_MARGIN: Duration = Duration::from_millis(150);

/// Time limits of a stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// By when each request has an answer, whether or not it is done.
    pub answer_by: Uptime,
    /// When the process ends at the latest.
    pub exit_by: Uptime,
}

impl Stop {
    /// Creates the limits of a stop that begins at `now`, after whose `stop_time` the process is killed.
    pub fn begin(now: Uptime, stop_time: Duration) -> Self {
        Self {
            answer_by: now + stop_time.saturating_sub(CLOSE_MARGIN),
            exit_by: now + stop_time.saturating_sub(EXIT_MARGIN),
        }
    }

    /// Returns how long work that takes `duration` may be put off.
    pub fn slack(&self, duration: Duration, now: Uptime) -> Duration {
        self.answer_by.saturating_sub(duration).saturating_sub(now)
    }
}
