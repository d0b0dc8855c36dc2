//! Outcomes of an attempt: done, not run, unknown, or refused because of a key mismatch.

use std::time::Duration;

use marigold_schema::messages;

pub use marigold_schema::messages::NotRunCause;

/// A target's complete answer.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Answer {
    /// HTTP status of the target.
    pub status: u16,
    /// Body as JSON text.
    pub body: String,
    /// Number of tokens generated.
    pub tokens: u32,
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The target returned a complete answer.
    Done(Answer),
    /// The attempt did not run and never will.
    NotRun {
        /// Reason why it did not run.
        cause: NotRunCause,
        /// Time to wait before a retry.
        retry_after: Duration,
    },
    /// The attempt may or may not have run; holds the reason.
    Unknown(String),
    /// The idempotency key was used before with a different body; the attempt did not run.
    KeyMismatch,
}

impl Outcome {
    /// Returns the outcome of an attempt that did not run and may be retried immediately.
    pub fn not_run(cause: NotRunCause) -> Self {
        Outcome::NotRun { cause, retry_after: Duration::ZERO }
    }

    /// Converts the outcome into the event that ends the reply stream of an attempt.
    pub fn into_event(self, attempt: u64, replayed: bool) -> messages::CallEvent {
        match self {
            Outcome::Done(answer) => messages::CallEvent::Done(messages::Done {
                status: answer.status,
                body: answer.body,
                tokens: answer.tokens,
                replayed,
            }),
            Outcome::NotRun { cause, retry_after } => {
                messages::CallEvent::NotRun(messages::NotRun {
                    cause,
                    retry_after_ms: retry_after.as_millis() as u64,
                })
            }
            Outcome::Unknown(reason) => messages::CallEvent::Unknown(reason),
            Outcome::KeyMismatch => messages::CallEvent::KeyMismatch(attempt),
        }
    }
}

/// Error for an event that does not end an attempt.
#[derive(Debug, thiserror::Error)]
#[error("the event does not end an attempt")]
pub struct NotFinal;

impl TryFrom<messages::CallEvent> for Outcome {
    type Error = NotFinal;

    fn try_from(event: messages::CallEvent) -> Result<Self, NotFinal> {
        match event {
            messages::CallEvent::Done(done) => Ok(Outcome::Done(Answer {
                status: done.status,
                body: done.body,
                tokens: done.tokens,
            })),
            messages::CallEvent::NotRun(not_run) => Ok(Outcome::NotRun {
                cause: not_run.cause,
                retry_after: Duration::from_millis(not_run.retry_after_ms),
            }),
            messages::CallEvent::Unknown(reason) => Ok(Outcome::Unknown(reason)),
            messages::CallEvent::KeyMismatch(_) => Ok(Outcome::KeyMismatch),
            messages::CallEvent::Started(_)
            | messages::CallEvent::Token(_)
            | messages::CallEvent::Progress(_) => Err(NotFinal),
        }
    }
}
