//! Learned durations of what lies ahead of a request: its stages, and the time to its first event.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use marigold_core::duration_estimate::{DurationEstimate, DurationEstimator};
use marigold_core::ids::{Name, Uptime};
use marigold_core::routes::Routing;
use parking_lot::Mutex;

/// Durations that this gateway learned from its own requests.
#[derive(Default)]
pub(crate) struct Paces {
    /// By pool and rank: lower ranks wait longer.
    stages: Mutex<HashMap<(Name, u8), DurationEstimator>>,
    /// By route, since targets read long prompts for longer.
    first_events: Mutex<HashMap<Name, DurationEstimator>>,
}

impl Paces {
    /// Forgets routes and pools that a configuration does not have.
    pub(crate) fn retain(&self, routing: &Routing) {
        self.stages.lock().retain(|(pool, _), _| routing.pools.contains_key(pool));
        let routes: HashSet<&str> = routing.routes().map(|route| route.name.as_str()).collect();
        self.first_events.lock().retain(|route, _| routes.contains(route.as_str()));
    }

    /// Expected duration of a stage, with waiting.
    pub(crate) fn stage(
        &self,
        pool: &str,
        rank: u8,
        nominal: Duration,
        now: Uptime,
    ) -> DurationEstimate {
        let stages = self.stages.lock();
        let pace = stages.get(&(pool.to_owned(), rank));
        pace.map_or(DurationEstimate::exact(nominal), |pace| pace.estimate(nominal, now))
    }

    /// Takes in the duration of a stage.
    pub(crate) fn on_stage(&self, pool: Name, rank: u8, took: Duration, now: Uptime) {
        self.stages.lock().entry((pool, rank)).or_default().observe(took, now);
    }

    /// Expected time from sending a request to a target to its first event.
    pub(crate) fn first_event(
        &self,
        route: &str,
        nominal: Duration,
        now: Uptime,
    ) -> DurationEstimate {
        let first_events = self.first_events.lock();
        let pace = first_events.get(route);
        pace.map_or(DurationEstimate::exact(nominal), |pace| pace.estimate(nominal, now))
    }

    /// Takes in the time to a first event.
    pub(crate) fn on_first_event(&self, route: &str, took: Duration, now: Uptime) {
        let mut first_events = self.first_events.lock();
        if let Some(pace) = first_events.get_mut(route) {
            pace.observe(took, now);
        } else {
            first_events.entry(route.to_owned()).or_default().observe(took, now);
        }
    }
}
