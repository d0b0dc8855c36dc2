//! Timeout for receiving a request head, separate from the idle timeout of the connection.
//!
//! hyper has one timer for both, but callers reuse connections that were idle for longer than a head may take.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use parking_lot::Mutex;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{self, Instant};

use crate::response::{Aborted, Body};

/// Measures the time since the first byte of a request head on one connection.
pub(crate) struct HeadTimer {
    /// Arrival of the first byte of a head that is incomplete.
    started: Mutex<Option<Instant>>,
    is_busy: AtomicBool,
    /// When the connection was opened, or its last response ended.
    idle_since: Mutex<Instant>,
    head_started: Notify,
}

impl Default for HeadTimer {
    fn default() -> Self {
        Self {
            started: Mutex::default(),
            is_busy: AtomicBool::new(false),
            idle_since: Mutex::new(Instant::now()),
            head_started: Notify::new(),
        }
    }
}

impl HeadTimer {
    fn on_bytes(&self) {
        let mut started = self.started.lock();
        if !self.is_busy.load(Ordering::Relaxed) && started.is_none() {
            *started = Some(Instant::now());
            self.head_started.notify_one();
        }
    }

    /// Returns since when the connection has had no request in progress; `None` if it has one.
    pub(crate) fn idle_since(&self) -> Option<Instant> {
        (!self.is_busy.load(Ordering::Relaxed)).then(|| *self.idle_since.lock())
    }

    /// Stops the timer at a complete head. The connection counts as busy until the guard is dropped, and bytes that
    /// arrive meanwhile don't start the timer.
    pub(crate) fn on_request(self: &Arc<Self>) -> BusyGuard {
        self.is_busy.store(true, Ordering::Relaxed);
        *self.started.lock() = None;
        BusyGuard(self.clone())
    }

    /// Returns when a head has been incomplete for `timeout`.
    pub(crate) async fn expired(&self, timeout: Duration) {
        loop {
            self.head_started.notified().await;
            loop {
                let Some(started) = *self.started.lock() else { break };
                time::sleep_until(started + timeout).await;
                if *self.started.lock() == Some(started) {
                    return;
                }
            }
        }
    }
}

/// Marks the connection as busy until dropped.
pub(crate) struct BusyGuard(Arc<HeadTimer>);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        *self.0.idle_since.lock() = Instant::now();
        self.0.is_busy.store(false, Ordering::Relaxed);
    }
}

/// A connection that starts the timer when bytes arrive.
pub(crate) struct TimedStream {
    pub(crate) stream: TcpStream,
    pub(crate) timer: Arc<HeadTimer>,
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.timer.on_bytes();
        }
        polled
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// A response body that marks its connection as busy until it has been sent.
pub(crate) struct BusyBody {
    pub(crate) body: Body,
    pub(crate) _busy: BusyGuard,
}

impl http_body::Body for BusyBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
