//! Deadline budget: what the stages still to come need, from their measured durations.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::ids::Uptime;

/// Time after which a histogram is set aside for a new one.
const ROTATE_EVERY: Duration = Duration::from_secs(10);
/// Samples below which a stage's need counts as unknown.
const MIN_SAMPLES: u64 = 20;
/// Quantile of a stage's duration that the rest of the budget has to cover.
const LOWER_QUANTILE: f64 = 0.25;
/// Share of its expected time in which a stage still ends now and then.
const MIN_TIME_SHARE: f64 = 0.75;
/// Longest duration kept.
const MAX_MICROS: u64 = 600_000_000;

/// Recent durations of one stage.
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
    /// Records the duration of a stage that ended well.
    pub fn record(&mut self, duration: Duration, now: Uptime) {
        if now.saturating_sub(self.rotated_at) >= ROTATE_EVERY {
            std::mem::swap(&mut self.current, &mut self.previous);
            self.current.reset();
            self.rotated_at = now;
        }
        self.current.saturating_record(duration.as_micros() as u64);
    }

    /// Least time that the stage is likely to need; zero while too little is known.
    pub fn lower_estimate(&self) -> Duration {
        let full = if self.current.len() >= MIN_SAMPLES { &self.current } else { &self.previous };
        if full.len() < MIN_SAMPLES {
            return Duration::ZERO;
        }
        Duration::from_micros(full.value_at_quantile(LOWER_QUANTILE))
    }
}

/// Whether a request can still be answered: `expected` is the time to complete the next stage at its best target,
/// `later` the needs of the stages after it.
pub fn can_meet_deadline(
    left: Duration,
    expected: Duration,
    later: impl IntoIterator<Item = Duration>,
) -> bool {
    let later: Duration = later.into_iter().sum();
    left > expected.mul_f64(MIN_TIME_SHARE) + later
}
