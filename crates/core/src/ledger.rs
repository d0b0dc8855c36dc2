//! Agent's ledger of idempotency keys: the first answer of each key, kept for the retention time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{KeyDigest, Member, Shard, Uptime};
use crate::outcome::{Answer, Outcome};

/// Bytes of kept answers above which new keys are refused.
pub const MAX_BYTES: usize = 24 * 1024 * 1024;
/// Estimated bytes of one key beside its answer.
const KEY_OVERHEAD_BYTES: usize = 256;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Running,
    Done(Answer),
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    shard: Shard,
    /// Digest of the first body; none for a key that was only heard of.
    body_digest: Option<String>,
    state: State,
    at: Uptime,
    /// Entries that would name the key to the next holder of the licence.
    acknowledged_by: BTreeSet<Member>,
}

/// What to do with a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The key is new: run the call.
    Start,
    /// The key is running: wait for its end.
    Join,
    /// The key was done: give the first answer again.
    Replay(Answer),
    /// The key may have run and its answer is not known.
    Unknown,
    /// The key was used with another body.
    Mismatch,
    /// No room for another key.
    Full,
}

/// Keys that this agent ran or may have run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    entries: BTreeMap<KeyDigest, Entry>,
    bytes: usize,
}

impl Ledger {
    /// Decides on a keyed call, and records the key when it is to start.
    pub fn admit(
        &mut self,
        key: KeyDigest,
        shard: Shard,
        body_digest: &str,
        sender: &Member,
        now: Uptime,
    ) -> Decision {
        if let Some(entry) = self.entries.get_mut(&key) {
            // The sender may take its send back when it learns that its own attempt did not run, so it is no knower.
            if entry.body_digest.as_deref().is_some_and(|known| known != body_digest) {
                return Decision::Mismatch;
            }
            return match &entry.state {
                State::Running => Decision::Join,
                State::Done(answer) => Decision::Replay(answer.clone()),
                State::Unknown => Decision::Unknown,
            };
        }
        if self.bytes + KEY_OVERHEAD_BYTES > MAX_BYTES {
            return Decision::Full;
        }
        self.bytes += KEY_OVERHEAD_BYTES;
        let acknowledged_by = BTreeSet::from([sender.clone()]);
        let body_digest = Some(body_digest.to_owned());
        self.entries.insert(
            key,
            Entry { shard, body_digest, state: State::Running, at: now, acknowledged_by },
        );
        Decision::Start
    }

    /// Records how a started call ended; one that did not run is forgotten.
    pub fn finish(&mut self, key: KeyDigest, outcome: &Outcome, now: Uptime) {
        let Some(entry) = self.entries.get_mut(&key) else { return };
        match outcome {
            Outcome::Done(answer) => {
                self.bytes += answer.body.len();
                entry.state = State::Done(answer.clone());
                entry.at = now;
            }
            Outcome::Unknown(_) => {
                entry.state = State::Unknown;
                entry.at = now;
            }
            Outcome::NotRun { .. } | Outcome::KeyMismatch => {
                self.entries.remove(&key);
                self.bytes -= KEY_OVERHEAD_BYTES;
            }
        }
    }

    /// Records that a key may have run elsewhere, as an entry says; an own record of the key stays.
    pub fn add_reported(&mut self, key: KeyDigest, shard: Shard, member: &Member, now: Uptime) {
        let bytes = &mut self.bytes;
        let entry = self.entries.entry(key).or_insert_with(|| {
            *bytes += KEY_OVERHEAD_BYTES;
            Entry {
                shard,
                body_digest: None,
                state: State::Unknown,
                at: now,
                acknowledged_by: BTreeSet::new(),
            }
        });
        entry.acknowledged_by.insert(member.clone());
    }

    /// Whether the key ran or may have run here.
    pub fn contains(&self, key: KeyDigest) -> bool {
        self.entries.contains_key(&key)
    }

    /// Keys of a shard that none of `members` would name to the next holder.
    pub fn unacknowledged_by(&self, shard: Shard, members: &BTreeSet<Member>) -> Vec<KeyDigest> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.shard == shard && entry.acknowledged_by.is_disjoint(members))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Records that an entry was told of keys.
    pub fn mark_acknowledged(&mut self, keys: &[KeyDigest], member: &Member) {
        for key in keys {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.acknowledged_by.insert(member.clone());
            }
        }
    }

    /// Forgets ended keys older than the retention time.
    pub fn expire(&mut self, now: Uptime, retention: Duration) {
        let bytes = &mut self.bytes;
        self.entries.retain(|_, entry| {
            let kept = entry.state == State::Running || now.saturating_sub(entry.at) < retention;
            if !kept {
                let body =
                    if let State::Done(answer) = &entry.state { answer.body.len() } else { 0 };
                *bytes -= KEY_OVERHEAD_BYTES + body;
            }
            kept
        });
    }

    /// Number of keys kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
