//! Baseline strategy: power of two random choices.

use super::{Candidate, Strategy};

/// Picks the candidate with fewer own calls in flight from two random ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct PowerOfTwo;

impl Strategy for PowerOfTwo {
    fn pick(&mut self, candidates: &[Candidate], rng: &mut impl rand::Rng) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let first = super::uniform(rng, candidates.len());
        let second = super::uniform(rng, candidates.len());
        Some(if candidates[second].load.own < candidates[first].load.own { second } else { first })
    }
}
