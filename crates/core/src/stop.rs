//! Time limits of a process that is being stopped.

use std::time::Duration;

use crate::ids::Uptime;

/// Time from a stop request to the closing of connections. The load balancer removes a gateway after two failed readiness
/// checks, one a second, and opens new connections until then.
pub const DRAIN_DELAY: Duration = Duration::from_millis(2_600);
/// Part of the stop time that is reserved for sending the last answers and closing connections.
const CLOSE_MARGIN: Duration = Duration::from_millis(500);
/// Time before the end of the stop time at which the process ends, whatever is left.
const EXIT_MARGIN: Duration = Duration::from_millis(150);

/// Time limits of a stop that has begun.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// From when no stream is begun. One that is cut leaves its caller without a whole answer, however well the time that it takes
    /// was estimated, and all callers can reach another gateway by then.
    pub last_stream: Uptime,
    /// By when each request has an answer, whether or not it is done.
    pub answer_by: Uptime,
    /// When the process ends at the latest.
    pub exit_by: Uptime,
}

impl Stop {
    /// Creates the limits of a stop that begins at `now`, after whose `stop_time` the process is killed.
    pub fn begin(now: Uptime, stop_time: Duration) -> Self {
        Self {
            last_stream: now + DRAIN_DELAY,
            answer_by: now + stop_time.saturating_sub(CLOSE_MARGIN),
            exit_by: now + stop_time.saturating_sub(EXIT_MARGIN),
        }
    }
}
