//! Period in which the store has answered without an outage, as seen by all processes together.
//!
//! A process that gets no answer cannot tell an outage of the store from a partition of its own. Afterwards the answers
//! that others got meanwhile show which of the two it was.

use std::time::Duration;

use crate::ids::Uptime;

/// Number of missed heartbeats after which the store removes the entry of a target.
const EXPIRY_HEARTBEATS: u32 = 3;

/// Returns the shortest outage in which the entries of live targets can expire: the last heartbeat before it may be one
/// interval old.
pub fn min_outage(heartbeat: Duration) -> Duration {
    heartbeat * (EXPIRY_HEARTBEATS - 1)
}

/// Returns the time after its last heartbeat in which the entry of a target expires.
pub fn expiry(heartbeat: Duration) -> Duration {
    heartbeat * EXPIRY_HEARTBEATS
}

/// Period from one answer of the store to another, without an outage between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Period {
    /// Earliest known answer of the period.
    pub since: Uptime,
    /// Latest known answer.
    pub until: Uptime,
}

/// The newest period in which the store is known to have answered some process.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreService {
    newest: Option<Period>,
}

impl StoreService {
    /// Records an answer to this process.
    pub fn record_answer(&mut self, at: Uptime, min_outage: Duration) {
        self.merge(Period { since: at, until: at }, min_outage);
    }

    /// Adds a period that is known to another process. Two periods less than `min_outage` apart are one; of two that an
    /// outage may separate, the newer is kept.
    pub fn merge(&mut self, other: Period, min_outage: Duration) {
        let Some(own) = self.newest else {
            self.newest = Some(other);
            return;
        };
        let (earlier, later) = if own.since <= other.since { (own, other) } else { (other, own) };
        self.newest = Some(if later.since < earlier.until + min_outage {
            Period { since: earlier.since, until: earlier.until.max(later.until) }
        } else {
            later
        });
    }

    /// Returns the newest period, if the store has ever answered.
    pub fn newest(&self) -> Option<Period> {
        self.newest
    }
}
