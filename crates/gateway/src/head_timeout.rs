//! Timeout for receiving a request head, separate from the idle timeout of the connection.
//!
//! hyper has one timer for both, but callers reuse connections that were idle for longer than a head may take.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Frame, SizeHint};
use parking_lot::Mutex;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{self, Instant, Sleep};

use crate::response::{Aborted, Body};

/// Time for which a connection is kept after its last response for what the caller still sends.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Measures the time since the first byte of a request head on one connection.
pub(crate) struct HeadTimer {
    /// Arrival of the first byte of a head that is incomplete.
    started: Mutex<Option<Instant>>,
    is_busy: AtomicBool,
    /// Whether the response in progress is the last one, during which the caller may still send the rest of a body or another request.
    is_last_response: AtomicBool,
    /// Whether the end of the connection is the end of the response in progress, and that response is not complete.
    must_reset: AtomicBool,
    /// When the connection was opened, or its last response ended.
    idle_since: Mutex<Instant>,
    head_started: Notify,
}

impl Default for HeadTimer {
    fn default() -> Self {
        Self {
            started: Mutex::default(),
            is_busy: AtomicBool::new(false),
            is_last_response: AtomicBool::new(false),
            must_reset: AtomicBool::new(false),
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
        self.is_last_response.store(false, Ordering::Relaxed);
        *self.started.lock() = None;
        BusyGuard(self.clone())
    }

    /// Records that the connection is closed after the response in progress, if there is one.
    pub(crate) fn on_last_response(&self) {
        self.is_last_response.store(self.is_busy.load(Ordering::Relaxed), Ordering::Relaxed);
    }

    /// Records whether the response in progress, whose end is that of the connection, is incomplete. While it is, the connection
    /// ends with a reset, also when the process is killed.
    pub(crate) fn set_reset(&self, must_reset: bool) {
        self.must_reset.store(must_reset, Ordering::Relaxed);
    }

    fn must_reset(&self) -> bool {
        self.must_reset.load(Ordering::Relaxed)
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

impl BusyGuard {
    /// Records that the response is complete.
    fn on_response_end(&self) {
        self.0.set_reset(false);
    }
}

impl Drop for BusyGuard {
    fn drop(&mut self) {
        *self.0.idle_since.lock() = Instant::now();
        self.0.is_busy.store(false, Ordering::Relaxed);
    }
}

/// A connection that starts the timer when bytes arrive.
pub(crate) struct TimedStream {
    stream: TcpStream,
    timer: Arc<HeadTimer>,
    /// Time for which the connection still lingers; set once its write half is closed.
    lingering: Option<Pin<Box<Sleep>>>,
    /// Whether the kernel resets the connection when it is closed.
    resets: bool,
}

impl TimedStream {
    pub(crate) fn new(stream: TcpStream, timer: Arc<HeadTimer>) -> Self {
        Self { stream, timer, lingering: None, resets: false }
    }

    /// Sets whether the kernel resets the connection when it is closed.
    fn set_resets(&mut self, resets: bool) -> io::Result<()> {
        if self.resets != resets {
            SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO))?;
            self.resets = resets;
        }
        Ok(())
    }

    /// Called before bytes are written. The reset is taken back when all are written, in [`Self::poll_shutdown`].
    fn on_write(&mut self) -> io::Result<()> {
        if self.timer.must_reset() { self.set_resets(true) } else { Ok(()) }
    }

    /// Discards what the caller sends until it closes the connection. A connection that is closed with unread bytes is
    /// reset, and the caller may lose the response.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let lingering = self.lingering.get_or_insert_with(|| Box::pin(time::sleep(LINGER_TIME)));
        if lingering.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Ok(()));
        }
        let mut bytes = [0; 4096];
        loop {
            let mut buf = ReadBuf::new(&mut bytes);
            match ready!(Pin::new(&mut self.stream).poll_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => {}
                _ => return Poll::Ready(Ok(())),
            }
        }
    }
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
        self.on_write()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let must_reset = self.timer.must_reset();
        self.set_resets(must_reset)?;
        if must_reset {
            return Poll::Ready(Ok(()));
        }
        if self.lingering.is_none() {
            ready!(Pin::new(&mut self.stream).poll_shutdown(cx))?;
        }
        if self.timer.is_last_response.load(Ordering::Relaxed) {
            return self.poll_linger(cx);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.on_write()?;
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// A response body that marks its connection as busy until it has been sent.
pub(crate) struct BusyBody {
    pub(crate) body: Body,
    pub(crate) busy: BusyGuard,
}

impl http_body::Body for BusyBody {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if let Poll::Ready(None) = polled {
            self.busy.on_response_end();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
