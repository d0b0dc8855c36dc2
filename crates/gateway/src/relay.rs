//! Passes a stream of events on to a caller, and goes on from another target when the first breaks off.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use marigold_core::events::Splitter;
use marigold_core::ids::Uptime;
use marigold_objects::Store;
use marigold_process::boottime;
use tokio::sync::mpsc;
use tokio::time;

use crate::attempts::{Attempts, Sent};
use crate::dialect::Dialect;
use crate::request::Guard;
use crate::response::{Aborted, Part};

/// Parts that wait for a caller who reads slowly.
pub(crate) const QUEUE: usize = 16;
/// Silence after which a resumable stream goes on elsewhere: several times the pause that counts as late, so the
/// stream is late already and only its completion can be saved.
const SILENCE: Duration = Duration::from_millis(1_500);
/// Time past the deadline for which the rest of an answer is still passed on; the target stops by itself before.
const AFTER_DEADLINE: Duration = Duration::from_millis(150);

/// Reads a target's stream by whole events.
pub(crate) struct Source {
    sent: Sent,
    body: Incoming,
    splitter: Splitter,
    is_resumable: bool,
}

/// What came next.
pub(crate) enum Next {
    Events(Bytes),
    End,
    /// The target broke off, or was silent for too long.
    Broken(String),
}

impl Source {
    pub(crate) fn new(
        sent: Sent,
        body: Incoming,
        last_event: Option<u64>,
        is_resumable: bool,
    ) -> Self {
        Self { sent, body, splitter: Splitter::resume(last_event), is_resumable }
    }

    /// Id of the last whole event.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Id of the target.
    pub(crate) fn target(&self) -> &str {
        self.sent.target()
    }

    /// When the request was sent to the target.
    pub(crate) fn started(&self) -> Uptime {
        self.sent.started()
    }

    /// Notes that the target failed.
    pub(crate) fn on_failure(&self) {
        self.sent.on_failure();
    }

    /// The next whole events.
    pub(crate) async fn next(&mut self) -> Next {
        loop {
            let frame = if self.is_resumable {
                match time::timeout(SILENCE, self.body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) => return Next::Broken(format!("no event for {SILENCE:?}")),
                }
            } else {
                self.body.frame().await
            };
            let data = match frame {
                None => {
                    self.sent.on_success();
                    let rest = self.splitter.rest();
                    return if rest.is_empty() {
                        Next::End
                    } else {
                        Next::Broken("the stream ends inside an event".to_owned())
                    };
                }
                Some(Err(err)) => return Next::Broken(crate::upstream::describe(&err)),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            match self.splitter.push(&data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return Next::Events(events),
                Err(err) => return Next::Broken(err.to_string()),
            }
        }
    }
}

/// Passes events on until the stream ends, the caller leaves, or the deadline has passed.
pub(crate) async fn run<D: Dialect, S: Store>(
    mut source: Source,
    mut attempts: Attempts<D, S>,
    caller: mpsc::Sender<Part>,
    deadline: Uptime,
    guard: Guard<D, S>,
) {
    let outcome = {
        let passed = pass(&mut source, &mut attempts, &caller);
        let left = (deadline + AFTER_DEADLINE).saturating_sub(boottime::now());
        tokio::select! {
            outcome = passed => outcome,
            () = caller.closed() => "caller_left",
            () = time::sleep(left) => "deadline",
        }
    };
    if !matches!(outcome, "whole" | "caller_left") {
        // The caller's connection is closed without the end of the body.
        let _ = caller.send(Err(Aborted)).await;
    }
    guard.finish(StatusCode::OK, outcome, Some(source.target()));
}

async fn pass<D: Dialect, S: Store>(
    source: &mut Source,
    attempts: &mut Attempts<D, S>,
    caller: &mpsc::Sender<Part>,
) -> &'static str {
    loop {
        match source.next().await {
            Next::Events(events) => {
                if caller.send(Ok(events)).await.is_err() {
                    return "caller_left";
                }
            }
            Next::End => return "whole",
            Next::Broken(reason) => {
                source.on_failure();
                let last_event = source.last_event();
                tracing::warn!(
                    request = attempts.request(),
                    target = source.target(),
                    reason,
                    last_event,
                    "stream broke off"
                );
                if !source.is_resumable {
                    return "broken";
                }
                match attempts.resume(last_event).await {
                    Some(next) => *source = next,
                    None => return "broken",
                }
            }
        }
    }
}
