//! Estimates of durations from recent samples, such as those of the remaining steps of a request.

use std::time::Duration;

use crate::ids::Uptime;

/// Weight of a new sample in the mean and the deviation. After five samples, the mean has followed two thirds of a
/// step in the load.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Age of the last sample from which the estimate decays to the default duration.
const FRESH_FOR: Duration = Duration::from_secs(1);
/// Age of the last sample from which the estimate is the default. Without this decay, an estimate so high that every
/// request is refused gets no new samples and is never corrected.
const DISCARD_AFTER: Duration = Duration::from_secs(3);

/// Mean and upper estimate of a duration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct DurationEstimate {
    /// Mean of recent samples.
    pub mean: Duration,
    /// Mean plus mean absolute deviation; most samples are below it.
    pub upper: Duration,
}

impl DurationEstimate {
    /// Creates an estimate without deviation.
    pub fn exact(duration: Duration) -> Self {
        Self { mean: duration, upper: duration }
    }

    /// Returns the estimate of both durations in sequence.
    pub fn then(self, next: Self) -> Self {
        Self { mean: self.mean + next.mean, upper: self.upper + next.upper }
    }
}

/// Moving estimate of a duration.
#[derive(Clone, Copy, Debug, Default)]
pub struct DurationEstimator {
    mean_s: f64,
    /// Mean absolute deviation.
    deviation_s: f64,
    sampled_at: Option<Uptime>,
}

impl DurationEstimator {
    /// Updates the estimate with a sample. If the last one is older than `DISCARD_AFTER`, the estimate starts over from
    /// the new one.
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

    /// Returns the estimate at `now`, or `default` without recent samples.
    pub fn estimate(&self, default: Duration, now: Uptime) -> DurationEstimate {
        let Some(at) = self.sampled_at else { return DurationEstimate::exact(default) };
        let aging = now.saturating_sub(at).saturating_sub(FRESH_FOR).as_secs_f64();
        let weight = (1.0 - aging / (DISCARD_AFTER - FRESH_FOR).as_secs_f64()).max(0.0);
        let blend = |learned: f64| {
            Duration::from_secs_f64(weight * learned + (1.0 - weight) * default.as_secs_f64())
        };
        DurationEstimate { mean: blend(self.mean_s), upper: blend(self.mean_s + self.deviation_s) }
    }
}
