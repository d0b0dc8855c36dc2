//! Whether a request with stages is taken in, or refused before any work is done for it.
//!
//! Queues serve by due time, so under overload all requests wait until they are nearly late, and then many are. A part
//! of them is refused at the start instead, the larger the nearer the expected end comes to the aim; the rest is on
//! time. Refusing a part and not all above a bound keeps the load steady, since those that are taken in show how long
//! stages take now.

use std::time::Duration;

/// Part of the aim up to which nothing is refused. From 0.8 on, urgent requests were refused on mild days of the
/// deployments (docs/EXPERIMENTS.md).
const ADMIT_ALL_UP_TO: f64 = 0.85;
/// Waiting, as a part of the aim, up to which nothing is refused where stages alone take most of the aim: half of what
/// is left of the aim on the deployments' routes when nothing waits.
const ADMIT_ALL_WAIT: f64 = 0.4;
/// Increase of the expected end, as a part of the aim, that brings the refused part from none to all; it ends a little
/// past the aim, where a request would be late.
const RAMP_WIDTH: f64 = 0.2;
/// Largest part that is refused: one request in twenty shows how long stages take.
const MAX_PROBABILITY: f64 = 0.95;

/// The part of requests to refuse, from 0 to 1, when a request is expected to take `expected`, would take `unloaded` if
/// nothing waited, and is on time within `aim`.
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
