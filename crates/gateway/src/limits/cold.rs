//! Cold targets: their limit is known from the list of targets and the configuration, and ends by itself.

use std::sync::atomic::Ordering;

use marigold_core::ids::Uptime;
use marigold_core::routes::Routing;
use marigold_core::targets::Target;

use super::{Limits, MAX_TARGETS, TargetLimit};

impl TargetLimit {
    /// Records when the target stops being cold, and logs a change.
    fn set_cold(&mut self, target: &Target, now: Uptime) {
        let was_cold = !self.cold_until.is_zero();
        if now >= target.cold_until {
            self.cold_until = self.cold_until.min(now);
            return self.log_cold_end(&target.id, now);
        }
        self.cold_until = target.cold_until;
        if !was_cold {
            tracing::info!(
                target = target.id,
                pool = target.pool,
                remaining_ms = target.cold_until.saturating_sub(now).as_millis() as u64,
                limit = self.cold_per_s,
                "target is cold"
            );
        }
    }

    /// Logs once that the cold time has ended.
    pub(super) fn log_cold_end(&mut self, id: &str, now: Uptime) {
        if !self.cold_until.is_zero() && now >= self.cold_until {
            self.cold_until = Uptime::ZERO;
            // Kept for a while, so that the metrics show that no target is cold.
            self.last_used = now;
            tracing::info!(target = id, pool = self.pool, "target is no longer cold");
        }
    }
}

impl Limits {
    /// Records which targets the list shows as cold, and until when; each call replaces what the list said of them before.
    pub(crate) fn record_cold<'a>(&self, listed: impl Iterator<Item = &'a Target>, now: Uptime) {
        let rates = self.cold_rates.lock();
        let mut targets = self.targets.lock();
        for target in listed {
            let start = (target.id.clone(), target.started_at_ms);
            if let Some(limit) = targets.get_mut(&start) {
                limit.cold_per_s = rates.get(&target.pool).copied();
                limit.set_cold(target, now);
            } else if now < target.cold_until && targets.len() < MAX_TARGETS {
                // Not used yet: gateways poll the owners of limits that are in use.
                let mut limit = TargetLimit::new(target.pool.clone(), Uptime::ZERO);
                limit.cold_per_s = rates.get(&target.pool).copied();
                limit.set_cold(target, now);
                targets.insert(start, limit);
            }
        }
        self.count.store(targets.len(), Ordering::Relaxed);
    }

    /// Sets the rates of cold targets from the configuration.
    pub(crate) fn set_cold_rates(&self, routing: &Routing) {
        let mut rates = self.cold_rates.lock();
        let pools = routing.pools.values();
        *rates = pools.filter_map(|pool| Some((pool.name.clone(), pool.cold_per_s?))).collect();
        for limit in self.targets.lock().values_mut() {
            limit.cold_per_s = rates.get(&limit.pool).copied();
        }
    }
}
