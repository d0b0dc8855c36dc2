//! Client side of a link.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::RecvStream;
use h2::client::SendRequest;
use marigold_schema::messages::{Reply, Request};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::codec::{self, Decoder};
use crate::error::{Cause, Error, Result, Step};
use crate::meter::{LastRead, Metered};
use crate::security::{MAX_HEADER_BYTES, MaybeTls, Security};

/// Timeout of the TCP connection and of each handshake that follows it.
pub const OPEN_TIMEOUT: Duration = Duration::from_millis(800);
/// HTTP/2 flow-control window of a stream, in bytes.
const STREAM_WINDOW_BYTES: u32 = 1024 * 1024;
/// HTTP/2 flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

/// Link to a peer; clones share the connection.
#[derive(Clone)]
pub struct Link {
    peer: SocketAddr,
    send: SendRequest<Bytes>,
    security: Arc<Security>,
    closed: watch::Sender<bool>,
}

impl Link {
    /// Opens a link and drives its connection in a background task until it closes.
    ///
    /// The link sends no HTTP/2 pings: heartbeats and the events of running attempts show whether the peer responds.
    ///
    /// # Errors
    /// [`Error`] of step [`Step::Connect`] or [`Step::Handshake`].
    pub async fn open(peer: SocketAddr, security: Arc<Security>) -> Result<Link> {
        let stream =
            with_timeout(OPEN_TIMEOUT, Step::Connect, peer, TcpStream::connect(peer)).await?;
        stream.set_nodelay(true).map_err(Error::at(Step::Connect, peer))?;
        match with_timeout(OPEN_TIMEOUT, Step::Handshake, peer, security.connect_tls(stream))
            .await?
        {
            MaybeTls::Plain(stream) => Link::negotiate(peer, security, stream).await,
            MaybeTls::Client(stream) => Link::negotiate(peer, security, *stream).await,
        }
    }

    async fn negotiate<S>(peer: SocketAddr, security: Arc<Security>, stream: S) -> Result<Link>
    where
        S: AsyncRead + AsyncWrite + Send + Unpin + 'static,
    {
        let traffic = security.traffic.clone();
        let metered = Metered { inner: stream, traffic, last_read: LastRead::new() };
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .max_header_list_size(MAX_HEADER_BYTES);
        let (send, connection) =
            with_timeout(OPEN_TIMEOUT, Step::Handshake, peer, builder.handshake(metered)).await?;
        let (closed, _) = watch::channel(false);
        let on_close = closed.clone();
        tokio::spawn(async move {
            let mut is_closed = on_close.subscribe();
            tokio::select! {
                _ = connection => {}
                _ = is_closed.wait_for(|closed| *closed) => {}
            }
            on_close.send_replace(true);
        });
        Ok(Link { peer, send, security, closed })
    }

    /// Returns the address of the peer.
    pub fn peer(&self) -> SocketAddr {
        self.peer
    }

    /// Returns whether the link is still open.
    pub fn is_open(&self) -> bool {
        !*self.closed.borrow()
    }

    /// Closes the link; pending and later calls on it fail at once.
    pub fn close(&self) {
        self.closed.send_replace(true);
    }

    /// Sends a request and returns the stream of replies.
    ///
    /// # Errors
    /// [`Error`] of step [`Step::Connect`] when the link is closed, or of step [`Step::Send`]; in the latter case the
    /// request may have reached the peer.
    pub async fn stream(&self, req: &Request) -> Result<Replies> {
        if !self.is_open() {
            return Err(Error { step: Step::Connect, peer: self.peer, cause: Cause::Closed });
        }
        let body = codec::encode(req).map_err(Error::at(Step::Send, self.peer))?;
        let mut send = match self.send.clone().ready().await {
            Ok(send) => send,
            Err(cause) => {
                return Err(Error { step: Step::Connect, peer: self.peer, cause: cause.into() });
            }
        };
        let (response, mut stream) = send
            .send_request(self.security.request_head(), false)
            .map_err(Error::at(Step::Send, self.peer))?;
        stream.send_data(body, true).map_err(Error::at(Step::Send, self.peer))?;
        let state = RepliesState::Waiting(response);
        Ok(Replies {
            peer: self.peer,
            state,
            decoder: Decoder::new(self.security.messages.clone()),
            closed: self.closed.subscribe(),
        })
    }

    /// Sends a request and waits for its single reply, which has to arrive within `timeout`.
    ///
    /// # Errors
    /// [`Error`] of step [`Step::Connect`], [`Step::Send`] or [`Step::Receive`]; a timeout closes the link.
    pub async fn request(&self, req: &Request, timeout: Duration) -> Result<Reply> {
        let mut replies = self.stream(req).await?;
        match replies.next(timeout).await {
            Ok(Some(Reply::Refused(reason))) => {
                Err(Error { step: Step::Receive, peer: self.peer, cause: Cause::Refused(reason) })
            }
            Ok(Some(reply)) => Ok(reply),
            Ok(None) => Err(Error { step: Step::Receive, peer: self.peer, cause: Cause::Closed }),
            Err(err) => {
                if matches!(err.cause, Cause::Timeout(_)) {
                    self.close();
                }
                Err(err)
            }
        }
    }
}

enum RepliesState {
    Waiting(h2::client::ResponseFuture),
    Reading(RecvStream),
}

/// Stream of replies to one request; dropping it resets the HTTP/2 stream.
pub struct Replies {
    peer: SocketAddr,
    state: RepliesState,
    decoder: Decoder,
    closed: watch::Receiver<bool>,
}

impl Replies {
    /// Waits up to `timeout` for the next reply; returns `None` at the end of the stream.
    ///
    /// # Errors
    /// [`Error`] of step [`Step::Receive`].
    pub async fn next(&mut self, timeout: Duration) -> Result<Option<Reply>> {
        let peer = self.peer;
        let mut closed = self.closed.clone();
        tokio::select! {
            biased;
            next = time::timeout(timeout, self.read()) => match next {
                Ok(next) => next.map_err(|cause| Error { step: Step::Receive, peer, cause }),
                Err(_) => Err(Error { step: Step::Receive, peer, cause: Cause::Timeout(timeout) }),
            },
            _ = closed.wait_for(|closed| *closed) => Err(Error { step: Step::Receive, peer, cause: Cause::Closed }),
        }
    }

    async fn read(&mut self) -> std::result::Result<Option<Reply>, Cause> {
        loop {
            if let Some(reply) = self.decoder.next_message()? {
                return Ok(Some(reply));
            }
            match &mut self.state {
                RepliesState::Waiting(response) => {
                    let response = response.await?;
                    self.state = RepliesState::Reading(response.into_body());
                }
                RepliesState::Reading(body) => match body.data().await {
                    Some(data) => {
                        let data = data?;
                        body.flow_control().release_capacity(data.len())?;
                        self.decoder.extend(&data)?;
                    }
                    None => {
                        self.decoder.finish()?;
                        return Ok(None);
                    }
                },
            }
        }
    }
}

async fn with_timeout<T, E: Into<Cause>>(
    timeout: Duration,
    step: Step,
    peer: SocketAddr,
    operation: impl Future<Output = std::result::Result<T, E>>,
) -> Result<T> {
    match time::timeout(timeout, operation).await {
        Ok(done) => done.map_err(Error::at(step, peer)),
        Err(_) => Err(Error { step, peer, cause: Cause::Timeout(timeout) }),
    }
}
