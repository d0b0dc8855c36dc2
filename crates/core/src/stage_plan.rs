//! Start times of the stages of a request.
//!
//! A result occupies memory of the target that produced it until the request itself starts. Stages off the critical
//! path are therefore started as late as the critical path allows. On the deployments, their results are the largest.

use std::time::Duration;

use crate::duration_estimate::DurationEstimate;
use crate::ids::Uptime;
use crate::routes::Stage;

/// Time before the end of the critical path at which a delayed stage should complete. A late start delays the whole
/// request, while an early one only occupies memory. Covers the deviation of a stage's duration on the deployments.
const MARGIN: Duration = Duration::from_millis(150);

/// Progress of a stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Not started.
    Waiting,
    /// Started at this time.
    Running(Uptime),
    /// Completed, or skipped because it has no pieces.
    Done,
}

/// The stages of a request, with the estimated duration and the progress of each.
#[derive(Clone, Copy, Debug)]
pub struct Plan<'a> {
    /// The stages of the route.
    pub stages: &'a [Stage],
    /// Estimated duration of each stage.
    pub estimates: &'a [DurationEstimate],
    /// Progress of each stage.
    pub progress: &'a [Progress],
}

impl Plan<'_> {
    /// Returns the time by which to delay a stage that could start now; zero for one that other stages depend on.
    pub fn start_delay(&self, stage: usize, now: Uptime) -> Duration {
        let is_needed = |other: usize| {
            self.progress[other] != Progress::Done && self.stages[other].after.contains(&stage)
        };
        if (0..self.stages.len()).any(is_needed) {
            return Duration::ZERO;
        }
        let others = (0..self.stages.len()).filter(|other| *other != stage);
        let longest =
            others.map(|other| self.time_until_done(other, now)).max().unwrap_or_default();
        longest.saturating_sub(self.estimates[stage].upper + MARGIN)
    }

    /// Returns the expected time until a stage is done.
    fn time_until_done(&self, stage: usize, now: Uptime) -> Duration {
        let duration = self.estimates[stage].mean;
        match self.progress[stage] {
            Progress::Done => Duration::ZERO,
            Progress::Running(since) => duration.saturating_sub(now.saturating_sub(since)),
            Progress::Waiting => {
                let dependencies = self.stages[stage].after.iter();
                duration
                    + dependencies
                        .map(|dependency| self.time_until_done(*dependency, now))
                        .max()
                        .unwrap_or_default()
            }
        }
    }
}
