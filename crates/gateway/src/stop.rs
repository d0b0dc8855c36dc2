//! Stop of the gateway: whether it has begun, and waiting for its time limits.

use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::stop::Stop;
use marigold_process::boottime;
use tokio::sync::watch;
use tokio::time;

/// Time after which the clock is read again.
const MAX_SLEEP: Duration = Duration::from_millis(250);

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

    /// Returns whether work that takes `duration`, but ends at `deadline` at the latest, would end too late if it started now.
    pub(crate) fn is_too_late_for(&self, duration: Duration, deadline: Uptime) -> bool {
        self.0.borrow().is_some_and(|stop| {
            deadline > stop.answer_by && stop.slack(duration, boottime::now()).is_zero()
        })
    }

    /// Waits until work that ends at `deadline` at the latest, and otherwise takes what `duration` returns once the stop has
    /// begun, would end too late if it started then; without a stop, for ever.
    pub(crate) async fn too_late_for(&self, duration: impl FnOnce() -> Duration, deadline: Uptime) {
        let stop = self.begun().await;
        if deadline <= stop.answer_by {
            return std::future::pending().await;
        }
        sleep_until(stop.answer_by.saturating_sub(duration())).await;
    }

    /// Waits until every request has to have an answer.
    pub(crate) async fn out_of_time(&self) {
        let stop = self.begun().await;
        sleep_until(stop.answer_by).await;
    }

    async fn begun(&self) -> Stop {
        let mut stop = self.0.subscribe();
        let begun = stop.wait_for(Option::is_some).await;
        match begun.ok().and_then(|stop| *stop) {
            Some(stop) => stop,
            // The sender is a field of `self`, so this is not reached.
            None => std::future::pending().await,
        }
    }
}

/// Timers stand still while the VM is suspended, but the stop time goes on.
async fn sleep_until(at: Uptime) {
    loop {
        let left = at.saturating_sub(boottime::now());
        if left.is_zero() {
            return;
        }
        time::sleep(left.min(MAX_SLEEP)).await;
    }
}
