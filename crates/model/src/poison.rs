//! Model of the evidence of requests that crash targets, with three gateways of which one may be killed, restarted or cut
//! off at any time.
//!
//! A bad part crashes a target with each of its requests. A sound part runs in each of these crashes as well, and a
//! request with it is answered between the first crash and the second. The gateways exchange messages one by one; after
//! they have had time for all of them, the bad part must be refused by every gateway that the others reach, and the sound
//! one by none.

use crate::search::{self, Exploration};

const GATEWAYS: usize = 3;
/// Number of crashes after which a part without answers is blamed.
const THRESHOLD: u32 = 2;
/// Number of crashes after which the bad part must be refused. One gateway may end with what it lost to a crash.
const BOUND: u8 = 3;
/// Number of crashes that are explored.
const MAX_CRASHES: u8 = 4;

/// A rule of the protocol that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A part is blamed after several crashes, not after one.
    SeveralCrashes,
    /// All gateways are asked for answers before a part is blamed, not the detector's own memory only.
    AskAll,
    /// Two gateways keep the evidence, and those that reported it send it again to a new detector.
    KeptTwice,
    /// Both gateways that keep the evidence search it, since one that has restarted may lack some.
    BothDetect,
    /// Gateways compare what they refuse, so that those learn it which missed the announcement.
    Compared,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Gateway {
    is_cut_off: bool,
    /// Crashes that it lost a request to, as bits.
    own: u8,
    /// Crashes that it knows as a detector.
    known: u8,
    /// Whether it answered a request with the sound part.
    has_answer: bool,
    refuses_bad: bool,
    refuses_sound: bool,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct State {
    gateways: [Gateway; GATEWAYS],
    crashes: u8,
    /// Whether the messages of all crashes since the last fault have arrived.
    is_settled: bool,
    has_sound_answer: bool,
    kills_left: u8,
    cuts_left: u8,
    violation: Option<&'static str>,
}

/// Faults that may happen in an exploration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// A gateway is killed and restarts.
    Kill,
    /// A gateway is cut off from the others, and reaches them again.
    Cut,
}

/// Explores all states up to the first violation, without the `omitted` rule.
pub fn explore(scope: Scope, omitted: Option<Rule>) -> Exploration {
    let actions = Actions { omitted };
    let (kills_left, cuts_left) = match scope {
        Scope::Kill => (1, 0),
        Scope::Cut => (0, 1),
    };
    let start = State { is_settled: true, kills_left, cuts_left, ..State::default() };
    let is_violated = |state: &State| state.violation.is_some();
    let result = search::breadth_first(start, |state| actions.successors(state), is_violated);
    result.into_exploration(|state| state.violation)
}

struct Actions {
    omitted: Option<Rule>,
}

impl Actions {
    fn is_enforced(&self, rule: Rule) -> bool {
        self.omitted != Some(rule)
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        for gateway in 0..GATEWAYS {
            next.extend(bad_request(state, gateway));
            next.extend(sound_answer(state, gateway));
            next.extend(kill(state, gateway));
            next.extend(cut_off(state, gateway));
            next.extend(reconnect(state, gateway));
            next.extend(self.report(state, gateway));
            next.extend(self.detector(state, gateway));
        }
        next.extend(self.settle(state));
        next
    }

    /// Returns the detectors in the view of a gateway, which reaches no other one while either is cut off.
    fn detectors(&self, state: &State, gateway: usize) -> Vec<usize> {
        let count = if self.is_enforced(Rule::KeptTwice) { 2 } else { 1 };
        (0..GATEWAYS).filter(|other| is_reached(state, gateway, *other)).take(count).collect()
    }

    /// A gateway sends its reports to the detectors.
    fn report(&self, state: &State, gateway: usize) -> Option<State> {
        let mut next = state.clone();
        for detector in self.detectors(state, gateway) {
            next.gateways[detector].known |= state.gateways[gateway].own;
        }
        if !self.is_enforced(Rule::KeptTwice) {
            // The report is sent once.
            next.gateways[gateway].own = 0;
        }
        (next != *state).then_some(next)
    }

    /// A detector blames what was lost to enough crashes, and announces it once to the gateways that it reaches.
    fn detector(&self, state: &State, gateway: usize) -> Option<State> {
        let detectors = self.detectors(state, gateway);
        let count = if self.is_enforced(Rule::BothDetect) { 2 } else { 1 };
        let is_detector = detectors.iter().take(count).any(|detector| *detector == gateway);
        if !is_detector || state.gateways[gateway].refuses_bad {
            return None;
        }
        let threshold = if self.is_enforced(Rule::SeveralCrashes) { THRESHOLD } else { 1 };
        if state.gateways[gateway].known.count_ones() < threshold {
            return None;
        }
        let mut next = state.clone();
        let asked = |other: &usize| {
            *other == gateway
                || (self.is_enforced(Rule::AskAll) && is_reached(state, gateway, *other))
        };
        let is_answered = (0..GATEWAYS).filter(asked).any(|other| state.gateways[other].has_answer);
        for other in (0..GATEWAYS).filter(|other| is_reached(state, gateway, *other)) {
            next.gateways[other].refuses_bad = true;
            next.gateways[other].refuses_sound |= !is_answered;
        }
        if !is_answered && state.has_sound_answer && !is_cut(state) {
            next.violation = Some("a sound part was blamed although it had an answer");
        }
        if !is_answered && !state.has_sound_answer {
            next.violation = Some("a sound part was blamed before it could have an answer");
        }
        (next != *state).then_some(next)
    }

    /// All messages arrive, and what must hold then is checked.
    fn settle(&self, state: &State) -> Option<State> {
        if state.is_settled {
            return None;
        }
        let mut next = state.clone();
        for gateway in 0..GATEWAYS {
            next = self.report(&next, gateway).unwrap_or(next);
        }
        for gateway in 0..GATEWAYS {
            next = self.detector(&next, gateway).unwrap_or(next);
        }
        if self.is_enforced(Rule::Compared) {
            for gateway in 0..GATEWAYS {
                let reached = (0..GATEWAYS).filter(|other| is_reached(&next, gateway, *other));
                let refuses_bad = reached.clone().any(|other| next.gateways[other].refuses_bad);
                next.gateways[gateway].refuses_bad |= refuses_bad;
            }
        }
        next.is_settled = true;
        let in_touch = |gateway: &&Gateway| !gateway.is_cut_off;
        let mut in_touch = next.gateways.iter().filter(in_touch);
        if next.crashes >= BOUND && in_touch.any(|gateway| !gateway.refuses_bad) {
            next.violation = next.violation.or(Some("a gateway still serves the bad part"));
        }
        Some(next)
    }
}

fn is_cut(state: &State) -> bool {
    state.gateways.iter().any(|gateway| gateway.is_cut_off)
}

fn is_reached(state: &State, from: usize, to: usize) -> bool {
    let is_cut_off = |gateway: usize| state.gateways[gateway].is_cut_off;
    from == to || (!is_cut_off(from) && !is_cut_off(to))
}

/// A request with the bad part crashes a target, unless the gateway refuses it. A gateway that is cut off is not in touch,
/// and its requests do not count. Reports are faster than the crashes that one gateway sees, so it has at most one that no
/// detector knows.
fn bad_request(state: &State, gateway: usize) -> Option<State> {
    let sender = &state.gateways[gateway];
    let known = state.gateways.iter().fold(0, |known, detector| known | detector.known);
    let is_reported = sender.own & !known == 0;
    let is_allowed = state.crashes < MAX_CRASHES
        && !sender.refuses_bad
        && !sender.is_cut_off
        && is_reported
        && (state.crashes == 0 || state.has_sound_answer);
    is_allowed.then(|| {
        let mut next = state.clone();
        next.gateways[gateway].own |= 1 << state.crashes;
        next.crashes += 1;
        next.is_settled = false;
        next
    })
}

/// A request with the sound part is answered, once, between the first crash and the second.
fn sound_answer(state: &State, gateway: usize) -> Option<State> {
    let sender = &state.gateways[gateway];
    let is_allowed = state.crashes == 1
        && !state.has_sound_answer
        && !sender.is_cut_off
        && !sender.refuses_sound;
    is_allowed.then(|| {
        let mut next = state.clone();
        next.gateways[gateway].has_answer = true;
        next.has_sound_answer = true;
        next
    })
}

/// A gateway is killed and starts again with nothing. One whose answer would be lost is spared: a part that was answered
/// once in all cannot be told from a bad one then.
fn kill(state: &State, gateway: usize) -> Option<State> {
    if state.gateways[gateway].has_answer {
        return None;
    }
    let mut next = state.clone();
    next.kills_left = state.kills_left.checked_sub(1)?;
    next.gateways[gateway] = Gateway::default();
    next.is_settled = false;
    Some(next)
}

fn cut_off(state: &State, gateway: usize) -> Option<State> {
    let mut next = state.clone();
    next.cuts_left = state.cuts_left.checked_sub(1)?;
    next.gateways[gateway].is_cut_off = true;
    next.is_settled = false;
    Some(next)
}

fn reconnect(state: &State, gateway: usize) -> Option<State> {
    state.gateways[gateway].is_cut_off.then(|| {
        let mut next = state.clone();
        next.gateways[gateway].is_cut_off = false;
        next.is_settled = false;
        next
    })
}
