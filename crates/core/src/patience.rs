//! How long a caller has been waiting already, told from how long it is still willing to wait.
//!
//! A caller that comes back after a refusal says what is left of its time. Its aim began with its first attempt, so it
//! may be late when it comes, and then must not displace one that can still be on time.

use std::time::Duration;

/// Weight of one request in the share of requests with the usual patience.
const SHARE_WEIGHT: f64 = 0.02;
/// Share below which callers are taken to differ in their patience, so that nothing can be told. In an overload most
/// requests may be repeats.
const LEAST_SHARE: f64 = 0.25;
/// Share below which the usual patience is learned anew, because the one that was seen was an exception.
const EXCEPTION: f64 = 0.1;
/// Difference that is not taken as waiting: callers round, and start their clocks a little early.
const TOLERANCE: Duration = Duration::from_millis(50);

/// The patience with which callers of one route send their first attempts.
#[derive(Clone, Copy, Debug, Default)]
pub struct UsualPatience {
    usual: Duration,
    share: f64,
}

impl UsualPatience {
    /// Takes in a request with its patience, and tells how long its caller has waited already.
    pub fn waited(&mut self, patience: Duration) -> Duration {
        if patience > self.usual + TOLERANCE || self.share < EXCEPTION {
            *self = Self { usual: patience, share: 1.0 };
            return Duration::ZERO;
        }
        let waited = self.usual.saturating_sub(patience);
        let is_first = waited <= TOLERANCE;
        self.share += SHARE_WEIGHT * (f64::from(u8::from(is_first)) - self.share);
        if is_first || self.share < LEAST_SHARE { Duration::ZERO } else { waited }
    }
}
