//! Estimates of the durations of stages, of the time to the first event, and of the time that callers wait, from samples of
//! this gateway.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use marigold_core::caller_retry::CallerTimeout;
use marigold_core::duration_estimate::{DurationEstimate, DurationEstimator};
use marigold_core::ids::{Name, Uptime};
use marigold_core::response_time::ResponseTime;
use marigold_core::routes::{Repeat, Route, Routing};
use parking_lot::Mutex;

/// Upper estimate of the response time of a route that has had no answers, unless its objective is shorter.
const MAX_UNKNOWN_RESPONSE_TIME: Duration = Duration::from_secs(1);

/// Estimators that are updated by the requests of this gateway.
#[derive(Default)]
pub(crate) struct LearnedDurations {
    /// By pool and priority, since lower priorities wait longer.
    stages: Mutex<HashMap<(Name, u8), DurationEstimator>>,
    /// By route, since targets need longer to read long prompts.
    first_events: Mutex<HashMap<Name, DurationEstimator>>,
    /// By route.
    responses: Mutex<HashMap<Name, ResponseTime>>,
    /// By route.
    caller_timeouts: Mutex<HashMap<Name, CallerTimeout>>,
}

impl LearnedDurations {
    /// Removes the routes and pools that are not in a configuration.
    pub(crate) fn retain(&self, routing: &Routing) {
        self.stages.lock().retain(|(pool, _), _| routing.pools.contains_key(pool));
        let routes: HashSet<&str> = routing.routes().map(|route| route.name.as_str()).collect();
        self.first_events.lock().retain(|route, _| routes.contains(route.as_str()));
        self.responses.lock().retain(|route, _| routes.contains(route.as_str()));
        self.caller_timeouts.lock().retain(|route, _| routes.contains(route.as_str()));
    }

    /// Records the time that the caller of a request waits, and returns whether the request has come back after a refusal.
    pub(crate) fn observe_caller(&self, route: &str, timeout: Duration, now: Uptime) -> bool {
        let mut timeouts = self.caller_timeouts.lock();
        match timeouts.get_mut(route) {
            Some(known) => known.observe(timeout, now),
            None => timeouts.entry(route.to_owned()).or_default().observe(timeout, now),
        }
    }

    /// Estimates the duration of a stage, including queueing; `default` applies without recent samples.
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

    /// Records the duration of a stage.
    pub(crate) fn observe_stage(&self, pool: Name, priority: u8, sample: Duration, now: Uptime) {
        self.stages.lock().entry((pool, priority)).or_default().observe(sample, now);
    }

    /// Estimates the time from sending a request to a target until its first event; `default` applies without recent
    /// samples.
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

    /// Records the time until a first event.
    pub(crate) fn observe_first_event(&self, route: &str, sample: Duration, now: Uptime) {
        let mut first_events = self.first_events.lock();
        if let Some(estimator) = first_events.get_mut(route) {
            estimator.observe(sample, now);
        } else {
            first_events.entry(route.to_owned()).or_default().observe(sample, now);
        }
    }

    /// Returns an upper estimate of the time from sending a request to a target until its answer is complete.
    pub(crate) fn estimate_response(&self, route: &Route) -> Duration {
        let is_repeatable = route.repeat != Repeat::Never;
        let responses = self.responses.lock();
        let known = responses.get(&route.name).and_then(|time| time.upper(is_repeatable));
        known.unwrap_or(route.latency_objective.min(MAX_UNKNOWN_RESPONSE_TIME))
    }

    /// Records the time until an answer was complete.
    pub(crate) fn observe_response(&self, route: &str, sample: Duration) {
        let mut responses = self.responses.lock();
        if let Some(estimator) = responses.get_mut(route) {
            estimator.observe(sample);
        } else {
            responses.entry(route.to_owned()).or_default().observe(sample);
        }
    }
}
