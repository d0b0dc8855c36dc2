//! Staleness of the local configuration, and the decisions that it permits.
//!
//! `now` has to come from a monotonic clock that includes the time for which a VM was suspended. Wall-clock time is not
//! used.

use std::time::Duration;

use crate::ids::Uptime;

/// Share of the revocation bound for which the configuration is used. The rest covers clock drift and the time of the
/// check itself.
const USABLE_SHARE: f64 = 0.9;

/// Time of the newest proof that the local configuration was current.
///
/// A reply of the store proves the state at the time when the call was sent. A relayed proof keeps its age.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    proved_at: Option<Uptime>,
}

/// Decisions that the age of the configuration permits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confidence {
    /// Known keys may be accepted.
    pub can_accept_keys: bool,
    /// Requests with an unknown route or key may be refused permanently.
    pub can_refuse_unknown: bool,
}

impl Freshness {
    /// Records a proof; one that is older than the newest has no effect.
    pub fn record_proof(&mut self, at: Uptime) {
        self.proved_at = self.proved_at.max(Some(at));
    }

    /// Returns the age of the newest proof, if there is one.
    pub fn age(&self, now: Uptime) -> Option<Duration> {
        self.proved_at.map(|at| now.saturating_sub(at))
    }

    /// Returns the decisions that are permitted at `now`.
    ///
    /// A change has to take effect within `change`, so a configuration up to that age proves that a route or key does
    /// not exist. `revocation` is the time within which a removed key has to be refused, if that is bounded.
    pub fn confidence(
        &self,
        now: Uptime,
        change: Duration,
        revocation: Option<Duration>,
    ) -> Confidence {
        let Some(age) = self.age(now) else {
            return Confidence { can_accept_keys: false, can_refuse_unknown: false };
        };
        let can_accept_keys = revocation.is_none_or(|bound| age <= bound.mul_f64(USABLE_SHARE));
        Confidence { can_accept_keys, can_refuse_unknown: age <= change }
    }
}
