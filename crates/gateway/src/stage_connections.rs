//! Connections of calls of pieces and calls that free results, which are used again.
//!
//! [`ConnectionHistory`] decides which replies are believed and how long connections are kept.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Request, Response, StatusCode, header};
use marigold_core::connection_reuse::{ConnectionHistory, ConnectionTerms, MAX_IDLE, REUSE_PAUSE};
use marigold_core::ids::{Name, Uptime};
use marigold_core::targets::Target;
use marigold_process::boottime;
use parking_lot::Mutex;
use tokio::time::{self, Instant};

use crate::reply_memory::ReplyMemory;
use crate::targets::TargetTable;
use crate::upstream::{self, Connection};

/// Parameters of a connection that is kept open.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// Time in which a connection is ready for the next call after a reply.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(5);

/// Result of a call.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Reason why a call returned no reply.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The target may have closed or forgotten a reused connection before it received the call.
    #[error("on a reused connection: {0}")]
    Reused(upstream::Error),
    /// The call on a new connection failed.
    #[error(transparent)]
    New(upstream::Error),
}

/// Calls that share connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Purpose {
    Pieces,
    Release,
}

/// One start of a target, and the purpose of the calls to it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    pool: Name,
    target: Name,
    started_at_ms: u64,
    addr: SocketAddr,
    purpose: Purpose,
}

impl Peer {
    pub(crate) fn new(target: &Target, purpose: Purpose) -> Self {
        Self {
            pool: target.pool.clone(),
            target: target.id.clone(),
            started_at_ms: target.started_at_ms,
            addr: target.addr,
            purpose,
        }
    }

    /// Returns whether this is the start of a target.
    fn is_of(&self, target: &Target) -> bool {
        self.target == target.id
            && self.started_at_ms == target.started_at_ms
            && self.addr == target.addr
    }
}

/// Timeouts of a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Timeouts {
    /// On a connection that the target may have forgotten.
    pub(crate) reused: Duration,
    /// On a new connection, with the time to open it.
    pub(crate) new: Duration,
}

/// A reply and its connection. Dropping it closes the connection.
pub(crate) struct Reply {
    pub(crate) response: Response<Bytes>,
    /// Whether the connection was ready for another call after the reply, without further bytes or an end.
    is_settled: bool,
    history: ConnectionHistory,
    connection: Connection,
    peer: Peer,
}

impl Reply {
    /// Returns whether the connection had replies before, of which this one may be a duplicate.
    pub(crate) fn is_on_reused(&self) -> bool {
        self.history.is_reused()
    }
}

struct Idle {
    connection: Connection,
    history: ConnectionHistory,
    until: Uptime,
}

#[derive(Default)]
struct State {
    idle: HashMap<Peer, Vec<Idle>>,
    /// Until when a target gets calls on new connections only.
    paused: HashMap<Peer, Uptime>,
    is_swept: bool,
}

/// Handle of the idle connections.
#[derive(Default)]
pub(crate) struct StageConnections {
    state: Mutex<State>,
}

impl StageConnections {
    /// Sends a call, on an idle connection if there is one and `may_reuse` is set.
    pub(crate) async fn call(
        &self,
        peer: Peer,
        req: Request<Bytes>,
        may_reuse: bool,
        timeouts: Timeouts,
        limit: usize,
        memory: &ReplyMemory,
    ) -> Result<Reply> {
        let idle = may_reuse.then(|| self.pop_idle(&peer, boottime::now())).flatten();
        let Some(Idle { connection, history, .. }) = idle else {
            let deadline = Instant::now() + timeouts.new;
            let opened = time::timeout_at(deadline, Connection::open(peer.addr)).await;
            let connection = opened.unwrap_or_else(|_| {
                let reason = format!("no connection within {:?}", timeouts.new);
                Err(upstream::Error::NotSent { peer: peer.addr, reason })
            });
            let connection = connection.map_err(Error::New)?;
            let history = ConnectionHistory::new(boottime::now());
            return exchange(peer, connection, history, req, deadline, limit, memory)
                .await
                .map_err(Error::New);
        };
        let deadline = Instant::now() + timeouts.reused;
        let result =
            exchange(peer.clone(), connection, history, req, deadline, limit, memory).await;
        result.map_err(|err| {
            // The others to this target are likely to be closed or forgotten as well.
            self.state.lock().idle.remove(&peer);
            if Instant::now() >= deadline {
                self.pause_reuse(&peer);
            }
            Error::Reused(err)
        })
    }

    fn pop_idle(&self, peer: &Peer, now: Uptime) -> Option<Idle> {
        let mut state = self.state.lock();
        if state.paused.get(peer).is_some_and(|until| now < *until) {
            return None;
        }
        let idle = state.idle.get_mut(peer)?;
        idle.retain(|idle| now < idle.until && idle.connection.is_open());
        idle.pop()
    }

    /// Decides whether a reply to a call of pieces with these handles is its answer, and keeps its connection for further
    /// calls if that is possible.
    pub(crate) fn accept_results<'a>(
        &self,
        mut reply: Reply,
        handles: impl IntoIterator<Item = &'a str>,
    ) -> bool {
        let is_answer = reply.history.accept_results(terms(&reply.response), handles);
        if is_answer {
            self.keep(reply);
        } else {
            self.reject(reply);
        }
        is_answer
    }

    /// Decides whether results count as freed after a reply, and keeps its connection for further calls if that is possible.
    pub(crate) fn accept_release(&self, mut reply: Reply) -> bool {
        let is_settled = reply.is_settled;
        let is_believed = reply.history.accept_release(terms(&reply.response), is_settled);
        self.keep(reply);
        is_believed
    }

    /// Closes the connections to a target whose reply is not believed.
    pub(crate) fn reject(&self, reply: Reply) {
        self.pause_reuse(&reply.peer);
    }

    fn pause_reuse(&self, peer: &Peer) {
        let mut state = self.state.lock();
        state.idle.remove(peer);
        state.paused.insert(peer.clone(), boottime::now() + REUSE_PAUSE);
    }

    fn keep(&self, reply: Reply) {
        let Reply { is_settled, history, connection, peer, .. } = reply;
        let Some(until) = history.idle_until(boottime::now()) else { return };
        if !is_settled {
            return;
        }
        let mut state = self.state.lock();
        let idle = state.idle.entry(peer).or_default();
        if idle.len() < MAX_IDLE {
            idle.push(Idle { connection, history, until });
        }
    }

    /// Returns whether the caller has to start [`Self::sweep`] at intervals, until it returns false.
    pub(crate) fn start_sweep(&self) -> bool {
        let mut state = self.state.lock();
        let is_needed = !state.is_swept && !state.idle.is_empty();
        state.is_swept |= is_needed;
        is_needed
    }

    /// Closes connections that have been idle for too long, or whose target has left the list of its pool; returns whether any
    /// are left.
    pub(crate) fn sweep(&self, now: Uptime, targets: &TargetTable) -> bool {
        let mut state = self.state.lock();
        state.paused.retain(|_, until| now < *until);
        state.idle.retain(|peer, idle| {
            idle.retain(|idle| now < idle.until && idle.connection.is_open());
            let listed = targets.in_pool(&peer.pool);
            !idle.is_empty() && listed.iter().any(|tracked| peer.is_of(&tracked.target))
        });
        state.is_swept = !state.idle.is_empty();
        state.is_swept
    }
}

async fn exchange(
    peer: Peer,
    mut connection: Connection,
    history: ConnectionHistory,
    req: Request<Bytes>,
    deadline: Instant,
    limit: usize,
    memory: &ReplyMemory,
) -> upstream::Result<Reply> {
    let response = connection.exchange(req, deadline, limit, memory).await?;
    let is_settled = connection.settle(SETTLE_TIMEOUT).await;
    Ok(Reply { response, is_settled, history, connection, peer })
}

fn terms(response: &Response<Bytes>) -> ConnectionTerms {
    let headers = response.headers();
    ConnectionTerms {
        is_success: response.status() == StatusCode::OK,
        is_closing: tokens(headers, &header::CONNECTION)
            .any(|token| token.eq_ignore_ascii_case("close")),
        idle_timeout: tokens(headers, &KEEP_ALIVE).filter_map(parse_idle_timeout).min(),
    }
}

fn tokens<'a>(headers: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a str> {
    let values = headers.get_all(name).iter().filter_map(|value| value.to_str().ok());
    values.flat_map(|value| value.split(',')).map(str::trim)
}

/// Parses a parameter `timeout=SECONDS`; others are ignored.
fn parse_idle_timeout(parameter: &str) -> Option<Duration> {
    let (name, value) = parameter.split_once('=')?;
    let seconds: f64 = value.trim().trim_matches('"').parse().ok()?;
    if !name.trim().eq_ignore_ascii_case("timeout") {
        return None;
    }
    Duration::try_from_secs_f64(seconds).ok()
}
