//! A peer to which a link is opened when it is needed and opened anew when it was lost.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use marigold_schema::messages::{Reply, Request};
use tokio::sync::Mutex;

use crate::client::{Link, Replies};
use crate::error::{Cause, Error, Result, Step};
use crate::security::Security;

/// Time after a failed opening during which no other is tried.
const REOPEN_AFTER: Duration = Duration::from_millis(100);

#[derive(Default)]
struct State {
    link: Option<Link>,
    failed_at: Option<Instant>,
}

/// A peer at a fixed address.
pub struct Peer {
    addr: SocketAddr,
    security: Arc<Security>,
    state: Mutex<State>,
}

impl Peer {
    /// A peer without a link yet.
    pub fn new(addr: SocketAddr, security: Arc<Security>) -> Self {
        Self { addr, security, state: Mutex::default() }
    }

    /// Address of the peer.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The open link, or a new one.
    ///
    /// # Errors
    /// [`Error`] of step [`Step::Connect`] or [`Step::Handshake`].
    pub async fn link(&self) -> Result<Link> {
        let mut state = self.state.lock().await;
        if let Some(link) = state.link.as_ref().filter(|link| link.is_open()) {
            return Ok(link.clone());
        }
        if state.failed_at.is_some_and(|at| at.elapsed() < REOPEN_AFTER) {
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

    /// Sends a request that has one reply.
    ///
    /// # Errors
    /// As [`Link::request`].
    pub async fn request(&self, req: &Request, bound: Duration) -> Result<Reply> {
        self.link().await?.request(req, bound).await
    }

    /// Sends a request that has a stream of replies.
    ///
    /// # Errors
    /// As [`Link::stream`].
    pub async fn stream(&self, req: &Request) -> Result<(Link, Replies)> {
        let link = self.link().await?;
        let replies = link.stream(req).await?;
        Ok((link, replies))
    }
}
