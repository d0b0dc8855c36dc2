//! Decides when a request that is slow to answer is also sent to a second target.

use std::time::Duration;

use crate::ids::Uptime;
use crate::retry::{WindowBudget, WindowLimit};
use crate::router::Candidate;

/// Share of the answers that arrive before a hedge is sent. A lower one spends the budget on requests that are about to be
/// answered anyway.
pub const QUANTILE: f64 = 0.95;
/// Number of samples, older ones counted less, below which nothing is hedged. With fewer, none lies above the quantile.
pub const MIN_SAMPLES: f64 = 20.0;
/// Share of a pool's slots in use above which nothing is hedged. At higher loads requests wait because of each other, and
/// extra ones make all of them wait longer.
pub const MAX_POOL_LOAD: f64 = 0.7;
/// Time after a refusal of one of a pool's targets for which nothing is hedged there.
pub const REFUSAL_PAUSE: Duration = Duration::from_secs(2);

/// Time in which the weight of a sample halves. A gateway of a large fleet serves about one request a second, of several
/// routes; with 10 s it never has enough samples of one route.
const HALF_LIFE: Duration = Duration::from_secs(60);
/// Interval at which the weights are reduced.
const DECAY_INTERVAL: Duration = Duration::from_secs(10);
/// Number of intervals after which nothing is left of the samples: ten half-lives.
const MAX_DECAYS: u32 = 60;
/// Upper bound of the first bucket of durations, in seconds.
const FIRST_BOUND_S: f64 = 0.001;
/// Ratio of the bounds of two successive buckets; the error of a quantile is at most this.
const BOUND_RATIO: f64 = 1.05;
/// Number of buckets; the last bound is about 84 s.
const BUCKETS: usize = 233;

/// Reason why a request is not hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The route's maximum number of attempts is reached.
    MaxAttempts,
    /// The pool is short of capacity.
    PoolBusy,
    /// A target of the pool has refused a request recently.
    PoolRefused,
    /// No other target can take the request.
    NoTarget,
    /// The budget of hedged requests is exhausted.
    Budget,
    /// The retry budget of the pool is exhausted.
    RetryBudget,
    /// The configuration has moved the route, the gateway is being stopped, or the request may crash targets.
    Unsafe,
}

impl Denial {
    /// Returns the name of the reason in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::MaxAttempts => "max_attempts",
            Self::PoolBusy => "pool_busy",
            Self::PoolRefused => "pool_refused",
            Self::NoTarget => "no_target",
            Self::Budget => "budget",
            Self::RetryBudget => "retry_budget",
            Self::Unsafe => "unsafe",
        }
    }
}

/// Decaying distribution of the times to the first byte.
#[derive(Clone, Debug)]
pub struct FirstByteTimes {
    /// Weights of the samples by duration.
    weights: Vec<f32>,
    decayed_at: Option<Uptime>,
}

impl Default for FirstByteTimes {
    fn default() -> Self {
        Self { weights: vec![0.0; BUCKETS], decayed_at: None }
    }
}

impl FirstByteTimes {
    /// Adds a sample.
    pub fn observe(&mut self, sample: Duration, now: Uptime) {
        self.decay(now);
        let ratio = (sample.as_secs_f64() / FIRST_BOUND_S).max(1.0);
        let bucket = (ratio.ln() / BOUND_RATIO.ln()).ceil() as usize;
        self.weights[bucket.min(BUCKETS - 1)] += 1.0;
    }

    /// Returns the time after which an answer is late: [`QUANTILE`] of the samples; `None` while there are too few.
    pub fn late_after(&mut self, now: Uptime) -> Option<Duration> {
        self.decay(now);
        let sum: f64 = self.weights.iter().copied().map(f64::from).sum();
        if sum < MIN_SAMPLES {
            return None;
        }
        let mut below = 0.0;
        let bucket = self.weights.iter().position(|weight| {
            below += f64::from(*weight);
            below >= QUANTILE * sum
        });
        let bound = FIRST_BOUND_S * BOUND_RATIO.powi(bucket.unwrap_or(BUCKETS - 1) as i32);
        Some(Duration::from_secs_f64(bound))
    }

    fn decay(&mut self, now: Uptime) {
        let decayed_at = *self.decayed_at.get_or_insert(now);
        let decays = now.saturating_sub(decayed_at).as_millis() / DECAY_INTERVAL.as_millis();
        if decays == 0 {
            return;
        }
        if decays >= u128::from(MAX_DECAYS) {
            *self = Self { decayed_at: Some(now), ..Self::default() };
            return;
        }
        let elapsed = DECAY_INTERVAL * decays as u32;
        let factor = 0.5_f32.powf(elapsed.as_secs_f32() / HALF_LIFE.as_secs_f32());
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
        self.decayed_at = Some(decayed_at + elapsed);
    }
}

/// Hedged requests that a process may send.
#[derive(Debug, Default)]
pub struct HedgeBudget(WindowBudget);

impl HedgeBudget {
    /// Counts a request that may be repeated.
    pub fn on_request(&mut self, now: Uptime, ratio: f64, window: Duration) {
        self.0.on_request(now, &limit(ratio, window));
    }

    /// Withdraws one hedged request; returns false when the budget is exhausted.
    pub fn withdraw(&mut self, now: Uptime, ratio: f64, window: Duration) -> bool {
        self.0.withdraw(now, &limit(ratio, window), 1)
    }
}

/// Returns the limit on the hedged requests of one process. It has no reserve, so that all processes together stay within the
/// ratio, also after a restart.
fn limit(ratio: f64, window: Duration) -> WindowLimit {
    WindowLimit { ratio, reserve: 0.0, window }
}

/// Returns whether a pool has room for extra work. Other gateways are assumed to send as much to it as this one.
pub fn has_room(targets: &[Candidate], gateways: usize) -> bool {
    let usable = || targets.iter().filter(|target| !target.load.ejected);
    let slots: u64 = usable().map(|target| u64::from(target.concurrency)).sum();
    // Calls at ejected targets are counted: they may have to run again at the others.
    let own: u64 = targets.iter().map(|target| u64::from(target.load.total)).sum();
    // The request that is to be hedged is one of them, but it does not run once for each gateway.
    let estimate = own.saturating_sub(1) * gateways.max(1) as u64 + 1;
    estimate as f64 <= MAX_POOL_LOAD * slots as f64
}

/// Returns whether a target can take extra work: it is not ejected and has a free slot.
pub fn is_free(target: &Candidate) -> bool {
    !target.load.ejected && target.load.total < target.concurrency
}
