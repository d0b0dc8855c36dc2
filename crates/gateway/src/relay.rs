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

use crate::attempts::{Attempts, SentRequest};
use crate::dialect::Dialect;
use crate::request::RequestGuard;
use crate::response::{Aborted, Chunk};

/// Parts that wait for a caller who reads slowly.
pub(crate) const MAX_QUEUED_CHUNKS: usize = 16;
/// Silence after which a resumable stream goes on elsewhere: several times the pause that counts as late, so the
/// stream is late already and only its completion can be saved.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time past the deadline for which the rest of an answer is still passed on; the target stops by itself before.
const DEADLINE_GRACE: Duration = Duration::from_millis(150);

/// Reads a target's stream by whole events.
pub(crate) struct EventStream {
    sent: SentRequest,
    body: Incoming,
    splitter: Splitter,
    is_resumable: bool,
}

/// What came next.
pub(crate) enum StreamItem {
    Events(Bytes),
    End,
    /// The target broke off, or was silent for too long.
    Broken(String),
}

impl EventStream {
    pub(crate) fn new(
        sent: SentRequest,
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
    pub(crate) fn sent_at(&self) -> Uptime {
        self.sent.sent_at()
    }

    /// Notes that the target failed.
    pub(crate) fn on_failure(&self) {
        self.sent.on_failure();
    }

    /// The next whole events.
    pub(crate) async fn next(&mut self) -> StreamItem {
        loop {
            let frame = if self.is_resumable {
                match time::timeout(EVENT_TIMEOUT, self.body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) => return StreamItem::Broken(format!("no event for {EVENT_TIMEOUT:?}")),
                }
            } else {
                self.body.frame().await
            };
            let data = match frame {
                None => {
                    self.sent.on_success();
                    let rest = self.splitter.rest();
                    return if rest.is_empty() {
                        StreamItem::End
                    } else {
                        StreamItem::Broken("the stream ends inside an event".to_owned())
                    };
                }
                Some(Err(err)) => return StreamItem::Broken(crate::upstream::error_chain(&err)),
                Some(Ok(frame)) => frame.into_data().unwrap_or_default(),
            };
            match self.splitter.push(&data) {
                Ok(events) if events.is_empty() => {}
                Ok(events) => return StreamItem::Events(events),
                Err(err) => return StreamItem::Broken(err.to_string()),
            }
        }
    }
}

/// Passes events on until the stream ends, the caller leaves, or the deadline has passed.
pub(crate) async fn run<D: Dialect, S: Store>(
    mut stream: EventStream,
    mut attempts: Attempts<D, S>,
    caller: mpsc::Sender<Chunk>,
    deadline: Uptime,
    guard: RequestGuard<D, S>,
) {
    let outcome = {
        let forwarded = forward_events(&mut stream, &mut attempts, &caller);
        let time_left = (deadline + DEADLINE_GRACE).saturating_sub(boottime::now());
        tokio::select! {
            outcome = forwarded => outcome,
            () = caller.closed() => "caller_left",
            () = time::sleep(time_left) => "deadline",
        }
    };
    if !matches!(outcome, "whole" | "caller_left") {
        // The caller's connection is closed without the end of the body.
        let _ = caller.send(Err(Aborted)).await;
    }
    guard.finish(StatusCode::OK, outcome, Some(stream.target()));
}

async fn forward_events<D: Dialect, S: Store>(
    stream: &mut EventStream,
    attempts: &mut Attempts<D, S>,
    caller: &mpsc::Sender<Chunk>,
) -> &'static str {
    loop {
        match stream.next().await {
            StreamItem::Events(events) => {
                if caller.send(Ok(events)).await.is_err() {
                    return "caller_left";
                }
            }
            StreamItem::End => return "whole",
            StreamItem::Broken(reason) => {
                stream.on_failure();
                let last_event = stream.last_event();
                tracing::warn!(
                    request = attempts.request(),
                    target = stream.target(),
                    reason,
                    last_event,
                    "stream broke off"
                );
                if !stream.is_resumable {
                    return "broken";
                }
                match attempts.resume(last_event).await {
                    Some(resumed) => *stream = resumed,
                    None => return "broken",
                }
            }
        }
    }
}
