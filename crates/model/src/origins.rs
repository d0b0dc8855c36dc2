//! Model of a stream that a caller takes up at another gateway, while the targets of its pool change from one software
//! version to the next. Records of its origin may be lost, gateways lose the store and are restarted.
//!
//! Assumed: the last target of the old version leaves later than the new version is used for streams.

use crate::search::{self, Exploration};

const GATEWAYS: usize = 3;

/// A rule of the protocol that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// A version is used for streams only when all gateways whose list is current have seen it.
    Established,
    /// Only a current list proves that a pool has one version.
    CurrentList,
    /// A version that has left the list within the life of a stream may have begun it.
    Window,
    /// A restarted gateway does not know which versions there were.
    LostHistory,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Version {
    Old,
    New,
}

/// Versions with targets in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Listed {
    Old,
    Both,
    New,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Gateway {
    /// The list as last read; `None` after a restart.
    list: Option<Listed>,
    /// Whether the list was read recently.
    is_current: bool,
    /// Whether it may have missed, or has seen, another version within the life of a stream.
    has_seen_change: bool,
    uses_new: bool,
    record: Option<Version>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stream {
    Waiting,
    Begun(Version),
    /// It went on at another version than the one that began it.
    Mixed,
    Over,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    listed: Listed,
    gateways: [Gateway; GATEWAYS],
    stream: Stream,
    restarts_left: u8,
}

/// Explores all states up to the first violation, without the `omitted` rule.
pub fn explore(omitted: Option<Rule>) -> Exploration {
    let gateway = Gateway {
        list: Some(Listed::Old),
        is_current: true,
        has_seen_change: false,
        uses_new: false,
        record: None,
    };
    let start = State {
        listed: Listed::Old,
        gateways: [gateway; GATEWAYS],
        stream: Stream::Waiting,
        restarts_left: 2,
    };
    let actions = Actions { omitted };
    let result = search::breadth_first(
        start,
        |state| actions.successors(state),
        |state| state.stream == Stream::Mixed,
    );
    result.into_exploration(|_| Some("a stream goes on at another version"))
}

struct Actions {
    omitted: Option<Rule>,
}

impl Actions {
    fn is_enforced(&self, rule: Rule) -> bool {
        self.omitted != Some(rule)
    }

    /// Returns the version of the pool if the gateway can prove that it has had no other.
    fn only_version(&self, gateway: &Gateway) -> Option<Version> {
        let is_current = gateway.is_current || !self.is_enforced(Rule::CurrentList);
        let is_clear = !gateway.has_seen_change || !self.is_enforced(Rule::Window);
        match gateway.list? {
            Listed::Old if is_current && is_clear => Some(Version::Old),
            Listed::New if is_current && is_clear => Some(Version::New),
            _ => None,
        }
    }

    fn successors(&self, state: &State) -> Vec<State> {
        let mut next = Vec::new();
        let is_new_used = state.gateways.iter().any(|gateway| gateway.uses_new);
        match state.listed {
            Listed::Old => next.push(State { listed: Listed::Both, ..state.clone() }),
            Listed::Both if is_new_used => {
                next.push(State { listed: Listed::New, ..state.clone() })
            }
            Listed::Both | Listed::New => {}
        }
        for index in 0..GATEWAYS {
            next.push(read_list(state, index));
            let mut without_store = state.clone();
            without_store.gateways[index].is_current = false;
            next.push(without_store);
            next.extend(self.use_new(state, index));
            next.extend(self.restart(state, index));
            self.begin(state, index, &mut next);
            self.take_up(state, index, &mut next);
        }
        next.push(end_of_life(state));
        next
    }

    /// Uses the new version for streams. Meanwhile the lists of those that have not seen it have become old.
    fn use_new(&self, state: &State, index: usize) -> Option<State> {
        if !matches!(state.gateways[index].list, Some(Listed::Both | Listed::New)) {
            return None;
        }
        let mut next = state.clone();
        next.gateways[index].uses_new = true;
        if self.is_enforced(Rule::Established) {
            for gateway in &mut next.gateways {
                gateway.is_current &= gateway.list != Some(Listed::Old);
            }
        }
        Some(next)
    }

    fn restart(&self, state: &State, index: usize) -> Option<State> {
        let mut next = state.clone();
        next.restarts_left = state.restarts_left.checked_sub(1)?;
        next.gateways[index] = Gateway {
            list: None,
            is_current: false,
            has_seen_change: self.is_enforced(Rule::LostHistory),
            uses_new: false,
            record: None,
        };
        Some(next)
    }

    /// The stream begins; the records that a mixed pool needs reach any of the other gateways.
    fn begin(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let gateway = &state.gateways[index];
        if state.stream != Stream::Waiting {
            return;
        }
        let can_use = |version| match (gateway.list, version) {
            // A target that has left serves nothing, however old the list.
            (Some(Listed::Old | Listed::Both), Version::Old) => state.listed != Listed::New,
            (Some(Listed::Both | Listed::New), Version::New) => gateway.uses_new,
            _ => false,
        };
        for version in [Version::Old, Version::New].into_iter().filter(|v| can_use(*v)) {
            let is_recorded = self.only_version(gateway).is_none();
            let sent = if is_recorded { 1 << GATEWAYS } else { 1 };
            for reached in 0..sent {
                let mut begun = state.clone();
                begun.stream = Stream::Begun(version);
                for (other, gateway) in begun.gateways.iter_mut().enumerate() {
                    if other == index || reached & (1 << other) != 0 {
                        gateway.record = Some(version);
                    }
                }
                next.push(begun);
            }
        }
    }

    /// The stream is taken up. Whether the records of other gateways are found is open.
    fn take_up(&self, state: &State, index: usize, next: &mut Vec<State>) {
        let Stream::Begun(version) = state.stream else { return };
        let gateway = &state.gateways[index];
        let others = state.gateways.iter().filter_map(|gateway| gateway.record);
        let found = gateway.record.map_or_else(
            || others.map(Some).chain([self.only_version(gateway)]).collect(),
            |record| vec![Some(record)],
        );
        if found.into_iter().flatten().any(|goes_on_at| goes_on_at != version) {
            next.push(State { stream: Stream::Mixed, ..state.clone() });
        }
    }
}

fn read_list(state: &State, index: usize) -> State {
    let mut next = state.clone();
    let gateway = &mut next.gateways[index];
    gateway.has_seen_change |= gateway.list.is_some_and(|list| list != state.listed);
    gateway.list = Some(state.listed);
    gateway.is_current = true;
    next
}

/// So much time passes that the caller has given up, and changes seen before do not matter any more.
fn end_of_life(state: &State) -> State {
    let mut next = state.clone();
    next.stream = match state.stream {
        Stream::Waiting => Stream::Waiting,
        _ => Stream::Over,
    };
    for gateway in &mut next.gateways {
        gateway.record = None;
        // The history of a restarted gateway begins with its first list.
        gateway.has_seen_change &= gateway.list.is_none();
        gateway.is_current &= gateway.list == Some(state.listed);
    }
    next
}
