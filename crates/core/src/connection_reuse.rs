//! Reuse of connections to targets for calls whose replies carry no id.
//!
//! A target may send a reply a second time, at any moment. A duplicate is a copy of a whole reply, so it has all the handles
//! of that reply, and a handle identifies one result. A connection is kept only after replies that have a handle; each later
//! reply on it that repeats none of their handles is therefore no duplicate.

use std::collections::HashSet;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Uptime;

/// Maximum age of a connection that is used again. Spreads calls over new connections after a change of the network.
pub const MAX_AGE: Duration = Duration::from_secs(60);
/// Maximum number of idle connections for each target and purpose. Few calls run at a target at the same time.
pub const MAX_IDLE: usize = 2;
/// Time for which a target gets calls on new connections only, after a reply that was not believed or did not come.
pub const REUSE_PAUSE: Duration = Duration::from_secs(5);
/// Time for which a connection may be idle if the target names none.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);
/// Maximum time for which a connection may be idle. Connections that the network forgot are found by a timeout only.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);
/// Minimum time before the target's own timeout at which an idle connection is no longer used. Covers the way of a call to
/// the target.
const MIN_IDLE_MARGIN: Duration = Duration::from_millis(300);
/// Number of handles after which a connection is not used again; bounds its memory to about 64 KB.
const MAX_HANDLES: usize = 4_096;

/// What the head of a reply says about its connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionTerms {
    /// Whether the status is that of a call that was done.
    pub is_success: bool,
    /// Whether the target closes the connection.
    pub is_closing: bool,
    /// Time after which the target closes the connection if it is idle.
    pub idle_timeout: Option<Duration>,
}

/// Replies that came on a connection.
#[derive(Debug)]
pub struct ConnectionHistory {
    opened: Uptime,
    replies: u32,
    /// Hashes of the handles in the replies. Equal handles have equal hashes, so no duplicate is missed.
    handles: HashSet<u64>,
    idle_time: Duration,
    is_usable: bool,
}

impl ConnectionHistory {
    /// Starts the history of a new connection.
    pub fn new(now: Uptime) -> Self {
        Self {
            opened: now,
            replies: 0,
            handles: HashSet::new(),
            idle_time: DEFAULT_IDLE_TIME,
            is_usable: true,
        }
    }

    /// Returns whether there was a reply, so that the next one may be a duplicate.
    pub fn is_reused(&self) -> bool {
        self.replies > 0
    }

    /// Records a reply to a call of pieces that has these handles; returns whether it is the answer to the last call, and no
    /// duplicate of an earlier one.
    pub fn accept_results<'a>(
        &mut self,
        terms: ConnectionTerms,
        handles: impl IntoIterator<Item = &'a str>,
    ) -> bool {
        let hashes: Vec<u64> =
            handles.into_iter().map(|handle| xxh3_64(handle.as_bytes())).collect();
        let is_answer = !hashes.iter().any(|hash| self.handles.contains(hash));
        // The next reply could not be told from a duplicate of one without a handle.
        self.is_usable &= is_answer && !hashes.is_empty();
        self.handles.extend(hashes);
        self.record(terms);
        is_answer
    }

    /// Records a reply to a call that frees results; returns whether the results count as freed. `is_settled` says that neither
    /// further bytes nor the end of the connection came with the reply. On a reused connection, these may mean that it is a
    /// duplicate and that the target has not received the call.
    pub fn accept_release(&mut self, terms: ConnectionTerms, is_settled: bool) -> bool {
        let is_believed = is_settled || !self.is_reused();
        self.is_usable &= is_settled;
        self.record(terms);
        is_believed
    }

    fn record(&mut self, terms: ConnectionTerms) {
        self.replies += 1;
        self.is_usable &= terms.is_success && !terms.is_closing && self.handles.len() < MAX_HANDLES;
        let idle_time = terms.idle_timeout.map(|timeout| {
            timeout.saturating_sub(MIN_IDLE_MARGIN.max(timeout / 4)).min(MAX_IDLE_TIME)
        });
        self.idle_time = idle_time.unwrap_or(self.idle_time);
    }

    /// Returns until when another call may be sent on the connection, which is idle from now on; `None` if it has to be closed.
    pub fn idle_until(&self, now: Uptime) -> Option<Uptime> {
        let until = (now + self.idle_time).min(self.opened + MAX_AGE);
        (self.is_usable && now < until).then_some(until)
    }
}

/// Returns how long a reply on a reused connection is waited for, of a call with this timeout that takes about `expected`. The
/// target may have forgotten the connection, so that no reply comes; a new connection then gets the call in time.
pub fn reply_timeout(expected: Duration, slowdown: f64, timeout: Duration) -> Duration {
    /// Multiple of the expected duration; calls vary by half.
    const FACTOR: f64 = 2.0;
    /// Addition for the network.
    const MARGIN: Duration = Duration::from_millis(100);
    let slowdown = if slowdown.is_finite() { slowdown.clamp(1.0, 100.0) } else { 1.0 };
    (expected.mul_f64(FACTOR * slowdown) + MARGIN).min(timeout)
}
