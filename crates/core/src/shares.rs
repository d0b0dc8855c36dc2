//! Admission to a pool: an adaptive limit, and weighted fair shares of it among customers under contention.
//!
//! The limit starts at the entry's even part of the pool. Agents refuse when other entries fill the pool beyond that,
//! which cuts the limit; answers in time while it is in use raise it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Name, Uptime};

/// Least time between two cuts of the limit.
const MIN_CUT_INTERVAL: Duration = Duration::from_millis(200);
/// Factor of a cut.
const CUT_FACTOR: f64 = 0.85;
/// Share of the limit up to which every customer is admitted.
const CONTENTION_SHARE: f64 = 0.8;
/// Limit at the start, in multiples of the pool's capacity.
const START_LIMIT: f64 = 1.5;
/// Largest limit, in multiples of the pool's capacity.
const MAX_LIMIT: f64 = 1.5;
/// Least limit, in multiples of the pool's capacity.
const MIN_LIMIT: f64 = 0.25;

#[derive(Debug, Default)]
struct Usage {
    in_flight: u32,
    weight: u32,
}

/// Limit of one pool and its use by customer.
#[derive(Debug)]
pub struct Shares {
    capacity: f64,
    limit: f64,
    in_flight: u32,
    customers: BTreeMap<Name, Usage>,
    last_cut: Uptime,
}

impl Shares {
    /// A pool that runs `capacity` calls at a time.
    pub fn new(capacity: u32) -> Self {
        let capacity = f64::from(capacity.max(1));
        Self {
            capacity,
            limit: capacity * START_LIMIT,
            in_flight: 0,
            customers: BTreeMap::new(),
            last_cut: Uptime::ZERO,
        }
    }

    /// Follows a change of the pool's capacity.
    pub fn resize(&mut self, capacity: u32) {
        let capacity = f64::from(capacity.max(1));
        if (capacity - self.capacity).abs() >= 1.0 {
            self.limit = (self.limit * capacity / self.capacity).max(1.0);
            self.capacity = capacity;
        }
    }

    /// Takes in a call of a customer; false when it has to be refused.
    pub fn admit(&mut self, customer: &str, weight: u32) -> bool {
        let own = self.customers.get(customer).map_or(0, |usage| usage.in_flight);
        let is_contended = f64::from(self.in_flight) >= self.limit * CONTENTION_SHARE;
        if is_contended && f64::from(own) >= self.fair_share(customer, weight) {
            return false;
        }
        // A customer under its share may go past the limit, which others' calls fill.
        if f64::from(self.in_flight) >= self.limit * (2.0 - CONTENTION_SHARE) {
            return false;
        }
        let usage = self.customers.entry(customer.to_owned()).or_default();
        usage.in_flight += 1;
        usage.weight = weight;
        self.in_flight += 1;
        true
    }

    /// Part of the limit that a customer may use while others want it too.
    fn fair_share(&self, customer: &str, weight: u32) -> f64 {
        let others =
            self.customers.iter().filter(|(name, usage)| *name != customer && usage.in_flight > 0);
        let total: u32 = others.map(|(_, usage)| usage.weight).sum::<u32>() + weight;
        (self.limit * f64::from(weight) / f64::from(total)).max(1.0)
    }

    /// Records the end of an admitted call.
    pub fn release(&mut self, customer: &str) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(usage) = self.customers.get_mut(customer) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
            if usage.in_flight == 0 {
                self.customers.remove(customer);
            }
        }
    }

    /// Raises the limit after a call that ended in time, if the limit was in use.
    pub fn on_success(&mut self) {
        if f64::from(self.in_flight) >= self.limit * CONTENTION_SHARE {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.capacity * MAX_LIMIT);
        }
    }

    /// Cuts the limit after a call that an agent refused because its target is full.
    pub fn on_overload(&mut self, now: Uptime) {
        if now.saturating_sub(self.last_cut) >= MIN_CUT_INTERVAL {
            self.last_cut = now;
            self.limit = (self.limit * CUT_FACTOR).max(self.capacity * MIN_LIMIT).max(1.0);
        }
    }

    /// Calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}
