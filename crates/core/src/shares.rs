//! Concurrency limit of a pool, with weighted fair shares for customers under contention.
//!
//! The limit adapts by additive increase and multiplicative decrease (AIMD). It starts from the entry's equal share of
//! the pool's capacity. A call that an agent refuses, because other entries fill the pool, cuts the limit; a call that
//! completes in time while the limit is in use raises it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Name, Uptime};

/// Minimum time between two cuts of the limit.
const MIN_CUT_INTERVAL: Duration = Duration::from_millis(200);
/// Factor by which a cut reduces the limit.
const CUT_FACTOR: f64 = 0.85;
/// Share of the limit from which calls in flight count as contention; below it, every customer is admitted.
const CONTENTION_SHARE: f64 = 0.8;
/// Initial limit, as a multiple of the pool's capacity.
const START_LIMIT: f64 = 1.5;
/// Upper bound of the limit, as a multiple of the pool's capacity.
const MAX_LIMIT: f64 = 1.5;
/// Lower bound of the limit, as a multiple of the pool's capacity.
const MIN_LIMIT: f64 = 0.25;

#[derive(Debug, Default)]
struct Usage {
    in_flight: u32,
    weight: u32,
}

/// Concurrency limit of one pool, and its use by customer.
#[derive(Debug)]
pub struct Shares {
    capacity: f64,
    limit: f64,
    in_flight: u32,
    customers: BTreeMap<Name, Usage>,
    last_cut: Uptime,
}

impl Shares {
    /// Creates the limit of a pool that runs `capacity` calls at a time.
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

    /// Scales the limit to a new capacity of the pool.
    pub fn resize(&mut self, capacity: u32) {
        let capacity = f64::from(capacity.max(1));
        if (capacity - self.capacity).abs() >= 1.0 {
            self.limit = (self.limit * capacity / self.capacity).max(1.0);
            self.capacity = capacity;
        }
    }

    /// Admits a call of a customer; returns false when it has to be refused.
    pub fn admit(&mut self, customer: &str, weight: u32) -> bool {
        let customer_in_flight = self.customers.get(customer).map_or(0, |usage| usage.in_flight);
        let is_contended = f64::from(self.in_flight) >= self.limit * CONTENTION_SHARE;
        if is_contended && f64::from(customer_in_flight) >= self.fair_share(customer, weight) {
            return false;
        }
        // A customer below its fair share may exceed the limit when calls of others fill it.
        if f64::from(self.in_flight) >= self.limit * (2.0 - CONTENTION_SHARE) {
            return false;
        }
        let usage = self.customers.entry(customer.to_owned()).or_default();
        usage.in_flight += 1;
        usage.weight = weight;
        self.in_flight += 1;
        true
    }

    /// Returns the share of the limit that a customer may use under contention.
    fn fair_share(&self, customer: &str, weight: u32) -> f64 {
        let others =
            self.customers.iter().filter(|(name, usage)| *name != customer && usage.in_flight > 0);
        let total: u32 = others.map(|(_, usage)| usage.weight).sum::<u32>() + weight;
        (self.limit * f64::from(weight) / f64::from(total)).max(1.0)
    }

    /// Releases the slot of an admitted call that has ended.
    pub fn release(&mut self, customer: &str) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if let Some(usage) = self.customers.get_mut(customer) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
            if usage.in_flight == 0 {
                self.customers.remove(customer);
            }
        }
    }

    /// Raises the limit after a call that completed in time, if the limit is in use.
    pub fn on_success(&mut self) {
        if f64::from(self.in_flight) >= self.limit * CONTENTION_SHARE {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.capacity * MAX_LIMIT);
        }
    }

    /// Cuts the limit after an agent refused a call because its target is full.
    pub fn on_overload(&mut self, now: Uptime) {
        if now.saturating_sub(self.last_cut) >= MIN_CUT_INTERVAL {
            self.last_cut = now;
            self.limit = (self.limit * CUT_FACTOR).max(self.capacity * MIN_LIMIT).max(1.0);
        }
    }

    /// Returns the number of calls in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }
}
