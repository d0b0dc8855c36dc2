//! Events of one attempt, kept so that they can be read again after a link was lost.

use std::time::Duration;

use marigold_core::outcome::Outcome;
use parking_lot::Mutex;
use tokio::sync::watch;

#[derive(Default)]
struct Inner {
    first: u32,
    tokens: Vec<String>,
    outcome: Option<Outcome>,
}

/// Tokens and the end of an attempt.
pub(crate) struct Feed {
    inner: Mutex<Inner>,
    changed: watch::Sender<u64>,
    cancelled: watch::Sender<bool>,
}

/// What a reader finds next.
pub(crate) enum Next {
    Token(u32, String),
    End(Outcome),
    /// Nothing happened within the bound.
    Idle,
}

impl Feed {
    /// A feed whose first token has the given index.
    pub(crate) fn new(first: u32) -> Self {
        Self {
            inner: Mutex::new(Inner { first, ..Inner::default() }),
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

    /// Number of readers that wait for events.
    pub(crate) fn readers(&self) -> usize {
        self.changed.receiver_count()
    }

    pub(crate) fn reader(&self, from: u32) -> Reader<'_> {
        Reader { feed: self, changed: self.changed.subscribe(), next: from }
    }

    fn poll(&self, index: u32) -> Option<Next> {
        let inner = self.inner.lock();
        let at = index.saturating_sub(inner.first) as usize;
        match (inner.tokens.get(at), &inner.outcome) {
            (Some(token), _) => Some(Next::Token(inner.first + at as u32, token.clone())),
            (None, Some(outcome)) => Some(Next::End(outcome.clone())),
            (None, None) => None,
        }
    }
}

/// Reads a feed from a token on.
pub(crate) struct Reader<'a> {
    feed: &'a Feed,
    changed: watch::Receiver<u64>,
    next: u32,
}

impl Reader<'_> {
    pub(crate) async fn next(&mut self, bound: Duration) -> Next {
        loop {
            self.changed.borrow_and_update();
            if let Some(next) = self.feed.poll(self.next) {
                if let Next::Token(index, _) = next {
                    self.next = index + 1;
                }
                return next;
            }
            if tokio::time::timeout(bound, self.changed.changed()).await.is_err() {
                return Next::Idle;
            }
        }
    }
}
