//! Actions of the licence model. Each calls the state machines that the processes use.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_core::ids::{Epoch, Incarnation, Member, Uptime};
use marigold_core::ledger::{Decision, Ledger};
use marigold_core::licence::{Denied, Licence, Record};
use marigold_core::outcome::{Answer, NotRunCause, Outcome};
use marigold_core::sent::SentLog;

use super::{
    AGENTS, Bounds, Call, ENTRIES, KEY, RETENTION, Rule, SHARD, State, TERM, holder, member,
    pool_shard,
};

/// Actions within the bounds of an exploration.
pub(super) struct Actions {
    pub(super) bounds: Bounds,
    pub(super) omitted: Option<Rule>,
}

impl Actions {
    fn is_enforced(&self, rule: Rule) -> bool {
        self.omitted != Some(rule)
    }

    /// Returns the states that one action leads to.
    pub(super) fn successors(&self, state: &State) -> Vec<State> {
        if self.omitted.is_none() && state.violation.is_some() {
            return Vec::new();
        }
        let mut next = Vec::new();
        self.send(state, &mut next);
        self.deliver(state, &mut next);
        for i in 0..ENTRIES {
            self.crash_or_restart_entry(state, i, &mut next);
        }
        for i in 0..AGENTS {
            self.crash_or_restart_agent(state, i, &mut next);
            self.execute(state, i, &mut next);
            self.expire(state, i, &mut next);
            self.acquire(state, i, &mut next);
            self.collect_keys(state, i, &mut next);
            self.prepare_renewal(state, i, &mut next);
            self.write_renewal(state, i, &mut next);
            self.release(state, i, &mut next);
            self.detect_loss(state, i, &mut next);
        }
        for state in &mut next {
            update_advertised(state);
            check_safety(state);
        }
        next
    }

    /// A caller's attempt reaches an entry, which sends it to an agent that advertised a licence to it.
    fn send(&self, state: &State, next: &mut Vec<State>) {
        if state.attempts_left == 0 {
            return;
        }
        for e in 0..ENTRIES {
            for (agent, agent_inc, epoch) in state.advertised.iter() {
                let entry = &state.entries[e];
                if !entry.is_up {
                    continue;
                }
                let mut to = state.clone();
                to.attempts_left -= 1;
                if self.is_enforced(Rule::Record) {
                    let recorded =
                        to.entries[e].sent.record(&pool_shard(), *epoch, KEY, Uptime::ZERO);
                    if recorded.is_err() {
                        continue;
                    }
                }
                to.in_flight.insert(Call {
                    attempt: state.attempts_left,
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

    /// A call in flight arrives. Calls may also be lost: no action has to deliver them.
    fn deliver(&self, state: &State, next: &mut Vec<State>) {
        for call in state.in_flight.iter() {
            if !self.is_enforced(Rule::RetractOnProof)
                && state.entries[call.entry].incarnation == call.entry_inc
            {
                // The entry treats a missing response of the agent as proof.
                let mut retracted = state.clone();
                retracted.entries[call.entry].sent.retract(&pool_shard(), KEY);
                next.push(retracted);
            }
            if state.agents[call.agent].is_up {
                let mut delivered = state.clone();
                delivered.in_flight.remove(call);
                self.admit_call(delivered, call, next);
            }
        }
    }

    fn admit_call(&self, mut state: State, call: &Call, next: &mut Vec<State>) {
        let sender = member(call.entry, call.entry_inc);
        let agent = &mut *state.agents[call.agent];
        let mut admitted = agent.licence.admit(&sender, call.epoch, agent.clock);
        if admitted == Err(Denied::NotRun(NotRunCause::NotEnrolled))
            && !self.is_enforced(Rule::Enrolment)
        {
            admitted = Ok(());
        }
        if agent.incarnation != call.agent_inc {
            admitted = Err(Denied::NotRun(NotRunCause::StaleIncarnation));
        }
        match admitted {
            Err(Denied::NotRun(_)) => refuse(state, call, next),
            Err(Denied::Quarantined) => next.push(state),
            Ok(()) => match agent.ledger.admit(KEY, SHARD, "body", &sender, Uptime::ZERO) {
                Decision::Start => {
                    if self.bounds.refusals {
                        refuse_at_target(state.clone(), call, next);
                    }
                    state.agents[call.agent].dispatched.push(call.attempt);
                    next.push(state);
                }
                // The response is lost, and the entry learns that its own attempt was fenced; or it arrives.
                _ => refuse(state, call, next),
            },
        }
    }

    fn crash_or_restart_entry(&self, state: &State, i: usize, next: &mut Vec<State>) {
        let mut to = state.clone();
        let entry = &mut *to.entries[i];
        if entry.is_up && to.crashes_left > 0 {
            to.crashes_left -= 1;
            entry.is_up = false;
            entry.sent = SentLog::default();
            next.push(to);
        } else if !entry.is_up {
            entry.is_up = true;
            entry.incarnation += 1;
            next.push(to);
        }
    }

    fn crash_or_restart_agent(&self, state: &State, i: usize, next: &mut Vec<State>) {
        let mut to = state.clone();
        let agent = &mut *to.agents[i];
        if agent.is_up && to.crashes_left > 0 {
            to.crashes_left -= 1;
            agent.is_up = false;
            agent.licence = Licence::idle(SHARD, TERM);
            agent.ledger = Ledger::default();
            agent.renewal = None;
            agent.clock = Uptime::ZERO;
            next.push(to);
        } else if !agent.is_up {
            agent.is_up = true;
            agent.incarnation += 1;
            next.push(to);
        }
    }

    /// An admitted call reaches the target, after any delay, even if the agent has crashed by then.
    fn execute(&self, state: &State, i: usize, next: &mut Vec<State>) {
        if state.agents[i].dispatched.is_empty() {
            return;
        }
        let mut to = state.clone();
        let attempt = to.agents[i].dispatched.remove(0);
        to.executed.push(attempt);
        if to.agents[i].ledger.contains(KEY) {
            let answer = Answer { status: 200, body: String::new(), tokens: 0 };
            to.agents[i].ledger.finish(KEY, &Outcome::Done(answer), Uptime::ZERO);
        }
        next.push(to);
    }

    /// The holder's term ends because the holder was paused or could not renew.
    fn expire(&self, state: &State, i: usize, next: &mut Vec<State>) {
        let agent = &state.agents[i];
        if self.bounds.pauses && agent.is_up && agent.licence.is_held(agent.clock) {
            let mut to = state.clone();
            to.agents[i].clock = TERM;
            next.push(to);
        }
    }

    fn live_entries(state: &State) -> BTreeSet<Member> {
        let running = state.entries.iter().enumerate().filter(|(_, entry)| entry.is_up);
        running.map(|(i, entry)| member(i, entry.incarnation)).collect()
    }

    fn acquire(&self, state: &State, i: usize, next: &mut Vec<State>) {
        let agent = &state.agents[i];
        let epoch = state.record.as_ref().map_or(0, |record| record.epoch);
        if !agent.is_up || agent.licence.record().is_some() || epoch >= self.bounds.epochs {
            return;
        }
        let live = Self::live_entries(state);
        if live.is_empty() {
            return;
        }
        let prior = (*state.record).clone();
        let record = Record::acquired(prior.as_ref(), holder(i, agent.incarnation), &live);
        let mut to = state.clone();
        *to.record = Some(record.clone());
        if self.bounds.refusals {
            // The platform's response is lost.
            next.push(to.clone());
        }
        let quarantine = if record.quarantine_until_ms > 0 { RETENTION } else { Duration::ZERO };
        let agent = &mut *to.agents[i];
        agent.clock = Uptime::ZERO;
        agent.licence.start_collecting(record, prior.as_ref(), agent.clock, quarantine);
        next.push(to);
    }

    fn collect_keys(&self, state: &State, i: usize, next: &mut Vec<State>) {
        let agent = &state.agents[i];
        let Some(epoch) = agent.licence.record().map(|record| record.epoch) else { return };
        for sender in agent.licence.pending() {
            let reporting = (0..ENTRIES).find(|e| {
                let entry = &state.entries[*e];
                entry.is_up && member(*e, entry.incarnation) == sender
            });
            let Some(e) = reporting else { continue };
            let mut to = state.clone();
            let lowest_epoch = if self.is_enforced(Rule::SealAndExpiry) { epoch } else { 0 };
            let mut keys = to.entries[e].sent.seal(&pool_shard(), lowest_epoch);
            if !self.is_enforced(Rule::CollectKeys) {
                keys.clear();
            }
            let agent = &mut *to.agents[i];
            agent.licence.on_keys_reported(&sender, &keys, &mut agent.ledger, Uptime::ZERO);
            next.push(to);
        }
        if !agent.licence.pending().is_empty() {
            self.abandon_unresponsive_entries(state, i, next);
        }
    }

    /// The old term and the clock drift margin have passed, so that no older holder accepts calls.
    fn abandon_unresponsive_entries(&self, state: &State, i: usize, next: &mut Vec<State>) {
        let retention = if self.is_enforced(Rule::Quarantine) { RETENTION } else { Duration::ZERO };
        let mut to = state.clone();
        if self.is_enforced(Rule::SealAndExpiry) {
            for (j, other) in to.agents.iter_mut().enumerate() {
                if j != i && other.licence.is_held(other.clock) {
                    other.clock = TERM;
                }
            }
        }
        let agent = &mut *to.agents[i];
        agent.clock = 2 * TERM;
        if agent.licence.abandon_unresponsive(agent.clock, retention) {
            next.push(to);
        }
    }

    /// Any one of the running entries, or all of them, may appear live to the agent.
    fn prepare_renewal(&self, state: &State, i: usize, next: &mut Vec<State>) {
        let agent = &state.agents[i];
        if !agent.is_up || agent.renewal.is_some() || !is_record_current(state, i) {
            return;
        }
        let running: Vec<Member> = Self::live_entries(state).into_iter().collect();
        let live_sets: Vec<BTreeSet<Member>> = match running.as_slice() {
            [] => return,
            [one] => vec![BTreeSet::from([one.clone()])],
            all if !self.bounds.pauses => vec![all.iter().cloned().collect()],
            all => all
                .iter()
                .map(|one| BTreeSet::from([one.clone()]))
                .chain([all.iter().cloned().collect()])
                .collect(),
        };
        let enrolled = agent.licence.record().map(|record| &record.enrolled);
        for live in live_sets {
            // A renewal that changes neither the enrolled entries nor the term has no effect.
            if Some(&live) == enrolled && agent.clock.is_zero() {
                continue;
            }
            let mut to = state.clone();
            let agent = &mut *to.agents[i];
            let quarantine =
                if agent.licence.quarantine_left(agent.clock).is_zero() { 0 } else { u64::MAX };
            let quarantine = if self.is_enforced(Rule::PersistQuarantine) { quarantine } else { 0 };
            let Some(renewal) = agent.licence.prepare_renewal(&live, &agent.ledger, quarantine)
            else {
                continue;
            };
            if !renewal.unacknowledged.is_empty() && self.is_enforced(Rule::ReplicateKeys) {
                for entry in &live {
                    agent.ledger.mark_acknowledged(&renewal.unacknowledged, entry);
                }
                for (e, entry) in to.entries.iter_mut().enumerate() {
                    if live.contains(&member(e, entry.incarnation)) {
                        entry.sent.add_replicated(
                            &pool_shard(),
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

    fn write_renewal(&self, state: &State, i: usize, next: &mut Vec<State>) {
        let Some(renewal) = state.agents[i].renewal.clone() else { return };
        let mut to = state.clone();
        to.agents[i].renewal = None;
        if !is_record_current(state, i) {
            next.push(to);
            return;
        }
        *to.record = Some(renewal.record.clone());
        let agent = &mut *to.agents[i];
        let mut accepted = renewal.record;
        if !self.is_enforced(Rule::RefuseDropped) {
            let old = agent.licence.record().map(|record| record.enrolled.clone());
            accepted.enrolled.extend(old.unwrap_or_default());
        }
        // Only time differences matter, so each renewal resets the agent's clock. Without the quarantine rule it is
        // not reset, because a quarantine of zero length has to stay in the past.
        if self.is_enforced(Rule::Quarantine) {
            agent.clock = Uptime::ZERO;
        }
        agent.licence.on_renewed(accepted, agent.clock);
        next.push(to);
    }

    /// A holder releases its licence, even while admitted calls have not reached the target.
    fn release(&self, state: &State, i: usize, next: &mut Vec<State>) {
        let agent = &state.agents[i];
        if !self.bounds.releases
            || !agent.is_up
            || agent.renewal.is_some()
            || !is_record_current(state, i)
        {
            return;
        }
        let live = Self::live_entries(state);
        let mut to = state.clone();
        let agent = &mut *to.agents[i];
        let quarantine =
            if agent.licence.quarantine_left(agent.clock).is_zero() { 0 } else { u64::MAX };
        let Some(mut renewal) = agent.licence.prepare_renewal(&live, &agent.ledger, quarantine)
        else {
            return;
        };
        for (e, entry) in to.entries.iter_mut().enumerate() {
            if live.contains(&member(e, entry.incarnation)) {
                entry.sent.add_replicated(
                    &pool_shard(),
                    renewal.unacknowledged.iter().copied(),
                    Uptime::ZERO,
                );
            }
        }
        renewal.record.released = true;
        *to.record = Some(renewal.record);
        to.agents[i].licence.clear();
        next.push(to);
    }

    fn detect_loss(&self, state: &State, i: usize, next: &mut Vec<State>) {
        let agent = &state.agents[i];
        if agent.licence.record().is_some() && !is_record_current(state, i) {
            let mut to = state.clone();
            to.agents[i].licence.clear();
            to.agents[i].renewal = None;
            next.push(to);
        }
    }
}

/// The agent refuses a call; the refusal reaches the entry, or is lost.
fn refuse(mut state: State, call: &Call, next: &mut Vec<State>) {
    next.push(state.clone());
    state.reported_not_run.insert(call.attempt);
    let entry = &mut state.entries[call.entry];
    if entry.is_up && entry.incarnation == call.entry_inc {
        entry.sent.retract(&pool_shard(), KEY);
    }
    next.push(state);
}

/// The target refuses a call that the agent admitted, which states that the key did not run.
fn refuse_at_target(mut state: State, call: &Call, next: &mut Vec<State>) {
    let refused = Outcome::not_run(NotRunCause::TargetRefused);
    state.agents[call.agent].ledger.finish(KEY, &refused, Uptime::ZERO);
    if !state.executed.is_empty() {
        state.violation = Some("a key that was executed is reported as not run");
    }
    refuse(state, call, next);
}

/// Returns whether the stored record is held by the agent and has the epoch that the agent knows.
fn is_record_current(state: &State, i: usize) -> bool {
    let agent = &state.agents[i];
    let agent_holder = holder(i, agent.incarnation);
    let stored =
        state.record.as_ref().filter(|record| record.holder == agent_holder && !record.released);
    stored.map(|record| record.epoch) == agent.licence.record().map(|record| record.epoch)
        && stored.is_some()
}

/// Adds every licence that may have been reported to an entry, and removes those of crashed agents, which refuse all
/// calls sent to that incarnation.
pub(super) fn update_advertised(state: &mut State) {
    let agents = &state.agents;
    let is_kept = |licence: &&(usize, Incarnation, Epoch)| {
        agents[licence.0].is_up && agents[licence.0].incarnation == licence.1
    };
    let mut advertised: BTreeSet<_> = state.advertised.iter().filter(is_kept).copied().collect();
    for (i, agent) in agents.iter().enumerate() {
        if let Some((epoch, _)) = agent.licence.accepted_senders(agent.clock) {
            advertised.insert((i, agent.incarnation, epoch));
        }
    }
    if advertised != *state.advertised {
        *state.advertised = advertised;
    }
}

fn check_safety(state: &mut State) {
    if state.executed.len() > 1 {
        state.violation = Some("the key was executed twice");
    }
    if state.executed.iter().any(|attempt| state.reported_not_run.contains(attempt)) {
        state.violation = Some("an attempt reported as not run was executed");
    }
}
