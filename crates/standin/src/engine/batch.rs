//! Continuous batching: between steps, finished sequences leave the batch and waiting ones join it by priority.

use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use tokio::sync::{Notify, mpsc};

use super::LoadReport;
use super::cache::{Event, PrefixCache};

/// A sequence to generate.
pub(super) struct Sequence {
    pub(super) request: String,
    pub(super) priority: u8,
    /// Index of the next token.
    pub(super) next: u32,
    /// Index after the last token.
    pub(super) end: u32,
    pub(super) prefix: String,
    /// Prefill steps left before the next token.
    pub(super) prefill_left: u32,
    pub(super) tokens: mpsc::UnboundedSender<u32>,
}

struct Inner {
    waiting: Vec<Sequence>,
    running: Vec<Sequence>,
    cache: PrefixCache,
}

/// Running and waiting sequences.
pub(super) struct Batch {
    inner: Mutex<Inner>,
    added: Notify,
    max_batch: usize,
    prefill_steps: u32,
    generated: AtomicU64,
    cancelled: AtomicU64,
}

impl Batch {
    pub(super) fn new(max_batch: usize, prefill_steps: u32, cached_prefixes: usize) -> Self {
        let cache = PrefixCache::new(cached_prefixes);
        Self {
            inner: Mutex::new(Inner { waiting: Vec::new(), running: Vec::new(), cache }),
            added: Notify::new(),
            max_batch,
            prefill_steps,
            generated: AtomicU64::new(0),
            cancelled: AtomicU64::new(0),
        }
    }

    pub(super) fn add(&self, sequence: Sequence) {
        self.inner.lock().waiting.push(sequence);
        self.added.notify_one();
    }

    /// Fills the batch from the waiting sequences and returns its size; waits while there is none.
    pub(super) async fn fill(&self) -> usize {
        loop {
            let added = self.added.notified();
            let running = self.admit();
            if running > 0 {
                return running;
            }
            added.await;
        }
    }

    fn admit(&self) -> usize {
        let mut inner = self.inner.lock();
        let inner = &mut *inner;
        inner.waiting.sort_by_key(|sequence| std::cmp::Reverse(sequence.priority));
        while inner.running.len() < self.max_batch && !inner.waiting.is_empty() {
            let mut sequence = inner.waiting.remove(0);
            sequence.prefill_left =
                if inner.cache.touch(&sequence.prefix) { 1 } else { self.prefill_steps };
            inner.running.push(sequence);
        }
        inner.running.len()
    }

    /// Runs one step, which generates a token for each sequence past its prefill.
    pub(super) fn step(&self) {
        let mut inner = self.inner.lock();
        inner.running.retain_mut(|sequence| {
            if sequence.tokens.is_closed() {
                self.cancelled.fetch_add(1, Ordering::Relaxed);
                return false;
            }
            if sequence.prefill_left > 0 {
                sequence.prefill_left -= 1;
                return true;
            }
            if sequence.next < sequence.end {
                let _ = sequence.tokens.send(sequence.next);
                self.generated.fetch_add(1, Ordering::Relaxed);
                sequence.next += 1;
            }
            sequence.next < sequence.end
        });
    }

    pub(super) fn cancel(&self, request: &str) {
        let mut inner = self.inner.lock();
        let before = inner.waiting.len() + inner.running.len();
        inner.waiting.retain(|sequence| sequence.request != request);
        inner.running.retain(|sequence| sequence.request != request);
        let after = inner.waiting.len() + inner.running.len();
        self.cancelled.fetch_add((before - after) as u64, Ordering::Relaxed);
    }

    pub(super) fn load(&self) -> LoadReport {
        let inner = self.inner.lock();
        LoadReport { running: inner.running.len(), queued: inner.waiting.len() }
    }

    pub(super) fn cache_events(&self, after: u64) -> Vec<Event> {
        self.inner.lock().cache.events(after)
    }

    pub(super) fn totals(&self) -> (u64, u64) {
        (self.generated.load(Ordering::Relaxed), self.cancelled.load(Ordering::Relaxed))
    }
}
