//! Actions of the licence protocol, each a call of the processes' state machines.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_core::ids::{Epoch, Incarnation, Member, Uptime};
use marigold_core::ledger::{Decision, Ledger};
use marigold_core::licence::{Denied, Licence, Record};
use marigold_core::outcome::{Answer, NotRunCause, Outcome};
use marigold_core::sent::SentLog;

use super::{
    AGENTS, Bounds, Call, ENTRIES, KEY, RETENTION, Rule, SHARD, TERM, World, holder, member,
    shard_key,
};

/// The actions of a scope.
pub(super) struct Steps {
    pub(super) bounds: Bounds,
    pub(super) without: Option<Rule>,
}

impl Steps {
    fn has(&self, rule: Rule) -> bool {
        self.without != Some(rule)
    }

    /// States after one action.
    pub(super) fn successors(&self, world: &World) -> Vec<World> {
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
                Decision::Start => {
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
            agent.holding = Licence::idle(SHARD, TERM);
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
        let record = Record::acquired(prior.as_ref(), holder(i, agent.incarnation), &live);
        let mut to = world.clone();
        *to.record = Some(record.clone());
        if self.bounds.refusals {
            // The answer of the platform is lost.
            next.push(to.clone());
        }
        let quarantine = if record.quarantine_until_ms > 0 { RETENTION } else { Duration::ZERO };
        let agent = &mut *to.agents[i];
        agent.clock = Uptime::ZERO;
        agent.holding.start_collecting(record, prior.as_ref(), agent.clock, quarantine);
        next.push(to);
    }

    fn settle(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let agent = &world.agents[i];
        let Some(epoch) = agent.holding.record().map(|record| record.epoch) else { return };
        for asked in agent.holding.pending() {
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
            agent.holding.on_keys_reported(&asked, &keys, &mut agent.ledger, Uptime::ZERO);
            next.push(to);
        }
        if !agent.holding.pending().is_empty() {
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
        if agent.holding.abandon_unresponsive(agent.clock, retention) {
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
        let roll = agent.holding.record().map(|record| &record.enrolled);
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
            if !renewal.unacknowledged.is_empty() && self.has(Rule::HandOver) {
                for told in &live {
                    agent.ledger.mark_acknowledged(&renewal.unacknowledged, told);
                }
                for (e, entry) in to.entries.iter_mut().enumerate() {
                    if live.contains(&member(e, entry.incarnation)) {
                        entry.sent.add_replicated(
                            &shard_key(),
                            renewal.unacknowledged.iter().copied(),
                            Uptime::ZERO,
                        );
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
            let old = agent.holding.record().map(|record| record.enrolled.clone());
            accepted.enrolled.extend(old.unwrap_or_default());
        }
        // Only differences of times matter: each renewal starts the agent's clock anew.
        // A quarantine of no length has to stay in the past, though.
        if self.has(Rule::Quarantine) {
            agent.clock = Uptime::ZERO;
        }
        agent.holding.on_renewed(accepted, agent.clock);
        next.push(to);
    }

    /// A holder gives its licence up, even while calls past the check have not reached the target.
    fn release(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let agent = &world.agents[i];
        if !self.bounds.releases || !agent.up || agent.renewal.is_some() || !is_recorded(world, i) {
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
                entry.sent.add_replicated(
                    &shard_key(),
                    renewal.unacknowledged.iter().copied(),
                    Uptime::ZERO,
                );
            }
        }
        renewal.record.released = true;
        *to.record = Some(renewal.record);
        to.agents[i].holding.clear();
        next.push(to);
    }

    fn learn_of_loss(&self, world: &World, i: usize, next: &mut Vec<World>) {
        let agent = &world.agents[i];
        if agent.holding.record().is_some() && !is_recorded(world, i) {
            let mut to = world.clone();
            to.agents[i].holding.clear();
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
pub(super) fn note_offers(world: &mut World) {
    let agents = &world.agents;
    let is_kept = |offer: &&(usize, Incarnation, Epoch)| {
        agents[offer.0].up && agents[offer.0].incarnation == offer.1
    };
    let mut offers: BTreeSet<_> = world.offers.iter().filter(is_kept).copied().collect();
    for (i, agent) in agents.iter().enumerate() {
        if let Some((epoch, _)) = agent.holding.accepted_senders(agent.clock) {
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
