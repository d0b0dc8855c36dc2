//! Upper estimate of the time in which targets answer, from the latest answers.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of the latest samples that count. The estimate doesn't age: it is asked when no further samples come.
const MAX_SAMPLES: usize = 64;
/// Shares of the samples that the estimate covers.
const MOST: f64 = 0.75;
const NEARLY_ALL: f64 = 0.95;

/// Estimator of a response time.
#[derive(Clone, Debug, Default)]
pub struct ResponseTime {
    samples: VecDeque<Duration>,
}

impl ResponseTime {
    /// Adds a sample.
    pub fn observe(&mut self, sample: Duration) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
    }

    /// Returns a time within which an answer is complete; `None` without samples. If a request may be repeated, a late answer
    /// costs its caller only time, and the estimate covers most answers; else it covers nearly all.
    pub fn upper(&self, is_repeatable: bool) -> Option<Duration> {
        let share = if is_repeatable { MOST } else { NEARLY_ALL };
        let mut samples: Vec<Duration> = self.samples.iter().copied().collect();
        samples.sort_unstable();
        let rank = (samples.len() as f64 * share).ceil() as usize;
        samples.get(rank.saturating_sub(1)).copied()
    }
}
