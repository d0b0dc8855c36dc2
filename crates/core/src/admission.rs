//! Probabilistic admission control for requests with stages, applied before any work is done for them.
//!
//! Queues are ordered by due time, so under overload every request waits until it is nearly late, and many then miss
//! their latency objective. Refusing a share of the requests on arrival lets the others meet it. The share grows as the
//! expected latency approaches the objective. Refusing a share, instead of every request above a threshold, keeps the
//! load steady, because admitted requests keep the duration estimates of the stages current.

use std::time::Duration;

/// Share of the latency objective up to which every request is admitted. At 0.8, urgent requests were refused on the
/// deployments on days of low load (docs/EXPERIMENTS.md).
const ADMIT_ALL_UP_TO: f64 = 0.85;
/// Queueing time, as a share of the latency objective, up to which every request is admitted on routes whose stages
/// alone take most of the objective. Half of the slack of an unloaded request on the deployments' routes.
const ADMIT_ALL_WAIT: f64 = 0.4;
/// Increase of the expected latency, as a share of the latency objective, that raises the probability from 0 to 1. The
/// ramp ends slightly above the objective, where a request would be late.
const RAMP_WIDTH: f64 = 0.2;
/// One request in twenty is always admitted, to keep the duration estimates of the stages current.
const MAX_PROBABILITY: f64 = 0.95;

/// Returns the probability, from 0 to 1, with which to refuse a request.
///
/// `unloaded_latency` is the latency of the request with empty queues.
pub fn refusal_probability(
    expected_latency: Duration,
    unloaded_latency: Duration,
    latency_objective: Duration,
) -> f64 {
    let threshold = latency_objective
        .mul_f64(ADMIT_ALL_UP_TO)
        .max(unloaded_latency + latency_objective.mul_f64(ADMIT_ALL_WAIT));
    let excess = expected_latency.saturating_sub(threshold);
    (excess.as_secs_f64()
        / latency_objective.mul_f64(RAMP_WIDTH).as_secs_f64().max(f64::MIN_POSITIVE))
    .min(MAX_PROBABILITY)
}
