//! Baseline strategy: round robin.

use super::{Candidate, Strategy};

/// Picks the candidates in turn.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Strategy for RoundRobin {
    fn pick(&mut self, candidates: &[Candidate], _rng: &mut impl rand::Rng) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        self.next = (self.next + 1) % candidates.len();
        Some(self.next)
    }
}
