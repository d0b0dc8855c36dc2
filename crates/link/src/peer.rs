//! Peer with a link that is opened on first use and reopened after it was closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use marigold_schema::messages::{Reply, Request};
use tokio::sync::Mutex;

use crate::client::{Link, Replies};
use crate::error::{Cause, Error, Result, Step};
use crate::security::Security;

/// Time after a failed connection attempt during which calls fail at once.
const RECONNECT_BACKOFF: Duration = Duration::from_millis(100);

#[derive(Default)]
struct State {
    link: Option<Link>,
    failed_at: Option<Instant>,
}

/// Peer at a fixed address, with at most one open link to it.
pub struct Peer {
    addr: SocketAddr,
    security: Arc<Security>,
    state: Mutex<State>,
}

impl Peer {
    /// Creates a peer without opening a link.
    pub fn new(addr: SocketAddr, security: Arc<Security>) -> Self {
        Self { addr, security, state: Mutex::default() }
    }

    /// Returns the address of the peer.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the open link, or opens one.
    ///
    /// # Errors
    /// [`Error`] of step [`Step::Connect`] or [`Step::Handshake`].
    pub async fn link(&self) -> Result<Link> {
        let mut state = self.state.lock().await;
        if let Some(link) = state.link.as_ref().filter(|link| link.is_open()) {
            return Ok(link.clone());
        }
        if state.failed_at.is_some_and(|at| at.elapsed() < RECONNECT_BACKOFF) {
            return Err(Error { step: Step::Connect, peer: self.addr, cause: Cause::Closed });
        }
        match Link::open(self.addr, self.security.clone()).await {
            Ok(link) => {
                *state = State { link: Some(link.clone()), failed_at: None };
                Ok(link)
            }
            Err(err) => {
                *state = State { link: None, failed_at: Some(Instant::now()) };
                Err(err)
            }
        }
    }

    /// Closes the open link, if there is one; the next call opens another.
    pub async fn close(&self) {
        if let Some(link) = self.state.lock().await.link.take() {
            link.close();
        }
    }

    /// Sends a request and waits for its single reply.
    ///
    /// # Errors
    /// As [`Link::request`].
    pub async fn request(&self, req: &Request, timeout: Duration) -> Result<Reply> {
        self.link().await?.request(req, timeout).await
    }

    /// Sends a request and returns the link and the stream of replies.
    ///
    /// # Errors
    /// As [`Link::stream`].
    pub async fn stream(&self, req: &Request) -> Result<(Link, Replies)> {
        let link = self.link().await?;
        let replies = link.stream(req).await?;
        Ok((link, replies))
    }
}
