//! Responses to callers, and their bodies.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// Aborts a streamed body: the connection is closed without the end of the body, so that the caller sees that the
/// body is incomplete.
#[derive(Debug, thiserror::Error)]
#[error("the target's reply ended early")]
pub(crate) struct Aborted;

/// Part of a streamed body. Without [`Chunk::End`] the body is aborted, however its sender ends.
pub(crate) enum Chunk {
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Body of a response.
pub(crate) enum Body {
    /// A complete body, or none.
    Full(Option<Bytes>),
    /// Chunks that are forwarded as they arrive.
    Streamed(mpsc::Receiver<Chunk>),
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match self.get_mut() {
            Body::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Streamed(chunks) => chunks.poll_recv(cx).map(|chunk| match chunk {
                Some(Chunk::Data(data)) => Some(Ok(Frame::data(data))),
                Some(Chunk::End) => None,
                None => Some(Err(Aborted)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Body::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Body::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Body::Streamed(_) => SizeHint::default(),
        }
    }
}

/// Returns a response with a complete body.
pub(crate) fn full(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let body = body.into();
    let mut response = Response::new(Body::Full((!body.is_empty()).then_some(body)));
    *response.status_mut() = status;
    response
}

/// Retry-After of a request that is refused because the gateway is being stopped. Another one can take it at once.
const STOP_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Marks a response whose request may have a body that was not read to its end.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreadBody;

/// Error response that the gateway itself generates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Failure {
    pub(crate) status: StatusCode,
    /// Reason that is sent to the caller and logged.
    pub(crate) reason: String,
    /// Time after which the caller may retry.
    pub(crate) retry_after: Option<Duration>,
    /// Whether the connection is closed after the response.
    pub(crate) closes_connection: bool,
}

impl Failure {
    /// Creates a failure after which the connection stays open.
    pub(crate) fn new(status: StatusCode, reason: impl Into<String>) -> Self {
        Self { status, reason: reason.into(), retry_after: None, closes_connection: false }
    }

    /// Creates a refusal of a request that has not run and will not run.
    pub(crate) fn refused(reason: impl Into<String>, retry_after: Duration) -> Self {
        let failure = Self::new(StatusCode::SERVICE_UNAVAILABLE, reason);
        Self { retry_after: Some(retry_after), ..failure }
    }

    /// Creates a refusal of a request that has not run and would not be done before the gateway ends.
    pub(crate) fn stopping() -> Self {
        Self::refused("the gateway is being stopped", STOP_RETRY_AFTER)
    }

    /// Returns the failure with the connection closed after the response.
    pub(crate) fn closing_connection(self) -> Self {
        Self { closes_connection: true, ..self }
    }
}

impl From<&Failure> for Response<Body> {
    fn from(failure: &Failure) -> Self {
        let mut response = full(failure.status, format!("{}\n", failure.reason));
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
        if let Some(after) = failure.retry_after {
            let seconds = format!("{:.3}", after.as_secs_f64());
            headers.extend(
                HeaderValue::try_from(seconds).ok().map(|value| (header::RETRY_AFTER, value)),
            );
        }
        if failure.closes_connection {
            headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}
