//! Agent's ledger of idempotency keys: keeps the first answer of each key for the retention time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{KeyDigest, Member, Shard, Uptime};
use crate::outcome::{Answer, Outcome};

/// Bytes of kept keys and answers above which new keys are refused.
pub const MAX_BYTES: usize = 24 * 1024 * 1024;
/// Estimated bytes of one key without its answer.
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
    /// Digest of the first body; none for a key that an entry reported.
    body_digest: Option<String>,
    state: State,
    at: Uptime,
    /// Entries that would report the key to the next holder of the licence.
    acknowledged_by: BTreeSet<Member>,
}

/// Decision on a call with an idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The key is new: run the call.
    Start,
    /// The key is running: wait for its end.
    Join,
    /// The key is done: return the first answer again.
    Replay(Answer),
    /// The key may have run, and its answer is not known.
    Unknown,
    /// The key was used with a different body.
    Mismatch,
    /// The ledger has no capacity for another key.
    Full,
}

/// Keys that ran or may have run, on this agent or under an earlier holder of the licence.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    entries: BTreeMap<KeyDigest, Entry>,
    bytes: usize,
}

impl Ledger {
    /// Decides on a call with an idempotency key, and records the key if the call is to start.
    pub fn admit(
        &mut self,
        key: KeyDigest,
        shard: Shard,
        body_digest: &str,
        sender: &Member,
        now: Uptime,
    ) -> Decision {
        if let Some(entry) = self.entries.get_mut(&key) {
            // The sender of a repeated key is not added to `acknowledged_by`: it may retract its send when it learns
            // that its own attempt did not run.
            if entry.body_digest.as_deref().is_some_and(|first| first != body_digest) {
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

    /// Records the outcome of a started call; the key of a call that did not run is removed.
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

    /// Records that a key may have run elsewhere, as reported by an entry. An existing record of the key keeps its
    /// state.
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

    /// Returns whether the key is recorded.
    pub fn contains(&self, key: KeyDigest) -> bool {
        self.entries.contains_key(&key)
    }

    /// Returns the keys of a shard that none of `members` would report to the next holder.
    pub fn unacknowledged_by(&self, shard: Shard, members: &BTreeSet<Member>) -> Vec<KeyDigest> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.shard == shard && entry.acknowledged_by.is_disjoint(members))
            .map(|(key, _)| *key)
            .collect()
    }

    /// Records that an entry acknowledged keys.
    pub fn mark_acknowledged(&mut self, keys: &[KeyDigest], member: &Member) {
        for key in keys {
            if let Some(entry) = self.entries.get_mut(key) {
                entry.acknowledged_by.insert(member.clone());
            }
        }
    }

    /// Removes keys that ended at least `retention` ago.
    pub fn expire(&mut self, now: Uptime, retention: Duration) {
        let bytes = &mut self.bytes;
        self.entries.retain(|_, entry| {
            let is_kept = entry.state == State::Running || now.saturating_sub(entry.at) < retention;
            if !is_kept {
                let body =
                    if let State::Done(answer) = &entry.state { answer.body.len() } else { 0 };
                *bytes -= KEY_OVERHEAD_BYTES + body;
            }
            is_kept
        });
    }

    /// Returns the number of kept keys.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
