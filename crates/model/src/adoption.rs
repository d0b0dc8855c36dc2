//! Adoption of the configuration: three operators, three entries, deltas that are lost, doubled and late.

use marigold_core::head::{self, Adoption, ItemChange, Items, PRESET_ITEM, Replica};
use marigold_core::ids::Revision;
use marigold_schema::messages::{Change, Delta};

use crate::search;

const ENTRIES: usize = 3;
const MAJORITY: usize = 2;
/// Changes that the operators want: two race on the preset, one edits another item.
const CHANGES: [(&str, &str); 3] =
    [(PRESET_ITEM, "peak"), (PRESET_ITEM, "maintenance"), ("pool/encoders", "wide")];

/// A rule that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// The head is replaced only at the version that was read.
    Conditional,
    /// A delta is adopted only when it joins on.
    NoGap,
    /// A replica never goes back.
    Monotone,
    /// While the platform is out, a starting entry serves only after enough peers answered.
    CurrentStart,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    replica: Replica,
    serves: bool,
}

/// A state of the whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// Change of each revision, in the platform.
    accepted: Vec<ItemChange>,
    /// Revision that each operator's entry read before it writes.
    read: [Option<Revision>; CHANGES.len()],
    done: [bool; CHANGES.len()],
    entries: [Entry; ENTRIES],
    /// Latest revision that a majority is known to have.
    confirmed: Revision,
    restarts_left: u8,
    store_up: bool,
    violation: Option<&'static str>,
}

/// Result of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// States reached.
    pub states: usize,
    /// Steps from the start to the last of them.
    pub depth: usize,
    /// First violation found.
    pub violation: Option<&'static str>,
}

fn first_change() -> ItemChange {
    (PRESET_ITEM.to_owned(), Some("ordinary".to_owned()))
}

/// Items after the first `revision` changes.
fn items_at(accepted: &[ItemChange], revision: Revision) -> Items {
    let mut items = Items::new();
    head::apply(&mut items, accepted[..revision as usize].iter().cloned());
    items
}

/// The delta that carries one revision.
fn delta_of(accepted: &[ItemChange], revision: Revision) -> Delta {
    let (key, value) = accepted[revision as usize - 1].clone();
    let changes = vec![Change { revision, key, value }];
    Delta { from: revision - 1, to: revision, as_of_ms: 0, relay: false, changes }
}

fn start() -> World {
    let accepted = vec![first_change()];
    let mut replica = Replica::default();
    replica.adopt_snapshot(1, items_at(&accepted, 1));
    let entry = Entry { replica, serves: true };
    World {
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

/// Explores all states; `without` leaves one rule out, and the search ends at the first violation.
pub fn explore(without: Option<Rule>) -> Exploration {
    let steps = Steps { without };
    let reached = search::breadth_first(
        start(),
        |world| steps.successors(world),
        |world| world.violation.is_some(),
    );
    Exploration {
        states: reached.states,
        depth: reached.depth,
        violation: reached.found.and_then(|world| world.violation),
    }
}

struct Steps {
    without: Option<Rule>,
}

impl Steps {
    fn has(&self, rule: Rule) -> bool {
        self.without != Some(rule)
    }

    fn successors(&self, world: &World) -> Vec<World> {
        if world.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        for operator in 0..CHANGES.len() {
            self.read(world, operator, &mut next);
            self.write(world, operator, &mut next);
        }
        // A delta that was sent may come at any time, often or never.
        for revision in 2..=world.accepted.len() as Revision {
            for e in 0..ENTRIES {
                self.deliver(world, e, revision, &mut next);
            }
        }
        if world.store_up {
            next.push(World { store_up: false, ..world.clone() });
        }
        for e in 0..ENTRIES {
            self.restart(world, e, &mut next);
            self.start_serving(world, e, &mut next);
        }
        for to in &mut next {
            check(world, to);
            confirm(to);
        }
        next
    }

    fn read(&self, world: &World, operator: usize, next: &mut Vec<World>) {
        if world.store_up && world.read[operator].is_none() {
            let mut to = world.clone();
            to.read[operator] = Some(world.accepted.len() as Revision);
            next.push(to);
        }
    }

    /// One conditional write decides; then deltas go to all entries.
    fn write(&self, world: &World, operator: usize, next: &mut Vec<World>) {
        let Some(seen) = world.read[operator] else { return };
        let latest = world.accepted.len() as Revision;
        if !world.store_up
            || world.done[operator]
            || (self.has(Rule::Conditional) && seen != latest)
        {
            return;
        }
        let mut to = world.clone();
        to.done[operator] = true;
        // Without the condition the write takes the place of what came after the read.
        to.accepted.truncate(seen as usize);
        let (key, value) = CHANGES[operator];
        to.accepted.push((key.to_owned(), Some(value.to_owned())));
        next.push(to);
    }

    fn deliver(&self, world: &World, e: usize, revision: Revision, next: &mut Vec<World>) {
        let mut to = world.clone();
        let mut delta = delta_of(&world.accepted, revision);
        let replica = &mut to.entries[e].replica;
        if !self.has(Rule::NoGap) && replica.revision > 0 {
            delta.from = delta.from.min(replica.revision);
        }
        if !self.has(Rule::Monotone) {
            replica.revision = replica.revision.min(delta.from);
        }
        if replica.adopt(&delta) == Adoption::Gap {
            // The receiver asks a peer for what is missing.
            let behind = replica.revision;
            let newest =
                world.entries.iter().map(|entry| &entry.replica).max_by_key(|peer| peer.revision);
            if let Some(peer) = newest {
                to.entries[e].replica.adopt(&peer.delta(behind, 0));
            }
        }
        next.push(to);
    }

    fn restart(&self, world: &World, e: usize, next: &mut Vec<World>) {
        if world.entries[e].serves && world.restarts_left > 0 {
            let mut to = world.clone();
            to.restarts_left -= 1;
            to.entries[e] = Entry { replica: Replica::default(), serves: false };
            next.push(to);
        }
    }

    /// A starting entry serves once what it learned cannot be behind a confirmed revision.
    fn start_serving(&self, world: &World, e: usize, next: &mut Vec<World>) {
        if world.entries[e].serves {
            return;
        }
        if world.store_up {
            let revision = world.accepted.len() as Revision;
            let mut to = world.clone();
            to.entries[e].replica.adopt_snapshot(revision, items_at(&world.accepted, revision));
            to.entries[e].serves = true;
            next.push(to);
        }
        let peers: Vec<usize> =
            (0..ENTRIES).filter(|other| *other != e && world.entries[*other].serves).collect();
        // The starting entry may have been one of the majority, so the others have to hold one without it.
        let needed = if self.has(Rule::CurrentStart) { ENTRIES + 1 - MAJORITY } else { 1 };
        if peers.len() < needed {
            return;
        }
        for first in 0..peers.len() {
            let mut to = world.clone();
            for peer in peers.iter().cycle().skip(first).take(needed) {
                let delta = world.entries[*peer].replica.delta(to.entries[e].replica.revision, 0);
                to.entries[e].replica.adopt(&delta);
            }
            to.entries[e].serves = true;
            next.push(to);
        }
    }
}

/// A revision is confirmed once a majority of the entries has it.
fn confirm(world: &mut World) {
    let has = |world: &World, revision: Revision| {
        world.entries.iter().filter(|entry| entry.replica.revision >= revision).count() >= MAJORITY
    };
    while world.confirmed < world.accepted.len() as Revision && has(world, world.confirmed + 1) {
        world.confirmed += 1;
    }
}

fn check(before: &World, after: &mut World) {
    let mut violation = None;
    for (old, new) in before.entries.iter().zip(&after.entries) {
        if old.serves && new.serves && new.replica.revision < old.replica.revision {
            violation = Some("an entry went back");
        }
        if !old.serves && new.serves && new.replica.revision < before.confirmed {
            violation = Some("an entry serves with less than a confirmed revision");
        }
        let revision = new.replica.revision;
        let is_known = revision as usize <= after.accepted.len();
        if !is_known || (revision > 0 && new.replica.items != items_at(&after.accepted, revision)) {
            violation = Some("an entry has other items than its revision");
        }
    }
    after.violation = violation;
}
