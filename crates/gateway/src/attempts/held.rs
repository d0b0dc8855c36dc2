//! Requests to pools whose targets leave or have asked for a pause.

use std::sync::Arc;
use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::target_limit;
use marigold_objects::Store;
use marigold_process::boottime;

use super::Attempts;
use crate::dialect::Dialect;
use crate::response::Failure;
use crate::targets::TrackedTarget;

impl<D: Dialect, S: Store> Attempts<D, S> {
    /// Refuses the request, before any work is done, while no target of its pool takes requests.
    ///
    /// # Errors
    /// A refusal.
    pub(crate) fn check_targets(&self) -> Result<(), Failure> {
        let (targets, now) = (self.shared.targets.in_pool(&self.pool), boottime::now());
        if targets.is_empty() {
            return Err(self.no_target_failure());
        }
        match self.all_held_until(&targets, now) {
            Some(until) => Err(self.hold_failure(until.saturating_sub(now))),
            None => Ok(()),
        }
    }

    /// Returns the earliest end of the pauses of those `targets` of the pool that have not been tried, if all of them want one.
    pub(super) fn all_held_until(
        &self,
        targets: &[Arc<TrackedTarget>],
        now: Uptime,
    ) -> Option<Uptime> {
        let untried = targets.iter().filter(|tracked| !self.tried.contains(&tracked.target.id));
        let ends: Option<Vec<Uptime>> = untried.map(|tracked| tracked.hold.until(now)).collect();
        ends?.into_iter().min()
    }

    /// Returns the failure of a request whose targets all want a pause, which ends after `wait` at the earliest.
    pub(super) fn hold_failure(&self, wait: Duration) -> Failure {
        if self.total_runs() > 0 {
            return self.no_target_failure();
        }
        let time_left = self.deadline.saturating_sub(boottime::now()).saturating_sub(wait);
        let spread = target_limit::retry_after(time_left, self.priority(), &mut rand::rng());
        Failure::refused("all targets have asked for a pause", wait + spread)
    }
}
