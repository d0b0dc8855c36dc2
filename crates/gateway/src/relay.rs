//! Forwards a stream of events to a caller, and resumes it at another target when the first one fails.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use marigold_core::events::Splitter;
use marigold_core::ids::Uptime;
use marigold_core::memory_budget::Kind;
use marigold_core::targets::Target;
use marigold_objects::Store;
use marigold_process::boottime;
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use crate::attempts::{Attempts, SentRequest};
use crate::crashes;
use crate::dialect::Dialect;
use crate::memory::Memory;
use crate::reply_memory::ReplyHold;
use crate::request::RequestGuard;
use crate::response::Chunk;

/// Maximum number of chunks that are buffered for a slow caller.
pub(crate) const MAX_QUEUED_CHUNKS: usize = 16;
/// Size up to which events in a queue are not charged to the memory budget, in bytes. A queue of these takes 32 KB, and events of
/// models are below one kilobyte.
const MAX_UNCHARGED_BYTES: usize = 2 * 1024;
/// Size up to which an incomplete event is kept in any case, in bytes; the rest draws on the memory that streams share.
pub(crate) const MIN_BUFFERED_BYTES: usize = 8 * 1024;
/// Time without data after which another target is asked to go on with a resumable stream. It is several times the gap between
/// events that counts as late: by then the stream is late anyway, and resuming only ensures its completion.
const EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time after an event within which the next one must be complete, although data of it arrive. Callers give up a stream that
/// has no event for two seconds.
const EVENT_COMPLETION_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after the deadline for which the rest of a response is still forwarded. Targets stop by themselves earlier.
const DEADLINE_GRACE: Duration = Duration::from_millis(150);

/// Reads a target's stream in complete events.
pub(crate) struct EventStream {
    sent: SentRequest,
    body: Incoming,
    splitter: Splitter,
    /// Memory of the incomplete event.
    hold: ReplyHold,
    is_resumable: bool,
    has_events: bool,
}

/// Next item of an [`EventStream`].
pub(crate) enum StreamItem {
    Events(Bytes),
    End,
    /// A resumable stream has had no event for a while. Its target may still be at work.
    Silent,
    /// The stream failed, or ended inside an event.
    Broken(String),
}

impl EventStream {
    pub(crate) fn new(
        sent: SentRequest,
        body: Incoming,
        hold: ReplyHold,
        last_event: Option<u64>,
        is_resumable: bool,
    ) -> Self {
        let splitter = Splitter::resume(last_event);
        Self { sent, body, splitter, hold, is_resumable, has_events: false }
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_event(&self) -> Option<u64> {
        self.splitter.last_id()
    }

    /// Returns the id of the target.
    pub(crate) fn target(&self) -> &str {
        self.sent.target()
    }

    /// Returns the start of the target.
    pub(crate) fn target_start(&self) -> &Target {
        self.sent.target_start()
    }

    /// Returns the request that was sent to the target.
    pub(crate) fn sent(&self) -> &SentRequest {
        &self.sent
    }

    /// Returns the time at which the request was sent to the target.
    pub(crate) fn sent_at(&self) -> Uptime {
        self.sent.sent_at()
    }

    /// Records a failure of the target.
    pub(crate) fn on_failure(&self) {
        self.sent.on_failure();
    }

    /// Waits for the next complete events. Dropping the future loses none of them.
    pub(crate) async fn next(&mut self) -> StreamItem {
        let completion_deadline = Instant::now() + EVENT_COMPLETION_TIMEOUT;
        loop {
            let frame = if self.is_resumable {
                let timeout_at = completion_deadline.min(Instant::now() + EVENT_TIMEOUT);
                match time::timeout_at(timeout_at, self.body.frame()).await {
                    Ok(frame) => frame,
                    Err(_) => return StreamItem::Silent,
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
            let pushed = self.splitter.push(&data);
            if let Err(err) = self.hold.resize(self.splitter.buffered()) {
                return StreamItem::Broken(err.to_string());
            }
            match pushed {
                Ok(events) if events.is_empty() => {}
                Ok(events) => {
                    self.has_events = true;
                    return StreamItem::Events(events);
                }
                Err(err) => return StreamItem::Broken(err.to_string()),
            }
        }
    }
}

/// Waits for the next item of a stream that is silent, and asks another target to go on with it meanwhile. The one that is first
/// goes on: closing the other connection ends its run. Returns [`StreamItem::Silent`] when no target has taken over and the silence
/// lasts.
async fn next_after_silence<D: Dialect, S: Store>(
    stream: &mut EventStream,
    attempts: &mut Attempts<D, S>,
) -> StreamItem {
    tracing::warn!(
        request = attempts.request(),
        target = stream.target(),
        software = stream.target_start().version,
        last_event = stream.last_event(),
        "stream silent"
    );
    stream.on_failure();
    crashes::on_break(&attempts.shared, stream.sent().tracked(), None);
    let may_resume = attempts.can_retry();
    let resumed = resume_until_event(attempts, stream.last_event());
    tokio::pin!(resumed);
    let mut is_resuming = may_resume;
    // Why the stream ended while another target was asked.
    let mut broken = None;
    loop {
        tokio::select! {
            biased;
            item = stream.next(), if broken.is_none() => match item {
                StreamItem::Silent if is_resuming => {}
                StreamItem::Broken(reason) if is_resuming => broken = Some(reason),
                item => return item,
            },
            resumed = &mut resumed, if is_resuming => match resumed {
                Some((other, item)) => {
                    *stream = other;
                    return item;
                }
                None => match broken {
                    Some(reason) => return StreamItem::Broken(reason),
                    None => is_resuming = false,
                },
            },
        }
    }
}

/// Resumes a stream at another target and waits for its first item; returns `None` when that fails.
async fn resume_until_event<D: Dialect, S: Store>(
    attempts: &mut Attempts<D, S>,
    last_event: Option<u64>,
) -> Option<(EventStream, StreamItem)> {
    let mut stream = attempts.resume(last_event).await?;
    loop {
        match stream.next().await {
            StreamItem::Silent => {}
            StreamItem::Broken(reason) => {
                tracing::warn!(
                    request = attempts.request(),
                    target = stream.target(),
                    reason,
                    "stream not resumed"
                );
                stream.on_failure();
                crashes::on_break(&attempts.shared, stream.sent().tracked(), None);
                return None;
            }
            item => return Some((stream, item)),
        }
    }
}

/// Forwards events until the stream ends, the caller disconnects, the deadline and its grace time have passed, or the gateway ends.
pub(crate) async fn run<D: Dialect, S: Store>(
    mut stream: EventStream,
    mut attempts: Attempts<D, S>,
    caller: mpsc::Sender<Chunk>,
    deadline: Uptime,
    guard: RequestGuard<D, S>,
) {
    let shared = attempts.shared.clone();
    let outcome = {
        let forwarded = forward_events(&mut stream, &mut attempts, &caller);
        let time_left = (deadline + DEADLINE_GRACE).saturating_sub(boottime::now());
        tokio::select! {
            outcome = forwarded => outcome,
            () = caller.closed() => "caller_left",
            () = time::sleep(time_left) => "deadline",
            () = shared.stop.out_of_time() => "stopped",
        }
    };
    // Ending the body waits for a caller that does not read.
    guard.finish(StatusCode::OK, outcome, Some(stream.target()));
    if outcome == "whole" {
        let _ = caller.send(Chunk::End).await;
    }
}

/// Charges events to the memory budget until they are sent to the caller; `None` if others come first.
fn hold_events(memory: &Memory, events: Bytes) -> Option<Bytes> {
    if events.len() <= MAX_UNCHARGED_BYTES {
        return Some(events);
    }
    let mut hold = memory.open(Kind::Response);
    hold.grow(events.len()).ok()?;
    Some(hold.attach(events))
}

async fn forward_events<D: Dialect, S: Store>(
    stream: &mut EventStream,
    attempts: &mut Attempts<D, S>,
    caller: &mpsc::Sender<Chunk>,
) -> &'static str {
    // Whether a target has answered without an event where the stream goes on.
    let mut is_end_claimed = false;
    let mut is_silent = false;
    loop {
        let item = if is_silent {
            next_after_silence(stream, attempts).await
        } else {
            stream.next().await
        };
        is_silent = matches!(item, StreamItem::Silent);
        let reason = match item {
            StreamItem::Silent => continue,
            StreamItem::Events(events) => {
                is_end_claimed = false;
                let Some(events) = hold_events(&attempts.shared.memory, events) else {
                    attempts.shared.memory.record_refusal("stream_given_up");
                    return "memory";
                };
                if caller.send(Chunk::Data(events)).await.is_err() {
                    return "caller_left";
                }
                continue;
            }
            StreamItem::End if stream.has_events || is_end_claimed => {
                attempts.on_stream_end();
                attempts.observe_response(stream.sent_at());
                return "whole";
            }
            // It may be the end, or a fault of the target, so a second one is asked.
            StreamItem::End => {
                is_end_claimed = true;
                "the continuation has no event".to_owned()
            }
            StreamItem::Broken(reason) => {
                stream.on_failure();
                crashes::on_break(&attempts.shared, stream.sent().tracked(), None);
                reason
            }
        };
        let last_event = stream.last_event();
        tracing::warn!(
            request = attempts.request(),
            target = stream.target(),
            software = stream.target_start().version,
            reason,
            last_event,
            "stream failed"
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
