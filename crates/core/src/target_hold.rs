//! Pause that a target has asked for when it refused a request.
//!
//! Until its end the target gets nothing. After it one request is sent first; the others follow when it is answered, so that
//! those that were held do not all arrive at the same moment.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::ids::Uptime;

/// Longest hold; a target that names a longer time is asked again after it.
pub const MAX_HOLD: Duration = Duration::from_secs(600);
/// Time for which the first request after a hold keeps the others back if it is not answered.
const TRIAL_TIME: Duration = Duration::from_secs(1);

/// Hold of one start of a target, read without locks on the request path. Times are in milliseconds.
#[derive(Debug, Default)]
pub struct TargetHold {
    /// End of the hold, zero without one. It stays set until a request was answered after it.
    until_ms: AtomicU64,
    /// Until when the first request after the hold keeps the others back; zero before it was sent.
    trial_until_ms: AtomicU64,
}

fn millis(at: Uptime) -> u64 {
    at.as_millis() as u64
}

impl TargetHold {
    /// Holds the target for the time that it has named; returns whether it was not held before. A hold is never shortened.
    pub fn hold(&self, now: Uptime, time: Duration) -> bool {
        let until = millis(now + time.min(MAX_HOLD));
        let before = self.until_ms.fetch_max(until, Ordering::Relaxed);
        self.trial_until_ms.store(0, Ordering::Relaxed);
        before <= millis(now)
    }

    /// Returns until when no request may be sent, or `None` if one may be sent now.
    pub fn until(&self, now: Uptime) -> Option<Uptime> {
        let until = self.until_ms.load(Ordering::Relaxed);
        let trial_until = self.trial_until_ms.load(Ordering::Relaxed);
        let end = if until == 0 { 0 } else { until.max(trial_until) };
        (millis(now) < end).then(|| Duration::from_millis(end))
    }

    /// Returns whether a request may be sent now. The first one after a hold keeps the others back.
    pub fn acquire(&self, now: Uptime) -> bool {
        if self.until_ms.load(Ordering::Relaxed) == 0 {
            return true;
        }
        if self.until(now).is_some() {
            return false;
        }
        let trial_until = self.trial_until_ms.load(Ordering::Relaxed);
        let next = millis(now + TRIAL_TIME);
        let order = Ordering::Relaxed;
        self.trial_until_ms.compare_exchange(trial_until, next, order, order).is_ok()
    }

    /// Records that nothing was sent after [`Self::acquire`].
    pub fn cancel(&self) {
        self.trial_until_ms.store(0, Ordering::Relaxed);
    }

    /// Records an answer without a hold to a request that was sent at `sent_at`. One from before the end of the hold says
    /// nothing of the time after it.
    pub fn on_answer(&self, sent_at: Uptime) {
        let until = self.until_ms.load(Ordering::Relaxed);
        if until > 0 && millis(sent_at) >= until {
            let order = Ordering::Relaxed;
            // A failed exchange means that the target has been held again.
            let _ = self.until_ms.compare_exchange(until, 0, order, order);
        }
    }
}
