//! Server side of links.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use marigold_schema::messages::{Reply, Request};
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time;

use crate::codec::{self, Decoder, MessageMemory};
use crate::error::{Cause, Error, Result, Step};
use crate::meter::{LastRead, Metered};
use crate::security::{MAX_HEADER_BYTES, Security};

/// Time without received bytes after which a connection is closed; a client opens another when it needs one.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of each TLS or HTTP/2 handshake, and of receiving a request.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent streams on a connection.
const MAX_STREAMS: u32 = 4096;
/// Maximum number of connections, including those that are still in a handshake.
const MAX_CONNECTIONS: usize = 4096;
/// Established connections that wait to be accepted; the system may allow fewer. A peer beyond them sends its opening packet
/// again after a second.
const BACKLOG: i32 = 4096;

/// Handler of the requests that a server receives.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request and sends the replies.
    ///
    /// # Errors
    /// [`Error`] when the peer has disconnected.
    fn handle(&self, req: Request, replies: ReplySink) -> impl Future<Output = Result<()>> + Send;
}

/// Sends the replies to one request.
pub struct ReplySink {
    peer: SocketAddr,
    stream: SendStream<Bytes>,
}

impl ReplySink {
    /// Sends a reply, as fast as the peer's flow control allows.
    ///
    /// # Errors
    /// [`Error`] of step [`Step::Send`] when the peer reset the stream or the link closed.
    pub async fn send(&mut self, reply: &Reply) -> Result<()> {
        let mut body = codec::encode(reply).map_err(Error::at(Step::Send, self.peer))?;
        while !body.is_empty() {
            self.stream.reserve_capacity(body.len());
            let granted = std::future::poll_fn(|cx| self.stream.poll_capacity(cx)).await;
            let granted = match granted {
                Some(granted) => granted.map_err(Error::at(Step::Send, self.peer))?,
                None => {
                    return Err(Error { step: Step::Send, peer: self.peer, cause: Cause::Closed });
                }
            };
            let chunk = body.split_to(granted.min(body.len()));
            self.stream.send_data(chunk, false).map_err(Error::at(Step::Send, self.peer))?;
        }
        Ok(())
    }

    /// Waits until the peer resets the stream or the link closes.
    pub async fn closed(&mut self) {
        let _ = std::future::poll_fn(|cx| self.stream.poll_reset(cx)).await;
    }

    /// Ends the stream of replies.
    pub fn finish(&mut self) {
        let _ = self.stream.send_data(Bytes::new(), true);
    }
}

/// Running server; dropping it closes the listener and all links.
pub struct Server {
    addr: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Server {
    /// Listens on an address and serves links in the background.
    ///
    /// # Errors
    /// [`Error`] of step [`Step::Bind`].
    pub async fn bind<H: Handler>(
        addr: SocketAddr,
        security: Arc<Security>,
        handler: Arc<H>,
    ) -> Result<Server> {
        let listener = TcpListener::bind(addr).await.map_err(Error::at(Step::Bind, addr))?;
        SockRef::from(&listener).listen(BACKLOG).map_err(Error::at(Step::Bind, addr))?;
        let addr = listener.local_addr().map_err(Error::at(Step::Bind, addr))?;
        let (stop, stopped) = watch::channel(false);
        let task = tokio::spawn(accept_connections(listener, security, handler, stopped));
        Ok(Server { addr, stop, task })
    }

    /// Returns the address on which the server listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        self.task.abort();
    }
}

async fn accept_connections<H: Handler>(
    listener: TcpListener,
    security: Arc<Security>,
    handler: Arc<H>,
    stopped: watch::Receiver<bool>,
) {
    let slots = Arc::new(tokio::sync::Semaphore::new(MAX_CONNECTIONS));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
        let (stream, peer) = match listener.accept().await {
            Ok(accepted) => accepted,
            Err(err) => {
                tracing::warn!(%err, "accepting a connection failed");
                time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let (security, handler, mut stopped) = (security.clone(), handler.clone(), stopped.clone());
        tokio::spawn(async move {
            let _slot = slot;
            tokio::select! {
                served = serve(stream, peer, security, handler) => if let Err(err) = served {
                    tracing::debug!(%err, "link closed with an error");
                },
                _ = stopped.wait_for(|stopped| *stopped) => {}
            }
        });
    }
}

async fn serve<H: Handler>(
    stream: TcpStream,
    peer: SocketAddr,
    security: Arc<Security>,
    handler: Arc<H>,
) -> Result<()> {
    stream.set_nodelay(true).map_err(Error::at(Step::Handshake, peer))?;
    let Some(acceptor) = security.acceptor() else {
        return serve_streams(stream, peer, security, handler).await;
    };
    match time::timeout(RECEIVE_TIMEOUT, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => serve_streams(stream, peer, security, handler).await,
        Ok(Err(err)) => Err(Error::at(Step::Handshake, peer)(err)),
        Err(_) => {
            Err(Error { step: Step::Handshake, peer, cause: Cause::Timeout(RECEIVE_TIMEOUT) })
        }
    }
}

async fn serve_streams<S, H>(
    stream: S,
    peer: SocketAddr,
    security: Arc<Security>,
    handler: Arc<H>,
) -> Result<()>
where
    S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    H: Handler,
{
    let last_read = LastRead::new();
    let metered =
        Metered { inner: stream, traffic: security.traffic.clone(), last_read: last_read.clone() };
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(MAX_STREAMS).max_header_list_size(MAX_HEADER_BYTES);
    let handshake = time::timeout(RECEIVE_TIMEOUT, builder.handshake(metered)).await;
    let mut connection = match handshake {
        Ok(connection) => connection.map_err(Error::at(Step::Handshake, peer))?,
        Err(_) => {
            return Err(Error {
                step: Step::Handshake,
                peer,
                cause: Cause::Timeout(RECEIVE_TIMEOUT),
            });
        }
    };
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = time::sleep(IDLE_TIMEOUT / 2) => {
                if last_read.age() > IDLE_TIMEOUT {
                    return Err(Error { step: Step::Receive, peer, cause: Cause::Timeout(IDLE_TIMEOUT) });
                }
                continue;
            }
        };
        let Some(accepted) = accepted else { return Ok(()) };
        let (req, respond) = accepted.map_err(Error::at(Step::Receive, peer))?;
        if let Err(reason) = security.verify_headers(req.headers()) {
            tracing::warn!(%peer, reason, "peer refused; closing its link");
            refuse(respond, peer, reason).await?;
            connection.graceful_shutdown();
            continue;
        }
        let (handler, messages) = (handler.clone(), security.messages.clone());
        tokio::spawn(async move {
            let served = serve_request(req.into_body(), respond, peer, handler, messages);
            if let Err(err) = served.await {
                tracing::debug!(%err, "request failed");
            }
        });
    }
}

async fn serve_request<H: Handler>(
    body: RecvStream,
    respond: SendResponse<Bytes>,
    peer: SocketAddr,
    handler: Arc<H>,
    messages: MessageMemory,
) -> Result<()> {
    let req = match time::timeout(RECEIVE_TIMEOUT, read_request(body, messages)).await {
        Ok(Ok(req)) => req,
        Ok(Err(cause)) => {
            refuse(respond, peer, cause.to_string()).await?;
            return Err(Error { step: Step::Receive, peer, cause });
        }
        Err(_) => {
            return Err(Error {
                step: Step::Receive,
                peer,
                cause: Cause::Timeout(RECEIVE_TIMEOUT),
            });
        }
    };
    handler.handle(req, open_replies(respond, peer)?).await
}

async fn read_request(
    mut body: RecvStream,
    messages: MessageMemory,
) -> std::result::Result<Request, Cause> {
    let mut decoder = Decoder::new(messages);
    loop {
        if let Some(req) = decoder.next_message()? {
            return Ok(req);
        }
        let Some(data) = body.data().await else {
            decoder.finish()?;
            return Err(Cause::Closed);
        };
        let data = data?;
        body.flow_control().release_capacity(data.len())?;
        decoder.extend(&data)?;
    }
}

fn open_replies(mut respond: SendResponse<Bytes>, peer: SocketAddr) -> Result<ReplySink> {
    let stream = respond
        .send_response(http::Response::new(()), false)
        .map_err(Error::at(Step::Send, peer))?;
    Ok(ReplySink { peer, stream })
}

async fn refuse(respond: SendResponse<Bytes>, peer: SocketAddr, reason: String) -> Result<()> {
    let mut replies = open_replies(respond, peer)?;
    replies.send(&Reply::Refused(reason)).await?;
    replies.finish();
    Ok(())
}
