//! Simulated target: runs calls concurrently up to its concurrency, each slowed down by those already running,
//! and queues the others.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use marigold_core::router;
use rand::Rng;

use crate::arrivals;

/// Share of the mean service time that is the same for every call; the rest is exponentially distributed.
const FIXED_TIME_SHARE: f64 = 0.5;

pub(super) struct SimulatedTarget {
    concurrency: u32,
    service_time: Duration,
    queued: VecDeque<(usize, f64)>,
    running: BTreeMap<usize, Duration>,
}

impl SimulatedTarget {
    pub(super) fn new(concurrency: u32, service_time: Duration) -> Self {
        Self { concurrency, service_time, queued: VecDeque::new(), running: BTreeMap::new() }
    }

    pub(super) fn load(&self) -> u32 {
        (self.queued.len() + self.running.len()) as u32
    }

    pub(super) fn enqueue(&mut self, request: usize, rng: &mut impl Rng) {
        let factor = FIXED_TIME_SHARE + (1.0 - FIXED_TIME_SHARE) * arrivals::exponential(rng, 1.0);
        self.queued.push_back((request, factor));
    }

    /// Starts the first queued call, if below the concurrency, and returns the call and its duration.
    pub(super) fn start_next(&mut self, now: Duration) -> Option<(usize, Duration)> {
        if self.running.len() as u32 >= self.concurrency {
            return None;
        }
        let (request, factor) = self.queued.pop_front()?;
        let slowdown = router::slowdown(self.running.len() as u32, self.concurrency);
        self.running.insert(request, now);
        Some((request, self.service_time.mul_f64(factor * slowdown)))
    }

    /// Ends a running call and returns the time it ran, or `None` if it was cancelled before.
    pub(super) fn finish(&mut self, request: usize, now: Duration) -> Option<Duration> {
        self.running.remove(&request).map(|started| now - started)
    }

    /// Cancels a queued or running call and returns the time it ran.
    pub(super) fn cancel(&mut self, request: usize, now: Duration) -> Duration {
        self.queued.retain(|(queued, _)| *queued != request);
        self.running.remove(&request).map_or(Duration::ZERO, |started| now - started)
    }
}
