//! Agent's table of attempts: each runs once, and one that was asked for before it came is fenced off.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{AttemptId, Incarnation, Name, Uptime};
use crate::outcome::Outcome;

/// How long a finished or fenced attempt is kept.
pub const FINISHED_RETENTION: Duration = Duration::from_secs(60);

/// An attempt of one entry incarnation.
pub type AttemptKey = (Name, Incarnation, AttemptId);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Running,
    Finished { outcome: Outcome, at: Uptime },
    Fenced { at: Uptime },
}

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It is still running.
    Running,
    /// It ended.
    Finished(Outcome),
    /// It was never seen, and is refused from now on.
    Fenced,
    /// It may have been seen, so long ago that nothing is kept of it.
    Expired,
}

/// Newest life of an entry, and its highest attempt that was forgotten.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Watermark {
    incarnation: Incarnation,
    highest: Option<AttemptId>,
}

/// Attempts by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Attempts {
    states: BTreeMap<AttemptKey, State>,
    running: usize,
    watermarks: BTreeMap<Name, Watermark>,
}

impl Attempts {
    /// Takes in an attempt; false when it was, or may have been, seen or fenced before.
    pub fn start(&mut self, key: AttemptKey) -> bool {
        if self.states.contains_key(&key) || self.is_expired(&key) {
            return false;
        }
        self.states.insert(key, State::Running);
        self.running += 1;
        true
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, key: AttemptKey, outcome: Outcome, now: Uptime) {
        let before = self.states.insert(key, State::Finished { outcome, at: now });
        self.running -= usize::from(before == Some(State::Running));
    }

    /// Tells what became of an attempt and fences off one that was never seen.
    pub fn settle(&mut self, key: AttemptKey, now: Uptime) -> Settled {
        if !self.states.contains_key(&key) && self.is_expired(&key) {
            return Settled::Expired;
        }
        match self.states.entry(key).or_insert(State::Fenced { at: now }) {
            State::Running => Settled::Running,
            State::Finished { outcome, .. } => Settled::Finished(outcome.clone()),
            State::Fenced { .. } => Settled::Fenced,
        }
    }

    /// Whether an attempt is known.
    pub fn contains(&self, key: &AttemptKey) -> bool {
        self.states.contains_key(key)
    }

    /// Number of attempts that are running.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Whether an attempt that is not kept may have been seen.
    fn is_expired(&self, (name, incarnation, attempt): &AttemptKey) -> bool {
        let Some(watermark) = self.watermarks.get(name) else { return false };
        if *incarnation != watermark.incarnation {
            return *incarnation < watermark.incarnation;
        }
        watermark.highest.is_some_and(|highest| *attempt <= highest)
    }

    /// Forgets what ended long ago, but not that it may have been seen.
    pub fn expire(&mut self, now: Uptime) {
        let watermarks = &mut self.watermarks;
        self.states.retain(|key, state| {
            let ended_at = match state {
                State::Running => return true,
                State::Finished { at, .. } | State::Fenced { at } => *at,
            };
            let is_kept = now.saturating_sub(ended_at) < FINISHED_RETENTION;
            if !is_kept {
                raise_watermark(watermarks, key);
            }
            is_kept
        });
    }
}

fn raise_watermark(
    watermarks: &mut BTreeMap<Name, Watermark>,
    (name, incarnation, attempt): &AttemptKey,
) {
    let known = watermarks.entry(name.clone()).or_default();
    if *incarnation > known.incarnation {
        *known = Watermark { incarnation: *incarnation, highest: None };
    }
    if *incarnation == known.incarnation {
        known.highest = known.highest.max(Some(*attempt));
    }
}
