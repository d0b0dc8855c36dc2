//! Event stream of one attempt, kept so that entries can read it again after a link was lost.

use std::time::Duration;

use marigold_core::outcome::Outcome;
use parking_lot::Mutex;
use tokio::sync::watch;

#[derive(Default)]
struct Inner {
    first_index: u32,
    tokens: Vec<String>,
    outcome: Option<Outcome>,
}

/// Tokens and outcome of an attempt.
pub(crate) struct AttemptStream {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
    cancelled: watch::Sender<bool>,
}

/// Next event of a stream.
pub(crate) enum Next {
    Token(u32, String),
    End(Outcome),
    /// No event came before the timeout.
    Idle,
}

impl AttemptStream {
    /// Creates a stream whose first token has the given index.
    pub(crate) fn new(first_index: u32) -> Self {
        Self {
            inner: Mutex::new(Inner { first_index, ..Inner::default() }),
            changed: watch::channel(0).0,
            cancelled: watch::channel(false).0,
        }
    }

    pub(crate) fn push(&self, token: String) {
        self.inner.lock().tokens.push(token);
        self.changed.send_modify(|version| *version += 1);
    }

    pub(crate) fn end(&self, outcome: Outcome) {
        self.inner.lock().outcome = Some(outcome);
        self.changed.send_modify(|version| *version += 1);
    }

    pub(crate) fn cancel(&self) {
        self.cancelled.send_replace(true);
    }

    pub(crate) async fn cancelled(&self) {
        let _ = self.cancelled.subscribe().wait_for(|cancelled| *cancelled).await;
    }

    /// Returns the number of open readers.
    pub(crate) fn readers(&self) -> usize {
        self.changed.receiver_count()
    }

    pub(crate) fn reader(&self, from: u32) -> Reader<'_> {
        Reader { stream: self, changed: self.changed.subscribe(), next: from }
    }

    fn poll(&self, index: u32) -> Option<Next> {
        let inner = self.inner.lock();
        let offset = index.saturating_sub(inner.first_index) as usize;
        match (inner.tokens.get(offset), &inner.outcome) {
            (Some(token), _) => Some(Next::Token(inner.first_index + offset as u32, token.clone())),
            (None, Some(outcome)) => Some(Next::End(outcome.clone())),
            (None, None) => None,
        }
    }
}

/// Reads a stream from a given token onwards.
pub(crate) struct Reader<'a> {
    stream: &'a AttemptStream,
    changed: watch::Receiver<u64>,
    next: u32,
}

impl Reader<'_> {
    pub(crate) async fn next(&mut self, timeout: Duration) -> Next {
        loop {
            self.changed.borrow_and_update();
            if let Some(next) = self.stream.poll(self.next) {
                if let Next::Token(index, _) = next {
                    self.next = index + 1;
                }
                return next;
            }
            if tokio::time::timeout(timeout, self.changed.changed()).await.is_err() {
                return Next::Idle;
            }
        }
    }
}
