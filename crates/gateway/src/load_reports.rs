//! Requests in flight at targets: what this gateway and the others have, exchanged in polls.
//!
//! Each gateway sends its own counts with its polls. Those that watch the store are polled by many, and answer with the sums.

use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::load_reports::{self, InFlight, LoadReports};
use marigold_schema::messages::TargetInFlight;
use parking_lot::Mutex;

/// Handle of the reports.
#[derive(Default)]
pub(crate) struct SharedLoad {
    reports: Mutex<LoadReports>,
    /// When the last sums arrived.
    totals_at: Mutex<Uptime>,
}

impl SharedLoad {
    /// Records what another gateway has in flight, from its poll.
    pub(crate) fn record(&self, gateway: String, in_flight: Vec<TargetInFlight>, now: Uptime) {
        if !in_flight.is_empty() {
            self.reports.lock().record(gateway, parse(in_flight), now);
        }
    }

    /// Returns the requests of all `gateways` in flight, given what this one has itself.
    pub(crate) fn totals(
        &self,
        own: Vec<TargetInFlight>,
        gateways: usize,
        now: Uptime,
    ) -> Vec<TargetInFlight> {
        to_message(self.reports.lock().totals(&parse(own), gateways, now))
    }

    /// Marks the arrival of sums.
    pub(crate) fn on_totals(&self, now: Uptime) {
        *self.totals_at.lock() = now;
    }

    /// Returns the time since the last sums arrived; `None` without recent ones.
    pub(crate) fn age(&self, now: Uptime) -> Option<Duration> {
        let totals_at = *self.totals_at.lock();
        (!totals_at.is_zero()).then(|| now.saturating_sub(totals_at))
    }

    /// Returns whether sums have arrived, but none for so long that they say nothing any more; true once.
    pub(crate) fn take_expired(&self, now: Uptime) -> bool {
        let mut totals_at = self.totals_at.lock();
        let is_expired = !totals_at.is_zero() && now >= *totals_at + load_reports::REPORT_LIFETIME;
        if is_expired {
            *totals_at = Uptime::ZERO;
        }
        is_expired
    }
}

/// Converts counts into those of a message, without targets that have none.
pub(crate) fn to_message(in_flight: InFlight) -> Vec<TargetInFlight> {
    let counts = load_reports::highest(in_flight).into_iter().filter(|(_, count)| *count > 0);
    counts.map(|(target, count)| TargetInFlight { target, count }).collect()
}

/// Converts the counts of a message.
pub(crate) fn parse(message: Vec<TargetInFlight>) -> InFlight {
    let entries = message.into_iter().take(load_reports::MAX_REPORTED);
    entries.map(|entry| (entry.target, entry.count)).collect()
}
