//! Queue of the pieces for one stage pool, and their selection for batched calls to targets.
//!
//! The fixed cost of a call is far higher than the cost of a piece, so the owner of a pool collects all pieces for it.
//! When a target becomes free, a call carries as many queued pieces as the batch size allows.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use crate::ids::{Name, Uptime};

/// Delay in the queue order for each step of priority. Comparable to the latency objective of a request, so that
/// lower priorities wait under overload.
const PRIORITY_STEP: Duration = Duration::from_secs(1);
/// Delay in the queue order for a piece on a target outside its preferred data centre. Comparable to one call.
const REMOTE_PENALTY: Duration = Duration::from_millis(300);
/// Maximum queueing time of a late piece. A late response is worth little to its caller, and a caller that is refused
/// early with a retry time finds capacity more often than one that waits.
const LATE_WAIT_LIMIT: Duration = Duration::from_millis(700);

/// A piece waits for a target in its preferred data centre only while this many calls fit before it is due.
const MIN_CALLS_BEFORE_DUE: u32 = 2;

/// A piece in the queue. A piece is the unit of batched work: a part of a stage that shares a call with other parts.
#[derive(Clone, Debug)]
pub struct QueuedPiece<T> {
    /// Identifies the piece to the user of the queue.
    pub ticket: T,
    /// Shared by the pieces of one stage of one request, whose results are needed together.
    pub group: u64,
    /// When the piece was queued.
    pub queued_at: Uptime,
    /// When the result is needed for the request to meet its latency objective.
    pub due: Uptime,
    /// Deadline of the request.
    pub expires: Uptime,
    /// Priority of the request; zero is the highest.
    pub priority: u8,
    /// Approximate size of the result, in bytes.
    pub result_bytes: u64,
    /// Whether earlier stages of the request are done; their work is lost if the piece is refused.
    pub has_inputs: bool,
    /// Data centre of the inputs, or of the target that needs the result, if these are large.
    pub preferred_data_centre: Option<Name>,
}

/// Capacity that a free target offers for one call.
pub struct Offer<'a> {
    /// Data centre of the target.
    pub data_centre: &'a str,
    /// Data centres with targets of the pool.
    pub pool_data_centres: &'a BTreeSet<&'a str>,
    /// Maximum number of pieces in the call.
    pub max_pieces: usize,
    /// Expected duration of a call with that many pieces.
    pub call_duration: Duration,
    /// Free memory for results, in bytes.
    pub free_bytes: u64,
}

/// Sort key of the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    is_late: bool,
    is_late_without_inputs: bool,
    time: Duration,
    group: u64,
}

impl<T> QueuedPiece<T> {
    /// Returns whether a call that starts now would end after the due time.
    fn is_late(&self, now: Uptime, call_duration: Duration) -> bool {
        now + call_duration > self.due
    }

    /// Returns the sort key. Pieces that can be on time come first, ordered by due time and priority, then late pieces
    /// with inputs, then other late pieces.
    fn key(&self, now: Uptime, call_duration: Duration) -> Key {
        let priority_delay = PRIORITY_STEP * u32::from(self.priority);
        let is_late = self.is_late(now, call_duration);
        let time = if is_late { self.expires } else { self.due };
        Key {
            is_late,
            is_late_without_inputs: is_late && !self.has_inputs,
            time: time + priority_delay,
            group: self.group,
        }
    }

    /// Returns whether the piece may run on a target. One outside the preferred data centre is used if the pool has no
    /// target there, if waiting for one could make the request late, or after a wait of one call.
    fn may_run_on(&self, now: Uptime, offer: &Offer) -> bool {
        let Some(preferred) = &self.preferred_data_centre else { return true };
        preferred == offer.data_centre
            || !offer.pool_data_centres.contains(preferred.as_str())
            || now + offer.call_duration * MIN_CALLS_BEFORE_DUE > self.due
            || now >= self.queued_at + offer.call_duration
    }
}

/// Queue of the pieces for one pool.
#[derive(Debug)]
pub struct StageQueue<T> {
    waiting: Vec<QueuedPiece<T>>,
}

impl<T> Default for StageQueue<T> {
    fn default() -> Self {
        Self { waiting: Vec::new() }
    }
}

impl<T> StageQueue<T> {
    /// Appends a piece.
    pub fn push(&mut self, piece: QueuedPiece<T>) {
        self.waiting.push(piece);
    }

    /// Returns the number of queued pieces.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Drops the pieces for which `is_obsolete` returns true.
    pub fn remove_if(&mut self, is_obsolete: impl Fn(&T) -> bool) {
        self.waiting.retain(|piece| !is_obsolete(&piece.ticket));
    }

    /// Dequeues the groups of which no piece has left the queue; `group_len` returns the number of pieces in the group of one.
    pub fn dequeue_whole_groups(&mut self, group_len: impl Fn(&T) -> usize) -> Vec<QueuedPiece<T>> {
        let mut queued: HashMap<u64, usize> = HashMap::new();
        for piece in &self.waiting {
            *queued.entry(piece.group).or_default() += 1;
        }
        let is_whole =
            |piece: &mut QueuedPiece<T>| queued[&piece.group] == group_len(&piece.ticket);
        self.waiting.extract_if(.., is_whole).collect()
    }

    /// Dequeues the pieces that can't be served.
    ///
    /// These are the pieces whose call would end after the deadline, given the queue ahead, and late pieces without
    /// inputs that have a long queue ahead or that pieces with time left have delayed for too long. Without inputs, no
    /// work is lost. `rate` is the throughput of all targets under load, in pieces per second.
    pub fn dequeue_unserviceable(
        &mut self,
        now: Uptime,
        call_duration: Duration,
        rate: f64,
    ) -> Vec<QueuedPiece<T>> {
        self.waiting.sort_by_cached_key(|piece| piece.key(now, call_duration));
        let mut ahead = 0_u32;
        let is_unserviceable = |piece: &mut QueuedPiece<T>| {
            let queue_delay = Duration::from_secs_f64(f64::from(ahead) / rate.max(1.0));
            let is_delayed =
                queue_delay > LATE_WAIT_LIMIT || now + call_duration > piece.due + LATE_WAIT_LIMIT;
            let is_unserviceable = now + queue_delay + call_duration > piece.expires
                || (piece.is_late(now, call_duration) && !piece.has_inputs && is_delayed);
            ahead += u32::from(!is_unserviceable);
            is_unserviceable
        };
        self.waiting.extract_if(.., is_unserviceable).collect()
    }

    /// Dequeues the most urgent pieces for one call.
    ///
    /// A group is split only if it is larger than a call or its results exceed the free memory.
    pub fn dequeue_batch(&mut self, now: Uptime, offer: &Offer) -> Vec<QueuedPiece<T>> {
        self.waiting.sort_by_cached_key(|piece| {
            let mut key = piece.key(now, offer.call_duration);
            if piece
                .preferred_data_centre
                .as_ref()
                .is_some_and(|preferred| preferred != offer.data_centre)
            {
                key.time += REMOTE_PENALTY;
            }
            key
        });
        let (mut free_bytes, mut count, mut selected) = (offer.free_bytes, 0, Vec::new());
        for group in self.waiting.chunk_by(|a, b| a.group == b.group) {
            let capacity = offer.max_pieces - count;
            let is_split = group.len() > capacity && (count > 0 || group.len() <= offer.max_pieces);
            let eligible = if is_split || !group[0].may_run_on(now, offer) {
                0
            } else {
                group.len().min(capacity)
            };
            let fits = |piece: &&QueuedPiece<T>| {
                let remaining = free_bytes.checked_sub(piece.result_bytes);
                free_bytes = remaining.unwrap_or(free_bytes);
                remaining.is_some()
            };
            let fitting = group[..eligible].iter().take_while(fits).count();
            count += fitting;
            selected.extend((0..group.len()).map(|index| index < fitting));
        }
        let mut index = 0;
        let is_selected = |_: &mut QueuedPiece<T>| {
            index += 1;
            selected[index - 1]
        };
        self.waiting.extract_if(.., is_selected).collect()
    }
}
