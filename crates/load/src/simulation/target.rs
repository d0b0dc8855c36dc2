//! A fake target: calls run side by side up to its concurrency and stretch each other; others queue.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use marigold_core::router;
use rand::Rng;

use crate::arrivals;

/// Share of a call's duration that is the same for each.
const FIXED_SHARE: f64 = 0.5;

pub(super) struct FakeTarget {
    concurrency: u32,
    service: Duration,
    waiting: VecDeque<(usize, f64)>,
    running: BTreeMap<usize, Duration>,
}

impl FakeTarget {
    pub(super) fn new(concurrency: u32, service: Duration) -> Self {
        Self { concurrency, service, waiting: VecDeque::new(), running: BTreeMap::new() }
    }

    pub(super) fn load(&self) -> u32 {
        (self.waiting.len() + self.running.len()) as u32
    }

    pub(super) fn push(&mut self, request: usize, rng: &mut impl Rng) {
        let draw = FIXED_SHARE + (1.0 - FIXED_SHARE) * arrivals::exponential(rng, 1.0);
        self.waiting.push_back((request, draw));
    }

    /// Starts the first waiting call, if there is room, and gives its duration.
    pub(super) fn start(&mut self, now: Duration) -> Option<(usize, Duration)> {
        if self.running.len() as u32 >= self.concurrency {
            return None;
        }
        let (request, draw) = self.waiting.pop_front()?;
        let stretch = router::slowdown(self.running.len() as u32, self.concurrency);
        self.running.insert(request, now);
        Some((request, self.service.mul_f64(draw * stretch)))
    }

    /// Ends a running call and gives the time it ran; none when it was cancelled before.
    pub(super) fn finish(&mut self, request: usize, now: Duration) -> Option<Duration> {
        self.running.remove(&request).map(|started| now - started)
    }

    /// Cancels a call and gives the time it ran.
    pub(super) fn cancel(&mut self, request: usize, now: Duration) -> Duration {
        self.waiting.retain(|(waiting, _)| *waiting != request);
        self.running.remove(&request).map_or(Duration::ZERO, |started| now - started)
    }
}
