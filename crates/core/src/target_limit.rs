//! Limits on the rate of requests that targets in need name in their replies, and the division of what a target takes
//! among gateways: one of them, the owner of the limit, grants each request.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::ids::{Name, Uptime};

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

/// Part of a limit that the gateway that grants requests gives out. Two gateways that disagree on which of them grants
/// stay below one and a half times the limit.
const GRANTED_PART: f64 = 0.7;
/// Rate at which requests are granted at least, in requests a second. Only a reply shows that a limit has ended.
const MIN_RATE: f64 = 0.2;
/// Time for which a granted request may be sent.
pub const GRANT_VALIDITY: Duration = Duration::from_millis(100);
/// Time for which one grant provides requests to a gateway, while the limit is high enough.
const BATCH_TIME: Duration = Duration::from_millis(50);
/// Time for which an ask counts as demand that less urgent requests yield to.
const DEMAND_WINDOW: Duration = Duration::from_secs(1);
/// Time over which the requests granted to customers are compared.
const SHARE_WINDOW: Duration = Duration::from_secs(4);
/// Maximum number of asks that are remembered.
const MAX_ASKS: usize = 1_024;
/// Shortest and longest time after which a gateway that was denied may ask again.
const WAIT_RANGE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(5));
/// Range of the time after which a caller may come back, as shares of its remaining time. Callers wait at most a third.
const RETRY_AFTER_RANGE: (f64, f64) = (0.08, 0.33);
/// Priority from which requests get the latest times to come back.
const LEAST_PRIORITY: u8 = 8;

/// A gateway's question whether it may send requests to a target with a limit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Name of the gateway.
    pub gateway: Name,
    /// Priority of the request; zero is served first.
    pub priority: u8,
    /// Customer of the request.
    pub customer: Option<Name>,
    /// Number of requests that the gateway can use within [`GRANT_VALIDITY`].
    pub wanted: u32,
}

/// Answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// So many requests may be sent.
    Granted(u32),
    /// None may be sent for some time.
    Denied {
        /// Time after which the gateway may ask again.
        wait: Duration,
        /// Whether requests of other customers may be granted earlier.
        is_own_share: bool,
    },
}

#[derive(Clone, Debug)]
struct PastAsk {
    at: Uptime,
    ask: Ask,
    granted: u32,
}

/// Requests that one gateway grants to all gateways for a target with a limit.
///
/// A token bucket that starts empty: a gateway that becomes the owner of a limit does not know what was granted before.
#[derive(Clone, Debug)]
pub struct Grants {
    tokens: f64,
    filled_at: Uptime,
    asks: VecDeque<PastAsk>,
}

/// Returns the limit in force: the stricter of what the target names in its replies and what it takes because it is cold.
pub fn in_force(named: Option<f64>, cold: Option<f64>) -> Option<f64> {
    [named, cold].into_iter().flatten().min_by(f64::total_cmp)
}

/// Returns the rate, in requests a second, at which the owner of a limit grants requests. `reachable` is the part of the
/// gateways that it reaches: the others may get grants elsewhere.
pub fn granted_rate(limit_per_s: f64, reachable: f64) -> f64 {
    (limit_per_s * GRANTED_PART * reachable).max(MIN_RATE)
}

impl Grants {
    /// Creates an empty bucket.
    pub fn new(now: Uptime) -> Self {
        Self { tokens: 0.0, filled_at: now, asks: VecDeque::new() }
    }

    /// Returns the capacity of the bucket: two requests, or less for limits below one a second.
    fn capacity(limit_per_s: f64, rate: f64) -> f64 {
        1.0 + limit_per_s.min(1.0) + rate * GRANT_VALIDITY.as_secs_f64()
    }

    /// Answers an ask; `rate` is the result of [`granted_rate`].
    pub fn ask(&mut self, now: Uptime, limit_per_s: f64, rate: f64, ask: Ask) -> Grant {
        let capacity = Self::capacity(limit_per_s, rate);
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * rate).min(capacity);
        self.filled_at = now;
        while self.asks.front().is_some_and(|past| past.at + SHARE_WINDOW < now)
            || self.asks.len() >= MAX_ASKS
        {
            self.asks.pop_front();
        }
        let most_reserved = capacity - 1.0;
        let urgent_reserve = self.more_urgent_demand(now, ask.priority).min(most_reserved);
        let share_reserve = if self.is_above_share(&ask) { most_reserved } else { 0.0 };
        let reserve = urgent_reserve.max(share_reserve);
        let gateways = 1 + self.other_gateways(&ask.gateway);
        // The result of a sum that should equal the capacity may be slightly below it.
        let available = (self.tokens - reserve + 1e-9).floor();
        let grant = if available >= 1.0 {
            let batch = (rate * BATCH_TIME.as_secs_f64() / gateways as f64).max(1.0);
            // Casts saturate.
            Grant::Granted(ask.wanted.min(batch as u32).min(available as u32))
        } else {
            let missing = 1.0 + reserve - self.tokens + (gateways - 1) as f64 / 2.0;
            let wait = Duration::try_from_secs_f64(missing / rate).unwrap_or(WAIT_RANGE.1);
            let is_own_share = self.tokens - urgent_reserve >= 1.0;
            Grant::Denied { wait: wait.clamp(WAIT_RANGE.0, WAIT_RANGE.1), is_own_share }
        };
        let granted = if let Grant::Granted(count) = grant { count } else { 0 };
        self.tokens -= f64::from(granted);
        self.asks.push_back(PastAsk { at: now, ask, granted });
        grant
    }

    /// Returns a granted request that was not sent.
    pub fn refund(&mut self) {
        self.tokens += 1.0;
    }

    /// Returns the number of recent asks that are more urgent.
    fn more_urgent_demand(&self, now: Uptime, priority: u8) -> f64 {
        let recent = self.asks.iter().filter(|past| past.at + DEMAND_WINDOW >= now);
        recent.filter(|past| past.ask.priority < priority).count() as f64
    }

    /// Returns whether a customer has got more than an equal part of the requests granted recently.
    fn is_above_share(&self, ask: &Ask) -> bool {
        let mut granted: BTreeMap<Option<&str>, u32> =
            BTreeMap::from([(ask.customer.as_deref(), 0)]);
        for past in &self.asks {
            *granted.entry(past.ask.customer.as_deref()).or_default() += past.granted;
        }
        let total: u32 = granted.values().sum();
        granted[&ask.customer.as_deref()] as usize * granted.len() > total as usize
    }

    /// Returns the number of other gateways that have asked recently.
    fn other_gateways(&self, gateway: &str) -> usize {
        let gateways: BTreeSet<&str> =
            self.asks.iter().map(|past| past.ask.gateway.as_str()).collect();
        gateways.iter().filter(|name| **name != gateway).count()
    }
}

/// Returns the time after which a caller that was refused because of limits may come back: urgent requests first, the
/// others spread over the rest of the range.
pub fn retry_after(time_left: Duration, priority: u8, rng: &mut impl rand::Rng) -> Duration {
    let (start, end) = RETRY_AFTER_RANGE;
    let rank = f64::from(priority.min(LEAST_PRIORITY)) / f64::from(LEAST_PRIORITY);
    let earliest = start + (end - start) / 2.0 * rank;
    let random = rng.next_u32() as f64 / f64::from(u32::MAX);
    time_left.mul_f64(earliest + (end - start) / 2.0 * random)
}
