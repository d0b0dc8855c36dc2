//! Strategies that choose a target for an attempt.

mod expected_completion;
mod least_outstanding;
mod load;
mod power_of_two;
mod random;
mod round_robin;

use std::time::Duration;

pub use expected_completion::{
    ExpectedCompletion, best_completion_time, completion_time, pool_service_time,
};
pub use least_outstanding::LeastOutstanding;
pub use load::{Load, LoadSnapshot, slowdown};
pub use power_of_two::PowerOfTwo;
pub use random::Random;
pub use round_robin::RoundRobin;

/// A target that can run the attempt.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Estimate of its load.
    pub load: LoadSnapshot,
    /// Number of calls that it runs concurrently.
    pub concurrency: u32,
    /// Network round-trip time.
    pub round_trip: Duration,
    /// Whether its cache is likely to hold the prefix of the prompt.
    pub has_prefix: bool,
}

/// Strategy that chooses among candidates.
pub trait Strategy {
    /// Returns the index of the chosen candidate; none without candidates.
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl rand::Rng) -> Option<usize>;
}

/// Returns the index of the candidate with the least value; ties are broken at random.
fn least_by(
    candidates: &[Candidate],
    rng: &mut impl rand::Rng,
    value: impl Fn(&Candidate) -> u64,
) -> Option<usize> {
    let least = candidates.iter().map(&value).min()?;
    let ties: Vec<usize> =
        (0..candidates.len()).filter(|i| value(&candidates[*i]) == least).collect();
    Some(ties[uniform(rng, ties.len())])
}

/// Returns a uniformly distributed index below `len`.
fn uniform(rng: &mut impl rand::Rng, len: usize) -> usize {
    (rng.next_u64() % len.max(1) as u64) as usize
}
