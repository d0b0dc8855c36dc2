//! Decides which callers' data a gateway holds in memory, and what it gives up when the memory is short.
//!
//! Every holder is charged for the capacity of its buffer. Bodies that are still arriving may be given up, since their requests
//! have not run; complete ones and responses stay until they are released.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Uptime;

/// Memory that a process needs apart from what it holds for callers and from its connections, in bytes. An idle gateway has 8
/// to 14 MB resident.
const BASE_BYTES: usize = 32_000_000;
/// Share of the rest that may be held for callers. The other part is for connections, the allocator and growing buffers, of
/// which the old and the new one exist for a moment.
const HELD_SHARE: f64 = 0.5;
/// Least budget, in bytes: a single body of 4 MB is taken also by a process that is told of little memory.
const MIN_CAPACITY: usize = 6 * 1024 * 1024;
/// Share of the budget that is kept for small holders.
const SMALL_SHARE: f64 = 0.25;
/// Size up to which a holder is small, in bytes. Bodies of ordinary requests have up to 100 KB.
pub const SMALL_BYTES: usize = 128 * 1024;
/// First capacity of a buffer whose length is not known, in bytes.
const FIRST_CAPACITY: usize = 8 * 1024;
/// Factor by which a buffer of unknown length grows. Few sizes let the allocator use freed buffers again.
const GROWTH_FACTOR: usize = 4;
/// Age of a body below which its rate is not told from that of others.
const MIN_AGE: Duration = Duration::from_millis(100);
/// Descriptors that are not used for callers and targets: listeners, links to other gateways, and the store.
const RESERVED_FILES: f64 = 100.0;
/// Share of the descriptors below which the reserved ones are limited, for processes with few.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// Least number of connections from callers.
const MIN_CONNECTIONS: usize = 16;

/// Number of a holder.
pub type HolderId = u64;

/// Returns the number of bytes that a process with this much memory, in megabytes, may hold for callers.
pub fn capacity(memory_mb: f64) -> usize {
    let held = (memory_mb * 1e6 - BASE_BYTES as f64) * HELD_SHARE;
    (held as usize).max(MIN_CAPACITY)
}

/// Returns the number of connections from callers that a process with so many file descriptors may have. Each may need a
/// second descriptor for the connection to a target.
pub fn max_connections(max_open_files: f64) -> usize {
    let reserved = RESERVED_FILES.min(max_open_files * MAX_RESERVED_SHARE);
    (((max_open_files - reserved) / 2.0) as usize).max(MIN_CONNECTIONS)
}

/// Returns the capacity for a buffer that must take `needed` bytes, of a body with the announced length, if any, and `limit`
/// bytes at the most.
///
/// Memory for large bodies is taken after a part has arrived, so that an announcement alone takes none.
pub fn buffer_capacity(needed: usize, announced: Option<usize>, limit: usize) -> usize {
    let wanted = match announced {
        Some(length) if length <= SMALL_BYTES || needed > SMALL_BYTES => length,
        _ => {
            let mut wanted = FIRST_CAPACITY;
            while wanted < needed {
                wanted = wanted.saturating_mul(GROWTH_FACTOR);
            }
            wanted.min(announced.unwrap_or(usize::MAX))
        }
    };
    wanted.min(limit).max(needed)
}

/// Kind of what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The body of a request that has not run; it may be given up until it is complete.
    Body {
        /// Whether the caller has shown a valid key.
        has_key: bool,
    },
    /// A response, or a part of one.
    Response,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    kind: Kind,
    /// Charged bytes.
    bytes: usize,
    /// Bytes that have arrived.
    arrived: usize,
    since: Uptime,
    is_complete: bool,
}

impl Holder {
    /// Rate at which the body arrives, in bytes a second.
    fn rate(&self, now: Uptime) -> f64 {
        self.arrived as f64 / now.saturating_sub(self.since).max(MIN_AGE).as_secs_f64()
    }

    /// Key of the order in which unfinished bodies are given up: without a valid key first, large before small, then the slowest
    /// and the oldest.
    fn order(&self, now: Uptime) -> (bool, bool, u64, Uptime) {
        let has_key = self.kind == Kind::Body { has_key: true };
        (has_key, self.bytes <= SMALL_BYTES, self.rate(now) as u64, self.since)
    }

    fn may_be_shed(&self) -> bool {
        matches!(self.kind, Kind::Body { .. }) && !self.is_complete
    }
}

/// Answer to a holder that wants more.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Grant {
    /// It has what it wants; these unfinished bodies are given up for it and are no longer charged.
    Granted(Vec<HolderId>),
    /// The memory is used by others that come before it.
    Denied,
}

/// The memory of a process for callers' data.
#[derive(Debug)]
pub struct MemoryBudget {
    capacity: usize,
    used: usize,
    holders: BTreeMap<HolderId, Holder>,
    next_id: HolderId,
}

impl MemoryBudget {
    /// Creates a budget of so many bytes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, used: 0, holders: BTreeMap::new(), next_id: 0 }
    }

    /// Changes the budget. What is held already stays.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
    }

    /// Returns the number of charged bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the size of the budget in bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Adds a holder, which holds nothing yet.
    pub fn open(&mut self, kind: Kind, now: Uptime) -> HolderId {
        let id = self.next_id;
        self.next_id += 1;
        let holder = Holder { kind, bytes: 0, arrived: 0, since: now, is_complete: false };
        self.holders.insert(id, holder);
        id
    }

    /// Raises what a holder is charged to `bytes`. Small holders may use all of the budget, larger ones leave a part of it.
    pub fn grow(&mut self, id: HolderId, bytes: usize, now: Uptime) -> Grant {
        let Some(own) = self.holders.get(&id).copied() else { return Grant::Denied };
        let missing = bytes.saturating_sub(own.bytes);
        let is_small = bytes <= SMALL_BYTES;
        let allowed = if is_small {
            self.capacity
        } else {
            self.capacity - (self.capacity as f64 * SMALL_SHARE) as usize
        };
        let wanted = Holder { bytes: own.bytes.max(bytes), ..own };
        let own_order = wanted.order(now);
        let mut others: Vec<_> = if self.used + missing > allowed {
            let unfinished = self.holders.iter().filter(|(other, holder)| {
                **other != id && holder.may_be_shed() && holder.bytes > 0
            });
            // A response comes before all unfinished bodies, whose requests have not run.
            let before = unfinished.filter(|(_, holder)| {
                !matches!(own.kind, Kind::Body { .. }) || holder.order(now) < own_order
            });
            before.map(|(other, holder)| (holder.order(now), *other, holder.bytes)).collect()
        } else {
            Vec::new()
        };
        others.sort_unstable();
        let (mut freed, mut shed) = (0, Vec::new());
        for (_, other, bytes) in others {
            if self.used + missing <= allowed + freed {
                break;
            }
            freed += bytes;
            shed.push(other);
        }
        if self.used + missing > allowed + freed {
            return Grant::Denied;
        }
        for other in &shed {
            self.close(*other);
        }
        self.used += missing;
        self.holders.insert(id, wanted);
        Grant::Granted(shed)
    }

    /// Gives up the unfinished body that comes last, to free its connection. Bodies that have just begun are kept.
    pub fn shed_one(&mut self, now: Uptime) -> Option<HolderId> {
        let unfinished = self.holders.iter().filter(|(_, holder)| {
            holder.may_be_shed() && now.saturating_sub(holder.since) >= MIN_AGE
        });
        let last = unfinished.min_by_key(|(_, holder)| holder.order(now));
        let id = last.map(|(id, _)| *id)?;
        self.close(id);
        Some(id)
    }

    /// Records that bytes of a body have arrived.
    pub fn record_arrival(&mut self, id: HolderId, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.arrived += bytes;
        }
    }

    /// Records that a body is complete; it is not given up any more. Returns false if it was given up before.
    pub fn complete(&mut self, id: HolderId) -> bool {
        let holder = self.holders.get_mut(&id);
        holder.map(|holder| holder.is_complete = true).is_some()
    }

    /// Removes a holder with what it holds.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.used -= holder.bytes;
        }
    }
}
