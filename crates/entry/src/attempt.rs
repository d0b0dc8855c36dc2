//! One attempt on one target: sent once, followed through its events, and settled if the link is lost.

use std::sync::Arc;
use std::time::Duration;

use marigold_core::outcome::{NotRunCause, Outcome};
use marigold_link::client::{Link, Replies};
use marigold_schema::messages::{Call, CallEvent, Cancel, Reply, Request, Settle};

use crate::state::Shared;
use crate::targets::TargetHandle;

/// Timeout for the first event of a request, and for the reply to a cancellation.
const START_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum time between two events of a running attempt.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(900);
/// Maximum number of requests to settle an attempt after its link was lost.
const MAX_SETTLE_ATTEMPTS: u32 = 4;
const SETTLE_RETRY_DELAY: Duration = Duration::from_millis(250);

pub(crate) struct AttemptResult {
    pub(crate) outcome: Outcome,
    /// Whether the answer was stored by an earlier attempt with the same key.
    pub(crate) replayed: bool,
}

impl AttemptResult {
    fn new(outcome: Outcome) -> Self {
        Self { outcome, replayed: false }
    }
}

/// Callback that receives the index and text of each token of an attempt.
pub(crate) trait OnToken: FnMut(u32, String) + Send {}
impl<F: FnMut(u32, String) + Send> OnToken for F {}

/// When dropped, counts the attempt as ended, and cancels it at its agent if `to_cancel` is set.
struct AttemptGuard {
    shared: Arc<Shared>,
    handle: Arc<TargetHandle>,
    to_cancel: Option<u64>,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.handle.load.on_end();
        let Some(attempt) = self.to_cancel else { return };
        let (shared, handle) = (self.shared.clone(), self.handle.clone());
        tokio::spawn(async move {
            let cancel = Cancel { attempt, sender: shared.member.clone().into() };
            let _ = handle.peer.request(&Request::Cancel(cancel), START_TIMEOUT).await;
        });
    }
}

/// Sends a call to a target and follows it until it ends.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    handle: &Arc<TargetHandle>,
    call: Call,
    mut on_token: impl OnToken,
) -> AttemptResult {
    let attempt = call.attempt;
    let first_token = call.resume_from;
    let mut next_token = first_token;
    let incarnation = call.agent_incarnation;
    let is_idempotent = call.idempotent;
    handle.load.on_send();
    let mut guard = AttemptGuard {
        shared: shared.clone(),
        handle: handle.clone(),
        to_cancel: is_idempotent.then_some(attempt),
    };
    let mut result = match handle.peer.stream(&Request::Call(call)).await {
        Ok((link, replies)) => {
            follow_events(link, replies, attempt, first_token, &mut next_token, &mut on_token).await
        }
        Err(err) if err.is_before_send() => {
            tracing::debug!(%err, target = handle.name, "attempt not sent");
            Some(AttemptResult::new(Outcome::not_run(NotRunCause::TargetRefused)))
        }
        Err(err) => {
            tracing::debug!(%err, target = handle.name, "attempt may have been sent");
            None
        }
    };
    for _ in 0..MAX_SETTLE_ATTEMPTS {
        if result.is_some() {
            break;
        }
        let settle = Settle {
            attempt,
            sender: shared.member.clone().into(),
            agent_incarnation: incarnation,
            resume_from: next_token,
        };
        shared.metrics.settles.add(1, &[]);
        match handle.peer.stream(&Request::Settle(settle)).await {
            Ok((link, replies)) => {
                result = follow_events(
                    link,
                    replies,
                    attempt,
                    first_token,
                    &mut next_token,
                    &mut on_token,
                )
                .await
            }
            Err(err) => {
                tracing::debug!(%err, target = handle.name, "settling an attempt failed");
                tokio::time::sleep(SETTLE_RETRY_DELAY).await;
            }
        }
    }
    guard.to_cancel = None;
    result.unwrap_or_else(|| {
        AttemptResult::new(Outcome::Unknown(format!(
            "the agent of target `{}` does not answer",
            handle.name
        )))
    })
}

/// Follows the events of an attempt that starts at `first_token`. Returns none if they break off, or if tokens are
/// missing or belong to another attempt, so that the outcome is unknown.
pub(crate) async fn follow_events(
    link: Link,
    mut replies: Replies,
    attempt: u64,
    first_token: u32,
    next_token: &mut u32,
    on_token: &mut impl OnToken,
) -> Option<AttemptResult> {
    let mut timeout = START_TIMEOUT;
    loop {
        let reply = match replies.next(timeout).await {
            Ok(Some(reply)) => reply,
            Ok(None) => return None,
            Err(err) => {
                tracing::info!(%err, attempt, "link lost during an attempt");
                link.close();
                return None;
            }
        };
        timeout = PROGRESS_TIMEOUT;
        match reply {
            Reply::Event(CallEvent::Token(token)) => {
                if token.index > *next_token {
                    tracing::warn!(attempt, index = token.index, "attempt is missing tokens");
                    return None;
                }
                // Drops a token that was already delivered.
                if token.index == *next_token {
                    *next_token += 1;
                    on_token(token.index, token.text);
                }
            }
            Reply::Event(
                CallEvent::Started(id) | CallEvent::Progress(id) | CallEvent::KeyMismatch(id),
            ) if id != attempt => {
                tracing::warn!(
                    attempt,
                    other = id,
                    "received an event of another attempt; closing the link"
                );
                link.close();
                return None;
            }
            Reply::Event(CallEvent::Started(_) | CallEvent::Progress(_)) => {}
            Reply::Event(CallEvent::Done(done)) if *next_token < first_token + done.tokens => {
                tracing::warn!(attempt, "attempt ended before its last tokens arrived");
                return None;
            }
            Reply::Event(event) => {
                let replayed = matches!(&event, CallEvent::Done(done) if done.replayed);
                let outcome = Outcome::try_from(event)
                    .unwrap_or_else(|err| Outcome::Unknown(err.to_string()));
                return Some(AttemptResult { outcome, replayed });
            }
            Reply::Refused(reason) => {
                tracing::warn!(reason, "attempt refused by the peer");
                return Some(AttemptResult::new(Outcome::not_run(NotRunCause::TargetRefused)));
            }
            _ => return None,
        }
    }
}
