//! Baseline strategy: uniform random choice.

use super::{Candidate, Strategy};

/// Picks a candidate at random.
#[derive(Clone, Copy, Debug, Default)]
pub struct Random;

impl Strategy for Random {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl rand::Rng) -> Option<usize> {
        (!candidates.is_empty()).then(|| super::uniform(rng, candidates.len()))
    }
}
