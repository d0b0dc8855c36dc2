//! How old the knowledge of the configuration is, and what may be decided on it.
//!
//! Ages count the time that a VM was suspended, so `now` is taken from a clock that does too. The time of day is not
//! used.

use std::time::Duration;

use crate::ids::Uptime;

/// Share of the revocation bound for which knowledge is used; the rest covers the clocks' rates and the check itself.
const USABLE_SHARE: f64 = 0.9;

/// Proof that the configuration in force was the newest at some moment.
///
/// An answer of the store proves what was true when the call was sent; a relayed proof keeps the age that it had.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    proved_at: Option<Uptime>,
}

/// What may be decided at some moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confidence {
    /// Keys may be accepted.
    pub can_accept_keys: bool,
    /// An unknown route or key may be refused for good.
    pub can_refuse_unknown: bool,
}

impl Freshness {
    /// Notes a proof; an older one changes nothing.
    pub fn record_proof(&mut self, at: Uptime) {
        self.proved_at = self.proved_at.max(Some(at));
    }

    /// Age of the newest proof; none without any.
    pub fn age(&self, now: Uptime) -> Option<Duration> {
        self.proved_at.map(|at| now.saturating_sub(at))
    }

    /// What may be decided.
    ///
    /// A change has to be in force within `change`, so knowledge up to that age shows that a route or key is absent.
    /// `revocation` is the bound after which a removed key has to be refused, if there is one.
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
