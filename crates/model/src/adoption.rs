//! Model of the adoption of the configuration with three operators and three entries. Deltas are lost, duplicated
//! and delayed.

use marigold_core::head::{self, Adoption, ItemChange, Items, PRESET_ITEM, Replica};
use marigold_core::ids::Revision;
use marigold_schema::messages::{Change, Delta};

use crate::search::{self, Exploration};

const ENTRIES: usize = 3;
const MAJORITY: usize = 2;
/// Changes requested by the operators: two compete for the preset, one edits another item.
const CHANGES: [(&str, &str); 3] =
    [(PRESET_ITEM, "peak"), (PRESET_ITEM, "maintenance"), ("pool/encoders", "wide")];

/// A rule of the protocol that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The head is replaced only if it still has the version that was read.
    ConditionalWrite,
    /// A delta is adopted only if no revision is missing before it.
    NoGap,
    /// The revision of a replica never decreases.
    Monotonic,
    /// While the platform is unavailable, a starting entry serves only after enough peers have responded.
    QuorumStart,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    replica: Replica,
    is_serving: bool,
}

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Change of each revision, as stored in the platform.
    accepted: Vec<ItemChange>,
    /// Revision that each operator's entry has read before its write.
    read: [Option<Revision>; CHANGES.len()],
    done: [bool; CHANGES.len()],
    entries: [Entry; ENTRIES],
    /// Latest revision that a majority of the entries is known to have.
    confirmed: Revision,
    restarts_left: u8,
    store_up: bool,
    violation: Option<&'static str>,
}

fn first_change() -> ItemChange {
    (PRESET_ITEM.to_owned(), Some("ordinary".to_owned()))
}

/// Returns the items after the first `revision` changes.
fn items_at(accepted: &[ItemChange], revision: Revision) -> Items {
    let mut items = Items::new();
    head::apply(&mut items, accepted[..revision as usize].iter().cloned());
    items
}

fn delta_of(accepted: &[ItemChange], revision: Revision) -> Delta {
    let (key, value) = accepted[revision as usize - 1].clone();
    let changes = vec![Change { revision, key, value }];
    Delta { from: revision - 1, to: revision, as_of_ms: 0, relay: false, changes }
}

fn start() -> State {
    let accepted = vec![first_change()];
    let mut replica = Replica::default();
    replica.adopt_snapshot(1, items_at(&accepted, 1));
    let entry = Entry { replica, is_serving: true };
    State {
        accepted,
        read: [None; CHANGES.len()],
        done: [false; CHANGES.len()],
        entries: [entry.clone(), entry.clone(), entry],
        confirmed: 1,
        restarts_left: 1,
        store_up: true,
        violation: None,
    }
}

/// Explores all states up to the first violation, without the `omitted` rule.
pub fn explore(omitted: Option<Rule>) -> Exploration {
    let actions = Actions { omitted };
    let result = search::breadth_first(
        start(),
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
        if state.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for operator in 0..CHANGES.len() {
            self.read(state, operator, &mut next);
            self.write(state, operator, &mut next);
        }
        // A delta that was sent may arrive at any time, any number of times or never.
        for revision in 2..=state.accepted.len() as Revision {
            for e in 0..ENTRIES {
                self.deliver(state, e, revision, &mut next);
            }
        }
        if state.store_up {
            next.push(State { store_up: false, ..state.clone() });
        }
        for e in 0..ENTRIES {
            self.restart(state, e, &mut next);
            self.start_serving(state, e, &mut next);
        }
        for to in &mut next {
            check(state, to);
            confirm(to);
        }
        next
    }

    fn read(&self, state: &State, operator: usize, next: &mut Vec<State>) {
        if state.store_up && state.read[operator].is_none() {
            let mut to = state.clone();
            to.read[operator] = Some(state.accepted.len() as Revision);
            next.push(to);
        }
    }

    /// Writes the head conditionally; from then on the delta may reach any entry.
    fn write(&self, state: &State, operator: usize, next: &mut Vec<State>) {
        let Some(read_revision) = state.read[operator] else { return };
        let latest = state.accepted.len() as Revision;
        if !state.store_up
            || state.done[operator]
            || (self.is_enforced(Rule::ConditionalWrite) && read_revision != latest)
        {
            return;
        }
        let mut to = state.clone();
        to.done[operator] = true;
        // An unconditional write overwrites the changes made after the read.
        to.accepted.truncate(read_revision as usize);
        let (key, value) = CHANGES[operator];
        to.accepted.push((key.to_owned(), Some(value.to_owned())));
        next.push(to);
    }

    fn deliver(&self, state: &State, e: usize, revision: Revision, next: &mut Vec<State>) {
        let mut to = state.clone();
        let mut delta = delta_of(&state.accepted, revision);
        let replica = &mut to.entries[e].replica;
        if !self.is_enforced(Rule::NoGap) && replica.revision > 0 {
            delta.from = delta.from.min(replica.revision);
        }
        if !self.is_enforced(Rule::Monotonic) {
            replica.revision = replica.revision.min(delta.from);
        }
        if replica.adopt(&delta) == Adoption::Gap {
            // The receiver requests the missing changes from the peer with the latest revision.
            let own_revision = replica.revision;
            let newest =
                state.entries.iter().map(|entry| &entry.replica).max_by_key(|peer| peer.revision);
            if let Some(peer) = newest {
                to.entries[e].replica.adopt(&peer.delta(own_revision, 0));
            }
        }
        next.push(to);
    }

    fn restart(&self, state: &State, e: usize, next: &mut Vec<State>) {
        if state.entries[e].is_serving && state.restarts_left > 0 {
            let mut to = state.clone();
            to.restarts_left -= 1;
            to.entries[e] = Entry { replica: Replica::default(), is_serving: false };
            next.push(to);
        }
    }

    /// A starting entry serves once its revision cannot be older than a confirmed one.
    fn start_serving(&self, state: &State, e: usize, next: &mut Vec<State>) {
        if state.entries[e].is_serving {
            return;
        }
        if state.store_up {
            let revision = state.accepted.len() as Revision;
            let mut to = state.clone();
            to.entries[e].replica.adopt_snapshot(revision, items_at(&state.accepted, revision));
            to.entries[e].is_serving = true;
            next.push(to);
        }
        let peers: Vec<usize> =
            (0..ENTRIES).filter(|other| *other != e && state.entries[*other].is_serving).collect();
        // The majority that confirmed a revision may have included the starting entry before its restart, so the
        // peers that respond have to overlap with the rest of that majority.
        let required = if self.is_enforced(Rule::QuorumStart) { ENTRIES + 1 - MAJORITY } else { 1 };
        if peers.len() < required {
            return;
        }
        for first in 0..peers.len() {
            let mut to = state.clone();
            for peer in peers.iter().cycle().skip(first).take(required) {
                let delta = state.entries[*peer].replica.delta(to.entries[e].replica.revision, 0);
                to.entries[e].replica.adopt(&delta);
            }
            to.entries[e].is_serving = true;
            next.push(to);
        }
    }
}

/// Confirms each revision that a majority of the entries has adopted.
fn confirm(state: &mut State) {
    let is_adopted = |state: &State, revision: Revision| {
        state.entries.iter().filter(|entry| entry.replica.revision >= revision).count() >= MAJORITY
    };
    while state.confirmed < state.accepted.len() as Revision
        && is_adopted(state, state.confirmed + 1)
    {
        state.confirmed += 1;
    }
}

fn check(before: &State, after: &mut State) {
    let mut violation = None;
    for (old, new) in before.entries.iter().zip(&after.entries) {
        if old.is_serving && new.is_serving && new.replica.revision < old.replica.revision {
            violation = Some("the revision of an entry decreased");
        }
        if !old.is_serving && new.is_serving && new.replica.revision < before.confirmed {
            violation = Some("an entry serves with a revision older than a confirmed one");
        }
        let revision = new.replica.revision;
        let is_accepted = revision as usize <= after.accepted.len();
        if !is_accepted
            || (revision > 0 && new.replica.items != items_at(&after.accepted, revision))
        {
            violation = Some("the items of an entry differ from those of its revision");
        }
    }
    after.violation = violation;
}
