//! Memory of one target for the results of stages, as the owner of its pool knows it.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use crate::ids::Uptime;

/// Time over which the estimate of memory used by results unknown to this gateway decays to zero. Results are needed for
/// a similar time.
const UNTRACKED_DECAY_TIME: Duration = Duration::from_millis(1_500);

/// Results that a target holds, and the memory that others use there. All sizes are in bytes.
#[derive(Debug, Default)]
pub struct ResultMemory {
    /// Results by handle, with their sizes and the latest times at which they expire.
    results: HashMap<String, (u64, Uptime)>,
    /// Size of the results of running calls.
    in_flight: u64,
    /// Sizes of results whose handles did not arrive, and the times at which they expire.
    lost: Vec<(u64, Uptime)>,
    /// Estimate of the memory used by results unknown to this gateway, and the time at which it has decayed to zero.
    untracked: (u64, Uptime),
}

/// A call in progress.
#[derive(Clone, Copy, Debug)]
pub struct CallMemory {
    /// Size of its results, if it makes all of them.
    bytes: u64,
    /// Memory that was known to be used when it began, besides its own results.
    used_before: u64,
}

impl ResultMemory {
    fn tracked(&mut self, now: Uptime) -> u64 {
        self.results.retain(|_, (_, expires)| *expires > now);
        self.lost.retain(|(_, expires)| *expires > now);
        let lost: u64 = self.lost.iter().map(|(bytes, _)| bytes).sum();
        self.results.values().map(|(bytes, _)| bytes).sum::<u64>() + lost + self.in_flight
    }

    /// Returns the memory in use.
    pub fn used(&mut self, now: Uptime) -> u64 {
        let (untracked, until) = self.untracked;
        let share = until.saturating_sub(now).as_secs_f64() / UNTRACKED_DECAY_TIME.as_secs_f64();
        self.tracked(now) + (untracked as f64 * share) as u64
    }

    /// Records that a call begins whose results have `bytes`. Its target needs room for them from its start.
    pub fn start_call(&mut self, bytes: u64, now: Uptime) -> CallMemory {
        let used_before = self.tracked(now);
        self.in_flight += bytes;
        CallMemory { bytes, used_before }
    }

    /// Records that a call has ended, before its results are added.
    pub fn end_call(&mut self, call: CallMemory) {
        self.in_flight = self.in_flight.saturating_sub(call.bytes);
    }

    /// Adds a result.
    pub fn add(&mut self, handle: String, bytes: u64, expires: Uptime) {
        self.results.insert(handle, (bytes, expires));
    }

    /// Adds results whose handles did not arrive, so that they cannot be freed.
    pub fn add_lost(&mut self, bytes: u64, expires: Uptime) {
        self.lost.push((bytes, expires));
    }

    /// Records that the target, with room for `capacity`, had none for a result of a call of which `made` were made. That
    /// was when the call began; what was freed since is free.
    pub fn on_full(&mut self, call: CallMemory, capacity: u64, made: u64, now: Uptime) {
        let untracked = capacity.saturating_sub(call.used_before + made);
        self.untracked = (untracked, now + UNTRACKED_DECAY_TIME);
    }

    /// Removes results that the target has freed.
    pub fn free(&mut self, handles: &[String]) {
        let handles: HashSet<&String> = handles.iter().collect();
        self.results.retain(|handle, _| !handles.contains(handle));
    }
}
