//! When the stages of a request are started.
//!
//! Results take up memory of the target that made them until the request itself has begun. Where stages are the
//! shorter of two ways to the request, they are started as late as the longer way allows, so that their results, which
//! are the largest of the deployments, do not wait for it.

use std::time::Duration;

use crate::duration_estimate::DurationEstimate;
use crate::ids::Uptime;
use crate::routes::Stage;

/// Time by which such a stage is to be done before the longer way is. A late start delays the whole request, an early
/// one costs memory for a while. About the deviation of a stage's duration on the deployments.
const MARGIN: Duration = Duration::from_millis(150);

/// How far a stage is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It has not been started.
    Waiting,
    /// It was started at this time.
    Running(Uptime),
    /// Its results are there, or it is left out.
    Done,
}

/// A request's stages, how long each is expected to take, and how far each is.
#[derive(Clone, Copy, Debug)]
pub struct Plan<'a> {
    /// The stages of the route.
    pub stages: &'a [Stage],
    /// Expected duration of each.
    pub estimates: &'a [DurationEstimate],
    /// Progress of each.
    pub progress: &'a [Progress],
}

impl Plan<'_> {
    /// Time by which a stage that could start now is put off; zero for one that others wait for.
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

    /// Expected time until a stage is done.
    fn time_until_done(&self, stage: usize, now: Uptime) -> Duration {
        let own = self.estimates[stage].mean;
        match self.progress[stage] {
            Progress::Done => Duration::ZERO,
            Progress::Running(since) => own.saturating_sub(now.saturating_sub(since)),
            Progress::Waiting => {
                let needed = self.stages[stage].after.iter();
                own + needed
                    .map(|needed| self.time_until_done(*needed, now))
                    .max()
                    .unwrap_or_default()
            }
        }
    }
}
