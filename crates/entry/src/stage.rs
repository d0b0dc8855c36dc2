//! One stage of a request: selects a target, sends an attempt, and retries on another target where that is safe.

mod charge;
mod result;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use marigold_core::cost::Worth;
use marigold_core::deadline;
use marigold_core::digest;
use marigold_core::ids::Name;
use marigold_core::outcome::{NotRunCause, Outcome};
use marigold_core::rendezvous;
use marigold_core::router::{self, Candidate, ExpectedCompletion, Strategy as _};
use marigold_core::view::{Customer, PoolView, View};
use marigold_schema::messages::Call;

use charge::{Charge, ShareGuard};
pub(crate) use result::{FailureKind, StageDone, StageFailed};

use crate::attempt::{self, AttemptResult};
use crate::keyed_call::{self, Key, KeyedResult};
use crate::state::{PoolState, Shared};
use crate::targets::TargetHandle;

const MAX_ATTEMPTS: usize = 4;
/// Lowest HTTP status of an answer that counts as a failure of an idempotent stage.
const MIN_SERVER_ERROR_STATUS: u16 = 500;

/// Stage to run, with the data of its request.
pub(crate) struct StageRequest<'a> {
    pub(crate) shared: &'a Arc<Shared>,
    pub(crate) view: &'a View,
    pub(crate) pool: Arc<PoolView>,
    pub(crate) customer: &'a Customer,
    pub(crate) pipeline: &'a str,
    pub(crate) stage: &'a str,
    pub(crate) request: &'a str,
    pub(crate) path: &'a str,
    pub(crate) idempotent: bool,
    /// Idempotency key as sent by the caller, and digest of the caller's body.
    pub(crate) key: Option<(&'a str, &'a str)>,
    pub(crate) body: String,
    /// Prefix of the prompt; requests with the same prefix prefer the same target, which is likely to have it
    /// cached.
    pub(crate) prefix: Option<&'a str>,
    pub(crate) deadline: Duration,
    /// Lower estimate of the duration of the stages after this one.
    pub(crate) later_estimate: Duration,
    pub(crate) priority: u8,
    pub(crate) max_tokens: u32,
}

struct SelectedTarget {
    handle: Arc<TargetHandle>,
    load: u32,
    completion_time: Duration,
}

impl StageRequest<'_> {
    /// Runs the stage until it completes or fails.
    pub(crate) async fn run(
        &self,
        on_token: &mut (impl FnMut(String) + Send),
    ) -> Result<StageDone, StageFailed> {
        let pool_name = self.pool.name.as_str();
        let Some(pool) = self.shared.pool(pool_name) else {
            return Err(StageFailed::refused(FailureKind::NoTarget, "the pool is not known here"));
        };
        let (_, candidates) = self.candidates(&BTreeSet::new());
        if router::best_completion_time(&candidates)
            .is_some_and(|completion_time| !self.can_meet_deadline(completion_time))
        {
            return Err(StageFailed::refused(
                FailureKind::CannotMeetDeadline,
                "the deadline cannot be met any more",
            ));
        }
        if !pool.shares.lock().admit(&self.customer.name, self.customer.weight) {
            return Err(StageFailed::refused(
                FailureKind::ShareExceeded,
                "the pool is in full use and the customer's share is spent",
            ));
        }
        let _share = ShareGuard { pool: &pool, customer: &self.customer.name };
        let result = if self.idempotent {
            self.run_idempotent(&pool, on_token).await
        } else {
            self.run_non_idempotent().await
        };
        self.record_result(&pool, &result);
        result
    }

    fn time_left(&self) -> Duration {
        self.deadline.saturating_sub(self.shared.now())
    }

    fn can_meet_deadline(&self, completion_time: Duration) -> bool {
        deadline::can_meet_deadline(self.time_left(), completion_time, [self.later_estimate])
    }

    fn record_result(&self, pool: &PoolState, result: &Result<StageDone, StageFailed>) {
        let now = self.shared.now();
        match result {
            Ok(done) => {
                pool.durations.lock().record(done.duration, now);
                pool.retries.deposit(self.view.preset.retry_share);
                pool.shares.lock().on_success();
            }
            Err(failed) => {
                if matches!(failed.kind, FailureKind::NotRun(NotRunCause::Overloaded)) {
                    pool.shares.lock().on_overload(now);
                }
            }
        }
    }

    /// Returns the usable targets that are not in `tried`, and the routing data of each.
    fn candidates(&self, tried: &BTreeSet<Name>) -> (Vec<Arc<TargetHandle>>, Vec<Candidate>) {
        let now = self.shared.now();
        let targets = self.shared.targets.load();
        let of_pool = targets.values().filter(|handle| handle.pool == self.pool.name);
        let usable: Vec<Arc<TargetHandle>> = of_pool
            .filter(|handle| handle.is_usable(now) && !tried.contains(&handle.name))
            .cloned()
            .collect();
        let names = usable.iter().map(|handle| handle.name.as_str());
        let prefix_target =
            self.prefix.and_then(|prefix| names.max_by_key(|name| rendezvous::score(prefix, name)));
        let candidate = |handle: &Arc<TargetHandle>| Candidate {
            load: handle.load.snapshot(now),
            concurrency: self.pool.concurrency,
            round_trip: 2 * self.view.delay(&self.shared.settings.data_centre, &handle.data_centre),
            has_prefix: prefix_target == Some(handle.name.as_str()),
        };
        let candidates = usable.iter().map(candidate).collect();
        (usable, candidates)
    }

    fn select_target(&self, tried: &BTreeSet<Name>) -> Option<SelectedTarget> {
        let (handles, candidates) = self.candidates(tried);
        let index = ExpectedCompletion.pick(&candidates, &mut rand::rng())?;
        let completion_time =
            router::completion_time(&candidates[index], router::pool_service_time(&candidates));
        let load = candidates[index].load.total;
        Some(SelectedTarget { handle: handles[index].clone(), load, completion_time })
    }

    fn new_call(&self, handle: &TargetHandle, resume_from: u32) -> Call {
        Call {
            attempt: self.shared.new_attempt_id(),
            agent_incarnation: handle.report.load().as_ref().map_or(0, |report| report.incarnation),
            body: self.body_resuming_from(resume_from),
            resume_from,
            ..self.call_template()
        }
    }

    /// Returns the body of an attempt, with the index of the first token to send if a stream is resumed.
    fn body_resuming_from(&self, resume_from: u32) -> String {
        if resume_from == 0 {
            return self.body.clone();
        }
        let mut body: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["resume_from"] = resume_from.into();
        body.to_string()
    }

    fn new_charge(&self, target: &str) -> Charge<'_> {
        Charge { req: self, target: target.to_owned(), worth: Some(Worth::Cancelled), tokens: 0 }
    }

    async fn run_idempotent(
        &self,
        pool: &PoolState,
        on_token: &mut (impl FnMut(String) + Send),
    ) -> Result<StageDone, StageFailed> {
        let mut tried = BTreeSet::new();
        let mut text = String::new();
        let mut tokens = 0;
        let mut failed =
            StageFailed::refused(FailureKind::NoTarget, "no target of the pool takes work");
        let mut may_have_run = false;
        for attempt in 0..MAX_ATTEMPTS {
            let Some(selected) = self.select_target(&tried) else { break };
            if attempt > 0 && !self.can_meet_deadline(selected.completion_time) {
                break;
            }
            let handle = &selected.handle;
            let is_free_retry = matches!(failed.kind, FailureKind::NotRun(cause) if cause != NotRunCause::Overloaded);
            if attempt > 0 && !is_free_retry && !pool.retries.withdraw() {
                break;
            }
            let started = self.shared.now();
            let mut charge = self.new_charge(&handle.name);
            let first_token = tokens;
            let call = self.new_call(handle, tokens);
            let work = attempt::run(self.shared, handle, call, |index, token| {
                tokens = index + 1;
                text.push_str(&token);
                on_token(token);
            });
            let result = tokio::time::timeout(self.time_left(), work).await;
            charge.tokens = tokens - first_token;
            let now = self.shared.now();
            let outcome = match result {
                Ok(result) => result.outcome,
                Err(_) => {
                    charge.worth = Some(Worth::Late);
                    let duration = now.saturating_sub(started);
                    handle.load.on_timeout(duration, selected.load, self.pool.concurrency, now);
                    return Err(self.deadline_passed(handle));
                }
            };
            match outcome {
                Outcome::Done(answer) if answer.status < MIN_SERVER_ERROR_STATUS => {
                    charge.worth = Some(Worth::Useful);
                    let duration = now.saturating_sub(started);
                    handle.load.on_success(duration, selected.load, self.pool.concurrency, now);
                    return Ok(StageDone {
                        answer,
                        text,
                        target: handle.name.clone(),
                        duration,
                        replayed: false,
                    });
                }
                Outcome::NotRun { cause, retry_after } => {
                    charge.worth = None;
                    if cause != NotRunCause::Overloaded {
                        handle.heartbeat_now.notify_one();
                    }
                    if matches!(cause, NotRunCause::TargetRefused) {
                        handle.load.on_failure(now);
                    }
                    failed = StageFailed::not_run(cause, retry_after, &handle.name);
                }
                Outcome::Done(answer) => {
                    may_have_run = true;
                    charge.worth = Some(Worth::Retried);
                    handle.load.on_failure(now);
                    failed = StageFailed::unknown(
                        format!("the target answered with status {}", answer.status),
                        &handle.name,
                    );
                }
                Outcome::Unknown(reason) => {
                    may_have_run = true;
                    charge.worth = Some(Worth::Retried);
                    handle.load.on_failure(now);
                    failed = StageFailed::unknown(reason, &handle.name);
                }
                Outcome::KeyMismatch => {
                    return Err(StageFailed::unknown(
                        "the agent found a key".to_owned(),
                        &handle.name,
                    ));
                }
            }
            tried.insert(handle.name.clone());
        }
        failed.may_have_run |= may_have_run;
        Err(failed)
    }

    /// Runs a non-idempotent stage, which must not run twice. With a key, it runs at the holder of the licence for the
    /// key's shard.
    async fn run_non_idempotent(&self) -> Result<StageDone, StageFailed> {
        let Some((key, body_digest)) = self.key else { return self.run_unkeyed().await };
        let digest = digest::key(&self.customer.name, self.pipeline, self.stage, key);
        let shard = digest::shard(digest, self.pool.pool.key_shards.get());
        let key = Key { digest, shard, body_digest: body_digest.to_owned() };
        let started = self.shared.now();
        let template = self.call_template();
        let work = keyed_call::run(self.shared, &self.pool, &key, &template);
        match tokio::time::timeout(self.time_left(), work).await {
            Ok(KeyedResult::Attempted(result, target)) => {
                self.finish_non_idempotent(result, &target, started)
            }
            Ok(KeyedResult::NoHolder) => Err(StageFailed::refused(
                FailureKind::NoHolder,
                "the home of the key cannot be reached; this try did not run",
            )),
            Err(_) => Err(self.unknown_past_deadline("")),
        }
    }

    /// Returns a call for which no target is selected yet.
    fn call_template(&self) -> Call {
        Call {
            attempt: 0,
            request: self.request.to_owned(),
            stage: self.stage.to_owned(),
            agent_incarnation: 0,
            sender: self.shared.member.clone().into(),
            idempotent: self.idempotent,
            key: None,
            deadline_ms: self.time_left().as_millis() as u64,
            priority: self.priority,
            path: self.path.to_owned(),
            body: self.body.clone(),
            max_tokens: self.max_tokens,
            resume_from: 0,
        }
    }

    async fn run_unkeyed(&self) -> Result<StageDone, StageFailed> {
        let mut tried = BTreeSet::new();
        let mut failed =
            StageFailed::refused(FailureKind::NoTarget, "no target of the pool takes work");
        for _ in 0..MAX_ATTEMPTS {
            let Some(selected) = self.select_target(&tried) else { break };
            let started = self.shared.now();
            let work = attempt::run(
                self.shared,
                &selected.handle,
                self.new_call(&selected.handle, 0),
                |_, _| {},
            );
            let Ok(result) = tokio::time::timeout(self.time_left(), work).await else {
                return Err(self.unknown_past_deadline(&selected.handle.name));
            };
            let now = self.shared.now();
            let Outcome::NotRun { cause, retry_after } = result.outcome else {
                if matches!(result.outcome, Outcome::Done(_)) {
                    let duration = now.saturating_sub(started);
                    selected.handle.load.on_success(
                        duration,
                        selected.load,
                        self.pool.concurrency,
                        now,
                    );
                }
                return self.finish_non_idempotent(result, &selected.handle.name, started);
            };
            selected.handle.heartbeat_now.notify_one();
            failed = StageFailed::not_run(cause, retry_after, &selected.handle.name);
            tried.insert(selected.handle.name.clone());
        }
        Err(failed)
    }

    /// Converts the result of an attempt that must not be repeated into the result of the stage.
    fn finish_non_idempotent(
        &self,
        result: AttemptResult,
        target: &str,
        started: Duration,
    ) -> Result<StageDone, StageFailed> {
        let mut charge = self.new_charge(target);
        charge.worth = None;
        match result.outcome {
            Outcome::Done(answer) => {
                charge.worth = (!result.replayed).then_some(Worth::Useful);
                let duration = self.shared.now().saturating_sub(started);
                let (target, replayed) = (target.to_owned(), result.replayed);
                Ok(StageDone { answer, text: String::new(), target, duration, replayed })
            }
            Outcome::NotRun { cause, retry_after } => {
                Err(StageFailed::not_run(cause, retry_after, target))
            }
            Outcome::Unknown(reason) => {
                charge.worth = Some(Worth::Failed);
                Err(StageFailed::unknown(reason, target))
            }
            Outcome::KeyMismatch => Err(StageFailed {
                peer: target.to_owned(),
                ..StageFailed::refused(
                    FailureKind::KeyMismatch,
                    "the idempotency key was used before with another body",
                )
            }),
        }
    }

    /// Returns the failure for an attempt that must not be repeated and may still run after the deadline.
    fn unknown_past_deadline(&self, target: &str) -> StageFailed {
        let mut charge = self.new_charge(target);
        charge.worth = Some(Worth::Late);
        StageFailed::unknown("the deadline passed; the call may still run".to_owned(), target)
    }

    fn deadline_passed(&self, handle: &TargetHandle) -> StageFailed {
        StageFailed {
            kind: FailureKind::DeadlinePassed,
            may_have_run: true,
            peer: handle.name.clone(),
            detail: "the deadline passed".to_owned(),
            retry_after: result::DEFAULT_RETRY_AFTER,
        }
    }
}
