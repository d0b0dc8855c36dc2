//! Requests while the gateway is being stopped: what cannot be done before it ends is refused.

use std::time::Duration;

use http::StatusCode;
use marigold_core::ids::Uptime;
use marigold_objects::Store;
use marigold_process::boottime;

use super::Attempts;
use crate::dialect::Dialect;
use crate::response::Failure;
use crate::stop::Work;

impl<D: Dialect, S: Store> Attempts<D, S> {
    /// Returns the work of a target that is sent the request. What has begun is retried as long as there is time: it cannot be
    /// refused any more.
    pub(super) fn work_at_target(&self) -> Work {
        let duration = if self.total_runs() > 0 {
            Duration::ZERO
        } else {
            self.shared.durations.estimate_response(&self.route)
        };
        Work { duration, deadline: self.deadline, is_stream: false }
    }

    /// Records that the answer to a request that was sent at a time is complete.
    pub(crate) fn observe_response(&self, sent_at: Uptime) {
        let duration = boottime::now().saturating_sub(sent_at);
        self.shared.durations.observe_response(&self.route.name, duration);
    }

    /// Checks whether a request that has not begun can be done before the gateway ends.
    ///
    /// # Errors
    /// A refusal.
    pub(crate) fn check_stop(&self) -> Result<(), Failure> {
        if !self.shared.is_stopping() {
            return Ok(());
        }
        let stages = self.stage_runner(self.arrived).estimate_stages(&self.shared);
        let at_target = self.work_at_target();
        let duration = stages + at_target.duration;
        self.check_work(&Work { duration, is_stream: self.route.streams, ..at_target })
    }

    /// Checks whether a target that is sent the request now would answer before the gateway ends.
    ///
    /// # Errors
    /// [`Self::stop_failure`].
    pub(super) fn check_sending(&self) -> Result<(), Failure> {
        self.check_work(&self.work_at_target())
    }

    fn check_work(&self, work: &Work) -> Result<(), Failure> {
        if self.shared.stop.is_too_late_for(work) { Err(self.stop_failure()) } else { Ok(()) }
    }

    /// Returns the failure of a request that is given up because the gateway ends; a refusal if it has not run.
    pub(crate) fn stop_failure(&self) -> Failure {
        if self.total_runs() > 0 {
            let reason = "the target did not answer before the end of the gateway";
            return Failure::new(StatusCode::GATEWAY_TIMEOUT, reason);
        }
        Failure::stopping()
    }
}
