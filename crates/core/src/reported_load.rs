//! Load that targets report in their replies, and the end of a call that is estimated from it.

use std::time::Duration;

use crate::ids::Uptime;

/// Age up to which a reported value is taken as it is; the way of a reply and the choice of the next call.
const FRESH_FOR: Duration = Duration::from_millis(50);
/// Age from which a reported duration is no longer used. Durations change many times a second, so an older value says less
/// than the mean of the measured ones.
const DISCARD_AFTER: Duration = Duration::from_millis(500);
/// Range of the reported factors that are used; a faulty target must not get all calls, nor none for long.
const FACTORS: std::ops::RangeInclusive<f64> = 0.2..=10.0;
/// Maximum number of waiting calls that is used.
const MAX_WAITING: u32 = 16;

/// What a target says of its load.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReportedLoad {
    /// Number of calls that run.
    pub running: u32,
    /// Number of calls that wait for a slot.
    pub waiting: u32,
    /// Number of calls that can run at the same time.
    pub slots: u32,
    /// Ratio of the present to the normal duration of work; finite and positive.
    pub duration_factor: Option<f64>,
}

/// The last reported load of a target.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadReport {
    last: Option<(ReportedLoad, Uptime)>,
}

impl LoadReport {
    /// Records the load in a reply that arrived at `now`.
    pub fn observe(&mut self, load: ReportedLoad, now: Uptime) {
        self.last = Some((load, now));
    }

    /// Returns the reported factor and its weight, from 0 to 1, which falls with its age.
    fn factor(&self, now: Uptime) -> Option<(f64, f64)> {
        let (load, at) = self.last?;
        let factor = load.duration_factor?.clamp(*FACTORS.start(), *FACTORS.end());
        let aging = now.saturating_sub(at).saturating_sub(FRESH_FOR).as_secs_f64();
        let weight = (1.0 - aging / (DISCARD_AFTER - FRESH_FOR).as_secs_f64()).max(0.0);
        (weight > 0.0).then_some((factor, weight))
    }

    /// Returns the ratio of the expected to the normal duration of a call that starts at `now`; `measured` is the moving average
    /// of that ratio, zero if there is none.
    pub fn slowdown(&self, measured: f64, now: Uptime) -> f64 {
        let Some((factor, weight)) = self.factor(now) else { return measured };
        let measured = if measured > 0.0 { measured } else { 1.0 };
        weight * factor + (1.0 - weight) * measured
    }

    /// Returns how long a call that is sent at `now` waits for those of other gateways that were waiting at the time of the
    /// report. They have been worked off since at the rate of the slots.
    fn wait(&self, duration: Duration, now: Uptime) -> Duration {
        let Some((load, at)) = self.last else { return Duration::ZERO };
        let rounds = load.waiting.min(MAX_WAITING).div_ceil(load.slots.max(1));
        (duration * rounds).saturating_sub(now.saturating_sub(at))
    }

    /// Returns the time until the end of a call that is sent at `now` and takes `normal` without slowdown.
    pub fn time_to_end(&self, normal: Duration, measured: f64, now: Uptime) -> Duration {
        let duration = normal.mul_f64(self.slowdown(measured, now).clamp(0.0, 100.0));
        self.wait(duration, now) + duration
    }

    /// Returns the duration to plan with for a call that is sent at `now`: `normal` without a recent report.
    pub fn planned_duration(&self, normal: Duration, now: Uptime) -> Duration {
        self.time_to_end(normal, 1.0, now)
    }
}
