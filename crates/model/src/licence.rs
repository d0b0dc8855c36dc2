//! Licence protocol for one key, two homes and two entries.
//!
//! Every action of the specification calls the state machines of `marigold-core`. A [`Rule`] that is left out changes
//! how an action uses them, never the machines themselves.

mod steps;

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_core::ids::{Epoch, Incarnation, KeyDigest, Member, Shard, Uptime};
use marigold_core::ledger::Ledger;
use marigold_core::licence::{Holder, Licence, Record, Renewal};
use marigold_core::sent::{PoolShard, SentLog};

use steps::{Steps, note_offers};

use crate::search;
use crate::shared::Shared;

const KEY: KeyDigest = 7;
const SHARD: Shard = 0;
const TERM: Duration = Duration::from_secs(1_000);
/// Longer than any run of the specification.
const RETENTION: Duration = Duration::from_secs(1_000_000);
const AGENTS: usize = 2;
const ENTRIES: usize = 2;

/// A rule of the protocol that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// An entry records a key before it sends it.
    Record,
    /// An agent takes calls only from enrolled entries.
    Enrol,
    /// A taker learns the keys that enrolled entries sent.
    Teach,
    /// An entry that answered a taker sends nothing more under older epochs, and a taker waits for the old term.
    SealAndExpiry,
    /// After an enrolled entry stayed silent, the shard is quarantined.
    Quarantine,
    /// The quarantine is kept with the licence.
    KeepQuarantine,
    /// A renewal refuses the entries that it drops.
    Drop,
    /// Keys that only dropped entries know are told to live ones.
    HandOver,
    /// An entry takes a send back only after proof that it did not run.
    Proof,
}

/// Scope of an exploration. It starts with a licence held by the first agent and both entries enrolled.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Tries of the caller.
    pub tries: u8,
    /// Deaths of agents and entries.
    pub deaths: u8,
    /// Highest epoch of the licence.
    pub epochs: Epoch,
    /// Whether calls come in between the two halves of a renewal.
    pub split_renewals: bool,
    /// Whether licences are released.
    pub releases: bool,
    /// Whether targets refuse calls and the platform's answers are lost.
    pub refusals: bool,
    /// Whether holders are paused past their term, and live entries may look dead.
    pub pauses: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Agent {
    up: bool,
    incarnation: Incarnation,
    clock: Uptime,
    holding: Licence,
    ledger: Ledger,
    renewal: Option<Renewal>,
    /// Attempts past the check that have not reached the target yet; they outlive the agent.
    ready: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    up: bool,
    incarnation: Incarnation,
    sent: SentLog,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Call {
    attempt: u8,
    entry: usize,
    entry_inc: Incarnation,
    agent: usize,
    agent_inc: Incarnation,
    epoch: Epoch,
}

/// A state of the whole.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    record: Shared<Option<Record>>,
    agents: [Shared<Agent>; AGENTS],
    entries: [Shared<Entry>; ENTRIES],
    net: Shared<BTreeSet<Call>>,
    offers: Shared<BTreeSet<(usize, Incarnation, Epoch)>>,
    ran: Vec<u8>,
    told_not_run: BTreeSet<u8>,
    tries_left: u8,
    deaths_left: u8,
    violation: Option<&'static str>,
}

/// Result of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// States reached.
    pub states: usize,
    /// Steps from the start to the last of them.
    pub depth: usize,
    /// Steps to the first violation, with what it violates.
    pub violation: Option<(usize, &'static str)>,
}

fn shard_key() -> PoolShard {
    (String::from("pool"), SHARD)
}

fn member(entry: usize, incarnation: Incarnation) -> Member {
    Member { name: format!("e{entry}"), incarnation, address: String::new() }
}

fn holder(agent: usize, incarnation: Incarnation) -> Holder {
    Holder { target: format!("h{agent}"), incarnation }
}

fn start(bounds: Bounds) -> World {
    let agent = Agent {
        up: true,
        incarnation: 0,
        clock: Uptime::ZERO,
        holding: Licence::idle(SHARD, TERM),
        ledger: Ledger::default(),
        renewal: None,
        ready: Vec::new(),
    };
    let entry = Entry { up: true, incarnation: 0, sent: SentLog::default() };
    let roll = BTreeSet::from([member(0, 0), member(1, 0)]);
    let record = Record::acquired(None, holder(0, 0), &roll);
    let mut first = agent.clone();
    first.holding.start_collecting(record.clone(), None, Uptime::ZERO, Duration::ZERO);
    let mut world = World {
        record: Shared::new(Some(record)),
        agents: [Shared::new(first), Shared::new(agent)],
        entries: [Shared::new(entry.clone()), Shared::new(entry)],
        net: Shared::new(BTreeSet::new()),
        offers: Shared::new(BTreeSet::new()),
        ran: Vec::new(),
        told_not_run: BTreeSet::new(),
        tries_left: bounds.tries,
        deaths_left: bounds.deaths,
        violation: None,
    };
    note_offers(&mut world);
    world
}

/// Explores all states; `without` leaves one rule out, and the search ends at the first double run.
pub fn explore(bounds: Bounds, without: Option<Rule>) -> Exploration {
    explore_from(start(bounds), bounds, without)
}

fn explore_from(from: World, bounds: Bounds, without: Option<Rule>) -> Exploration {
    let steps = Steps { bounds, without };
    let is_violated = |world: &World| match without {
        Some(_) => world.ran.len() > 1,
        None => world.violation.is_some(),
    };
    let reached = search::breadth_first(from, |world| steps.successors(world), is_violated);
    let violation = reached.found.map(|world| (reached.depth, world.violation.unwrap_or_default()));
    Exploration { states: reached.states, depth: reached.depth, violation }
}

/// Explores what follows once the second agent holds a quarantined licence of a key that ran at the first.
///
/// The state is the first such one that a search finds in which no entry knows the key any more; `then` bounds what
/// follows.
pub fn explore_quarantined(then: Bounds, without: Option<Rule>) -> Exploration {
    let before = Bounds { deaths: 1, epochs: 2, ..then };
    let is_quarantined = |world: &World| {
        let home = &world.agents[1];
        let is_left = !home.holding.quarantine_left(home.clock).is_zero();
        let nobody_knows = world.entries.iter().all(|entry| entry.sent.is_empty());
        let is_open = world.tries_left > 0 && home.holding.is_held(home.clock);
        world.ran.len() == 1 && nobody_knows && is_left && is_open
    };
    explore_after(before, is_quarantined, then, without)
}

/// Explores what follows once a key of the first entry ran, and the second entry joined that run and took its own send
/// back; `then` bounds what follows.
pub fn explore_joined(then: Bounds) -> Exploration {
    let before = Bounds { deaths: 0, ..then };
    let is_joined = |world: &World| {
        let [first, second] = &world.entries;
        let took_back = second.sent.is_empty() && second.sent != SentLog::default();
        world.ran.len() == 1 && world.tries_left > 0 && took_back && !first.sent.is_empty()
    };
    explore_after(before, is_joined, then, None)
}

/// Explores from the first state within `before` for which `until` holds.
fn explore_after(
    before: Bounds,
    until: impl Fn(&World) -> bool,
    then: Bounds,
    without: Option<Rule>,
) -> Exploration {
    let steps = Steps { bounds: before, without };
    let reached = search::breadth_first(start(before), |world| steps.successors(world), until);
    let Some(mut from) = reached.found else {
        return Exploration { states: reached.states, depth: reached.depth, violation: None };
    };
    from.deaths_left = then.deaths;
    explore_from(from, then, without)
}
