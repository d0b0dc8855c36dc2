//! Counts the bytes of a connection and records the time of the last read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Byte counters over all links of a process.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Returns the numbers of bytes sent and received so far.
    pub fn bytes(&self) -> (u64, u64) {
        (self.sent.load(Ordering::Relaxed), self.received.load(Ordering::Relaxed))
    }
}

#[derive(Debug)]
pub(crate) struct LastRead {
    opened: Instant,
    /// Time of the last read, in milliseconds after `opened`.
    read_at_ms: AtomicU64,
}

impl LastRead {
    pub(crate) fn new() -> Arc<Self> {
        Arc::new(Self { opened: Instant::now(), read_at_ms: AtomicU64::new(0) })
    }

    fn touch(&self) {
        self.read_at_ms.store(self.opened.elapsed().as_millis() as u64, Ordering::Relaxed);
    }

    pub(crate) fn age(&self) -> Duration {
        self.opened
            .elapsed()
            .saturating_sub(Duration::from_millis(self.read_at_ms.load(Ordering::Relaxed)))
    }
}

/// Connection wrapper that counts bytes and records reads.
#[derive(Debug)]
pub(crate) struct Metered<S> {
    pub(crate) inner: S,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) last_read: Arc<LastRead>,
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        self.traffic.received.fetch_add((buf.filled().len() - before) as u64, Ordering::Relaxed);
        self.last_read.touch();
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.traffic.sent.fetch_add(written as u64, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
