//! One stage of a request: a target is chosen, tried and, where that is safe, replaced by another.

mod charge;
mod ends;

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

use charge::{Charge, Share};
pub(crate) use ends::{FailureKind, StageDone, StageFailed};

use crate::attempt::{self, Ended};
use crate::keyed_call::{self, Key, KeyedEnd};
use crate::state::{PoolState, Shared};
use crate::targets::TargetHandle;

/// Attempts of one stage at the most.
const MAX_ATTEMPTS: usize = 4;
/// Status from which an idempotent stage's answer counts as a failure.
const SERVER_ERROR: u16 = 500;

/// What a stage needs to know of its request.
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
    /// Key in the caller's words and digest of the caller's body.
    pub(crate) key: Option<(&'a str, &'a str)>,
    pub(crate) body: String,
    /// Text whose cached prefix is worth a choice of target.
    pub(crate) prefix: Option<&'a str>,
    pub(crate) deadline: Duration,
    /// Likely need of the stages after this one.
    pub(crate) need_after: Duration,
    pub(crate) priority: u8,
    pub(crate) max_tokens: u32,
}

struct Chosen {
    handle: Arc<TargetHandle>,
    load: u32,
    expected: Duration,
}

impl StageRequest<'_> {
    /// Runs the stage to its end.
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
            .is_some_and(|expected| !self.can_make_it(expected))
        {
            return Err(StageFailed::refused(
                FailureKind::TooLate,
                "the deadline cannot be met any more",
            ));
        }
        if !pool.shares.lock().admit(&self.customer.name, self.customer.weight) {
            return Err(StageFailed::refused(
                FailureKind::Share,
                "the pool is in full use and the customer's share is spent",
            ));
        }
        let _share = Share { pool: &pool, customer: &self.customer.name };
        let ended = if self.idempotent {
            self.run_idempotent(&pool, on_token).await
        } else {
            self.run_once().await
        };
        self.learn(&pool, &ended);
        ended
    }

    fn left(&self) -> Duration {
        self.deadline.saturating_sub(self.shared.now())
    }

    fn can_make_it(&self, expected: Duration) -> bool {
        deadline::can_meet_deadline(self.left(), expected, [self.need_after])
    }

    fn learn(&self, pool: &PoolState, ended: &Result<StageDone, StageFailed>) {
        let now = self.shared.now();
        match ended {
            Ok(done) => {
                pool.clock.lock().record(done.duration, now);
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

    /// Usable targets that have not failed this stage before, and what routing knows of them.
    fn candidates(&self, tried: &BTreeSet<Name>) -> (Vec<Arc<TargetHandle>>, Vec<Candidate>) {
        let now = self.shared.now();
        let targets = self.shared.targets.load();
        let of_pool = targets.values().filter(|handle| handle.pool == self.pool.name);
        let usable: Vec<Arc<TargetHandle>> = of_pool
            .filter(|handle| handle.is_usable(now) && !tried.contains(&handle.name))
            .cloned()
            .collect();
        let names = usable.iter().map(|handle| handle.name.as_str());
        let prefix_home =
            self.prefix.and_then(|prefix| names.max_by_key(|name| rendezvous::score(prefix, name)));
        let candidate = |handle: &Arc<TargetHandle>| Candidate {
            load: handle.load.snapshot(now),
            concurrency: self.pool.concurrency,
            round_trip: 2 * self.view.delay(&self.shared.settings.data_centre, &handle.data_centre),
            has_prefix: prefix_home == Some(handle.name.as_str()),
        };
        let candidates = usable.iter().map(candidate).collect();
        (usable, candidates)
    }

    fn choose(&self, tried: &BTreeSet<Name>) -> Option<Chosen> {
        let (handles, candidates) = self.candidates(tried);
        let picked = ExpectedCompletion.pick(&candidates, &mut rand::rng())?;
        let expected =
            router::completion_time(&candidates[picked], router::pool_service_time(&candidates));
        let load = candidates[picked].load.total;
        Some(Chosen { handle: handles[picked].clone(), load, expected })
    }

    fn call(&self, handle: &TargetHandle, resume_from: u32) -> Call {
        Call {
            attempt: self.shared.new_attempt_id(),
            agent_incarnation: handle.report.load().as_ref().map_or(0, |report| report.incarnation),
            body: self.body_from(resume_from),
            resume_from,
            ..self.template()
        }
    }

    /// The body with what only an attempt knows.
    fn body_from(&self, resume_from: u32) -> String {
        if resume_from == 0 {
            return self.body.clone();
        }
        let mut body: serde_json::Value = serde_json::from_str(&self.body).unwrap_or_default();
        body["resume_from"] = resume_from.into();
        body.to_string()
    }

    fn charge(&self, target: &str) -> Charge<'_> {
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
            let Some(chosen) = self.choose(&tried) else { break };
            if attempt > 0 && !self.can_make_it(chosen.expected) {
                break;
            }
            let handle = &chosen.handle;
            let is_free_retry = matches!(failed.kind, FailureKind::NotRun(cause) if cause != NotRunCause::Overloaded);
            if attempt > 0 && !is_free_retry && !pool.retries.withdraw() {
                break;
            }
            let started = self.shared.now();
            let mut charge = self.charge(&handle.name);
            let first = tokens;
            let call = self.call(handle, tokens);
            let work = attempt::run(self.shared, handle, call, |index, token| {
                tokens = index + 1;
                text.push_str(&token);
                on_token(token);
            });
            let ended = tokio::time::timeout(self.left(), work).await;
            charge.tokens = tokens - first;
            let now = self.shared.now();
            let outcome = match ended {
                Ok(ended) => ended.outcome,
                Err(_) => {
                    charge.worth = Some(Worth::Late);
                    let duration = now.saturating_sub(started);
                    handle.load.on_timeout(duration, chosen.load, self.pool.concurrency, now);
                    return Err(self.deadline_passed(handle));
                }
            };
            match outcome {
                Outcome::Done(answer) if answer.status < SERVER_ERROR => {
                    charge.worth = Some(Worth::Useful);
                    let duration = now.saturating_sub(started);
                    handle.load.on_success(duration, chosen.load, self.pool.concurrency, now);
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
                        handle.beat_now.notify_one();
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

    /// Runs a stage that must not run twice.
    async fn run_once(&self) -> Result<StageDone, StageFailed> {
        let Some((key, body_digest)) = self.key else { return self.run_unkeyed().await };
        let digest = digest::key(&self.customer.name, self.pipeline, self.stage, key);
        let shard = digest::shard(digest, self.pool.pool.key_shards.get());
        let key = Key { digest, shard, body_digest: body_digest.to_owned() };
        let started = self.shared.now();
        let template = self.template();
        let work = keyed_call::run(self.shared, &self.pool, &key, &template);
        match tokio::time::timeout(self.left(), work).await {
            Ok(KeyedEnd::Home(ended, target)) => self.end_once(ended, &target, started),
            Ok(KeyedEnd::NoHome) => Err(StageFailed::refused(
                FailureKind::NoHome,
                "the home of the key cannot be reached; this try did not run",
            )),
            Err(_) => Err(self.deadline_unknown("")),
        }
    }

    /// A call that no target was chosen for yet.
    fn template(&self) -> Call {
        Call {
            attempt: 0,
            request: self.request.to_owned(),
            stage: self.stage.to_owned(),
            agent_incarnation: 0,
            sender: self.shared.member.clone().into(),
            idempotent: self.idempotent,
            key: None,
            deadline_ms: self.left().as_millis() as u64,
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
            let Some(chosen) = self.choose(&tried) else { break };
            let started = self.shared.now();
            let work =
                attempt::run(self.shared, &chosen.handle, self.call(&chosen.handle, 0), |_, _| {});
            let Ok(ended) = tokio::time::timeout(self.left(), work).await else {
                return Err(self.deadline_unknown(&chosen.handle.name));
            };
            let now = self.shared.now();
            let Outcome::NotRun { cause, retry_after } = ended.outcome else {
                if matches!(ended.outcome, Outcome::Done(_)) {
                    let duration = now.saturating_sub(started);
                    chosen.handle.load.on_success(
                        duration,
                        chosen.load,
                        self.pool.concurrency,
                        now,
                    );
                }
                return self.end_once(ended, &chosen.handle.name, started);
            };
            chosen.handle.beat_now.notify_one();
            failed = StageFailed::not_run(cause, retry_after, &chosen.handle.name);
            tried.insert(chosen.handle.name.clone());
        }
        Err(failed)
    }

    /// Ends a stage after an attempt that must not be repeated.
    fn end_once(
        &self,
        ended: Ended,
        target: &str,
        started: Duration,
    ) -> Result<StageDone, StageFailed> {
        let mut charge = self.charge(target);
        charge.worth = None;
        match ended.outcome {
            Outcome::Done(answer) => {
                charge.worth = (!ended.replayed).then_some(Worth::Useful);
                let duration = self.shared.now().saturating_sub(started);
                let (target, replayed) = (target.to_owned(), ended.replayed);
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

    /// The deadline passed during an attempt that must not be repeated; it may still run.
    fn deadline_unknown(&self, target: &str) -> StageFailed {
        let mut charge = self.charge(target);
        charge.worth = Some(Worth::Late);
        StageFailed::unknown("the deadline passed; the call may still run".to_owned(), target)
    }

    fn deadline_passed(&self, handle: &TargetHandle) -> StageFailed {
        StageFailed {
            kind: FailureKind::Deadline,
            may_have_run: true,
            peer: handle.name.clone(),
            detail: "the deadline passed".to_owned(),
            retry_after: ends::DEFAULT_RETRY,
        }
    }
}
