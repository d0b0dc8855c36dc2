//! Requests to pools whose targets have limits.

use std::collections::HashSet;

use marigold_core::ids::Name;
use marigold_core::target_limit;
use marigold_objects::Store;
use marigold_process::boottime;
use opentelemetry::KeyValue;

use super::Attempts;
use crate::dialect::Dialect;
use crate::limits::Demand;
use crate::response::Failure;

impl<D: Dialect, S: Store> Attempts<D, S> {
    pub(super) fn demand(&self) -> Demand<'_> {
        Demand { priority: self.priority(), customer: self.customer_name() }
    }

    /// Returns whether a target of the pool that has not been tried is in `held`.
    pub(super) fn is_pool_in(&self, held: &HashSet<Name>) -> bool {
        !held.is_empty()
            && self.shared.targets.in_pool(&self.pool).iter().any(|tracked| {
                held.contains(&tracked.target.id) && !self.tried.contains(&tracked.target.id)
            })
    }

    /// Refuses the request, before any work is done, while the limits of the pool's targets leave no request for it.
    ///
    /// # Errors
    /// A refusal.
    pub(crate) fn check_limits(&self) -> Result<(), Failure> {
        let now = boottime::now();
        let held = self.shared.limits.held(self.demand(), false, now);
        if self.is_pool_in(&held) && self.pick_target(now, &held).is_none() {
            return Err(self.limit_failure());
        }
        Ok(())
    }

    /// Returns the failure of a request for which the limits of the targets leave no place.
    pub(super) fn limit_failure(&self) -> Failure {
        if self.total_runs() > 0 {
            return self.no_target_failure();
        }
        let labels = [KeyValue::new("pool", self.pool.clone())];
        self.shared.metrics.limit_refusals.add(1, &labels);
        let time_left = self.deadline.saturating_sub(boottime::now());
        let retry_after = target_limit::retry_after(time_left, self.priority(), &mut rand::rng());
        Failure::refused("the targets take no more requests at present", retry_after)
    }
}
