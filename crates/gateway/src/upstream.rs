//! Connections to targets and to the store.
//!
//! Each request of a caller uses a connection of its own. No part of an earlier reply, nor a second copy of it, can be mistaken
//! for its response, an unresponsive target is detected when the connection is opened, and closing the connection cancels the
//! request. Connections to the store and those of stage calls (`stage_connections`) are reused.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::{self, Instant};

use crate::reply_memory::{Exhausted, ReplyMemory};

/// Timeout for opening a connection. It covers several round trips and the target's handshake, for which the
/// deployments' data sheets state 1 ms.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(250);
/// Maximum size of the head of a reply, and of the buffer of a connection, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of bytes until the head of a reply is complete: interim replies, the head, and the part of the body that is read
/// with it. The parser reads interim replies as long as there are any.
const MAX_BYTES_BEFORE_HEAD: usize = 4 * MAX_HEAD_BYTES;
/// Maximum number of interim replies to a request.
const MAX_INTERIM_REPLIES: usize = 16;
/// Value of the number of bytes that may be read when it is not limited.
const UNLIMITED: usize = usize::MAX;
/// Size up to which the body of a reply to a call of this process is read in any case, in bytes.
const MIN_BODY_BYTES: usize = 16 * 1024;
/// Time without an answer after which the kernel probes a connection, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Time with unacknowledged bytes after which the kernel closes a connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

/// Reason why a call returned no reply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection was not opened, so the target has not received the request.
    #[error("opening a connection to {peer}: {reason}")]
    NotSent {
        /// Address that was called.
        peer: SocketAddr,
        /// Error of the operating system or the handshake, or a timeout.
        reason: String,
    },
    /// The target may have received the request.
    #[error("calling {peer}: {reason}")]
    MaybeSent {
        /// Address that was called.
        peer: SocketAddr,
        /// Error of the connection, or a timeout.
        reason: String,
    },
    /// The replies in progress leave too little memory for this one.
    #[error("calling {peer}: {reason}")]
    NoMemory {
        /// Address that was called.
        peer: SocketAddr,
        /// What uses the memory.
        reason: Exhausted,
    },
    /// The reply has more bytes than are accepted.
    #[error("calling {peer}: the reply has more than {limit} bytes")]
    TooLarge {
        /// Address that was called.
        peer: SocketAddr,
        /// Maximum size of the body, in bytes.
        limit: usize,
    },
}

/// Stream of which a limited number of bytes is read before the head of a reply is complete.
struct HeadLimited {
    inner: TcpStream,
    remaining: Arc<AtomicUsize>,
}

impl AsyncRead for HeadLimited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.remaining.load(Ordering::Relaxed) == 0 {
            let reason = format!(
                "no final reply after {MAX_INTERIM_REPLIES} interim ones, or within {MAX_BYTES_BEFORE_HEAD} bytes"
            );
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let filled = buf.filled().len();
        let polled = Pin::new(&mut self.inner).poll_read(cx, buf);
        use_up(&self.remaining, buf.filled().len() - filled);
        polled
    }
}

/// Reduces the number of bytes that may be read before the head of a reply is complete.
fn use_up(remaining: &AtomicUsize, bytes: usize) {
    let subtract =
        |remaining: usize| (remaining != UNLIMITED).then(|| remaining.saturating_sub(bytes));
    // Fails only where there is no limit.
    let _ = remaining.fetch_update(Ordering::Relaxed, Ordering::Relaxed, subtract);
}

impl AsyncWrite for HeadLimited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}

/// An open connection; dropping it closes it.
pub struct Connection {
    peer: SocketAddr,
    local: SocketAddr,
    /// Number of bytes that may be read before the head of the reply is complete.
    remaining: Arc<AtomicUsize>,
    send: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Lets the kernel detect that the other end of a connection is unreachable, and disables Nagle's algorithm.
pub(crate) fn configure_socket(stream: &TcpStream) -> std::io::Result<()> {
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    stream.set_nodelay(true)
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    /// [`Error::NotSent`] when the connection fails or is not open within [`OPEN_TIMEOUT`].
    pub async fn open(peer: SocketAddr) -> Result<Self> {
        let not_sent = |reason: String| Error::NotSent { peer, reason };
        let stream = time::timeout(OPEN_TIMEOUT, TcpStream::connect(peer))
            .await
            .map_err(|_| not_sent(format!("no answer within {OPEN_TIMEOUT:?}")))?
            .map_err(|err| not_sent(err.to_string()))?;
        configure_socket(&stream).map_err(|err| not_sent(err.to_string()))?;
        let local = stream.local_addr().map_err(|err| not_sent(err.to_string()))?;
        let remaining = Arc::new(AtomicUsize::new(MAX_BYTES_BEFORE_HEAD));
        let limited = HeadLimited { inner: stream, remaining: remaining.clone() };
        let (send, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(limited))
            .await
            .map_err(|err| not_sent(err.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(err) = connection.await {
                tracing::debug!(%peer, %err, "connection to a target ended");
            }
        });
        Ok(Self { peer, local, remaining, send, task: task.abort_handle() })
    }

    /// Returns whether another request can be sent.
    pub fn is_open(&self) -> bool {
        self.send.is_ready() && !self.send.is_closed()
    }

    /// Sends a request and returns the reply after its head has arrived. Its body can be read until the connection is
    /// dropped.
    ///
    /// # Errors
    /// [`Error::MaybeSent`] when the connection fails before the head of the reply.
    pub async fn send(&mut self, mut req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        let peer = self.peer;
        self.remaining.store(MAX_BYTES_BEFORE_HEAD, Ordering::Relaxed);
        let remaining = self.remaining.clone();
        hyper::ext::on_informational(&mut req, move |_| {
            use_up(&remaining, MAX_BYTES_BEFORE_HEAD / MAX_INTERIM_REPLIES);
        });
        let response = self.send.send_request(req).await;
        self.remaining.store(UNLIMITED, Ordering::Relaxed);
        response.map_err(|err| Error::MaybeSent { peer, reason: error_chain(&err) })
    }

    /// Sends a request and reads the complete reply, whose body may have up to `limit` bytes.
    ///
    /// # Errors
    /// [`Error::TooLarge`], [`Error::NoMemory`] or [`Error::MaybeSent`]; the latter also when the reply is not complete at the deadline.
    pub(crate) async fn exchange(
        &mut self,
        req: Request<Bytes>,
        deadline: Instant,
        limit: usize,
        memory: &ReplyMemory,
    ) -> Result<Response<Bytes>> {
        let started = Instant::now();
        let (peer, local) = (self.peer, self.local);
        let exchanged = time::timeout_at(deadline, async {
            let mut req = req.map(Full::new);
            let host =
                HeaderValue::try_from(peer.to_string()).expect("an address is a valid header");
            req.headers_mut().insert(header::HOST, host);
            let (head, body) = self.send(req).await?.into_parts();
            let body = read_body(peer, body, limit, memory).await?;
            Ok(Response::from_parts(head, body))
        });
        exchanged.await.unwrap_or_else(|_| {
            let waited = started.elapsed();
            let reason =
                format!("no complete reply within {waited:.1?} on the connection from {local}");
            Err(Error::MaybeSent { peer, reason })
        })
    }

    /// Waits until another request can be sent after a complete reply; returns whether that is so, and nothing else has arrived
    /// so far.
    pub(crate) async fn settle(&mut self, timeout: Duration) -> bool {
        let is_ready = matches!(time::timeout(timeout, self.send.ready()).await, Ok(Ok(())));
        // Lets the connection's task read what arrived with the reply.
        tokio::task::yield_now().await;
        is_ready && self.is_open()
    }
}

/// Reads a body of up to `limit` bytes.
async fn read_body(
    peer: SocketAddr,
    mut body: Incoming,
    limit: usize,
    memory: &ReplyMemory,
) -> Result<Bytes> {
    let mut hold = memory.open(MIN_BODY_BYTES);
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| {
            let reason = format!("reading the reply: {}", error_chain(&err));
            Error::MaybeSent { peer, reason }
        })?;
        let Ok(data) = frame.into_data() else { continue };
        let size = buf.len() + data.len();
        if size > limit {
            return Err(Error::TooLarge { peer, limit });
        }
        hold.resize(size).map_err(|reason| Error::NoMemory { peer, reason })?;
        buf.extend_from_slice(&data);
    }
    Ok(buf.into())
}

/// Returns whether an address refuses connections, so that no process listens there.
pub(crate) async fn is_refused(peer: SocketAddr) -> bool {
    let opened = time::timeout(OPEN_TIMEOUT, TcpStream::connect(peer)).await;
    matches!(opened, Ok(Err(err)) if err.kind() == std::io::ErrorKind::ConnectionRefused)
}

/// Pool of reused connections to one address, for calls that this process makes itself.
pub struct Client {
    peer: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    memory: ReplyMemory,
}

impl Client {
    /// Creates a client without opening a connection. Its replies share `memory`.
    pub fn new(peer: SocketAddr, memory: ReplyMemory) -> Self {
        Self { peer, idle: Mutex::default(), memory }
    }

    /// Sends a request and reads the complete reply, whose body may have up to `limit` bytes.
    ///
    /// If `may_retry` is set, a call that fails on a reused connection is repeated on a new one.
    ///
    /// # Errors
    /// [`Error::NotSent`], [`Error::TooLarge`], [`Error::NoMemory`] or [`Error::MaybeSent`]; the latter also when the reply is
    /// not complete within `timeout`.
    pub async fn exchange(
        &self,
        req: Request<Bytes>,
        may_retry: bool,
        timeout: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>> {
        let deadline = Instant::now() + timeout;
        let idle = self.pop_idle();
        if let Some(connection) = idle {
            match self.exchange_on(connection, req.clone(), deadline, limit).await {
                Err(_) if may_retry && Instant::now() < deadline => {}
                result => return result,
            }
        }
        let opened = time::timeout_at(deadline, Connection::open(self.peer));
        let connection = opened.await.unwrap_or_else(|_| {
            let reason = format!("no connection within {timeout:?}");
            Err(Error::NotSent { peer: self.peer, reason })
        })?;
        self.exchange_on(connection, req, deadline, limit).await
    }

    fn pop_idle(&self) -> Option<Connection> {
        let mut idle = self.idle.lock();
        idle.retain(Connection::is_open);
        idle.pop()
    }

    async fn exchange_on(
        &self,
        mut connection: Connection,
        req: Request<Bytes>,
        deadline: Instant,
        limit: usize,
    ) -> Result<Response<Bytes>> {
        let result = connection.exchange(req, deadline, limit, &self.memory).await;
        if result.is_err() && Instant::now() >= deadline {
            // Connections of one path go silent together, and each would cost a timeout.
            self.idle.lock().clear();
        }
        let reply = result?;
        if connection.is_open() {
            self.idle.lock().push(connection);
        }
        Ok(reply)
    }
}

/// Returns the text of an error, followed by those of its causes.
pub(crate) fn error_chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
