//! Choice of a target for one attempt.

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

/// A target that may take the attempt.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// What is known of its load.
    pub load: LoadSnapshot,
    /// Calls that it runs at a time.
    pub concurrency: u32,
    /// Network delay there and back.
    pub round_trip: Duration,
    /// Whether it is likely to hold the prompt's prefix in its cache.
    pub has_prefix: bool,
}

/// A way to choose among candidates.
pub trait Strategy {
    /// Index of the chosen candidate; none when there is no candidate.
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl rand::Rng) -> Option<usize>;
}

/// Index of the candidate with the least value; ties are broken at random.
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

/// Uniform index below `len`.
fn uniform(rng: &mut impl rand::Rng, len: usize) -> usize {
    (rng.next_u64() % len.max(1) as u64) as usize
}
