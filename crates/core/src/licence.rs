//! Licence of a shard: which agent runs the calls with its idempotency keys, and from which entries it accepts them.
//!
//! The record is stored in the platform and only replaced by conditional writes. An agent that acquires the licence
//! increments the epoch, then asks every enrolled entry to stop sending under older epochs (seal) and to report the
//! keys it sent. It serves calls once all have answered. It waits for an unresponsive entry until the old licence has
//! expired; the shard is then quarantined, because keys that only this entry knew may have run.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_schema::messages::NotRunCause;
use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Incarnation, KeyDigest, Member, Name, Shard, Uptime};
use crate::ledger::Ledger;

/// Added to the term before an unresponsive holder's licence counts as expired, because clocks may run at different
/// rates.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_secs(10);
/// Number of renewals in one term.
pub const RENEWALS_PER_TERM: u32 = 20;

/// One incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Target beside the agent.
    pub target: Name,
    /// Incarnation of the agent's process.
    pub incarnation: Incarnation,
}

/// Licence as stored in the platform.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Fencing token; incremented by each acquisition.
    pub epoch: Epoch,
    /// Agent that holds the licence.
    pub holder: Holder,
    /// Entries whose calls the holder may accept; the next holder has to ask them for the keys they sent.
    #[serde(rename = "roll")]
    pub enrolled: BTreeSet<Member>,
    /// Whether the holder released the licence after its last call had ended.
    pub released: bool,
    /// Wall-clock time in milliseconds until which the state of all keys of the shard is unknown.
    pub quarantine_until_ms: u64,
}

impl Record {
    /// Returns the record of a new acquisition. It keeps all members that were enrolled before, because each has to
    /// be asked for its keys before it may be dropped.
    pub fn acquired(prior: Option<&Record>, holder: Holder, live: &BTreeSet<Member>) -> Record {
        let mut enrolled = prior.map(|record| record.enrolled.clone()).unwrap_or_default();
        enrolled.extend(live.iter().cloned());
        Record {
            epoch: prior.map_or(0, |record| record.epoch) + 1,
            holder,
            enrolled,
            released: false,
            quarantine_until_ms: prior.map_or(0, |record| record.quarantine_until_ms),
        }
    }
}

/// Reason why a call with an idempotency key is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// This attempt did not run; other attempts with the same key may have.
    NotRun(NotRunCause),
    /// The key may have run under an earlier licence.
    Quarantined,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Phase {
    Idle,
    Collecting { abandon_at: Uptime, pending: BTreeSet<Member> },
    Held,
}

/// A renewal that may be written once an entry that stays enrolled has acknowledged the `unacknowledged` keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Renewal {
    /// Record to write.
    pub record: Record,
    /// Keys that only dropped entries know.
    pub unacknowledged: Vec<KeyDigest>,
}

/// Agent's state of one licence: a lease on one shard of a pool's key space, with an epoch as its fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Licence {
    shard: Shard,
    term: Duration,
    phase: Phase,
    record: Option<Record>,
    enrolled: BTreeSet<Member>,
    valid_until: Uptime,
    quarantined_until: Uptime,
}

impl Licence {
    /// Creates the state of a shard whose licence is not held. A licence is valid for `term` after the request that
    /// renewed it was sent.
    pub fn idle(shard: Shard, term: Duration) -> Self {
        Self {
            shard,
            term,
            phase: Phase::Idle,
            record: None,
            enrolled: BTreeSet::new(),
            valid_until: Uptime::ZERO,
            quarantined_until: Uptime::ZERO,
        }
    }

    /// Returns the record last written by this agent, while it holds the licence or collects keys for it.
    pub fn record(&self) -> Option<&Record> {
        self.record.as_ref()
    }

    /// Returns whether calls with idempotency keys are accepted at `now`.
    pub fn is_held(&self, now: Uptime) -> bool {
        self.phase == Phase::Held && now < self.valid_until
    }

    /// Returns the epoch under which calls are accepted at `now`, and the entries whose calls are accepted.
    pub fn accepted_senders(&self, now: Uptime) -> Option<(Epoch, &BTreeSet<Member>)> {
        let record = self.record.as_ref().filter(|_| self.is_held(now))?;
        Some((record.epoch, &self.enrolled))
    }

    /// Starts to collect the keys sent under earlier epochs; a request sent at `sent_at` has written the record.
    pub fn start_collecting(
        &mut self,
        record: Record,
        prior: Option<&Record>,
        sent_at: Uptime,
        quarantine: Duration,
    ) {
        let pending = prior.map(|prior| prior.enrolled.clone()).unwrap_or_default();
        // An earlier agent beside the same target has ended, because this process was able to bind its port.
        let prior_may_run = prior
            .is_some_and(|prior| !prior.released && prior.holder.target != record.holder.target);
        self.enrolled = record.enrolled.clone();
        self.record = Some(record);
        self.valid_until = sent_at + self.term;
        self.quarantined_until = self.quarantined_until.max(sent_at + quarantine);
        self.phase = if pending.is_empty() {
            Phase::Held
        } else {
            let wait =
                if prior_may_run { self.term + CLOCK_DRIFT_MARGIN } else { CLOCK_DRIFT_MARGIN };
            Phase::Collecting { abandon_at: sent_at + wait, pending }
        };
    }

    /// Returns the entries that have not reported their keys yet.
    pub fn pending(&self) -> BTreeSet<Member> {
        match &self.phase {
            Phase::Collecting { pending, .. } => pending.clone(),
            Phase::Idle | Phase::Held => BTreeSet::new(),
        }
    }

    /// Records the keys that an entry reported when it sealed the older epochs; calls with these keys are not run
    /// here.
    pub fn on_keys_reported(
        &mut self,
        member: &Member,
        keys: &[KeyDigest],
        ledger: &mut Ledger,
        now: Uptime,
    ) {
        let Phase::Collecting { pending, .. } = &mut self.phase else { return };
        for key in keys {
            ledger.add_reported(*key, self.shard, member, now);
        }
        pending.remove(member);
        if pending.is_empty() {
            self.phase = Phase::Held;
        }
    }

    /// Stops waiting for unresponsive entries once the old licence has expired, and quarantines the shard for the
    /// retention time. Returns whether it did so.
    pub fn abandon_unresponsive(&mut self, now: Uptime, retention: Duration) -> bool {
        let Phase::Collecting { abandon_at, pending } = &self.phase else { return false };
        if pending.is_empty() || now < *abandon_at {
            return false;
        }
        self.quarantined_until = self.quarantined_until.max(now + retention);
        self.phase = Phase::Held;
        true
    }

    /// Checks whether a call with an idempotency key may be passed to the ledger.
    ///
    /// # Errors
    /// [`Denied`] when no licence is valid, the sender is not enrolled, or the shard is quarantined.
    pub fn admit(&self, sender: &Member, epoch: Epoch, now: Uptime) -> Result<(), Denied> {
        let held = self.record.as_ref().filter(|_| self.is_held(now));
        let Some(record) = held else { return Err(Denied::NotRun(NotRunCause::NoLicence)) };
        if record.epoch != epoch {
            return Err(Denied::NotRun(NotRunCause::NoLicence));
        }
        if !self.enrolled.contains(sender) {
            return Err(Denied::NotRun(NotRunCause::NotEnrolled));
        }
        if now < self.quarantined_until {
            return Err(Denied::Quarantined);
        }
        Ok(())
    }

    /// Prepares a renewal that enrols the live entries. Calls of dropped entries are refused from this call on.
    ///
    /// Returns nothing unless the licence is held. Keeps the enrolled entries when no entry is live.
    pub fn prepare_renewal(
        &mut self,
        live: &BTreeSet<Member>,
        ledger: &Ledger,
        quarantine_until_ms: u64,
    ) -> Option<Renewal> {
        let record = self.record.as_ref().filter(|_| self.phase == Phase::Held)?;
        if live.is_empty() {
            return Some(Renewal {
                record: Record { quarantine_until_ms, ..record.clone() },
                unacknowledged: Vec::new(),
            });
        }
        self.enrolled = record.enrolled.intersection(live).cloned().collect();
        let renewed = Record { enrolled: live.clone(), quarantine_until_ms, ..record.clone() };
        Some(Renewal {
            record: renewed,
            unacknowledged: ledger.unacknowledged_by(self.shard, live),
        })
    }

    /// Keeps dropped entries enrolled in the renewal, for when no live entry acknowledged the keys they sent.
    pub fn keep_enrolled(&self, renewal: &mut Renewal) {
        if let Some(record) = &self.record {
            renewal.record.enrolled.extend(record.enrolled.iter().cloned());
        }
    }

    /// Updates the state after a request sent at `sent_at` has written the renewal.
    pub fn on_renewed(&mut self, record: Record, sent_at: Uptime) {
        self.enrolled = record.enrolled.clone();
        self.valid_until = sent_at + self.term;
        self.record = Some(record);
    }

    /// Returns whether the next renewal is due.
    pub fn is_renewal_due(&self, now: Uptime) -> bool {
        self.phase == Phase::Held
            && now + self.term >= self.valid_until + self.term / RENEWALS_PER_TERM
    }

    /// Returns whether the enrolled members differ from the live entries.
    pub fn is_enrolment_stale(&self, live: &BTreeSet<Member>) -> bool {
        self.phase == Phase::Held
            && self.record.as_ref().is_some_and(|record| record.enrolled != *live)
    }

    /// Returns the remaining duration of the quarantine.
    pub fn quarantine_left(&self, now: Uptime) -> Duration {
        self.quarantined_until.saturating_sub(now)
    }

    /// Clears the state when the licence has expired, another agent has acquired it, or the agent stops.
    pub fn clear(&mut self) {
        self.phase = Phase::Idle;
        self.record = None;
        self.enrolled.clear();
        self.valid_until = Uptime::ZERO;
    }
}
