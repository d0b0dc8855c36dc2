//! Agent's table of attempts. Each attempt runs at most once; one whose outcome is requested before it arrives is
//! fenced and never runs.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{AttemptId, Incarnation, Name, Uptime};
use crate::outcome::Outcome;

/// Time for which a finished or fenced attempt is kept.
pub const FINISHED_RETENTION: Duration = Duration::from_secs(60);

/// Entry, its incarnation and its attempt number.
pub type AttemptKey = (Name, Incarnation, AttemptId);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    Running,
    Finished { outcome: Outcome, at: Uptime },
    Fenced { at: Uptime },
}

/// State of an attempt whose outcome was requested.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It is still running.
    Running,
    /// It finished.
    Finished(Outcome),
    /// It was never received, and is refused if it arrives later.
    Fenced,
    /// It may have been received, so long ago that its state is not kept.
    Expired,
}

/// Latest incarnation of an entry that has an expired attempt, and the highest number of its expired attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Watermark {
    incarnation: Incarnation,
    highest: Option<AttemptId>,
}

/// States of attempts by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Attempts {
    states: BTreeMap<AttemptKey, State>,
    running: usize,
    watermarks: BTreeMap<Name, Watermark>,
}

impl Attempts {
    /// Starts an attempt. Returns false when it was, or may have been, received or fenced before.
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

    /// Returns the state of an attempt, and fences one that was never received.
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

    /// Returns whether the state of an attempt is kept.
    pub fn contains(&self, key: &AttemptKey) -> bool {
        self.states.contains_key(key)
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Returns whether an attempt whose state is not kept may have been received.
    fn is_expired(&self, (name, incarnation, attempt): &AttemptKey) -> bool {
        let Some(watermark) = self.watermarks.get(name) else { return false };
        if *incarnation != watermark.incarnation {
            return *incarnation < watermark.incarnation;
        }
        watermark.highest.is_some_and(|highest| *attempt <= highest)
    }

    /// Removes attempts that ended [`FINISHED_RETENTION`] ago or earlier, and raises the watermarks so that they are
    /// still refused.
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
    let watermark = watermarks.entry(name.clone()).or_default();
    if *incarnation > watermark.incarnation {
        *watermark = Watermark { incarnation: *incarnation, highest: None };
    }
    if *incarnation == watermark.incarnation {
        watermark.highest = watermark.highest.max(Some(*attempt));
    }
}
