//! Learned durations of what lies ahead of a request: its stages, and the time to its first event.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use marigold_core::duration_estimate::{DurationEstimate, DurationEstimator};
use marigold_core::ids::{Name, Uptime};
use marigold_core::routes::Routing;
use parking_lot::Mutex;

/// Durations that this gateway learned from its own requests.
#[derive(Default)]
pub(crate) struct LearnedDurations {
    /// By pool and rank: lower ranks wait longer.
    stages: Mutex<HashMap<(Name, u8), DurationEstimator>>,
    /// By route, since targets read long prompts for longer.
    first_events: Mutex<HashMap<Name, DurationEstimator>>,
}

impl LearnedDurations {
    /// Forgets routes and pools that a configuration does not have.
    pub(crate) fn retain(&self, routing: &Routing) {
        self.stages.lock().retain(|(pool, _), _| routing.pools.contains_key(pool));
        let routes: HashSet<&str> = routing.routes().map(|route| route.name.as_str()).collect();
        self.first_events.lock().retain(|route, _| routes.contains(route.as_str()));
    }

    /// Expected duration of a stage, with waiting.
    pub(crate) fn estimate_stage(
        &self,
        pool: &str,
        priority: u8,
        default: Duration,
        now: Uptime,
    ) -> DurationEstimate {
        let stages = self.stages.lock();
        let estimator = stages.get(&(pool.to_owned(), priority));
        estimator
            .map_or(DurationEstimate::exact(default), |estimator| estimator.estimate(default, now))
    }

    /// Takes in the duration of a stage.
    pub(crate) fn observe_stage(&self, pool: Name, priority: u8, sample: Duration, now: Uptime) {
        self.stages.lock().entry((pool, priority)).or_default().observe(sample, now);
    }

    /// Expected time from sending a request to a target to its first event.
    pub(crate) fn estimate_first_event(
        &self,
        route: &str,
        default: Duration,
        now: Uptime,
    ) -> DurationEstimate {
        let first_events = self.first_events.lock();
        let estimator = first_events.get(route);
        estimator
            .map_or(DurationEstimate::exact(default), |estimator| estimator.estimate(default, now))
    }

    /// Takes in the time to a first event.
    pub(crate) fn observe_first_event(&self, route: &str, sample: Duration, now: Uptime) {
        let mut first_events = self.first_events.lock();
        if let Some(estimator) = first_events.get_mut(route) {
            estimator.observe(sample, now);
        } else {
            first_events.entry(route.to_owned()).or_default().observe(sample, now);
        }
    }
}
