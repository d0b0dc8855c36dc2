//! One attempt at one target: sent once, watched for signs of life, and settled when the link was lost.

use std::sync::Arc;
use std::time::Duration;

use marigold_core::outcome::{NotRunCause, Outcome};
use marigold_link::client::{Link, Replies};
use marigold_schema::messages::{Call, CallEvent, Cancel, Reply, Request, Settle};

use crate::state::Shared;
use crate::targets::TargetHandle;

/// Time for an agent to take an attempt in.
const STARTED_BOUND: Duration = Duration::from_millis(400);
/// Longest time between two signs of life of a running attempt.
const PROGRESS_BOUND: Duration = Duration::from_millis(900);
/// Tries to settle an attempt after its link was lost.
const SETTLE_TRIES: u32 = 4;
/// Time between tries to settle.
const SETTLE_EVERY: Duration = Duration::from_millis(250);

/// How an attempt ended.
pub(crate) struct Ended {
    pub(crate) outcome: Outcome,
    /// Whether the answer was kept from an earlier attempt of the same key.
    pub(crate) replayed: bool,
}

impl Ended {
    fn new(outcome: Outcome) -> Self {
        Self { outcome, replayed: false }
    }
}

/// Receives the tokens of an attempt.
pub(crate) trait OnToken: FnMut(u32, String) + Send {}
impl<F: FnMut(u32, String) + Send> OnToken for F {}

/// Counts an attempt as ended when dropped, and cancels it at its agent if it is still set.
struct AttemptGuard {
    shared: Arc<Shared>,
    handle: Arc<TargetHandle>,
    attempt: Option<u64>,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        self.handle.load.on_end();
        let Some(attempt) = self.attempt else { return };
        let (shared, handle) = (self.shared.clone(), self.handle.clone());
        tokio::spawn(async move {
            let cancel = Cancel { attempt, sender: shared.member.clone().into() };
            let _ = handle.peer.request(&Request::Cancel(cancel), STARTED_BOUND).await;
        });
    }
}

/// Sends a call to a target and follows it to its end.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    handle: &Arc<TargetHandle>,
    call: Call,
    mut on_token: impl OnToken,
) -> Ended {
    let attempt = call.attempt;
    let first_token = call.resume_from;
    let mut next_token = first_token;
    let incarnation = call.agent_incarnation;
    let is_idempotent = call.idempotent;
    handle.load.on_send();
    let mut guard = AttemptGuard {
        shared: shared.clone(),
        handle: handle.clone(),
        attempt: is_idempotent.then_some(attempt),
    };
    let mut ended = match handle.peer.stream(&Request::Call(call)).await {
        Ok((link, replies)) => {
            follow(link, replies, attempt, first_token, &mut next_token, &mut on_token).await
        }
        Err(err) if err.is_before_send() => {
            tracing::debug!(%err, target = handle.name, "attempt not sent");
            Some(Ended::new(Outcome::not_run(NotRunCause::TargetRefused)))
        }
        Err(err) => {
            tracing::debug!(%err, target = handle.name, "attempt may have been sent");
            None
        }
    };
    for _ in 0..SETTLE_TRIES {
        if ended.is_some() {
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
                ended = follow(link, replies, attempt, first_token, &mut next_token, &mut on_token)
                    .await
            }
            Err(err) => {
                tracing::debug!(%err, target = handle.name, "attempt not settled yet");
                tokio::time::sleep(SETTLE_EVERY).await;
            }
        }
    }
    guard.attempt = None;
    ended.unwrap_or_else(|| {
        Ended::new(Outcome::Unknown(format!(
            "the agent of target `{}` does not answer",
            handle.name
        )))
    })
}

/// Follows the events of an attempt that began at `first_token`; none when the link was lost before the end.
pub(crate) async fn follow(
    link: Link,
    mut replies: Replies,
    attempt: u64,
    first_token: u32,
    next_token: &mut u32,
    on_token: &mut impl OnToken,
) -> Option<Ended> {
    let mut bound = STARTED_BOUND;
    loop {
        let reply = match replies.next(bound).await {
            Ok(Some(reply)) => reply,
            Ok(None) => return None,
            Err(err) => {
                tracing::info!(%err, attempt, "link lost during an attempt");
                link.close();
                return None;
            }
        };
        bound = PROGRESS_BOUND;
        match reply {
            Reply::Event(CallEvent::Token(token)) => {
                if token.index > *next_token {
                    tracing::warn!(
                        attempt,
                        index = token.index,
                        "tokens of an attempt are missing"
                    );
                    return None;
                }
                // A token that was already passed on is dropped.
                if token.index == *next_token {
                    *next_token += 1;
                    on_token(token.index, token.text);
                }
            }
            Reply::Event(
                CallEvent::Started(id) | CallEvent::Progress(id) | CallEvent::KeyMismatch(id),
            ) if id != attempt => {
                tracing::warn!(attempt, other = id, "reply of another attempt dropped");
                link.close();
                return None;
            }
            Reply::Event(CallEvent::Started(_) | CallEvent::Progress(_)) => {}
            Reply::Event(CallEvent::Done(done)) if *next_token < first_token + done.tokens => {
                tracing::warn!(attempt, "last tokens of an attempt are missing");
                return None;
            }
            Reply::Event(event) => {
                let replayed = matches!(&event, CallEvent::Done(done) if done.replayed);
                let outcome = Outcome::try_from(event)
                    .unwrap_or_else(|err| Outcome::Unknown(err.to_string()));
                return Some(Ended { outcome, replayed });
            }
            Reply::Refused(reason) => {
                tracing::warn!(reason, "attempt refused by the peer");
                return Some(Ended::new(Outcome::not_run(NotRunCause::TargetRefused)));
            }
            _ => return None,
        }
    }
}
