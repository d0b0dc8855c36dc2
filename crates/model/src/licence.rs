//! Model of the licence protocol for one key, two agents and two entries.
//!
//! Every action of the model calls the state machines of `marigold-core`. Leaving out a [`Rule`] changes how an
//! action uses them, never the state machines themselves.

mod actions;

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_core::ids::{Epoch, Incarnation, KeyDigest, Member, Shard, Uptime};
use marigold_core::ledger::Ledger;
use marigold_core::licence::{Holder, Licence, Record, Renewal};
use marigold_core::sent::{PoolShard, SentLog};

use actions::{Actions, update_advertised};

use crate::copy_on_write::CopyOnWrite;
use crate::search;

const KEY: KeyDigest = 7;
const SHARD: Shard = 0;
const TERM: Duration = Duration::from_secs(1_000);
/// Longer than any execution of the model.
const RETENTION: Duration = Duration::from_secs(1_000_000);
const AGENTS: usize = 2;
const ENTRIES: usize = 2;

/// A rule of the protocol that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// An entry records a key before it sends a call with it.
    Record,
    /// An agent accepts calls only from enrolled entries.
    Enrolment,
    /// An agent that acquires the licence collects the keys that enrolled entries sent.
    CollectKeys,
    /// An entry that reported its keys stops sending under older epochs, and an agent that acquires the licence
    /// waits until the old term has ended.
    SealAndExpiry,
    /// The shard is quarantined when an enrolled entry did not report its keys.
    Quarantine,
    /// The quarantine is stored in the licence's record.
    PersistQuarantine,
    /// Calls of entries that a renewal drops are refused.
    RefuseDropped,
    /// Keys that only dropped entries know are replicated to live ones.
    ReplicateKeys,
    /// An entry retracts a recorded key only after proof that its attempt did not run.
    RetractOnProof,
}

/// Bounds of an exploration, which starts with a licence held by the first agent and both entries enrolled.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Number of attempts by the caller.
    pub attempts: u8,
    /// Number of crashes of agents and entries.
    pub crashes: u8,
    /// Highest epoch of the licence.
    pub epochs: Epoch,
    /// Whether calls arrive between the preparation of a renewal and its write.
    pub split_renewals: bool,
    /// Whether licences are released.
    pub releases: bool,
    /// Whether targets refuse calls and responses of the platform are lost.
    pub refusals: bool,
    /// Whether holders are paused past their term, and running entries may appear dead.
    pub pauses: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Agent {
    is_up: bool,
    incarnation: Incarnation,
    clock: Uptime,
    licence: Licence,
    ledger: Ledger,
    renewal: Option<Renewal>,
    /// Admitted attempts that have not reached the target; they outlive a crash of the agent.
    dispatched: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Entry {
    is_up: bool,
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

/// State of the model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    record: CopyOnWrite<Option<Record>>,
    agents: [CopyOnWrite<Agent>; AGENTS],
    entries: [CopyOnWrite<Entry>; ENTRIES],
    in_flight: CopyOnWrite<BTreeSet<Call>>,
    /// Index and incarnation of an agent with the epoch of its licence, as it may have been reported to entries.
    advertised: CopyOnWrite<BTreeSet<(usize, Incarnation, Epoch)>>,
    executed: Vec<u8>,
    reported_not_run: BTreeSet<u8>,
    attempts_left: u8,
    crashes_left: u8,
    violation: Option<&'static str>,
}

/// Result of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// Number of distinct states reached.
    pub states: usize,
    /// Number of actions from the start to the last state reached.
    pub depth: usize,
    /// Number of actions to the first violation, and its description.
    pub violation: Option<(usize, &'static str)>,
}

fn pool_shard() -> PoolShard {
    (String::from("pool"), SHARD)
}

fn member(entry: usize, incarnation: Incarnation) -> Member {
    Member { name: format!("e{entry}"), incarnation, address: String::new() }
}

fn holder(agent: usize, incarnation: Incarnation) -> Holder {
    Holder { target: format!("h{agent}"), incarnation }
}

fn start(bounds: Bounds) -> State {
    let agent = Agent {
        is_up: true,
        incarnation: 0,
        clock: Uptime::ZERO,
        licence: Licence::idle(SHARD, TERM),
        ledger: Ledger::default(),
        renewal: None,
        dispatched: Vec::new(),
    };
    let entry = Entry { is_up: true, incarnation: 0, sent: SentLog::default() };
    let enrolled = BTreeSet::from([member(0, 0), member(1, 0)]);
    let record = Record::acquired(None, holder(0, 0), &enrolled);
    let mut first = agent.clone();
    first.licence.start_collecting(record.clone(), None, Uptime::ZERO, Duration::ZERO);
    let mut state = State {
        record: CopyOnWrite::new(Some(record)),
        agents: [CopyOnWrite::new(first), CopyOnWrite::new(agent)],
        entries: [CopyOnWrite::new(entry.clone()), CopyOnWrite::new(entry)],
        in_flight: CopyOnWrite::new(BTreeSet::new()),
        advertised: CopyOnWrite::new(BTreeSet::new()),
        executed: Vec::new(),
        reported_not_run: BTreeSet::new(),
        attempts_left: bounds.attempts,
        crashes_left: bounds.crashes,
        violation: None,
    };
    update_advertised(&mut state);
    state
}

/// Explores all states within the bounds up to the first violation. With an `omitted` rule the search ends at the
/// first state in which the key was executed twice.
pub fn explore(bounds: Bounds, omitted: Option<Rule>) -> Exploration {
    explore_from(start(bounds), bounds, omitted)
}

fn explore_from(from: State, bounds: Bounds, omitted: Option<Rule>) -> Exploration {
    let actions = Actions { bounds, omitted };
    let is_violated = |state: &State| match omitted {
        Some(_) => state.executed.len() > 1,
        None => state.violation.is_some(),
    };
    let result = search::breadth_first(from, |state| actions.successors(state), is_violated);
    let violation = result.found.map(|state| (result.depth, state.violation.unwrap_or_default()));
    Exploration { states: result.states, depth: result.depth, violation }
}

/// Explores the states that follow, within the bounds `then`, once the second agent holds a quarantined licence
/// and the key was executed at the first.
///
/// Starts from the first such state that a search finds in which no entry knows the key.
pub fn explore_quarantined(then: Bounds, omitted: Option<Rule>) -> Exploration {
    let before = Bounds { crashes: 1, epochs: 2, ..then };
    let is_quarantined = |state: &State| {
        let second = &state.agents[1];
        let has_time_left = !second.licence.quarantine_left(second.clock).is_zero();
        let is_unknown_to_entries = state.entries.iter().all(|entry| entry.sent.is_empty());
        let can_send = state.attempts_left > 0 && second.licence.is_held(second.clock);
        state.executed.len() == 1 && is_unknown_to_entries && has_time_left && can_send
    };
    explore_after(before, is_quarantined, then, omitted)
}

/// Explores the states that follow, within the bounds `then`, once the key was executed for the first entry, and
/// the second entry has joined that execution and retracted its own attempt.
pub fn explore_joined(then: Bounds) -> Exploration {
    let before = Bounds { crashes: 0, ..then };
    let is_joined = |state: &State| {
        let [first, second] = &state.entries;
        let has_retracted = second.sent.is_empty() && second.sent != SentLog::default();
        state.executed.len() == 1
            && state.attempts_left > 0
            && has_retracted
            && !first.sent.is_empty()
    };
    explore_after(before, is_joined, then, None)
}

/// Explores, within the bounds `then`, from the first state for which `until` holds in a search within `before`.
fn explore_after(
    before: Bounds,
    until: impl Fn(&State) -> bool,
    then: Bounds,
    omitted: Option<Rule>,
) -> Exploration {
    let actions = Actions { bounds: before, omitted };
    let result = search::breadth_first(start(before), |state| actions.successors(state), until);
    let Some(mut from) = result.found else {
        return Exploration { states: result.states, depth: result.depth, violation: None };
    };
    from.crashes_left = then.crashes;
    explore_from(from, then, omitted)
}
