//! Runs the stages of a pipeline in order, under one deadline.

use std::sync::Arc;
use std::time::Duration;

use marigold_core::digest;
use marigold_core::view::{Customer, View};
use marigold_schema::declarations::{Pipeline, Stage};
use opentelemetry::KeyValue;
use serde::Serialize;
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::api::problem::{Outcome, Problem};
use crate::stage::{FailureKind, StageFailed, StageRequest};
use crate::state::Shared;

/// Path of calls to engines, unless the stage declares one.
const GENERATE_PATH: &str = "/v1/generate";
/// Path of calls to other targets, unless the stage declares one.
const CALL_PATH: &str = "/v1/call";

/// Request that has been admitted.
pub(crate) struct RunRequest {
    pub(crate) id: String,
    pub(crate) view: Arc<View>,
    pub(crate) customer: Arc<Customer>,
    pub(crate) name: String,
    pub(crate) pipeline: Arc<Pipeline>,
    pub(crate) input: Value,
    pub(crate) body_digest: String,
    pub(crate) key: Option<String>,
    /// Uptime at which the deadline passes.
    pub(crate) deadline: Duration,
}

/// Stage in the answer to the caller.
#[derive(Serialize)]
pub(crate) struct StageReport {
    stage: String,
    target: String,
    ms: f64,
}

/// Complete answer to the caller.
#[derive(Serialize)]
pub(crate) struct RunAnswer {
    request: String,
    pipeline: String,
    result: Value,
    tokens: u32,
    replayed: bool,
    /// HTTP status that the target of the last stage returned.
    status: u16,
    stages: Vec<StageReport>,
}

/// Sends tokens to a caller that reads them as a stream.
pub(crate) type TokenSender = mpsc::UnboundedSender<String>;

/// Runs a request; cancels it when the reader of its tokens disconnects.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    req: RunRequest,
    tokens: Option<TokenSender>,
) -> Result<RunAnswer, Problem> {
    let started = shared.now();
    let result = match &tokens {
        None => run_stages(shared, &req, None).await,
        Some(sender) => tokio::select! {
            result = run_stages(shared, &req, Some(sender)) => result,
            () = sender.closed() => Err(Problem::caller_disconnected()),
        },
    };
    record_end(shared, &req, &result, shared.now().saturating_sub(started));
    result
}

fn record_end(
    shared: &Shared,
    req: &RunRequest,
    result: &Result<RunAnswer, Problem>,
    duration: Duration,
) {
    let outcome = match result {
        Ok(_) => "done",
        Err(problem) => problem.outcome_label(),
    };
    let pipeline = KeyValue::new("pipeline", req.name.clone());
    shared.metrics.requests.add(1, &[pipeline.clone(), KeyValue::new("outcome", outcome)]);
    shared.metrics.request_seconds.record(duration.as_secs_f64(), &[pipeline]);
    let bad = result.as_ref().err().filter(|problem| problem.counts_against_objective());
    let cause = bad.map(Problem::cause_label);
    if result.is_ok() || bad.is_some() {
        shared.burn.lock().record(&req.name, &req.customer.name, cause.as_deref(), shared.now());
    }
    if let Err(problem) = result {
        tracing::info!(
            request = req.id,
            pipeline = req.name,
            customer = req.customer.name,
            outcome,
            stage = problem.stage,
            peer = problem.peer,
            detail = problem.detail,
            "request failed"
        );
    }
}

async fn run_stages(
    shared: &Arc<Shared>,
    req: &RunRequest,
    tokens: Option<&TokenSender>,
) -> Result<RunAnswer, Problem> {
    let mut previous = Value::Null;
    let mut answer = RunAnswer {
        request: req.id.clone(),
        pipeline: req.name.clone(),
        result: Value::Null,
        tokens: 0,
        replayed: false,
        status: 200,
        stages: Vec::new(),
    };
    let mut effects = false;
    for (i, stage) in req.pipeline.stages.iter().enumerate() {
        let stage_req = stage_request(shared, req, i, stage, &previous)?;
        let mut on_token = |token: String| {
            if let Some(sender) = tokens {
                let _ = sender.send(token);
            }
        };
        let result = stage_req.run(&mut on_token).await;
        let done = result.map_err(|failed| to_problem(req, stage, failed, i > 0, effects))?;
        effects |= !stage_req.idempotent;
        answer.tokens += done.answer.tokens;
        answer.replayed |= done.replayed;
        answer.status = done.answer.status;
        answer.stages.push(StageReport {
            stage: stage.name.clone(),
            target: done.target,
            ms: done.duration.as_secs_f64() * 1e3,
        });
        previous = if stage_req.pool.is_engine() {
            Value::from(done.text)
        } else {
            parse_or_text(done.answer.body)
        };
    }
    answer.result = previous;
    Ok(answer)
}

fn parse_or_text(body: String) -> Value {
    serde_json::from_str(&body).unwrap_or(Value::from(body))
}

fn stage_request<'a>(
    shared: &'a Arc<Shared>,
    req: &'a RunRequest,
    index: usize,
    stage: &'a Stage,
    previous: &Value,
) -> Result<StageRequest<'a>, Problem> {
    let Some(pool) = req.view.pools.get(&stage.pool).cloned() else {
        return Err(Problem::internal(&format!(
            "pool `{}` is not in the configuration",
            stage.pool
        )));
    };
    let idempotent = stage.idempotent.unwrap_or(pool.pool.idempotent);
    let path =
        stage.path.as_deref().unwrap_or(if pool.is_engine() { GENERATE_PATH } else { CALL_PATH });
    let max_tokens = req.pipeline.max_tokens.get().min(req.view.preset.max_tokens.get());
    let priority = req.pipeline.priority;
    let body = json!({
        "request": req.id,
        "stage": stage.name,
        "input": req.input,
        "previous": previous,
        "max_tokens": max_tokens,
        "priority": priority,
    });
    let later =
        req.pipeline.stages[index + 1..].iter().filter_map(|stage| shared.pool(&stage.pool));
    Ok(StageRequest {
        shared,
        view: &req.view,
        customer: &req.customer,
        pipeline: &req.name,
        stage: &stage.name,
        request: &req.id,
        path,
        idempotent,
        key: req.key.as_deref().filter(|_| !idempotent).map(|key| (key, req.body_digest.as_str())),
        body: body.to_string(),
        prefix: if pool.is_engine() {
            req.input.get("prefix").and_then(Value::as_str)
        } else {
            None
        },
        deadline: req.deadline,
        later_estimate: later.map(|pool| pool.durations.lock().lower_estimate()).sum(),
        priority,
        max_tokens,
        pool,
    })
}

/// Converts the failure of a stage into a problem; its outcome is `NotRun` only if no stage can have run.
fn to_problem(
    req: &RunRequest,
    stage: &Stage,
    failed: StageFailed,
    earlier_ran: bool,
    effects: bool,
) -> Problem {
    let may_have_run = failed.may_have_run || earlier_ran;
    let (status, title) = match failed.kind {
        FailureKind::NotRun(_) | FailureKind::NoTarget => (503, "The stage cannot be run now"),
        FailureKind::CannotMeetDeadline => (503, "The deadline cannot be met"),
        FailureKind::ShareExceeded => (429, "The customer's share is in use"),
        FailureKind::Unknown => (502, "It is not known whether the stage ran"),
        FailureKind::NoHolder => (503, "The key's home cannot be reached"),
        FailureKind::DeadlinePassed => (504, "The deadline passed"),
        FailureKind::KeyMismatch => (422, "The idempotency key was used with another body"),
    };
    let is_about_key =
        matches!(failed.kind, FailureKind::NoHolder) || (req.key.is_some() && failed.may_have_run);
    Problem {
        status,
        title: title.to_owned(),
        detail: failed.detail,
        outcome: if may_have_run || matches!(failed.kind, FailureKind::NoHolder) {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        },
        this_try: is_about_key.then_some(if may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        }),
        effects: effects || (failed.may_have_run && !is_idempotent(req, stage)),
        request: req.id.clone(),
        stage: stage.name.clone(),
        peer: failed.peer,
        retry_after: Some(failed.retry_after),
    }
}

fn is_idempotent(req: &RunRequest, stage: &Stage) -> bool {
    let pool_default = || req.view.pools.get(&stage.pool).is_none_or(|pool| pool.pool.idempotent);
    stage.idempotent.unwrap_or_else(pool_default)
}

/// Returns the digest of the caller's body, which detects the use of an idempotency key with another body.
pub(crate) fn body_digest(input: &Value) -> String {
    digest::body(&input.to_string())
}
