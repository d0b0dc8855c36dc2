//! Deadline budget: the time that the remaining stages need, estimated from recent durations.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::ids::Uptime;

/// Interval at which the current histogram becomes the previous one.
const ROTATE_EVERY: Duration = Duration::from_secs(10);
/// Samples required for an estimate.
const MIN_SAMPLES: u64 = 20;
/// Quantile of a stage's duration that the remaining budget has to cover.
const LOWER_QUANTILE: f64 = 0.25;
/// Share of its expected time in which a stage still completes occasionally.
const MIN_TIME_SHARE: f64 = 0.75;
/// Durations above this are recorded as this value.
const MAX_MICROS: u64 = 600_000_000;

/// Histograms of the recent durations of one stage.
#[derive(Debug)]
pub struct StageDurations {
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated_at: Uptime,
}

impl Default for StageDurations {
    fn default() -> Self {
        let empty = || Histogram::new_with_bounds(1, MAX_MICROS, 2).expect("the bounds are valid");
        Self { current: empty(), previous: empty(), rotated_at: Uptime::ZERO }
    }
}

impl StageDurations {
    /// Records the duration of a successful run of the stage.
    pub fn record(&mut self, duration: Duration, now: Uptime) {
        if now.saturating_sub(self.rotated_at) >= ROTATE_EVERY {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.rotated_at = now;
        }
        self.current.saturating_record(duration.as_micros() as u64);
    }

    /// Returns a lower estimate of the stage's duration; zero with too few samples.
    pub fn lower_estimate(&self) -> Duration {
        let histogram =
            if self.current.len() >= MIN_SAMPLES { &self.current } else { &self.previous };
        if histogram.len() < MIN_SAMPLES {
            return Duration::ZERO;
        }
        Duration::from_micros(histogram.value_at_quantile(LOWER_QUANTILE))
    }
}

/// Returns whether a request can still complete in `time_left`.
///
/// `expected` is the completion time of the next stage on its best target, `later` the lower estimates of the stages
/// after it.
pub fn can_meet_deadline(
    time_left: Duration,
    expected: Duration,
    later: impl IntoIterator<Item = Duration>,
) -> bool {
    let later: Duration = later.into_iter().sum();
    time_left > expected.mul_f64(MIN_TIME_SHARE) + later
}
