//! Event queue of the simulation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Queue of events ordered by virtual time; events of the same time are in order of insertion.
pub(super) struct EventQueue<E> {
    order: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, E>,
    next: u64,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        Self { order: BinaryHeap::new(), events: BTreeMap::new(), next: 0 }
    }
}

impl<E> EventQueue<E> {
    pub(super) fn push(&mut self, at: Duration, event: E) {
        self.order.push(Reverse((at, self.next)));
        self.events.insert(self.next, event);
        self.next += 1;
    }

    pub(super) fn pop(&mut self) -> Option<(Duration, E)> {
        let Reverse((at, serial)) = self.order.pop()?;
        Some((at, self.events.remove(&serial)?))
    }
}
