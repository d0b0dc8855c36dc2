//! Connections to targets.
//!
//! A caller's request goes over a connection of its own: nothing of an earlier reply can then be taken for its answer,
//! a target that answers nothing shows at once, and closing the connection cancels the request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, header};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time;

/// Time for opening a connection: several round trips and the target's handshake, of 1 ms by the deployments' sheets.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(250);
/// Time without an answer after which the kernel probes a connection, and the pause between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Probes without an answer, or time with unacknowledged bytes, after which a connection is given up.
const KEEPALIVE_PROBES: u32 = 2;
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(3);

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call gave no reply.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection was not opened, so the target has seen nothing of the request.
    #[error("opening a connection to {peer}: {reason}")]
    NotSent {
        /// The address.
        peer: SocketAddr,
        /// What the system said.
        reason: String,
    },
    /// The target may have seen the request.
    #[error("calling {peer}: {reason}")]
    MaybeSent {
        /// The address.
        peer: SocketAddr,
        /// What the connection said.
        reason: String,
    },
}

/// An open connection; dropping it closes it.
pub struct Connection {
    peer: SocketAddr,
    send: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Lets the kernel find out that the other end of a connection is gone.
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
    /// [`Error::NotSent`].
    pub async fn open(peer: SocketAddr) -> Result<Self> {
        let not_sent = |reason: String| Error::NotSent { peer, reason };
        let stream = time::timeout(OPEN_TIMEOUT, TcpStream::connect(peer))
            .await
            .map_err(|_| not_sent(format!("no answer within {OPEN_TIMEOUT:?}")))?
            .map_err(|err| not_sent(err.to_string()))?;
        configure_socket(&stream).map_err(|err| not_sent(err.to_string()))?;
        let (send, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|err| not_sent(err.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(err) = connection.await {
                tracing::debug!(%peer, %err, "connection to a target ended");
            }
        });
        Ok(Self { peer, send, task: task.abort_handle() })
    }

    /// Whether another request can be sent.
    pub fn is_open(&self) -> bool {
        self.send.is_ready() && !self.send.is_closed()
    }

    /// Sends a request and gives the head of the reply; the body can be read while the channel lives.
    ///
    /// # Errors
    /// [`Error::MaybeSent`].
    pub async fn send(&mut self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>> {
        let peer = self.peer;
        let sent = self.send.send_request(req).await;
        sent.map_err(|err| Error::MaybeSent { peer, reason: error_chain(&err) })
    }
}

/// Kept connections to one address, for calls of the system's own.
pub struct Client {
    peer: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl Client {
    /// A client without a connection yet.
    pub fn new(peer: SocketAddr) -> Self {
        Self { peer, idle: Mutex::default() }
    }

    /// Address that is called.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Makes a call and reads the whole reply, of `limit` bytes at most.
    ///
    /// A call that `may_retry` and finds its kept connection closed is made again on a new one.
    ///
    /// # Errors
    /// [`Error::NotSent`] or [`Error::MaybeSent`], the latter also when there is no whole reply within `timeout`.
    pub async fn exchange(
        &self,
        req: Request<Bytes>,
        may_retry: bool,
        timeout: Duration,
        limit: usize,
    ) -> Result<Response<Bytes>> {
        let exchanged = time::timeout(timeout, self.exchange_with_retry(req, may_retry, limit));
        exchanged.await.unwrap_or_else(|_| {
            Err(Error::MaybeSent {
                peer: self.peer,
                reason: format!("no reply within {timeout:?}"),
            })
        })
    }

    async fn exchange_with_retry(
        &self,
        req: Request<Bytes>,
        may_retry: bool,
        limit: usize,
    ) -> Result<Response<Bytes>> {
        let kept = self.pop_idle();
        if let Some(connection) = kept {
            match self.exchange_on(connection, req.clone(), limit).await {
                Err(_) if may_retry => {}
                ended => return ended,
            }
        }
        self.exchange_on(Connection::open(self.peer).await?, req, limit).await
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
        limit: usize,
    ) -> Result<Response<Bytes>> {
        let mut req = req.map(Full::new);
        let host =
            HeaderValue::try_from(self.peer.to_string()).expect("an address is a valid header");
        req.headers_mut().insert(header::HOST, host);
        let (head, body) = connection.send(req).await?.into_parts();
        let read = Limited::new(body, limit).collect().await;
        let body = read.map_err(|err| Error::MaybeSent {
            peer: self.peer,
            reason: format!("reading the reply: {}", error_chain(&*err)),
        })?;
        if connection.is_open() {
            self.idle.lock().push(connection);
        }
        Ok(Response::from_parts(head, body.to_bytes()))
    }
}

/// An error with its causes.
pub(crate) fn error_chain(err: &dyn std::error::Error) -> String {
    let mut text = err.to_string();
    let mut source = err.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text
}
