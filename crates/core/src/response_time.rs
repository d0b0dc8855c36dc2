//! Upper estimate of the time in which targets answer, from the answers so far.

use std::time::Duration;

/// Weights of a new sample in the mean and in the deviation, as for the retransmission timeout of TCP (RFC 6298).
const MEAN_WEIGHT: f64 = 0.125;
const DEVIATION_WEIGHT: f64 = 0.25;
/// Number of deviations above the mean that covers most samples, and nearly all.
const MOST: f64 = 1.0;
const NEARLY_ALL: f64 = 4.0;
/// Deviation after the first sample, as a share of it.
const FIRST_DEVIATION: f64 = 0.25;

/// Estimator of a response time. Unlike [`crate::duration_estimate::DurationEstimator`] it doesn't age: it is asked when no
/// further samples come.
#[derive(Clone, Copy, Debug)]
pub struct ResponseTime {
    mean_s: f64,
    deviation_s: f64,
}

impl ResponseTime {
    /// Creates an estimator from its first sample.
    pub fn new(sample: Duration) -> Self {
        let mean_s = sample.as_secs_f64();
        Self { mean_s, deviation_s: FIRST_DEVIATION * mean_s }
    }

    /// Updates the estimate with a sample.
    pub fn observe(&mut self, sample: Duration) {
        let sample = sample.as_secs_f64();
        let distance = (sample - self.mean_s).abs();
        self.deviation_s += DEVIATION_WEIGHT * (distance - self.deviation_s);
        self.mean_s += MEAN_WEIGHT * (sample - self.mean_s);
    }

    /// Returns a time within which an answer is complete. If a request may be repeated, a late answer costs its caller only
    /// time, and the estimate covers most answers; else it covers nearly all.
    pub fn upper(&self, is_repeatable: bool) -> Duration {
        let deviations = if is_repeatable { MOST } else { NEARLY_ALL };
        Duration::from_secs_f64(self.mean_s + deviations * self.deviation_s)
    }
}
