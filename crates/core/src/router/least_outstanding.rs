//! Baseline strategy: fewest own calls in flight.

use super::{Candidate, Strategy};

/// Picks the candidate with the fewest own calls in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastOutstanding;

impl Strategy for LeastOutstanding {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl rand::Rng) -> Option<usize> {
        super::least_by(candidates, rng, |candidate| u64::from(candidate.load.own))
    }
}
