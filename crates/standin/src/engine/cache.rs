//! A bounded LRU cache of prefixes with an event log; the oldest events are dropped, so readers may see gaps.

use std::collections::VecDeque;

use serde::Serialize;

/// Largest number of events in the log.
const MAX_EVENTS: usize = 256;

/// A prefix was added to the cache or evicted from it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Event {
    serial: u64,
    prefix: String,
    cached: bool,
}

/// Cached prefixes, least recently used first, and the event log.
pub(super) struct PrefixCache {
    capacity: usize,
    prefixes: VecDeque<String>,
    events: VecDeque<Event>,
    serial: u64,
}

impl PrefixCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, prefixes: VecDeque::new(), events: VecDeque::new(), serial: 0 }
    }

    /// Marks a prefix as used, adding it if needed, and returns whether it was cached.
    pub(super) fn touch(&mut self, prefix: &str) -> bool {
        if let Some(at) = self.prefixes.iter().position(|cached| cached == prefix) {
            let cached = self.prefixes.remove(at).expect("the position is in range");
            self.prefixes.push_back(cached);
            return true;
        }
        self.prefixes.push_back(prefix.to_owned());
        self.publish(prefix.to_owned(), true);
        if self.prefixes.len() > self.capacity
            && let Some(evicted) = self.prefixes.pop_front()
        {
            self.publish(evicted, false);
        }
        false
    }

    fn publish(&mut self, prefix: String, cached: bool) {
        self.serial += 1;
        self.events.push_back(Event { serial: self.serial, prefix, cached });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the logged events with a higher serial than `after`.
    pub(super) fn events(&self, after: u64) -> Vec<Event> {
        self.events.iter().filter(|event| event.serial > after).cloned().collect()
    }
}
