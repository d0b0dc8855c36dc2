//! Accepts connections and serves HTTP/1.1 on them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use http::{HeaderValue, Request, Response, Version, header};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::{SockFilter, SockRef};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time;

use crate::connections::{ConnectionGuard, Connections};
use crate::head_timeout::{BusyBody, HeadTimer, TimedStream};
use crate::response::{Body, UnreadBody};
use crate::upstream;

/// Established connections that wait to be accepted; the system may allow fewer. A caller beyond them sends its opening packet
/// again after a second.
const BACKLOG: i32 = 4096;

/// Backoff after a failed accept, for example while the process has no file descriptors left.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Time for which a stopping server waits for the first request on a connection that it has accepted. The request was sent
/// with the handshake or shortly after it.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(1);

/// Time for which a stopping server accepts connections whose handshakes had begun.
const HANDSHAKE_TIME: Duration = Duration::from_millis(200);

/// Limits of a connection; they may change between connections while the server runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ConnectionLimits {
    /// Maximum size of a request head, in bytes.
    pub(crate) max_head_bytes: usize,
    /// Timeout for receiving a request head, from its first byte.
    pub(crate) head_timeout: Duration,
    /// Time for which a connection may stay idle.
    pub(crate) idle_timeout: Duration,
}

/// Handles requests.
pub(crate) trait Service: Send + Sync + 'static {
    /// Returns the limits of new connections.
    fn limits(&self) -> ConnectionLimits;

    /// Returns the maximum number of connections, if it is limited.
    fn max_connections(&self) -> Option<usize> {
        None
    }

    /// Makes room when there are as many connections as allowed and each has a request in progress; returns whether one of them
    /// will end.
    fn end_a_request(&self) -> bool {
        false
    }

    /// Called when a connection is closed for another one, or not accepted.
    fn on_connection_closed(&self, _reason: &'static str) {}

    /// Handles one request. The future is dropped when the caller closes the connection.
    fn call(&self, req: Request<Incoming>) -> impl Future<Output = Response<Body>> + Send;
}

/// A listening server; dropping it closes the port.
pub(crate) struct Server {
    addr: SocketAddr,
    task: tokio::task::JoinHandle<()>,
    connections: Connections,
}

impl Server {
    /// Listens on an address and serves until the server is dropped.
    ///
    /// When `stop` becomes true, new connections are refused, idle ones are closed at once, busy ones after their response, and
    /// those that have just been opened after the response to their first request.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub(crate) async fn bind<T: Service>(
        addr: &str,
        service: Arc<T>,
        stop: watch::Receiver<bool>,
        connections: Connections,
    ) -> anyhow::Result<Server> {
        let listener =
            TcpListener::bind(addr).await.with_context(|| format!("listening on {addr}"))?;
        SockRef::from(&listener)
            .listen(BACKLOG)
            .with_context(|| format!("setting the backlog of {addr}"))?;
        let addr = listener.local_addr().context("reading the listener's address")?;
        let task = tokio::spawn(accept_all(listener, service, stop, connections.clone()));
        Ok(Server { addr, task, connections })
    }

    /// Returns the address on which the server listens.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns whether the port is closed and all connections have ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.task.is_finished() && self.connections.len() == 0
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_all<T: Service>(
    listener: TcpListener,
    service: Arc<T>,
    stop: watch::Receiver<bool>,
    connections: Connections,
) {
    let spawn = |stream: TcpStream| {
        if !make_room(&*service, &connections) {
            return;
        }
        let timer = Arc::new(HeadTimer::default());
        let guard = connections.open(&timer);
        let (service, stop) = (service.clone(), stop.clone());
        tokio::spawn(serve(stream, service, stop, timer, guard));
    };
    let mut stopped = stop.clone();
    tokio::select! {
        () = accept_forever(&listener, &spawn) => {}
        () = wait_for_stop(&mut stopped) => {}
    }
    // A port that is closed resets the connections that callers have opened and that were not accepted yet.
    if let Err(err) = refuse_handshakes(&listener) {
        tracing::debug!(%err, "connections that are opened while the port closes may be reset");
    }
    let _ = time::timeout(HANDSHAKE_TIME, accept_forever(&listener, &spawn)).await;
    if let Err(err) = accept_queued(listener, &spawn) {
        tracing::warn!(%err, "connections that were opened while the port closed are lost");
    }
}

/// Closes an idle connection if there are as many as allowed; returns whether another one may be opened.
fn make_room<T: Service>(service: &T, connections: &Connections) -> bool {
    if service.max_connections().is_none_or(|max| connections.len() < max) {
        return true;
    }
    if connections.close_idle() {
        service.on_connection_closed("idle_connection");
        return true;
    }
    if service.end_a_request() {
        return true;
    }
    service.on_connection_closed("new_connection");
    false
}

async fn accept_forever(listener: &TcpListener, spawn: &impl Fn(TcpStream)) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => spawn(stream),
            Err(err) => {
                tracing::warn!(%err, "accepting a connection failed");
                time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

/// Drops the opening packets of new connections, which the peer repeats until the port is closed. Handshakes that have begun
/// are completed.
fn refuse_handshakes(listener: &TcpListener) -> std::io::Result<()> {
    // Classic BPF: load byte, AND, jump if equal, and return the number of bytes to keep of the packet.
    const LOAD_BYTE: u16 = 0x30;
    const AND: u16 = 0x54;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    /// Offset of the flags in a TCP header.
    const FLAGS: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, 0),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
    ];
    SockRef::from(listener).attach_filter(&filter)
}

/// Accepts what the kernel has queued and closes the port. The runtime may not have been told of the last connections.
fn accept_queued(listener: TcpListener, spawn: &impl Fn(TcpStream)) -> std::io::Result<()> {
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(true)?;
                spawn(TcpStream::from_std(stream)?);
            }
            Err(err) => match err.kind() {
                std::io::ErrorKind::WouldBlock => return Ok(()),
                std::io::ErrorKind::ConnectionAborted => {}
                _ => return Err(err),
            },
        }
    }
}

async fn serve<T: Service>(
    stream: TcpStream,
    service: Arc<T>,
    mut stop: watch::Receiver<bool>,
    timer: Arc<HeadTimer>,
    guard: ConnectionGuard,
) {
    if let Err(err) = upstream::configure_socket(&stream) {
        tracing::debug!(%err, "connection failed before its first request");
        return;
    }
    let limits = service.limits();
    let request_timer = timer.clone();
    let (has_request, first_request) = watch::channel(false);
    let handler = service_fn(move |req| {
        has_request.send_replace(true);
        let service = service.clone();
        let busy = request_timer.on_request();
        let timer = request_timer.clone();
        let version = req.version();
        async move {
            let response = service.call(req).await;
            timer.set_reset(
                version == Version::HTTP_10 && response.body().size_hint().exact().is_none(),
            );
            let closes = |value: &HeaderValue| value.as_bytes().eq_ignore_ascii_case(b"close");
            // The connection is also closed after a response before the end of a body.
            if response.extensions().get::<UnreadBody>().is_some()
                || response.headers().get(header::CONNECTION).is_some_and(closes)
            {
                timer.on_last_response();
            }
            Ok::<_, Infallible>(response.map(|body| BusyBody { body, busy }))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.max_head_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(TimedStream::new(stream, timer.clone())), handler);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = &mut connection => result,
        () = wait_for_stop(&mut stop) => {
            let ended = tokio::select! {
                result = &mut connection => Some(result),
                () = wait_for_first(first_request) => None,
            };
            match ended {
                Some(result) => result,
                None => {
                    timer.on_last_response();
                    connection.as_mut().graceful_shutdown();
                    connection.await
                }
            }
        }
        () = guard.evicted() => {
            tracing::debug!("connection closed for another one");
            return;
        }
        () = timer.expired(limits.head_timeout) => {
            tracing::debug!(head_time = ?limits.head_timeout, "connection closed: timeout while receiving a request head");
            return;
        }
    };
    if let Err(err) = result {
        tracing::debug!(err = upstream::error_chain(&err), "connection ended");
    }
}

/// Waits for the first request on a connection, for [`FIRST_REQUEST_TIME`] at most.
async fn wait_for_first(mut first_request: watch::Receiver<bool>) {
    let _ = time::timeout(FIRST_REQUEST_TIME, first_request.wait_for(|seen| *seen)).await;
}

async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    // A dropped sender stops the server too.
    let _ = stop.wait_for(|stopped| *stopped).await;
}

/// Smallest connection buffer that hyper accepts, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;
