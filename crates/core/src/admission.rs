//! Whether a request with stages is taken in, or refused before any work is done for it.
//!
//! Queues serve by due time, so under overload all requests wait until they are nearly late, and then many are. A part
//! of them is refused at the start instead, the larger the nearer the expected end comes to the aim; the rest is on
//! time. Refusing a part and not all above a bound keeps the load steady, since those that are taken in show how long
//! stages take now.

use std::time::Duration;

/// Part of the aim up to which nothing is refused. From 0.8 on, urgent requests were refused on mild days of the
/// deployments (docs/EXPERIMENTS.md).
const CALM: f64 = 0.85;
/// Waiting, as a part of the aim, up to which nothing is refused where stages alone take most of the aim: half of what
/// is left of the aim on the deployments' routes when nothing waits.
const CALM_WAIT: f64 = 0.4;
/// Increase of the expected end, as a part of the aim, that brings the refused part from none to all; it ends a little
/// past the aim, where a request would be late.
const RAMP: f64 = 0.2;
/// Largest part that is refused: one request in twenty shows how long stages take.
const MOST: f64 = 0.95;

/// The part of requests to refuse, from 0 to 1, when a request is expected to take `expected`, would take `unloaded` if
/// nothing waited, and is on time within `aim`.
pub fn refused_part(expected: Duration, unloaded: Duration, aim: Duration) -> f64 {
    let calm = aim.mul_f64(CALM).max(unloaded + aim.mul_f64(CALM_WAIT));
    let excess = expected.saturating_sub(calm);
    (excess.as_secs_f64() / aim.mul_f64(RAMP).as_secs_f64().max(f64::MIN_POSITIVE)).min(MOST)
}
