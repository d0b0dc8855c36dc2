//! Hedged requests of this gateway: what it has learned of the time to the first byte, and the budget.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use marigold_core::hedge::{self, FirstByteTimes, HedgeBudget};
use marigold_core::ids::{Name, Uptime};
use marigold_core::routes::Routing;
use parking_lot::Mutex;

#[derive(Default)]
struct State {
    budget: HedgeBudget,
    /// By route and pool.
    times: HashMap<(Name, Name), FirstByteTimes>,
    /// When a target last refused a request, by pool.
    refused: HashMap<Name, Uptime>,
}

/// Handle of the state; nothing is recorded while hedging is off.
#[derive(Default)]
pub(crate) struct Hedging {
    state: Mutex<State>,
}

impl Hedging {
    /// Removes the routes and pools that are not in a configuration.
    pub(crate) fn retain(&self, routing: &Routing) {
        let routes: HashSet<&str> = routing.routes().map(|route| route.name.as_str()).collect();
        let mut state = self.state.lock();
        state.times.retain(|(route, pool), _| {
            routes.contains(route.as_str()) && routing.pools.contains_key(pool)
        });
        state.refused.retain(|pool, _| routing.pools.contains_key(pool));
    }

    /// Counts a request that may be repeated.
    pub(crate) fn on_request(&self, now: Uptime, ratio: f64, window: Duration) {
        self.state.lock().budget.on_request(now, ratio, window);
    }

    /// Withdraws one hedged request from the budget; returns false when it is exhausted.
    pub(crate) fn withdraw(&self, now: Uptime, ratio: f64, window: Duration) -> bool {
        self.state.lock().budget.withdraw(now, ratio, window)
    }

    /// Returns the time after which the answer to a request is late; `None` while that is not known.
    pub(crate) fn late_after(&self, route: &str, pool: &str, now: Uptime) -> Option<Duration> {
        let key = (route.to_owned(), pool.to_owned());
        self.state.lock().times.get_mut(&key)?.late_after(now)
    }

    /// Records the time to the first byte at a target, or a lower bound of it.
    pub(crate) fn observe(&self, route: &str, pool: &str, sample: Duration, now: Uptime) {
        let key = (route.to_owned(), pool.to_owned());
        self.state.lock().times.entry(key).or_default().observe(sample, now);
    }

    /// Records that a target of a pool has refused a request.
    pub(crate) fn on_refused(&self, pool: &str, now: Uptime) {
        self.state.lock().refused.insert(pool.to_owned(), now);
    }

    /// Returns whether a target of a pool has refused a request recently.
    pub(crate) fn has_refused(&self, pool: &str, now: Uptime) -> bool {
        let state = self.state.lock();
        state.refused.get(pool).is_some_and(|at| now < *at + hedge::REFUSAL_PAUSE)
    }
}
