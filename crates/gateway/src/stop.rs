//! Stop of the gateway: whether it has begun, and waiting for its time limits.

use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::stop::Stop;
use marigold_process::boottime;
use tokio::sync::watch;
use tokio::time;

/// Time after which the clock is read again.
const MAX_SLEEP: Duration = Duration::from_millis(250);

/// Work of a request that has not begun at a target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    /// Upper estimate of the time that it takes.
    pub(crate) duration: Duration,
    /// When it ends at the latest.
    pub(crate) deadline: Uptime,
    /// Whether its answer is a stream.
    pub(crate) is_stream: bool,
}

impl Work {
    fn latest_start(&self, stop: &Stop) -> Uptime {
        if self.deadline <= stop.answer_by {
            return Uptime::MAX;
        }
        let start = stop.answer_by.saturating_sub(self.duration);
        if self.is_stream { start.min(stop.last_stream) } else { start }
    }
}

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

    /// Returns whether work would end too late if it started now.
    pub(crate) fn is_too_late_for(&self, work: &Work) -> bool {
        self.0.borrow().is_some_and(|stop| boottime::now() >= work.latest_start(&stop))
    }

    /// Waits until work would end too late if it started then; without a stop, for ever. `work` is called once the stop has
    /// begun.
    pub(crate) async fn too_late_for(&self, work: impl FnOnce() -> Work) {
        let stop = self.begun().await;
        sleep_until(work().latest_start(&stop)).await;
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
