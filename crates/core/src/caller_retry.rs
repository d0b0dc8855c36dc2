//! Tells requests that have come back after a refusal from first ones, by the time that their callers still wait.
//!
//! A caller comes back once, late in its time, and then names what is left of it. Whoever refuses it again has lost it,
//! while a first request that is refused comes back when a burst may have passed.

use std::time::Duration;

use crate::ids::Uptime;

/// Part of the longest time that callers of a route wait up to which a request counts as a retry. Callers' times differ by some
/// percent, and a refusal names a quarter to a third of the time that is left.
const RETRY_SHARE: f64 = 0.75;
/// Time after which the longest time is forgotten, unless another request names as much.
const RETENTION: Duration = Duration::from_secs(30);

/// Longest time that callers of a route wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct CallerTimeout {
    longest: Duration,
    seen_at: Uptime,
}

impl CallerTimeout {
    /// Records the time that the caller of a request waits, and returns whether the request is a retry.
    pub fn observe(&mut self, timeout: Duration, now: Uptime) -> bool {
        if timeout >= self.longest || now > self.seen_at + RETENTION {
            *self = Self { longest: timeout, seen_at: now };
        }
        timeout < self.longest.mul_f64(RETRY_SHARE)
    }
}
