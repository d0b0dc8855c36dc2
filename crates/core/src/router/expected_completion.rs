//! Chooses the candidate with the least expected completion time.

use std::time::Duration;

use super::{Candidate, Strategy, load};

/// Service time assumed without samples.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(10);
/// Share of the service time that a cached prefix saves.
const PREFIX_SAVING: f64 = 0.3;
/// Completion times are rounded down to multiples of this, so that candidates with similar times share the calls.
const COMPARISON_STEP: Duration = Duration::from_micros(200);

/// Penalty of an ejected target, longer than any call.
const EJECTED_STEPS: u64 = 1 << 40;

/// Picks the candidate that is expected to complete the call first.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedCompletion;

/// Returns the expected time until a candidate completes one more call.
pub fn completion_time(candidate: &Candidate, pool_service_time: Duration) -> Duration {
    let service_time = candidate.load.service_time_or(pool_service_time);
    let service_time =
        if candidate.has_prefix { service_time.mul_f64(1.0 - PREFIX_SAVING) } else { service_time };
    let load = candidate.load.total;
    let waiting = load.saturating_sub(candidate.concurrency);
    let queueing_time =
        service_time.mul_f64(2.0 * f64::from(waiting) / f64::from(candidate.concurrency.max(1)));
    candidate.round_trip
        + service_time
            .mul_f64(load::slowdown(load.min(candidate.concurrency), candidate.concurrency))
        + queueing_time
}

/// Returns the median of the candidates' service times, or a default without samples.
pub fn pool_service_time(candidates: &[Candidate]) -> Duration {
    let mut service_times: Vec<Duration> =
        candidates.iter().filter_map(|candidate| candidate.load.service_time).collect();
    service_times.sort_unstable();
    service_times.get(service_times.len() / 2).copied().unwrap_or(DEFAULT_SERVICE_TIME)
}

/// Returns the least completion time among the candidates; none without candidates.
pub fn best_completion_time(candidates: &[Candidate]) -> Option<Duration> {
    let service_time = pool_service_time(candidates);
    candidates.iter().map(|candidate| completion_time(candidate, service_time)).min()
}

impl Strategy for ExpectedCompletion {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl rand::Rng) -> Option<usize> {
        let service_time = pool_service_time(candidates);
        super::least_by(candidates, rng, |candidate| {
            let steps = (completion_time(candidate, service_time).as_micros()
                / COMPARISON_STEP.as_micros()) as u64;
            // Ejected targets sort last, by the same criterion.
            if candidate.load.ejected { steps + EJECTED_STEPS } else { steps }
        })
    }
}
