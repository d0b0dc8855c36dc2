//! Least expected completion time.

use std::time::Duration;

use super::{Candidate, Strategy, load};

/// Service time assumed while nothing was learned.
const DEFAULT_UNIT: Duration = Duration::from_millis(10);
/// Share of the service time that a cached prefix saves.
const PREFIX_SAVING: f64 = 0.3;
/// Expected times are compared in steps of this size, so that close ones are spread.
const STEP: Duration = Duration::from_micros(200);

/// Steps added for an ejected target: more than any call takes.
const EJECTED_STEPS: u64 = 1 << 40;

/// Picks the candidate expected to complete first.
#[derive(Clone, Copy, Debug, Default)]
pub struct ExpectedCompletion;

/// Time until a candidate would complete one more call.
pub fn expected(candidate: &Candidate, pool_unit: Duration) -> Duration {
    let unit = candidate.load.unit_or(pool_unit);
    let unit = if candidate.has_prefix { unit.mul_f64(1.0 - PREFIX_SAVING) } else { unit };
    let load = candidate.load.total;
    let waiting = load.saturating_sub(candidate.concurrency);
    let queue = unit.mul_f64(2.0 * f64::from(waiting) / f64::from(candidate.concurrency.max(1)));
    candidate.round_trip
        + unit.mul_f64(load::stretch(load.min(candidate.concurrency), candidate.concurrency))
        + queue
}

/// Median of the learned service times.
pub fn pool_unit(candidates: &[Candidate]) -> Duration {
    let mut units: Vec<Duration> =
        candidates.iter().filter_map(|candidate| candidate.load.unit).collect();
    units.sort_unstable();
    units.get(units.len() / 2).copied().unwrap_or(DEFAULT_UNIT)
}

/// Time until the best candidate would complete one more call; none without candidates.
pub fn best(candidates: &[Candidate]) -> Option<Duration> {
    let unit = pool_unit(candidates);
    candidates.iter().map(|candidate| expected(candidate, unit)).min()
}

impl Strategy for ExpectedCompletion {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl rand::Rng) -> Option<usize> {
        let unit = pool_unit(candidates);
        super::least_by(candidates, rng, |candidate| {
            let steps = (expected(candidate, unit).as_micros() / STEP.as_micros()) as u64;
            // Ejected targets come last, in the same order.
            if candidate.load.ejected { steps + EJECTED_STEPS } else { steps }
        })
    }
}
