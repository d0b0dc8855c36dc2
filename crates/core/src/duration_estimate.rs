//! Durations learned from recent samples, for what lies ahead of a request.

use std::time::Duration;

use crate::ids::Uptime;

/// Weight of a new sample in the mean and the deviation: a step in the load shows after about five samples.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Age of the last sample at which an estimate begins to return to the nominal duration.
const FRESH_FOR: Duration = Duration::from_secs(1);
/// Age at which nothing is left of it. Without this, an estimate that keeps all requests away is never corrected.
const DISCARD_AFTER: Duration = Duration::from_secs(3);

/// What is expected of a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DurationEstimate {
    /// Mean of recent samples.
    pub mean: Duration,
    /// What most samples stay below.
    pub upper: Duration,
}

impl DurationEstimate {
    /// A duration that is known.
    pub fn exact(duration: Duration) -> Self {
        Self { mean: duration, upper: duration }
    }

    /// The duration of both, one after the other.
    pub fn then(self, next: Self) -> Self {
        Self { mean: self.mean + next.mean, upper: self.upper + next.upper }
    }
}

/// A duration learned from samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationEstimator {
    mean_s: f64,
    /// Mean distance of a sample from the mean.
    deviation_s: f64,
    sampled_at: Option<Uptime>,
}

impl DurationEstimator {
    /// Takes in a sample.
    pub fn observe(&mut self, sample: Duration, now: Uptime) {
        let sample = sample.as_secs_f64();
        match self.sampled_at.replace(now) {
            Some(at) if now.saturating_sub(at) < DISCARD_AFTER => {
                let distance = (sample - self.mean_s).abs();
                self.deviation_s += SAMPLE_WEIGHT * (distance - self.deviation_s);
                self.mean_s += SAMPLE_WEIGHT * (sample - self.mean_s);
            }
            _ => (self.mean_s, self.deviation_s) = (sample, 0.0),
        }
    }

    /// What to expect at `now`; the `nominal` duration when there are no recent samples.
    pub fn estimate(&self, default: Duration, now: Uptime) -> DurationEstimate {
        let Some(at) = self.sampled_at else { return DurationEstimate::exact(default) };
        let aging = now.saturating_sub(at).saturating_sub(FRESH_FOR).as_secs_f64();
        let trust = (1.0 - aging / (DISCARD_AFTER - FRESH_FOR).as_secs_f64()).max(0.0);
        let blend = |learned: f64| {
            Duration::from_secs_f64(trust * learned + (1.0 - trust) * default.as_secs_f64())
        };
        DurationEstimate { mean: blend(self.mean_s), upper: blend(self.mean_s + self.deviation_s) }
    }
}
