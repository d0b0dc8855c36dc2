//! Licence protocol for one key, two homes and two entries.
//!
//! Every action of the specification calls the state machines of `marigold-core`. A [`Rule`] that is left out changes
//! how an action uses them, never the machines themselves.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_core::ids::{Epoch, Incarnation, KeyDigest, Member, Shard, Uptime};
use marigold_core::ledger::{Ledger, Verdict};
use marigold_core::licence::{Denied, Holder, Holding, Record, Renewal};
use marigold_core::outcome::{Answer, NotRunCause, Outcome};
use marigold_core::sent::{SentLog, ShardKey};

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
    /// A licence is released only after the last call has ended.
    ReleaseLast,
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
    holding: Holding,
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

fn shard_key() -> ShardKey {
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
        holding: Holding::idle(SHARD, TERM),
        ledger: Ledger::default(),
        renewal: None,
        ready: Vec::new(),
    };
    let entry = Entry { up: true, incarnation: 0, sent: SentLog::default() };
    let roll = BTreeSet::from([member(0, 0), member(1, 0)]);
    let record = Record::taken(None, holder(0, 0), &roll);
    let mut first = agent.clone();
    first.holding.start_settling(record.clone(), None, Uptime::ZERO, Duration::ZERO);
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

struct Steps {
    bounds: Bounds,
    without: Option<Rule>,
}

impl Steps {
    fn has(&self, rule: Rule) -> bool {
        self.without != Some(rule)
    }

    fn successors(&self, world: &World) -> Vec<World> {
        if self.without.is_none() && world.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        self.send(world, &mut next);
        self.deliver(world, &mut next);
        for i in 0..ENTRIES {
            self.entry_dies_or_restarts(world, i, &mut next);
        }
        for i in 0..AGENTS {
            self.agent_dies_or_restarts(world, i, &mut next);
            self.run(world, i, &mut next);
            self.expire(world, i, &mut next);
            self.take(world, i, &mut next);
            self.settle(world, i, &mut next);
            self.prepare_renewal(world, i, &mut next);
            self.write_renewal(world, i, &mut next);
            self.release(world, i, &mut next);
            self.learn_of_loss(world, i, &mut next);
        }
        for world in &mut next {
            note_offers(world);
            check(world);
        }
        next
    }

    /// A caller's try reaches an entry, which sends it to a home of which it once heard.
    fn send(&self, world: &World, next: &mut Vec<World>) {
        if world.tries_left == 0 {
            return;
        }
        for e in 0..ENTRIES {
            for (agent, agent_inc, epoch) in world.offers.iter() {
                let entry = &world.entries[e];
                if !entry.up {
                    continue;
                }
                let mut to = world.clone();
                to.tries_left -= 1;
                if self.has(Rule::Record) {
                    let recorded =
                        to.entries[e].sent.record(&shard_key(), *epoch, KEY, Uptime::ZERO);
                    if recorded.is_err() {
                        continue;
                    }
                }
                to.net.insert(Call {
                    attempt: world.tries_left,
                    entry: e,
                    entry_inc: entry.incarnation,
                    agent: *agent,
                    agent_inc: *agent_inc,
                    epoch: *epoch,
                });
                next.push(to);
            }
        }
    }

    /// A call that is never delivered is lost.
    fn deliver(&self, world: &World, next: &mut Vec<World>) {
        for call in world.net.iter() {
            if !self.has(Rule::Proof) && world.entries[call.entry].incarnation == call.entry_inc {
                // The entry takes the silence of the home for a proof.
                let mut silent = world.clone();
                silent.entries[call.entry].sent.retract(&shard_key(), KEY);
                next.push(silent);
            }
            if world.agents[call.agent].up {
                let mut rest = world.clone();
                rest.net.remove(call);
                self.take_call(rest, call, next);
            }
        }
    }

    fn take_call(&self, mut world: World, call: &Call, next: &mut Vec<World>) {
        let sender = member(call.entry, call.entry_inc);
        let home = &mut *world.agents[call.agent];
        let mut admitted = home.holding.admit(&sender, call.epoch, home.clock);
        if admitted == Err(Denied::NotRun(NotRunCause::NotEnrolled)) && !self.has(Rule::Enrol) {
            admitted = Ok(());
        }
        if home.incarnation != call.agent_inc {
            admitted = Err(Denied::NotRun(NotRunCause::StaleIncarnation));
        }
        match admitted {
            Err(Denied::NotRun(_)) => refuse(world, call, next),
            Err(Denied::Quarantined) => next.push(world),
            Ok(()) => match home.ledger.admit(KEY, SHARD, "body", &sender, Uptime::ZERO) {
                Verdict::Start => {
                    if self.bounds.refusals {
                        refuse_at_target(world.clone(), call, next);
                    }
                    world.agents[call.agent].ready.push(call.attempt);
                    next.push(world);
                }
                // The answer is lost, and the entry is told that its own attempt was fenced off; or it comes.
                _ => refuse(world, call, next),
            },
        }
    }

    fn entry_dies_or_restarts(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let mut to = world.clone();
        let entry = &mut *to.entries[i];
        if entry.up && to.deaths_left > 0 {
            to.deaths_left -= 1;
            entry.up = false;
            entry.sent = SentLog::default();
            next.push(to);
        } else if !entry.up {
            entry.up = true;
            entry.incarnation += 1;
            next.push(to);
        }
    }

    fn agent_dies_or_restarts(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let mut to = world.clone();
        let agent = &mut *to.agents[i];
        if agent.up && to.deaths_left > 0 {
            to.deaths_left -= 1;
            agent.up = false;
            agent.holding = Holding::idle(SHARD, TERM);
            agent.ledger = Ledger::default();
            agent.renewal = None;
            agent.clock = Uptime::ZERO;
            next.push(to);
        } else if !agent.up {
            agent.up = true;
            agent.incarnation += 1;
            next.push(to);
        }
    }

    /// A call past the check reaches the target, however long after, even when the agent is dead by then.
    fn run(&self, world: &World, i: usize, next: &mut Vec<World>) {
        if world.agents[i].ready.is_empty() {
            return;
        }
        let mut to = world.clone();
        let attempt = to.agents[i].ready.remove(0);
        to.ran.push(attempt);
        if to.agents[i].ledger.contains(KEY) {
            let answer = Answer { status: 200, body: String::new(), tokens: 0 };
            to.agents[i].ledger.finish(KEY, &Outcome::Done(answer), Uptime::ZERO);
        }
        next.push(to);
    }

    /// The holder was paused past its term, or could not renew.
    fn expire(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let agent = &world.agents[i];
        if self.bounds.pauses && agent.up && agent.holding.is_held(agent.clock) {
            let mut to = world.clone();
            to.agents[i].clock = TERM;
            next.push(to);
        }
    }

    fn live(world: &World) -> BTreeSet<Member> {
        let up = world.entries.iter().enumerate().filter(|(_, entry)| entry.up);
        up.map(|(i, entry)| member(i, entry.incarnation)).collect()
    }

    fn take(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let agent = &world.agents[i];
        let epoch = world.record.as_ref().map_or(0, |record| record.epoch);
        if !agent.up || agent.holding.record().is_some() || epoch >= self.bounds.epochs {
            return;
        }
        let live = Self::live(world);
        if live.is_empty() {
            return;
        }
        let prior = (*world.record).clone();
        let record = Record::taken(prior.as_ref(), holder(i, agent.incarnation), &live);
        let mut to = world.clone();
        *to.record = Some(record.clone());
        if self.bounds.refusals {
            // The answer of the platform is lost.
            next.push(to.clone());
        }
        let quarantine = if record.quarantine_until_ms > 0 { RETENTION } else { Duration::ZERO };
        let agent = &mut *to.agents[i];
        agent.clock = Uptime::ZERO;
        agent.holding.start_settling(record, prior.as_ref(), agent.clock, quarantine);
        next.push(to);
    }

    fn settle(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let agent = &world.agents[i];
        let Some(epoch) = agent.holding.record().map(|record| record.epoch) else { return };
        for asked in agent.holding.waiting() {
            let answering = (0..ENTRIES).find(|e| {
                let entry = &world.entries[*e];
                entry.up && member(*e, entry.incarnation) == asked
            });
            let Some(e) = answering else { continue };
            let mut to = world.clone();
            let first_usable = if self.has(Rule::SealAndExpiry) { epoch } else { 0 };
            let mut keys = to.entries[e].sent.seal(&shard_key(), first_usable);
            if !self.has(Rule::Teach) {
                keys.clear();
            }
            let agent = &mut *to.agents[i];
            agent.holding.teach(&asked, &keys, &mut agent.ledger, Uptime::ZERO);
            next.push(to);
        }
        if !agent.holding.waiting().is_empty() {
            self.give_up(world, i, next);
        }
    }

    /// The old term and a guard interval have passed: no older holder takes calls any more.
    fn give_up(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let retention = if self.has(Rule::Quarantine) { RETENTION } else { Duration::ZERO };
        let mut to = world.clone();
        if self.has(Rule::SealAndExpiry) {
            for (j, other) in to.agents.iter_mut().enumerate() {
                if j != i && other.holding.is_held(other.clock) {
                    other.clock = TERM;
                }
            }
        }
        let agent = &mut *to.agents[i];
        agent.clock = 2 * TERM;
        if agent.holding.give_up_on_silent(agent.clock, retention) {
            next.push(to);
        }
    }

    /// Any non-empty part of the entries that are up may look live to the agent.
    fn prepare_renewal(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let agent = &world.agents[i];
        if !agent.up || agent.renewal.is_some() || !is_recorded(world, i) {
            return;
        }
        let up: Vec<Member> = Self::live(world).into_iter().collect();
        let parts: Vec<BTreeSet<Member>> = match up.as_slice() {
            [] => return,
            [one] => vec![BTreeSet::from([one.clone()])],
            all if !self.bounds.pauses => vec![all.iter().cloned().collect()],
            all => all
                .iter()
                .map(|one| BTreeSet::from([one.clone()]))
                .chain([all.iter().cloned().collect()])
                .collect(),
        };
        let roll = agent.holding.record().map(|record| &record.roll);
        for live in parts {
            // A renewal that changes neither the roll nor the term changes nothing.
            if Some(&live) == roll && agent.clock.is_zero() {
                continue;
            }
            let mut to = world.clone();
            let agent = &mut *to.agents[i];
            let quarantine =
                if agent.holding.quarantine_left(agent.clock).is_zero() { 0 } else { u64::MAX };
            let quarantine = if self.has(Rule::KeepQuarantine) { quarantine } else { 0 };
            let Some(renewal) = agent.holding.prepare_renewal(&live, &agent.ledger, quarantine)
            else {
                continue;
            };
            if !renewal.tell.is_empty() && self.has(Rule::HandOver) {
                for told in &live {
                    agent.ledger.note_told(&renewal.tell, told);
                }
                for (e, entry) in to.entries.iter_mut().enumerate() {
                    if live.contains(&member(e, entry.incarnation)) {
                        entry.sent.learn(&shard_key(), renewal.tell.iter().copied(), Uptime::ZERO);
                    }
                }
            }
            to.agents[i].renewal = Some(renewal);
            if self.bounds.split_renewals {
                next.push(to);
            } else {
                self.write_renewal(&to, i, next);
            }
        }
    }

    fn write_renewal(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let Some(renewal) = world.agents[i].renewal.clone() else { return };
        let mut to = world.clone();
        to.agents[i].renewal = None;
        if !is_recorded(world, i) {
            next.push(to);
            return;
        }
        *to.record = Some(renewal.record.clone());
        let agent = &mut *to.agents[i];
        let mut accepted = renewal.record;
        if !self.has(Rule::Drop) {
            let old = agent.holding.record().map(|record| record.roll.clone());
            accepted.roll.extend(old.unwrap_or_default());
        }
        // Only differences of times matter: each renewal starts the agent's clock anew.
        // A quarantine of no length has to stay in the past, though.
        if self.has(Rule::Quarantine) {
            agent.clock = Uptime::ZERO;
        }
        agent.holding.on_renewed(accepted, agent.clock);
        next.push(to);
    }

    fn release(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let agent = &world.agents[i];
        let has_ended = agent.ready.is_empty() || !self.has(Rule::ReleaseLast);
        let is_busy = agent.renewal.is_some() || !has_ended;
        if !self.bounds.releases || !agent.up || is_busy || !is_recorded(world, i) {
            return;
        }
        let live = Self::live(world);
        let mut to = world.clone();
        let agent = &mut *to.agents[i];
        let quarantine =
            if agent.holding.quarantine_left(agent.clock).is_zero() { 0 } else { u64::MAX };
        let Some(mut renewal) = agent.holding.prepare_renewal(&live, &agent.ledger, quarantine)
        else {
            return;
        };
        for (e, entry) in to.entries.iter_mut().enumerate() {
            if live.contains(&member(e, entry.incarnation)) {
                entry.sent.learn(&shard_key(), renewal.tell.iter().copied(), Uptime::ZERO);
            }
        }
        renewal.record.released = true;
        *to.record = Some(renewal.record);
        to.agents[i].holding.lapse();
        next.push(to);
    }

    fn learn_of_loss(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let agent = &world.agents[i];
        if agent.holding.record().is_some() && !is_recorded(world, i) {
            let mut to = world.clone();
            to.agents[i].holding.lapse();
            to.agents[i].renewal = None;
            next.push(to);
        }
    }
}

/// The agent refuses a call; its word reaches the entry, or is lost.
fn refuse(mut world: World, call: &Call, next: &mut Vec<World>) {
    next.push(world.clone());
    world.told_not_run.insert(call.attempt);
    let entry = &mut world.entries[call.entry];
    if entry.up && entry.incarnation == call.entry_inc {
        entry.sent.retract(&shard_key(), KEY);
    }
    next.push(world);
}

/// The target refuses a call that the agent took in, which is a word about the key.
fn refuse_at_target(mut world: World, call: &Call, next: &mut Vec<World>) {
    let refused = Outcome::not_run(NotRunCause::TargetRefused);
    world.agents[call.agent].ledger.finish(KEY, &refused, Uptime::ZERO);
    if !world.ran.is_empty() {
        world.violation = Some("a key that ran is called not run");
    }
    refuse(world, call, next);
}

/// Whether the platform's record is the one that the agent goes by.
fn is_recorded(world: &World, i: usize) -> bool {
    let agent = &world.agents[i];
    let own = holder(i, agent.incarnation);
    let stored = world.record.as_ref().filter(|record| record.holder == own && !record.released);
    stored.map(|record| record.epoch) == agent.holding.record().map(|record| record.epoch)
        && stored.is_some()
}

/// Remembers every offer that an entry may have heard; a dead agent's calls are refused, so its offers are forgotten.
fn note_offers(world: &mut World) {
    let agents = &world.agents;
    let is_kept = |offer: &&(usize, Incarnation, Epoch)| {
        agents[offer.0].up && agents[offer.0].incarnation == offer.1
    };
    let mut offers: BTreeSet<_> = world.offers.iter().filter(is_kept).copied().collect();
    for (i, agent) in agents.iter().enumerate() {
        if let Some((epoch, _)) = agent.holding.offer(agent.clock) {
            offers.insert((i, agent.incarnation, epoch));
        }
    }
    if offers != *world.offers {
        *world.offers = offers;
    }
}

fn check(world: &mut World) {
    if world.ran.len() > 1 {
        world.violation = Some("the key ran twice");
    }
    if world.ran.iter().any(|attempt| world.told_not_run.contains(attempt)) {
        world.violation = Some("an attempt that was called not run ran");
    }
}
