//! What an entry knows of a target's load: lagged reports, own calls since, and learned service times.

use std::sync::atomic::{AtomicI32, AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use crate::ids::Uptime;

/// Weight of a new sample in the learned service time, as a right shift.
const SAMPLE_SHIFT: u32 = 3;
/// Learned service times within this factor of the pool's count as the pool's, because samples scatter.
const SIGNIFICANT_FACTOR: f64 = 1.5;
/// Time without a sample after which an idle slow target gets one attempt as a probe.
const PROBE_AFTER: Duration = Duration::from_secs(5);
/// First ejection after a failure; it doubles with each further one.
const EJECT_FIRST: Duration = Duration::from_millis(250);
/// Doublings of the ejection at the most.
const MAX_EJECT_DOUBLINGS: u32 = 6;

/// Counters of one target, updated on the path of requests.
#[derive(Debug, Default)]
pub struct Load {
    own: AtomicU32,
    reported: AtomicU32,
    /// Attempts sent less those ended since the last report.
    since_report: AtomicI32,
    service_time_micros: AtomicU64,
    sampled_at_ms: AtomicU64,
    failures: AtomicU32,
    ejected_until_ms: AtomicU64,
}

/// Load at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadSnapshot {
    /// Own calls in flight.
    pub own: u32,
    /// Estimate of all calls in flight and queued.
    pub total: u32,
    /// Learned duration of a call on an idle target; none without samples.
    pub service_time: Option<Duration>,
    /// Age of the last sample.
    pub sample_age: Duration,
    /// Whether the target is left out after failures.
    pub ejected: bool,
}

/// Growth of a call's duration with the load: one at rest, two when all slots are in use.
pub fn slowdown(load: u32, concurrency: u32) -> f64 {
    1.0 + f64::from(load) / f64::from(concurrency.max(1))
}

impl Load {
    /// Records that an attempt was sent.
    pub fn on_send(&self) {
        self.own.fetch_add(1, Ordering::Relaxed);
        self.since_report.fetch_add(1, Ordering::Relaxed);
    }

    /// Learns from an attempt that ended well; `load_at_send` is the estimate when it was sent.
    pub fn on_success(&self, duration: Duration, load_at_send: u32, concurrency: u32, now: Uptime) {
        self.failures.store(0, Ordering::Relaxed);
        let sample = (duration.as_micros() as f64 / slowdown(load_at_send, concurrency)) as u64;
        let learn = |service_time: u64| {
            Some(if service_time == 0 {
                sample.max(1)
            } else {
                service_time - (service_time >> SAMPLE_SHIFT) + (sample >> SAMPLE_SHIFT)
            })
        };
        let _ = self.service_time_micros.fetch_update(Ordering::Relaxed, Ordering::Relaxed, learn);
        self.sampled_at_ms.store(now.as_millis() as u64, Ordering::Relaxed);
    }

    /// Learns from an attempt that was given up after `duration`: it would have taken longer.
    pub fn on_timeout(&self, duration: Duration, load_at_send: u32, concurrency: u32, now: Uptime) {
        let least = duration.mul_f64(1.0 / slowdown(load_at_send, concurrency)).as_micros() as u64;
        if least > self.service_time_micros.load(Ordering::Relaxed) {
            self.on_success(duration, load_at_send, concurrency, now);
        }
    }

    /// Leaves the target out for a while after a failed attempt.
    pub fn on_failure(&self, now: Uptime) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed).min(MAX_EJECT_DOUBLINGS);
        let until = now + EJECT_FIRST * 2_u32.pow(failures);
        self.ejected_until_ms.store(until.as_millis() as u64, Ordering::Relaxed);
    }

    /// Records that an attempt ended, however it did.
    pub fn on_end(&self) {
        let _ = self
            .own
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |own| Some(own.saturating_sub(1)));
        self.since_report.fetch_sub(1, Ordering::Relaxed);
    }

    /// Takes in a report of calls in flight and queued.
    pub fn on_report(&self, total: u32) {
        self.reported.store(total, Ordering::Relaxed);
        self.since_report.store(0, Ordering::Relaxed);
    }

    /// Load as known at `now`.
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
    /// Service time to go by: the pool's, unless the target's own differs from it beyond scatter.
    pub fn service_time_or(&self, pool_service_time: Duration) -> Duration {
        let Some(service_time) = self.service_time else { return pool_service_time };
        let is_slow = service_time > pool_service_time.mul_f64(SIGNIFICANT_FACTOR);
        let is_fast = service_time.mul_f64(SIGNIFICANT_FACTOR) < pool_service_time;
        let is_probe = is_slow && self.own == 0 && self.sample_age >= PROBE_AFTER;
        if is_fast || (is_slow && !is_probe) { service_time } else { pool_service_time }
    }
}
