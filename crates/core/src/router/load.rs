//! Estimate of a target's load from delayed reports, own calls since the last report, and measured service times.

use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::ids::Uptime;

/// Weight of a new sample in the moving average of the service time, as a right shift.
const SAMPLE_SHIFT: u32 = 3;
/// Service times within this factor of the pool's are treated as equal to it, because samples vary.
const SIGNIFICANT_FACTOR: f64 = 1.5;
/// Time without a sample after which an idle slow target gets one attempt as a probe.
const PROBE_AFTER: Duration = Duration::from_secs(5);
/// Duration of the first ejection; doubles with each consecutive failure.
const EJECT_FIRST: Duration = Duration::from_millis(250);
const MAX_EJECT_DOUBLINGS: u32 = 6;

/// Load counters of one target, updated without locks on the request path.
#[derive(Debug, Default)]
pub struct Load {
    own: AtomicU32,
    reported: AtomicU32,
    /// Attempts sent minus attempts ended since the last report.
    since_report: AtomicI32,
    service_time_micros: AtomicU64,
    sampled_at_ms: AtomicU64,
    failures: AtomicU32,
    ejected_until_ms: AtomicU64,
}

/// Load of a target at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSnapshot {
    /// Own calls in flight.
    pub own: u32,
    /// Estimate of all calls, in flight and queued, from all senders.
    pub total: u32,
    /// Average duration of a call, scaled to an idle target; none without samples.
    pub service_time: Option<Duration>,
    /// Age of the last sample.
    pub sample_age: Duration,
    /// Whether the target is excluded after failures.
    pub ejected: bool,
}

/// Returns the factor by which load extends a call: 1 on an idle target, 2 when all slots are in use.
pub fn slowdown(load: u32, concurrency: u32) -> f64 {
    1.0 + f64::from(load) / f64::from(concurrency.max(1))
}

impl Load {
    /// Records that an attempt was sent.
    pub fn on_send(&self) {
        self.own.fetch_add(1, Ordering::Relaxed);
        self.since_report.fetch_add(1, Ordering::Relaxed);
    }

    /// Updates the service time after a successful attempt; `load_at_send` is the load estimate when it was sent.
    pub fn on_success(&self, duration: Duration, load_at_send: u32, concurrency: u32, now: Uptime) {
        self.failures.store(0, Ordering::Relaxed);
        let sample = (duration.as_micros() as f64 / slowdown(load_at_send, concurrency)) as u64;
        let update = |service_time: u64| {
            Some(if service_time == 0 {
                sample.max(1)
            } else {
                service_time - (service_time >> SAMPLE_SHIFT) + (sample >> SAMPLE_SHIFT)
            })
        };
        let _ = self.service_time_micros.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
        self.sampled_at_ms.store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Updates the service time after an attempt that timed out, since it would have run for at least `duration`.
    pub fn on_timeout(&self, duration: Duration, load_at_send: u32, concurrency: u32, now: Uptime) {
        let lower_bound =
            duration.mul_f64(1.0 / slowdown(load_at_send, concurrency)).as_micros() as u64;
        if lower_bound > self.service_time_micros.load(Ordering::Relaxed) {
            self.on_success(duration, load_at_send, concurrency, now);
        }
    }

    /// Ejects the target for some time after a failed attempt.
    pub fn on_failure(&self, now: Uptime) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(MAX_EJECT_DOUBLINGS);
        let until = now + EJECT_FIRST * 2_u32.pow(failures);
        self.ejected_until_ms.store(until.as_millis() as u64, Ordering::Relaxed);
    }

    /// Records the end of an attempt with any outcome.
    pub fn on_end(&self) {
        let _ = self
            .own
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |own| Some(own.saturating_sub(1)));
        self.since_report.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records the target's report of its calls in flight and queued.
    pub fn on_report(&self, total: u32) {
        self.reported.store(total, Ordering::Relaxed);
        self.since_report.store(0, Ordering::Relaxed);
    }

    /// Returns the number of own calls in flight.
    pub fn own(&self) -> u32 {
        self.own.load(Ordering::Relaxed)
    }

    /// Returns the load estimate at `now`.
    pub fn snapshot(&self, now: Uptime) -> LoadSnapshot {
        let own = self.own.load(Ordering::Relaxed);
        let since_report = self.since_report.load(Ordering::Relaxed);
        let reported = self.reported.load(Ordering::Relaxed).saturating_add_signed(since_report);
        let now_ms = now.as_millis() as u64;
        let service_time = self.service_time_micros.load(Ordering::Relaxed);
        LoadSnapshot {
            own,
            total: own.max(reported),
            service_time: (service_time > 0).then(|| Duration::from_micros(service_time)),
            sample_age: Duration::from_millis(
                now_ms.saturating_sub(self.sampled_at_ms.load(Ordering::Relaxed)),
            ),
            ejected: now_ms < self.ejected_until_ms.load(Ordering::Relaxed),
        }
    }
}

impl LoadSnapshot {
    /// Returns the target's service time if it differs significantly from the pool's, otherwise the pool's.
    ///
    /// An idle slow target whose last sample is old gets the pool's, so that the next attempt probes it.
    pub fn service_time_or(&self, pool_service_time: Duration) -> Duration {
        let Some(service_time) = self.service_time else { return pool_service_time };
        let is_slow = service_time > pool_service_time.mul_f64(SIGNIFICANT_FACTOR);
        let is_fast = service_time.mul_f64(SIGNIFICANT_FACTOR) < pool_service_time;
        let is_probe = is_slow && self.own == 0 && self.sample_age >= PROBE_AFTER;
        if is_fast || (is_slow && !is_probe) { service_time } else { pool_service_time }
    }
}
