//! Pieces of stages that wait for a call to a target, and which of them a call takes.
//!
//! A call costs far more than each piece that it carries, so one owner gathers all pieces for a pool and a call takes
//! everything that waits when a target becomes free, up to the size of a batch.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::{Name, Uptime};

/// Time by which each rank is put behind the one before it: about the time in which a request can be on time, so that
/// under overload the lower ranks wait.
const PRIORITY_STEP: Duration = Duration::from_secs(1);
/// Time by which a piece is put back at a target that is not near: about one call.
const REMOTE_PENALTY: Duration = Duration::from_millis(300);
/// Time that a late piece may have to wait for its turn. A late answer earns its caller little, and a caller that is
/// told early when to come back finds room more often than one that waits.
const LATE_WAIT_LIMIT: Duration = Duration::from_millis(700);

/// Calls that fit before a piece is due, below which it no longer waits for a near target.
const MIN_CALLS_BEFORE_DUE: u32 = 2;

/// A piece that waits.
#[derive(Clone, Debug)]
pub struct QueuedPiece<T> {
    /// What the caller tells pieces apart by.
    pub ticket: T,
    /// Pieces of one stage of one request share it; their results are needed together.
    pub group: u64,
    /// When the piece began to wait.
    pub queued_at: Uptime,
    /// When the result has to be there for the request to be on time.
    pub due: Uptime,
    /// Deadline of the request.
    pub expires: Uptime,
    /// Rank of the request; zero is first.
    pub priority: u8,
    /// Approximate size of the result.
    pub result_bytes: u64,
    /// Whether stages of the request are done already, whose work is lost with it.
    pub has_inputs: bool,
    /// Data centre in which the inputs lie or the result is needed, where they are large.
    pub preferred_data_centre: Option<Name>,
}

/// A free target that asks for pieces.
pub struct Offer<'a> {
    /// Data centre of the target.
    pub data_centre: &'a str,
    /// Data centres with targets of the pool.
    pub pool_data_centres: &'a BTreeSet<&'a str>,
    /// Pieces that one call may carry.
    pub max_pieces: usize,
    /// Expected duration of a call that carries as many.
    pub call_duration: Duration,
    /// Memory left for results, in bytes.
    pub free_bytes: u64,
}

/// Place in the order of pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    is_late: bool,
    has_no_inputs: bool,
    time: Duration,
    group: u64,
}

impl<T> QueuedPiece<T> {
    /// Whether the result can no longer be there in time.
    fn is_late(&self, now: Uptime, call_duration: Duration) -> bool {
        now + call_duration > self.due
    }

    /// Pieces with lower keys go first: those that can be on time, by time and rank, and then the late ones, of which
    /// those with inputs are first.
    fn key(&self, now: Uptime, call_duration: Duration) -> Key {
        let priority = PRIORITY_STEP * u32::from(self.priority);
        let is_late = self.is_late(now, call_duration);
        let time = if is_late { self.expires } else { self.due };
        Key {
            is_late,
            has_no_inputs: is_late && !self.has_inputs,
            time: time + priority,
            group: self.group,
        }
    }

    /// Whether a target may take the piece: a far one only when waiting for a near one may make the request late.
    fn may_run_on(&self, now: Uptime, offer: &Offer) -> bool {
        let Some(preferred) = &self.preferred_data_centre else { return true };
        preferred == offer.data_centre
            || !offer.pool_data_centres.contains(preferred.as_str())
            || now + offer.call_duration * MIN_CALLS_BEFORE_DUE > self.due
            || now >= self.queued_at + offer.call_duration
    }
}

/// Pieces that wait for one pool.
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
    /// Adds a piece.
    pub fn push(&mut self, piece: QueuedPiece<T>) {
        self.waiting.push(piece);
    }

    /// Pieces that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no piece waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Drops the pieces for which `is_gone` holds.
    pub fn remove_if(&mut self, is_obsolete: impl Fn(&T) -> bool) {
        self.waiting.retain(|piece| !is_obsolete(&piece.ticket));
    }

    /// Takes out the pieces that wait in vain: their deadline leaves no time for their turn and a call, or they are
    /// late, their turn is far off or has been put off for long by punctual ones, and no work is lost with them.
    ///
    /// `rate` is the number of pieces that all targets together run in a second under load.
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

    /// Takes the most urgent pieces for one call.
    ///
    /// Pieces of one group stay together unless they are more than a call carries.
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
            let left = offer.max_pieces - count;
            let is_split = group.len() > left && (count > 0 || group.len() <= offer.max_pieces);
            let eligible = if is_split || !group[0].may_run_on(now, offer) {
                0
            } else {
                group.len().min(left)
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
