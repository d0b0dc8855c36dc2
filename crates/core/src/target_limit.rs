//! Limits on the rate of requests that targets in need name in their replies.

use crate::ids::Uptime;

/// What a target said about its limit in one reply.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    /// Requests a second that the target takes from all gateways together; `None` if the reply named no limit.
    pub per_s: Option<f64>,
    /// When the request was sent; the reply was made then or later.
    pub sent_at: Uptime,
    /// When the reply arrived; it was made then or earlier.
    pub received_at: Uptime,
}

impl Notice {
    /// Returns which of two notices of the same start of a target is in force.
    ///
    /// Replies overtake each other, so a notice replaces another only if its request was sent after the other had
    /// arrived. Between two whose order is unknown, the stricter one stays.
    pub fn merge(self, other: Self) -> Self {
        if other.sent_at >= self.received_at {
            return other;
        }
        if self.sent_at >= other.received_at {
            return self;
        }
        let rate = |notice: &Self| notice.per_s.unwrap_or(f64::INFINITY);
        if rate(&other) < rate(&self) { other } else { self }
    }
}
