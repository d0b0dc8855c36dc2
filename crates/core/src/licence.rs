//! Licence of a shard: which agent is home to its idempotency keys, and from which entries it takes calls.
//!
//! The record lies in the platform and is replaced by conditional writes only. A taker raises the epoch, then asks
//! every enrolled entry to seal the older epochs and to name the keys it sent, and serves when all have answered. An
//! entry that stays silent is waited for until the old licence has ended; the shard is then quarantined, because keys
//! that only this entry knew of may have run.

use std::collections::BTreeSet;
use std::time::Duration;

use marigold_schema::messages::NotRunCause;
use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, Incarnation, KeyDigest, Member, Name, Shard, Uptime};
use crate::ledger::Ledger;

/// Added to the term before a silent holder counts as ended, for clocks that run at different rates.
pub const CLOCK_DRIFT_MARGIN: Duration = Duration::from_secs(10);
/// Renewals in one term.
pub const RENEWALS_PER_TERM: u32 = 20;

/// One incarnation of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Target beside the agent.
    pub target: Name,
    /// Life of the agent's process.
    pub incarnation: Incarnation,
}

/// The licence as the platform keeps it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Raised by one with each taking.
    pub epoch: Epoch,
    /// Agent that holds the licence.
    pub holder: Holder,
    /// Entries whose calls the holder may take, and whom the next taker has to ask.
    #[serde(rename = "roll")]
    pub enrolled: BTreeSet<Member>,
    /// Whether the holder gave the licence up after its last call had ended.
    pub released: bool,
    /// Wall-clock time in milliseconds until which all keys of the shard are unknown.
    pub quarantine_until_ms: u64,
}

impl Record {
    /// Record of a new taking: nobody on the old roll is dropped before having been asked.
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

/// Why a keyed call is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denied {
    /// The call did not run; the word is about this try only.
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

/// A renewal that is ready to be written once `tell` is known to an entry that stays enrolled.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Renewal {
    /// Record to write.
    pub record: Record,
    /// Keys that only dropped entries know.
    pub unacknowledged: Vec<KeyDigest>,
}

/// Agent's side of one shard's licence.
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
    /// A shard for which no licence is held; `term` is how long one is valid after a renewal was sent.
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

    /// The record last written by this agent, while it holds or settles the licence.
    pub fn record(&self) -> Option<&Record> {
        self.record.as_ref()
    }

    /// Whether keyed calls are taken at `now`.
    pub fn is_held(&self, now: Uptime) -> bool {
        self.phase == Phase::Held && now < self.valid_until
    }

    /// Epoch under which calls are taken at `now`, and the entries from which they are.
    pub fn accepted_senders(&self, now: Uptime) -> Option<(Epoch, &BTreeSet<Member>)> {
        let record = self.record.as_ref().filter(|_| self.is_held(now))?;
        Some((record.epoch, &self.enrolled))
    }

    /// Starts to settle a licence whose record was written by a request sent at `sent_at`.
    pub fn start_collecting(
        &mut self,
        record: Record,
        prior: Option<&Record>,
        sent_at: Uptime,
        quarantine: Duration,
    ) {
        let pending = prior.map(|prior| prior.enrolled.clone()).unwrap_or_default();
        // An earlier process beside the same target is dead, because its port is ours now.
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

    /// Entries that have not named their keys yet.
    pub fn pending(&self) -> BTreeSet<Member> {
        match &self.phase {
            Phase::Collecting { pending, .. } => pending.clone(),
            Phase::Idle | Phase::Held => BTreeSet::new(),
        }
    }

    /// Takes in the keys that a sealed entry named; none of them runs here.
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

    /// Gives up on silent entries once the old licence has ended, and quarantines the shard for the retention time.
    pub fn abandon_unresponsive(&mut self, now: Uptime, retention: Duration) -> bool {
        let Phase::Collecting { abandon_at, pending } = &self.phase else { return false };
        if pending.is_empty() || now < *abandon_at {
            return false;
        }
        self.quarantined_until = self.quarantined_until.max(now + retention);
        self.phase = Phase::Held;
        true
    }

    /// Decides whether a keyed call may go to the ledger.
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

    /// Prepares a renewal for the entries that are live. Dropped entries are refused from now on.
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

    /// Keeps dropped entries on the roll because no live entry could be told what they sent.
    pub fn keep_enrolled(&self, renewal: &mut Renewal) {
        if let Some(record) = &self.record {
            renewal.record.enrolled.extend(record.enrolled.iter().cloned());
        }
    }

    /// Takes in a renewal that was written by a request sent at `sent_at`.
    pub fn on_renewed(&mut self, record: Record, sent_at: Uptime) {
        self.enrolled = record.enrolled.clone();
        self.valid_until = sent_at + self.term;
        self.record = Some(record);
    }

    /// Whether the last renewal is so old that another is due.
    pub fn is_renewal_due(&self, now: Uptime) -> bool {
        self.phase == Phase::Held
            && now + self.term >= self.valid_until + self.term / RENEWALS_PER_TERM
    }

    /// Whether the roll differs from the live entries.
    pub fn is_enrolment_stale(&self, live: &BTreeSet<Member>) -> bool {
        self.phase == Phase::Held
            && self.record.as_ref().is_some_and(|record| record.enrolled != *live)
    }

    /// Time left of the quarantine.
    pub fn quarantine_left(&self, now: Uptime) -> Duration {
        self.quarantined_until.saturating_sub(now)
    }

    /// Gives the licence up: its time has run out, another agent took it, or the agent stops.
    pub fn clear(&mut self) {
        self.phase = Phase::Idle;
        self.record = None;
        self.enrolled.clear();
        self.valid_until = Uptime::ZERO;
    }
}
