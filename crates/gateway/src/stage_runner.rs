//! Runs the stages of a request in the order of their dependencies, and frees each result after its last use.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use marigold_core::duration_estimate::DurationEstimate;
use marigold_core::ids::{Name, Uptime};
use marigold_core::routes::{Route, Routing, StagePool};
use marigold_core::stage_plan::{Plan, Progress};
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages::{PieceFailure, RunStage, StageDone};
use opentelemetry::KeyValue;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time;

use crate::dialect::{CallerHead, Dialect};
use crate::peers;
use crate::shared::Shared;

/// Time from the end of the last stage to the first event of an idle target, including the network. Used until the
/// route has samples of its own.
const DEFAULT_FIRST_EVENT_TIME: Duration = Duration::from_millis(250);
/// Time for which results are collected before they are released together.
const RELEASE_INTERVAL: Duration = Duration::from_millis(10);
/// Transfer size from which a stage prefers the data centre of its data. At the prices of the deployments, a larger
/// transfer between data centres costs more than a short wait.
const LARGE_TRANSFER_BYTES: u64 = 1_000_000;
/// Time past the due time up to which the duration of a stage counts as a sample. A piece that is later was queued
/// behind those that were on time. Comparable to the duration of one call.
const MAX_SAMPLE_OVERRUN: Duration = Duration::from_millis(300);
/// Maximum number of restarts from the first stage after a result was lost.
const MAX_RESTARTS: u32 = 1;

/// Results to free, by pool.
#[derive(Default)]
pub(crate) struct ReleaseQueue {
    pending: Mutex<HashMap<Name, Vec<String>>>,
    added: Notify,
}

impl ReleaseQueue {
    fn add(&self, pool: Name, handles: Vec<String>) {
        if !handles.is_empty() {
            self.pending.lock().entry(pool).or_default().extend(handles);
            self.added.notify_one();
        }
    }
}

/// Releases the queued results through the owners of their pools, until the process ends.
pub(crate) async fn release_forever<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    loop {
        shared.release_queue.added.notified().await;
        time::sleep(RELEASE_INTERVAL).await;
        let pending = std::mem::take(&mut *shared.release_queue.pending.lock());
        for (pool, handles) in pending {
            peers::release(&shared, pool, handles).await;
        }
    }
}

/// Results of the stages of a request; they are freed when this is dropped.
pub(crate) struct Results<D: Dialect, S: Store> {
    shared: Arc<Shared<D, S>>,
    pools: Vec<Name>,
    by_stage: Vec<Vec<String>>,
    /// When the first result of each stage expires at its target.
    expires: Vec<Option<Uptime>>,
}

impl<D: Dialect, S: Store> Results<D, S> {
    fn new(shared: &Arc<Shared<D, S>>, route: &Route) -> Self {
        let pools: Vec<Name> = route.stages.iter().map(|stage| stage.pool.clone()).collect();
        let by_stage = vec![Vec::new(); pools.len()];
        let expires = vec![None; pools.len()];
        Self { shared: shared.clone(), pools, by_stage, expires }
    }

    fn free(&mut self, stage: usize) {
        let handles = std::mem::take(&mut self.by_stage[stage]);
        self.shared.release_queue.add(self.pools[stage].clone(), handles);
    }

    /// Returns the handles of all results of the given stages.
    pub(crate) fn handles(&self, stages: impl IntoIterator<Item = usize>) -> Vec<String> {
        stages.into_iter().flat_map(|stage| self.by_stage[stage].iter().cloned()).collect()
    }
}

impl<D: Dialect, S: Store> Drop for Results<D, S> {
    fn drop(&mut self) {
        for stage in 0..self.pools.len() {
            self.free(stage);
        }
    }
}

/// Runs the stages of one request.
pub(crate) struct StageRunner<'a> {
    pub(crate) routing: &'a Routing,
    pub(crate) route: &'a Route,
    pub(crate) head: &'a CallerHead,
    pub(crate) priority: u8,
    /// When the request arrived or was restarted; the latency objective counts from then.
    pub(crate) since: Uptime,
    pub(crate) deadline: Uptime,
    /// Data centre of the target that the request is likely to run on.
    pub(crate) target_data_centre: Option<Name>,
}

impl StageRunner<'_> {
    fn pieces(&self, stage: usize) -> u32 {
        self.head.pieces.get(stage).copied().unwrap_or(0)
    }

    /// Returns the stages with pieces that depend on a stage.
    fn dependents(&self, stage: usize) -> impl Iterator<Item = usize> {
        (0..self.route.stages.len()).filter(move |next| {
            self.route.stages[*next].after.contains(&stage) && self.pieces(*next) > 0
        })
    }

    /// Estimates the time from the end of a stage to the first event.
    fn time_after<D: Dialect, S: Store>(
        &self,
        shared: &Shared<D, S>,
        stage: usize,
    ) -> DurationEstimate {
        let longest = self.dependents(stage).map(|next| self.time_from(shared, next)).max();
        longest.unwrap_or_else(|| {
            shared.durations.estimate_first_event(
                &self.route.name,
                DEFAULT_FIRST_EVENT_TIME,
                boottime::now(),
            )
        })
    }

    /// Estimates the time from the start of a stage to the first event.
    fn time_from<D: Dialect, S: Store>(
        &self,
        shared: &Shared<D, S>,
        stage: usize,
    ) -> DurationEstimate {
        self.estimate(shared, stage, boottime::now()).then(self.time_after(shared, stage))
    }

    /// Estimates the duration of a stage, including queueing.
    fn estimate<D: Dialect, S: Store>(
        &self,
        shared: &Shared<D, S>,
        stage: usize,
        now: Uptime,
    ) -> DurationEstimate {
        let pool = &self.route.stages[stage].pool;
        shared.durations.estimate_stage(pool, self.priority, self.unloaded_duration(stage), now)
    }

    /// Returns two estimates of the time from arrival to the first event: at the current load, and without queueing.
    /// Returns `None` for a request without stages.
    pub(crate) fn estimate_first_event<D: Dialect, S: Store>(
        &self,
        shared: &Shared<D, S>,
    ) -> Option<(Duration, Duration)> {
        let stages = self.route.stages.iter().enumerate();
        let first_stages =
            stages.filter(|(index, stage)| stage.after.is_empty() && self.pieces(*index) > 0);
        let first_stages: Vec<usize> = first_stages.map(|(index, _)| index).collect();
        let expected =
            first_stages.iter().map(|stage| self.time_from(shared, *stage).mean).max()?;
        let unloaded = first_stages.iter().map(|stage| self.unloaded_from(*stage)).max()?;
        Some((expected, unloaded))
    }

    /// Estimates the time from arrival to the end of the last stage, at the current load.
    pub(crate) fn estimate_stages<D: Dialect, S: Store>(&self, shared: &Shared<D, S>) -> Duration {
        let Some((first_event, _)) = self.estimate_first_event(shared) else {
            return Duration::ZERO;
        };
        let (route, now) = (&self.route.name, boottime::now());
        let answer = shared.durations.estimate_first_event(route, DEFAULT_FIRST_EVENT_TIME, now);
        first_event.saturating_sub(answer.mean)
    }

    /// Returns the time from the start of a stage to the first event without queueing.
    fn unloaded_from(&self, stage: usize) -> Duration {
        let after = self.dependents(stage).map(|next| self.unloaded_from(next)).max();
        self.unloaded_duration(stage) + after.unwrap_or(DEFAULT_FIRST_EVENT_TIME)
    }

    fn spec(&self, stage: usize) -> Option<&StagePool> {
        self.routing.pools.get(&self.route.stages[stage].pool)?.stage.as_ref()
    }

    /// Returns the duration of a stage without queueing.
    fn unloaded_duration(&self, stage: usize) -> Duration {
        self.spec(stage).map_or(Duration::ZERO, |spec| spec.duration(spec.max_pieces / 2))
    }

    /// Returns the data centre of the inputs of a stage, or of the target that needs its results, if these are large.
    fn preferred_data_centre<D: Dialect, S: Store>(
        &self,
        shared: &Shared<D, S>,
        stage: usize,
        inputs: &[String],
    ) -> Option<Name> {
        let declared = &self.route.stages[stage];
        let pieces = u64::from(self.pieces(stage));
        let input_bytes: u64 = declared
            .after
            .iter()
            .map(|needed| {
                let result_bytes = self.route.stages[*needed].result_bytes;
                result_bytes.saturating_mul(self.pieces(*needed).into())
            })
            .fold(0, u64::saturating_add);
        if input_bytes.saturating_mul(pieces) >= LARGE_TRANSFER_BYTES {
            return most_frequent(inputs.iter().filter_map(|handle| {
                shared
                    .targets
                    .at_addr(D::result_addr(handle)?)
                    .map(|tracked| tracked.target.data_centre.clone())
            }));
        }
        let is_last = self.route.last_stages().any(|last| last == stage);
        (is_last && declared.result_bytes.saturating_mul(pieces) >= LARGE_TRANSFER_BYTES)
            .then(|| self.target_data_centre.clone())
            .flatten()
    }

    fn build_request<D: Dialect, S: Store>(
        &self,
        shared: &Shared<D, S>,
        stage: usize,
        results: &Results<D, S>,
    ) -> RunStage {
        let now = boottime::now();
        let after = self.time_after(shared, stage).upper;
        let due = (self.since + self.route.latency_objective).saturating_sub(after);
        let declared = &self.route.stages[stage];
        let expires = declared.after.iter().filter_map(|needed| results.expires[*needed]);
        let until = expires.chain([self.deadline.saturating_sub(after)]).min();
        let time_left = until.map_or(Duration::ZERO, |until| until.saturating_sub(now));
        let inputs = results.handles(declared.after.iter().copied());
        RunStage {
            pool: declared.pool.clone(),
            request: self.head.request.clone(),
            stage: stage as u32,
            pieces: self.pieces(stage),
            key: declared.after.is_empty().then(|| self.head.piece_key.clone()).flatten(),
            result_bytes: declared.result_bytes,
            left_ms: time_left.as_millis() as u64,
            due_ms: due.as_millis() as i64 - now.as_millis() as i64,
            priority: self.priority,
            near: self.preferred_data_centre(shared, stage, &inputs),
            inputs,
        }
    }

    /// Runs all stages and returns the results of the last ones. The other results are freed as soon as the stages that
    /// depend on them are done.
    ///
    /// # Errors
    /// Returns the reason why a stage has no results.
    pub(crate) async fn run<D: Dialect, S: Store>(
        mut self,
        shared: &Arc<Shared<D, S>>,
    ) -> Result<Results<D, S>, PieceFailure> {
        let mut restarts = 0;
        loop {
            match self.run_once(shared).await {
                Err(PieceFailure::InputGone) if restarts < MAX_RESTARTS => {
                    restarts += 1;
                    // If the objective still counted from the arrival, the restarted pieces would be late at once and
                    // refused, and the work done so far would be lost.
                    self.since = boottime::now();
                }
                result => return result,
            }
        }
    }

    /// Returns the stages to start immediately, and the time until the next delayed stage starts.
    fn stages_to_start<D: Dialect, S: Store>(
        &self,
        shared: &Shared<D, S>,
        progress: &[Progress],
    ) -> (Vec<usize>, Option<Duration>) {
        let now = boottime::now();
        let stages = &self.route.stages;
        let estimates: Vec<DurationEstimate> =
            (0..stages.len()).map(|stage| self.estimate(shared, stage, now)).collect();
        let plan = Plan { stages, estimates: &estimates, progress };
        let is_startable = |stage: &usize| {
            let mut needed = stages[*stage].after.iter();
            progress[*stage] == Progress::Waiting
                && needed.all(|needed| progress[*needed] == Progress::Done)
        };
        let startable = (0..stages.len()).filter(is_startable);
        let (ready, later): (Vec<_>, Vec<_>) = startable
            .map(|stage| (stage, plan.start_delay(stage, now)))
            .partition(|(_, delay)| delay.is_zero());
        let next_start = later.into_iter().map(|(_, delay)| delay).min();
        (ready.into_iter().map(|(stage, _)| stage).collect(), next_start)
    }

    async fn run_once<D: Dialect, S: Store>(
        &self,
        shared: &Arc<Shared<D, S>>,
    ) -> Result<Results<D, S>, PieceFailure> {
        let count = self.route.stages.len();
        let mut results = Results::new(shared, self.route);
        let mut progress: Vec<Progress> = (0..count)
            .map(|stage| if self.pieces(stage) == 0 { Progress::Done } else { Progress::Waiting })
            .collect();
        let mut running = FuturesUnordered::new();
        loop {
            let (ready, next_start) = self.stages_to_start(shared, &progress);
            for stage in ready {
                progress[stage] = Progress::Running(boottime::now());
                let req = self.build_request(shared, stage, &results);
                running.push(async move { (stage, self.run_stage(shared, req).await) });
            }
            if running.is_empty() {
                return Ok(results);
            }
            let next = time::timeout(next_start.unwrap_or(Duration::MAX), running.next()).await;
            let Ok(Some((stage, done))) = next else { continue };
            if let Some(failure) = done.failure {
                results.by_stage[stage] = done.handles;
                return Err(failure);
            }
            results.by_stage[stage] = done.handles;
            results.expires[stage] = self.spec(stage).map(|spec| {
                (boottime::now() + spec.result_retention)
                    .saturating_sub(Duration::from_millis(done.age_ms))
            });
            progress[stage] = Progress::Done;
            for needed in self.route.stages[stage].after.clone() {
                let is_needed = (0..count).any(|next| {
                    progress[next] != Progress::Done
                        && self.route.stages[next].after.contains(&needed)
                });
                if !is_needed {
                    results.free(needed);
                }
            }
        }
    }

    async fn run_stage<D: Dialect, S: Store>(
        &self,
        shared: &Arc<Shared<D, S>>,
        req: RunStage,
    ) -> StageDone {
        let started = boottime::now();
        let (pool, priority, due_ms) = (req.pool.clone(), req.priority, req.due_ms);
        let done = peers::run_stage(shared, req).await;
        let now = boottime::now();
        let duration = now.saturating_sub(started);
        let labels = [KeyValue::new("pool", pool.clone())];
        shared.metrics.stage_seconds.record(duration.as_secs_f64(), &labels);
        // Late pieces get only the capacity that pieces on time leave, so their durations say nothing about a piece
        // that is on time.
        if let Ok(due_ms @ 1..) = u64::try_from(due_ms)
            && matches!(done.failure, None | Some(PieceFailure::Overloaded))
        {
            let sample = duration.min(Duration::from_millis(due_ms) + MAX_SAMPLE_OVERRUN);
            shared.durations.observe_stage(pool, priority, sample, now);
        }
        done
    }
}

fn most_frequent(names: impl Iterator<Item = Name>) -> Option<Name> {
    let mut counts: BTreeMap<Name, usize> = BTreeMap::new();
    for name in names {
        *counts.entry(name).or_default() += 1;
    }
    counts.into_iter().max_by_key(|(_, count)| *count).map(|(name, _)| name)
}
