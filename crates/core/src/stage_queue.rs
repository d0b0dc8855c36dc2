//! Pieces of stages that wait for a call to a target, and which of them a call takes.
//!
//! A call costs far more than each piece that it carries, so one owner gathers all pieces for a pool and a call takes
//! everything that waits when a target becomes free, up to the size of a batch.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::ids::{Name, Uptime};

/// Time by which each rank is put behind the one before it: about the time in which a request can be on time, so that
/// under overload the lower ranks wait.
const RANK_STEP: Duration = Duration::from_secs(1);
/// Time by which a piece is put back at a target that is not near: about one call.
const FAR_STEP: Duration = Duration::from_millis(300);
/// Time that a late piece may have to wait for its turn. A late answer earns its caller little, and a caller that is
/// told early when to come back finds room more often than one that waits.
const LATE_PATIENCE: Duration = Duration::from_millis(700);

/// Calls that fit before a piece is due, below which it no longer waits for a near target.
const CALLS_BEFORE_FAR: u32 = 2;

/// A piece that waits.
#[derive(Clone, Debug)]
pub struct Waiting<T> {
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
    pub bytes: u64,
    /// Whether stages of the request are done already, whose work is lost with it.
    pub has_inputs: bool,
    /// Data centre in which the inputs lie or the result is needed, where they are large.
    pub near: Option<Name>,
}

/// A free target that asks for pieces.
pub struct Offer<'a> {
    /// Data centre of the target.
    pub data_centre: &'a str,
    /// Data centres with targets of the pool.
    pub centres: &'a BTreeSet<&'a str>,
    /// Pieces that one call may carry.
    pub batch: usize,
    /// Expected duration of a call that carries as many.
    pub call: Duration,
    /// Memory left for results, in bytes.
    pub room: u64,
}

/// Place in the order of pieces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    is_late: bool,
    is_new: bool,
    time: Duration,
    group: u64,
}

impl<T> Waiting<T> {
    /// Whether the result can no longer be there in time.
    fn is_late(&self, now: Uptime, call: Duration) -> bool {
        now + call > self.due
    }

    /// Pieces with lower keys go first: those that can be on time, by time and rank, and then the late ones, of which
    /// those with inputs are first.
    fn key(&self, now: Uptime, call: Duration) -> Key {
        let rank = RANK_STEP * u32::from(self.priority);
        let is_late = self.is_late(now, call);
        let time = if is_late { self.expires } else { self.due };
        Key { is_late, is_new: is_late && !self.has_inputs, time: time + rank, group: self.group }
    }

    /// Whether a target may take the piece: a far one only when waiting for a near one may make the request late.
    fn may_go(&self, now: Uptime, offer: &Offer) -> bool {
        let Some(near) = &self.near else { return true };
        near == offer.data_centre
            || !offer.centres.contains(near.as_str())
            || now + offer.call * CALLS_BEFORE_FAR > self.due
            || now >= self.queued_at + offer.call
    }
}

/// Pieces that wait for one pool.
#[derive(Debug)]
pub struct StageQueue<T> {
    waiting: Vec<Waiting<T>>,
}

impl<T> Default for StageQueue<T> {
    fn default() -> Self {
        Self { waiting: Vec::new() }
    }
}

impl<T> StageQueue<T> {
    /// Adds a piece.
    pub fn push(&mut self, piece: Waiting<T>) {
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
    pub fn drop_if(&mut self, is_gone: impl Fn(&T) -> bool) {
        self.waiting.retain(|piece| !is_gone(&piece.ticket));
    }

    /// Takes out the pieces that wait in vain: their deadline leaves no time for their turn and a call, or they are
    /// late, their turn is far off or has been put off for long by punctual ones, and no work is lost with them.
    ///
    /// `rate` is the number of pieces that all targets together run in a second under load.
    pub fn take_hopeless(&mut self, now: Uptime, call: Duration, rate: f64) -> Vec<Waiting<T>> {
        self.waiting.sort_by_cached_key(|piece| piece.key(now, call));
        let mut ahead = 0_u32;
        let is_hopeless = |piece: &mut Waiting<T>| {
            let turn = Duration::from_secs_f64(f64::from(ahead) / rate.max(1.0));
            let is_put_off = turn > LATE_PATIENCE || now + call > piece.due + LATE_PATIENCE;
            let is_hopeless = now + turn + call > piece.expires
                || (piece.is_late(now, call) && !piece.has_inputs && is_put_off);
            ahead += u32::from(!is_hopeless);
            is_hopeless
        };
        self.waiting.extract_if(.., is_hopeless).collect()
    }

    /// Takes the most urgent pieces for one call.
    ///
    /// Pieces of one group stay together unless they are more than a call carries.
    pub fn take_batch(&mut self, now: Uptime, offer: &Offer) -> Vec<Waiting<T>> {
        self.waiting.sort_by_cached_key(|piece| {
            let mut key = piece.key(now, offer.call);
            if piece.near.as_ref().is_some_and(|near| near != offer.data_centre) {
                key.time += FAR_STEP;
            }
            key
        });
        let (mut room, mut count, mut taken) = (offer.room, 0, Vec::new());
        for group in self.waiting.chunk_by(|a, b| a.group == b.group) {
            let left = offer.batch - count;
            let is_split = group.len() > left && (count > 0 || group.len() <= offer.batch);
            let wanted =
                if is_split || !group[0].may_go(now, offer) { 0 } else { group.len().min(left) };
            let fits = |piece: &&Waiting<T>| {
                let rest = room.checked_sub(piece.bytes);
                room = rest.unwrap_or(room);
                rest.is_some()
            };
            let fitting = group[..wanted].iter().take_while(fits).count();
            count += fitting;
            taken.extend((0..group.len()).map(|index| index < fitting));
        }
        let mut index = 0;
        let is_taken = |_: &mut Waiting<T>| {
            index += 1;
            taken[index - 1]
        };
        self.waiting.extract_if(.., is_taken).collect()
    }
}
