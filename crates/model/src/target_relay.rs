//! Model of the list of targets that gateways read in the store and get from each other, with answers that overtake each other
//! and a store that is restored from an older copy once.

use crate::search::{self, Exploration};

const GATEWAYS: usize = 2;
const TARGETS: u8 = 2;
/// Revisions of the store that are explored, in each era.
const MAX_REVISION: usize = 2;
const ERAS: usize = 2;
/// Number of changes that a gateway keeps for the other one.
const KEPT: usize = 1;

/// A rule of the protocol that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Changes are applied only to the version after which they were asked for.
    OwnVersion,
    /// A gateway that does not keep all changes since a version refuses to answer.
    KeptOnly,
    /// Changes of another era are not asked for.
    SameEra,
    /// A full list that was asked for before newer changes came is dropped.
    NoOlderList,
}

/// Era and revision.
type Version = (usize, usize);

/// Targets that are listed, as bits.
type List = u8;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    version: Version,
    list: List,
    /// Version after which it keeps all changes.
    kept_after: Version,
    /// The answers of the store and of the other gateway; a later one replaces one that is lost.
    answers: [Option<Answer>; 2],
}

/// An answer on its way to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Answer {
    /// Version at which the gateway asked.
    asked_at: Version,
    version: Version,
    /// Targets that are in the answer; all of them in a full list.
    changed: List,
    values: List,
    is_whole: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    /// The list at each revision, by era.
    history: [[List; MAX_REVISION + 1]; ERAS],
    newest: Version,
    gateways: [Gateway; GATEWAYS],
    violation: Option<&'static str>,
}

/// Explores all states up to the first violation, without the `omitted` rule.
pub fn explore(omitted: Option<Rule>) -> Exploration {
    let gateway = Gateway { version: (0, 0), list: 0, kept_after: (0, 0), answers: [None; 2] };
    let start = State {
        history: [[0; MAX_REVISION + 1]; ERAS],
        newest: (0, 0),
        gateways: [gateway; GATEWAYS],
        violation: None,
    };
    let actions = Actions { omitted };
    let result = search::breadth_first(
        start,
        |state| actions.successors(state),
        |state| state.violation.is_some(),
    );
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
        let mut next: Vec<State> = (0..TARGETS).filter_map(|target| write(state, target)).collect();
        next.extend((0..=state.newest.1).filter_map(|copy| restore(state, copy)));
        for index in 0..GATEWAYS {
            let asked = [
                (0, read_store(state, index, false)),
                (0, read_store(state, index, true)),
                (1, self.ask_peer(state, index)),
            ];
            for (from, answer) in asked {
                let mut state = state.clone();
                state.gateways[index].answers[from] = answer;
                next.push(state);
            }
            next.extend((0..2).filter_map(|from| self.receive(state, index, from)));
        }
        next
    }

    /// Asks the other gateway for the changes after the own version, as it knows of a newer one.
    fn ask_peer(&self, state: &State, index: usize) -> Option<Answer> {
        let (own, peer) = (state.gateways[index], state.gateways[1 - index]);
        let is_same_era = own.version.0 == peer.version.0;
        if self.is_enforced(Rule::SameEra) && !is_same_era || peer.version.1 < own.version.1 {
            return None;
        }
        if self.is_enforced(Rule::KeptOnly) && peer.kept_after > own.version {
            return None;
        }
        let kept_after =
            if is_same_era { peer.kept_after.1.max(own.version.1) } else { own.version.1 };
        Some(state.changes(own.version, kept_after, peer.version))
    }

    fn receive(&self, state: &State, index: usize, from: usize) -> Option<State> {
        let mut next = state.clone();
        let gateway = &mut next.gateways[index];
        let before = gateway.version;
        let answer = gateway.answers[from].take()?;
        if answer.is_whole {
            let is_older = answer.version.0 == before.0 && answer.version.1 < before.1;
            if is_older && self.is_enforced(Rule::NoOlderList) {
                return Some(next);
            }
            gateway.kept_after = answer.version;
        } else if answer.asked_at != before && self.is_enforced(Rule::OwnVersion) {
            return Some(next);
        }
        gateway.version = answer.version;
        gateway.list = (gateway.list & !answer.changed) | (answer.values & answer.changed);
        let oldest_kept = (answer.version.0, answer.version.1.saturating_sub(KEPT));
        gateway.kept_after = gateway.kept_after.max(oldest_kept);
        let (era, revision) = gateway.version;
        if gateway.list != next.history[era][revision] {
            next.violation = Some("a list differs from the store's at its version");
        } else if era == before.0 && revision < before.1 {
            next.violation = Some("a list went back");
        }
        Some(next)
    }
}

impl State {
    /// Returns the answer with the changes after a revision of the era of `version`.
    fn changes(&self, asked_at: Version, after: usize, version: Version) -> Answer {
        let lists = &self.history[version.0];
        let changed = (after..version.1).fold(0, |mask, at| mask | (lists[at] ^ lists[at + 1]));
        Answer { asked_at, version, changed, values: lists[version.1], is_whole: false }
    }
}

/// A target registers or leaves.
fn write(state: &State, target: u8) -> Option<State> {
    let (era, revision) = state.newest;
    let mut next = state.clone();
    *next.history[era].get_mut(revision + 1)? = state.history[era][revision] ^ (1 << target);
    next.newest = (era, revision + 1);
    Some(next)
}

/// The store comes back from the copy of an earlier revision.
fn restore(state: &State, copy: usize) -> Option<State> {
    let (era, _) = state.newest;
    let mut next = state.clone();
    let lists = state.history[era];
    next.history.get_mut(era + 1)?[..=copy].copy_from_slice(&lists[..=copy]);
    next.newest = (era + 1, copy);
    Some(next)
}

/// Reads the store: the changes after the own version, or a full list, which the store also sends to a gateway of an older era.
fn read_store(state: &State, index: usize, is_whole: bool) -> Option<Answer> {
    let asked_at = state.gateways[index].version;
    if is_whole || asked_at.0 != state.newest.0 {
        let values = state.history[state.newest.0][state.newest.1];
        let version = state.newest;
        return Some(Answer { asked_at, version, changed: List::MAX, values, is_whole: true });
    }
    Some(state.changes(asked_at, asked_at.1, state.newest))
}
