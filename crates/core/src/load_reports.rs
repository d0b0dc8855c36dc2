//! Requests in flight at targets, as gateways report them to each other.
//!
//! In a large fleet each gateway sees a small part of a target's load. Sums of what all have in flight show targets that
//! have fallen behind, whatever the cause, although the targets themselves tell no load.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::RngExt as _;

use crate::ids::{Name, Uptime};

/// Number of gateways from which loads are reported. With fewer, each sees enough of a target's load by itself.
pub const MIN_GATEWAYS: usize = 8;
/// Age from which the report of a gateway no longer counts; several polls.
pub const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// Maximum number of targets in a message, which bounds the traffic between gateways.
pub const MAX_REPORTED: usize = 128;

/// Number of gateways up to which each poll carries a report. In larger fleets a part of the polls does, so that the traffic of those
/// that collect the reports stays the same.
const REPORT_ALWAYS_UP_TO: usize = 80;

/// Returns whether a poll in a fleet of `gateways` carries a report.
pub fn is_due(gateways: usize, rng: &mut impl rand::Rng) -> bool {
    let probability = REPORT_ALWAYS_UP_TO as f64 / gateways as f64;
    gateways >= MIN_GATEWAYS && rng.random_bool(probability.min(1.0))
}

/// Requests in flight by target.
pub type InFlight = BTreeMap<Name, u32>;

/// The last reports of other gateways.
#[derive(Debug, Default)]
pub struct LoadReports {
    by_gateway: BTreeMap<Name, (Uptime, InFlight)>,
}

impl LoadReports {
    /// Records what a gateway has in flight.
    pub fn record(&mut self, gateway: Name, in_flight: InFlight, now: Uptime) {
        self.by_gateway.insert(gateway, (now, in_flight));
    }

    /// Returns the requests of all `gateways` in flight, given what this one has itself. Gateways without a recent report
    /// count as the mean of the others. The result has the targets with the highest load, at most [`MAX_REPORTED`].
    pub fn totals(&mut self, own: &InFlight, gateways: usize, now: Uptime) -> InFlight {
        self.by_gateway.retain(|_, (at, _)| now < *at + REPORT_LIFETIME);
        let mut sums = own.clone();
        for (target, count) in self.by_gateway.values().flat_map(|(_, in_flight)| in_flight) {
            let sum = sums.entry(target.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        let reported = 1 + self.by_gateway.len();
        let scale = gateways.max(reported) as f64 / reported as f64;
        let scaled =
            sums.into_iter().map(|(target, sum)| (target, (f64::from(sum) * scale) as u32));
        highest(scaled.collect())
    }
}

/// Returns the entries with the highest counts, at most [`MAX_REPORTED`].
pub fn highest(in_flight: InFlight) -> InFlight {
    if in_flight.len() <= MAX_REPORTED {
        return in_flight;
    }
    let mut entries = Vec::from_iter(in_flight);
    entries.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    entries.truncate(MAX_REPORTED);
    entries.into_iter().collect()
}
