//! Stop of the gateway: whether it has begun, and waiting for its time limits.

use std::time::Duration;

use marigold_core::stop::Stop;
use marigold_process::boottime;
use tokio::sync::watch;
use tokio::time;

/// Handle of the stop; nothing has been asked to stop at first.
pub(crate) struct StopSignal(watch::Sender<Option<Stop>>);

impl Default for StopSignal {
    fn default() -> Self {
        Self(watch::Sender::new(None))
    }
}

impl StopSignal {
    /// Begins the stop.
    pub(crate) fn begin(&self, stop: Stop) {
        self.0.send_replace(Some(stop));
    }

    /// Returns whether the stop has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.0.borrow().is_some()
    }

    /// Returns whether work that takes `duration` would end too late if it started now.
    pub(crate) fn is_too_late_for(&self, duration: Duration) -> bool {
        self.0.borrow().is_some_and(|stop| stop.slack(duration, boottime::now()).is_zero())
    }

    /// Waits until work that takes `duration` would end too late if it started then; without a stop, for ever.
    pub(crate) async fn too_late_for(&self, duration: Duration) {
        let mut stop = self.0.subscribe();
        let stop = stop.wait_for(Option::is_some).await;
        // The sender is a field of `self`, so this does not fail.
        let Some(stop) = stop.ok().and_then(|stop| *stop) else {
            return std::future::pending().await;
        };
        time::sleep(stop.slack(duration, boottime::now())).await;
    }

    /// Waits until every request has to have an answer.
    pub(crate) async fn out_of_time(&self) {
        self.too_late_for(Duration::ZERO).await;
    }
}
