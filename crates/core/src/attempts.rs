//! Agent's table of attempts: each runs once, and one that was asked for before it came is fenced off.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{AttemptId, Incarnation, Name, Uptime};
use crate::outcome::Outcome;

/// How long a finished or fenced attempt is kept.
pub const KEEP_FINISHED: Duration = Duration::from_secs(60);

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
}

/// Attempts by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Attempts {
    states: BTreeMap<AttemptKey, State>,
}

impl Attempts {
    /// Takes in an attempt; false when it was seen or fenced before.
    pub fn start(&mut self, key: AttemptKey) -> bool {
        if self.states.contains_key(&key) {
            return false;
        }
        self.states.insert(key, State::Running);
        true
    }

    /// Records the end of an attempt.
    pub fn finish(&mut self, key: AttemptKey, outcome: Outcome, now: Uptime) {
        self.states.insert(key, State::Finished { outcome, at: now });
    }

    /// Tells what became of an attempt and fences off one that was never seen.
    pub fn settle(&mut self, key: AttemptKey, now: Uptime) -> Settled {
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
        self.states.values().filter(|state| matches!(state, State::Running)).count()
    }

    /// Forgets what ended long ago.
    pub fn expire(&mut self, now: Uptime) {
        self.states.retain(|_, state| match state {
            State::Running => true,
            State::Finished { at, .. } | State::Fenced { at } => {
                now.saturating_sub(*at) < KEEP_FINISHED
            }
        });
    }
}
