//! Batches the pieces of stages from all gateways into calls to the targets of a pool.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri};
use marigold_core::connection_reuse;
use marigold_core::ids::{Name, Uptime};
use marigold_core::reported_load::LoadReport;
use marigold_core::result_memory::{CallMemory, ResultMemory};
use marigold_core::routes::StagePool;
use marigold_core::stage_queue::{Offer, QueuedPiece, StageQueue};
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages::{PieceFailure, RunStage, StageDone};
use opentelemetry::KeyValue;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time;

use crate::announcements;
use crate::dialect::{Dialect, LimitStatement, Piece, PieceError, PieceResult, ReplyHead};
use crate::limits::{self, Demand};
use crate::members::Owner;
use crate::shared::Shared;
use crate::stage_connections::{self, Peer, Purpose, Reply, Timeouts};
use crate::targets::TrackedTarget;

/// Timeout of a call, as a multiple of its expected duration.
const CALL_TIMEOUT_FACTOR: f64 = 4.0;
/// Addition to the timeout of a call for the network.
const CALL_TIMEOUT_MARGIN: Duration = Duration::from_millis(200);
/// Maximum number of pieces of a stage. More would not be done within any deadline, and fill the memory of this process.
const MAX_PIECES: u32 = 10_000;
/// Maximum number of calls in which a piece is sent.
const MAX_TRIES: u8 = 4;
/// Backoff after a target refused a call because it was busy with calls of others.
const BUSY_BACKOFF: Duration = Duration::from_millis(40);
/// Time for which handles are collected before the call that frees the results. A small part of the time for which
/// results are needed, since the memory for results limits the throughput of a target.
const RELEASE_INTERVAL: Duration = Duration::from_millis(20);
/// Time until pieces that wait for a target in their preferred data centre are dispatched again; a fraction of the
/// duration of a call.
const REDISPATCH_DELAY: Duration = Duration::from_millis(50);
/// Timeout of a call that frees results.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval at which idle connections are closed whose time is over or whose target has left.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum size of a reply to a call. Handles are shorter than 100 bytes and batches smaller than 1,000 pieces.
const MAX_REPLY_BYTES: usize = 256 * 1024;
/// Slowdown (ratio of measured to expected duration of calls) from which a target is used only if the faster ones do
/// not suffice.
const SLOW_THRESHOLD: f64 = 1.6;
/// Time since its last call after which a slow target is used again, to update its slowdown.
const SLOW_RETRY_INTERVAL: Duration = Duration::from_secs(3);
/// Weight of a new sample in the slowdown.
const SLOWDOWN_SAMPLE_WEIGHT: f64 = 0.5;

/// Calls carry pieces of many requests; their order is that of the queue.
const CALL_DEMAND: Demand<'static> = Demand { priority: 0, customer: None };

/// A stage of a request.
struct Job {
    /// Sequence number among the jobs of this gateway; groups the pieces in the queue.
    number: u64,
    req: RunStage,
    queued_at: Uptime,
    due: Uptime,
    expires: Uptime,
    state: Mutex<JobState>,
    finished: Notify,
    is_cancelled: AtomicBool,
}

struct JobState {
    handles: Vec<Option<String>>,
    remaining: usize,
    first_result_at: Option<Uptime>,
    failure: Option<PieceFailure>,
    /// Whether the job was returned without having run any of it.
    is_returned: bool,
}

impl Job {
    fn is_aborted(&self) -> bool {
        self.is_cancelled.load(Ordering::Relaxed) || self.state.lock().failure.is_some()
    }

    fn complete(&self, piece: u32, handle: String, now: Uptime) {
        let mut state = self.state.lock();
        state.first_result_at.get_or_insert(now);
        let Some(handle_slot) = state.handles.get_mut(piece as usize) else { return };
        if handle_slot.replace(handle).is_none() {
            state.remaining -= 1;
        }
        if state.remaining == 0 {
            self.finished.notify_one();
        }
    }

    fn fail(&self, failure: PieceFailure) {
        self.state.lock().failure.get_or_insert(failure);
        self.finished.notify_one();
    }

    fn return_unrun(&self) {
        self.state.lock().is_returned = true;
        self.finished.notify_one();
    }

    fn is_returned(&self) -> bool {
        self.state.lock().is_returned
    }

    fn outcome(&self, now: Uptime) -> Option<StageDone> {
        let state = self.state.lock();
        if state.failure.is_none() && state.remaining > 0 {
            return None;
        }
        let handles = state.handles.iter().flatten().cloned().collect();
        let age = state.first_result_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        Some(StageDone { handles, age_ms: age.as_millis() as u64, failure: state.failure })
    }
}

/// Cancels a job when its requester disconnects.
struct CancelOnDrop(Arc<Job>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.0.is_cancelled.store(true, Ordering::Relaxed);
    }
}

/// One piece of a job.
#[derive(Clone)]
struct Ticket {
    job: Arc<Job>,
    piece: u32,
    tries: u8,
    /// Whether an earlier call with the piece ended without an answer on a reused connection, so that the next one opens a
    /// connection.
    needs_new_connection: bool,
}

/// State of a target at the owner of its pool.
#[derive(Default)]
struct TargetState {
    running_calls: u32,
    /// Moving average of the ratio of measured to expected duration of calls; zero before the first call.
    slowdown: f64,
    report: LoadReport,
    last_call_ended: Uptime,
    backoff_until: Uptime,
    memory: ResultMemory,
    pending_releases: Vec<String>,
}

impl TargetState {
    fn slowdown_at(&self, now: Uptime) -> f64 {
        self.report.slowdown(self.slowdown, now)
    }
}

#[derive(Default)]
struct PoolState {
    queue: StageQueue<Ticket>,
    targets: HashMap<Name, TargetState>,
    is_redispatch_scheduled: bool,
}

/// Queues and targets of the pools that this gateway owns or runs stages for.
#[derive(Default)]
pub(crate) struct Batcher {
    pools: Mutex<HashMap<Name, PoolState>>,
    next_job_number: AtomicU64,
    /// Number of stages that run for peers.
    peer_stages: AtomicUsize,
}

/// A stage that runs for a peer; it counts until this is dropped.
pub(crate) struct PeerStage<'a>(&'a Batcher);

impl Drop for PeerStage<'_> {
    fn drop(&mut self) {
        self.0.peer_stages.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Batcher {
    /// Returns the number of queued pieces in all pools.
    pub(crate) fn queued_count(&self) -> usize {
        self.pools.lock().values().map(|state| state.queue.len()).sum()
    }

    pub(crate) fn start_peer_stage(&self) -> PeerStage<'_> {
        self.peer_stages.fetch_add(1, Ordering::Relaxed);
        PeerStage(self)
    }

    /// Returns whether stages run for peers.
    pub(crate) fn has_peer_stages(&self) -> bool {
        self.peer_stages.load(Ordering::Relaxed) > 0
    }
}

fn stage_pool<D: Dialect, S>(shared: &Shared<D, S>, pool: &str) -> Option<StagePool> {
    shared.adopted.load().as_ref()?.routing.pools.get(pool)?.stage.clone()
}

/// Runs a stage; returns `None` if this gateway is being stopped and has not begun it. Dropping the future cancels the pieces
/// that have not been sent.
pub(crate) async fn run<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    req: RunStage,
) -> Option<StageDone> {
    let now = boottime::now();
    if req.pieces > MAX_PIECES
        || shared.targets.in_pool(&req.pool).is_empty()
        || stage_pool(shared, &req.pool).is_none()
    {
        let failure = Some(PieceFailure::Overloaded);
        return Some(StageDone { handles: Vec::new(), age_ms: 0, failure });
    }
    let due = if req.due_ms >= 0 {
        now + Duration::from_millis(req.due_ms as u64)
    } else {
        now.saturating_sub(Duration::from_millis(req.due_ms.unsigned_abs()))
    };
    let pool = req.pool.clone();
    let pieces = req.pieces;
    let job = Arc::new(Job {
        number: shared.batcher.next_job_number.fetch_add(1, Ordering::Relaxed),
        queued_at: now,
        due,
        expires: now + Duration::from_millis(req.left_ms),
        state: Mutex::new(JobState {
            handles: vec![None; pieces as usize],
            remaining: pieces as usize,
            first_result_at: None,
            failure: None,
            is_returned: false,
        }),
        finished: Notify::new(),
        is_cancelled: AtomicBool::new(false),
        req,
    });
    let _cancel = CancelOnDrop(job.clone());
    {
        let mut pools = shared.batcher.pools.lock();
        let state = pools.entry(pool.clone()).or_default();
        for piece in 0..pieces {
            let job = job.clone();
            let ticket = Ticket { job, piece, tries: 0, needs_new_connection: false };
            state.queue.push(queued_piece(ticket));
        }
    }
    dispatch(shared, &pool);
    loop {
        let done = job.outcome(boottime::now());
        if done.is_some() || job.is_returned() {
            return done;
        }
        job.finished.notified().await;
    }
}

/// Returns the queued stages of pools that other gateways own now, as far as none of their pieces has been sent. The others are
/// finished here, since their results would be lost.
pub(crate) fn hand_over<D: Dialect, S>(shared: &Shared<D, S>) {
    let mut pools = shared.batcher.pools.lock();
    for (pool, state) in pools.iter_mut() {
        if matches!(shared.members.owner(pool), Owner::Local) {
            continue;
        }
        let pieces = state.queue.dequeue_whole_groups(|ticket| ticket.job.req.pieces as usize);
        tracing::info!(pool, pieces = pieces.len(), kept = state.queue.len(), "pool handed over");
        for piece in pieces {
            piece.ticket.job.return_unrun();
        }
    }
}

fn queued_piece(ticket: Ticket) -> QueuedPiece<Ticket> {
    let job = &ticket.job;
    QueuedPiece {
        group: job.number,
        queued_at: job.queued_at,
        preferred_data_centre: job.req.near.clone(),
        has_inputs: !job.req.inputs.is_empty(),
        due: job.due,
        expires: job.expires,
        priority: job.req.priority,
        result_bytes: job.req.result_bytes,
        ticket,
    }
}

/// Sends queued pieces to the free targets of a pool, as far as they may run there.
pub(crate) fn dispatch<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, pool: &str) {
    let Some(spec) = stage_pool(shared, pool) else { return };
    let targets = shared.targets.in_pool(pool);
    let data_centres = targets.iter().map(|tracked| tracked.target.data_centre.as_str()).collect();
    let now = boottime::now();
    let mut pools = shared.batcher.pools.lock();
    let state = pools.entry(pool.to_owned()).or_default();
    state.queue.remove_if(|ticket| ticket.job.is_aborted());
    let call_duration = spec.duration(spec.max_pieces);
    let is_used = |tracked: &&Arc<TrackedTarget>| {
        !tracked.load.snapshot(now).ejected && tracked.hold.until(now).is_none()
    };
    let healthy = targets.iter().filter(is_used);
    let unlimited_calls_per_s = f64::from(spec.slots) / call_duration.as_secs_f64();
    let calls_per_s: f64 = healthy
        .map(|tracked| {
            let limit = shared.limits.per_s(tracked);
            limit.map_or(unlimited_calls_per_s, |limit| limit.min(unlimited_calls_per_s))
        })
        .sum();
    let rate = spec.max_pieces as f64 * calls_per_s;
    for piece in state.queue.dequeue_unserviceable(now, call_duration, rate) {
        piece.ticket.job.fail(PieceFailure::Overloaded);
    }
    for tracked in free_targets(state, &targets, &spec, now) {
        if state.queue.is_empty() {
            return;
        }
        if !tracked.hold.acquire(now) {
            continue;
        }
        if !limits::acquire_as_owner(shared, &tracked, CALL_DEMAND, 1) {
            tracked.hold.cancel();
            continue;
        }
        let target = state.targets.entry(tracked.target.id.clone()).or_default();
        let offer = Offer {
            data_centre: &tracked.target.data_centre,
            pool_data_centres: &data_centres,
            max_pieces: spec.max_pieces,
            call_duration: target.report.planned_duration(call_duration, now),
            free_bytes: spec.result_memory_bytes.saturating_sub(target.memory.used(now)),
        };
        let pieces = state.queue.dequeue_batch(now, &offer);
        if pieces.is_empty() {
            limits::refund(shared, &tracked);
            tracked.hold.cancel();
            continue;
        }
        target.running_calls += 1;
        let result_bytes = pieces.iter().map(|piece| piece.result_bytes).sum();
        let memory = target.memory.start_call(result_bytes, now);
        let tickets = pieces.into_iter().map(|piece| piece.ticket).collect();
        let call = Call { tickets, memory, slowdown: target.slowdown_at(now) };
        tokio::spawn(run_call(shared.clone(), tracked, spec.clone(), call));
    }
    if !state.queue.is_empty() && !state.is_redispatch_scheduled {
        // Pieces that wait for a target in their preferred data centre may run elsewhere after a while. No other event
        // triggers a dispatch at that time.
        state.is_redispatch_scheduled = true;
        tokio::spawn(redispatch_later(shared.clone(), pool.to_owned()));
    }
}

async fn redispatch_later<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>, pool: Name) {
    time::sleep(REDISPATCH_DELAY).await;
    if let Some(state) = shared.batcher.pools.lock().get_mut(&pool) {
        state.is_redispatch_scheduled = false;
    }
    dispatch(&shared, &pool);
}

/// Returns the free targets, first that at which a call ends first. Slow ones are omitted while the others suffice.
fn free_targets(
    state: &PoolState,
    targets: &[Arc<TrackedTarget>],
    spec: &StagePool,
    now: Uptime,
) -> Vec<Arc<TrackedTarget>> {
    let has_backlog = state.queue.len() > spec.max_pieces;
    let slowdown = |tracked: &TrackedTarget| {
        state.targets.get(&tracked.target.id).map_or(0.0, |target| target.slowdown_at(now))
    };
    let normal = spec.duration(spec.max_pieces);
    let time_to_end = |tracked: &TrackedTarget| {
        let target = state.targets.get(&tracked.target.id);
        target.map_or(Duration::ZERO, |target| {
            target.report.time_to_end(normal, target.slowdown, now)
        })
    };
    let is_healthy = |tracked: &TrackedTarget| !tracked.load.snapshot(now).ejected;
    let has_fast =
        targets.iter().any(|tracked| slowdown(tracked) < SLOW_THRESHOLD && is_healthy(tracked));
    let is_free = |tracked: &&Arc<TrackedTarget>| {
        let target = state.targets.get(&tracked.target.id);
        let is_idle = target
            .is_none_or(|target| target.running_calls < spec.slots && target.backoff_until <= now);
        let is_retry_due =
            target.is_some_and(|target| target.last_call_ended + SLOW_RETRY_INTERVAL <= now);
        let is_eligible =
            slowdown(tracked) < SLOW_THRESHOLD || !has_fast || has_backlog || is_retry_due;
        is_idle && is_healthy(tracked) && is_eligible && tracked.hold.until(now).is_none()
    };
    let mut free: Vec<Arc<TrackedTarget>> = targets.iter().filter(is_free).cloned().collect();
    free.sort_by_cached_key(|tracked| time_to_end(tracked));
    free
}

/// A call that is about to be sent.
struct Call {
    tickets: Vec<Ticket>,
    memory: CallMemory,
    /// Slowdown of the target.
    slowdown: f64,
}

async fn run_call<D: Dialect, S: Store>(
    shared: Arc<Shared<D, S>>,
    tracked: Arc<TrackedTarget>,
    spec: StagePool,
    call: Call,
) {
    let Call { tickets, memory, slowdown } = call;
    let pool = tracked.target.pool.clone();
    let started = boottime::now();
    let expected = spec.duration(tickets.len());
    let pieces: Vec<Piece> = tickets.iter().map(|ticket| to_piece(ticket, started)).collect();
    shared.metrics.stage_pieces.add(pieces.len() as u64, &[KeyValue::new("pool", pool.clone())]);
    let timeout = expected.mul_f64(CALL_TIMEOUT_FACTOR) + CALL_TIMEOUT_MARGIN;
    let timeouts = Timeouts {
        reused: connection_reuse::reply_timeout(expected, slowdown, timeout),
        new: timeout,
    };
    let may_reuse = !tickets.iter().any(|ticket| ticket.needs_new_connection);
    let (reply, head) = send_pieces(&shared, &tracked, &pieces, may_reuse, timeouts).await;
    let limit = head.as_ref().map_or(LimitStatement::Unknown, |head| head.limit);
    let is_answer = matches!(reply, CallOutcome::Results(_) | CallOutcome::Busy);
    let has_lost_results = matches!(reply, CallOutcome::Unproven { has_run: true, .. });
    // A reply that is not the target's answer to the call does not end its limit.
    if is_answer || limit != LimitStatement::Unlimited {
        limits::observe(&shared, &tracked, limit, started);
    }
    let reported = head.as_ref().filter(|_| is_answer).and_then(|head| head.load);
    if let Some(head) = head.filter(|_| is_answer) {
        announcements::observe(&shared.targets, &tracked, &head, started);
    }
    let now = boottime::now();
    let duration = now.saturating_sub(started);
    let (results, outcome) = match reply {
        CallOutcome::Results(results) => (Some(results), "done"),
        CallOutcome::Busy => (None, "busy"),
        CallOutcome::Unproven { reason, .. } => {
            tracing::info!(
                target = tracked.target.id,
                pool,
                pieces = pieces.len(),
                reason,
                took_ms = duration.as_millis() as u64,
                "no proven answer on a reused connection; the pieces are sent on a new one"
            );
            (None, "unproven")
        }
        CallOutcome::Failed(reason) => {
            tracing::warn!(
                target = tracked.target.id,
                pool,
                pieces = pieces.len(),
                reason,
                took_ms = duration.as_millis() as u64,
                "stage call failed"
            );
            tracked.load.on_failure(now);
            (None, "failed")
        }
    };
    let count_failed = |reason: PieceError| {
        results.iter().flatten().filter(|result| **result == Err(reason)).count()
    };
    tracing::info!(
        target = tracked.target.id,
        pool,
        pieces = pieces.len(),
        late = count_failed(PieceError::Late),
        input_gone = count_failed(PieceError::InputGone),
        no_room = count_failed(PieceError::OutOfMemory),
        failed = count_failed(PieceError::Failed),
        waited_ms = longest_wait(&tickets, started).as_millis() as u64,
        took_ms = duration.as_millis() as u64,
        reported_waiting = reported.map(|load| load.waiting),
        reported_factor = reported.and_then(|load| load.duration_factor),
        outcome,
        "stage call ended"
    );
    let labels = [KeyValue::new("pool", pool.clone()), KeyValue::new("outcome", outcome)];
    shared.metrics.stage_calls.add(1, &labels);
    let mut unused = Vec::new();
    {
        let mut pools = shared.batcher.pools.lock();
        let state = pools.entry(pool.clone()).or_default();
        let target = state.targets.entry(tracked.target.id.clone()).or_default();
        target.running_calls -= 1;
        target.last_call_ended = now;
        target.memory.end_call(memory);
        if let Some(reported) = reported {
            target.report.observe(reported, now);
        }
        match outcome {
            "done" => {
                let ratio = duration.as_secs_f64() / expected.as_secs_f64().max(0.001);
                target.slowdown = if target.slowdown == 0.0 {
                    ratio
                } else {
                    target.slowdown + SLOWDOWN_SAMPLE_WEIGHT * (ratio - target.slowdown)
                };
            }
            "busy" => target.backoff_until = now + BUSY_BACKOFF,
            _ => {}
        }
        let results = results.unwrap_or_else(|| vec![Err(PieceError::Failed); tickets.len()]);
        let is_try = !matches!(outcome, "busy" | "unproven");
        if has_lost_results {
            let bytes = tickets.iter().map(|ticket| ticket.job.req.result_bytes).sum();
            target.memory.add_lost(bytes, now + spec.result_retention);
        }
        let (mut has_memory, mut made_bytes) = (true, 0);
        for (mut ticket, result) in tickets.into_iter().zip(results) {
            match result {
                Ok(handle) => {
                    let expires = now + spec.result_retention;
                    let bytes = ticket.job.req.result_bytes;
                    made_bytes += bytes;
                    target.memory.add(handle.clone(), bytes, expires);
                    if ticket.job.is_aborted() {
                        unused.push(handle);
                    } else {
                        ticket.job.complete(ticket.piece, handle, now);
                    }
                }
                Err(PieceError::Late) => ticket.job.fail(PieceFailure::Late),
                Err(PieceError::InputGone) => ticket.job.fail(PieceFailure::InputGone),
                Err(reason @ (PieceError::OutOfMemory | PieceError::Failed)) => {
                    has_memory &= reason != PieceError::OutOfMemory;
                    ticket.tries += u8::from(is_try);
                    ticket.needs_new_connection |= outcome == "unproven";
                    if ticket.tries >= MAX_TRIES {
                        ticket.job.fail(PieceFailure::Failed);
                    } else {
                        state.queue.push(queued_piece(ticket));
                    }
                }
            }
        }
        if !has_memory {
            target.memory.on_full(memory, spec.result_memory_bytes, made_bytes, now);
        }
    }
    release(&shared, &pool, unused);
    dispatch(&shared, &pool);
    if outcome == "busy" {
        time::sleep(BUSY_BACKOFF).await;
        dispatch(&shared, &pool);
    }
}

fn longest_wait(tickets: &[Ticket], sent: Uptime) -> Duration {
    let queued_at = tickets.iter().map(|ticket| ticket.job.queued_at).min();
    queued_at.map_or(Duration::ZERO, |queued_at| sent.saturating_sub(queued_at))
}

fn to_piece(ticket: &Ticket, now: Uptime) -> Piece {
    let req = &ticket.job.req;
    Piece {
        request: req.request.clone(),
        stage: req.stage,
        piece: ticket.piece,
        time_left: ticket.job.expires.saturating_sub(now),
        key: req.key.clone(),
        inputs: req.inputs.clone(),
    }
}

/// Outcome of a call with pieces.
enum CallOutcome {
    Results(Vec<PieceResult>),
    /// The target refused the call and did not run it.
    Busy,
    /// There was no reply on a reused connection, or one that may be a duplicate of an earlier one.
    Unproven {
        reason: String,
        /// Whether the target is likely to hold results of the call.
        has_run: bool,
    },
    Failed(String),
}

async fn send_pieces<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    tracked: &TrackedTarget,
    pieces: &[Piece],
    may_reuse: bool,
    timeouts: Timeouts,
) -> (CallOutcome, Option<ReplyHead>) {
    let req = post_request::<D>(tracked, D::STAGE_PATH, D::stage_call(pieces));
    let peer = Peer::new(&tracked.target, Purpose::Pieces);
    let connections = &shared.stage_connections;
    let started = boottime::now();
    let reply = match connections.call(peer, req, may_reuse, timeouts, MAX_REPLY_BYTES).await {
        Ok(reply) => reply,
        Err(err @ stage_connections::Error::Reused(_)) => {
            // A call that broke off at once was not received.
            let has_run = boottime::now().saturating_sub(started) >= timeouts.reused;
            count_connection(shared, Purpose::Pieces, "reused");
            count_connection(shared, Purpose::Pieces, "unproven");
            return (CallOutcome::Unproven { reason: err.to_string(), has_run }, None);
        }
        Err(err) => {
            count_connection(shared, Purpose::Pieces, "opened");
            return (CallOutcome::Failed(err.to_string()), None);
        }
    };
    let is_on_reused = reply.is_on_reused();
    let use_of = if is_on_reused { "reused" } else { "opened" };
    count_connection(shared, Purpose::Pieces, use_of);
    let status = reply.response.status();
    let head = D::read_reply(status, reply.response.headers());
    let results = match status {
        StatusCode::OK => D::stage_results(reply.response.body(), pieces.len()),
        _ => Ok(Vec::new()),
    };
    let reason = match &results {
        // A duplicate of a reply to a call with another number of pieces looks like this.
        Err(err) if is_on_reused => Some(err.to_string()),
        // Some servers announce in this way that they close an idle connection.
        Ok(_) if is_on_reused && status == StatusCode::REQUEST_TIMEOUT => {
            Some(format!("status {status}"))
        }
        _ => None,
    };
    if let Some(reason) = reason {
        connections.reject(reply);
        count_connection(shared, Purpose::Pieces, "unproven");
        let has_run = status == StatusCode::OK;
        return (CallOutcome::Unproven { reason, has_run }, None);
    }
    let handles = results.iter().flatten().flatten().map(String::as_str);
    if !connections.accept_results(reply, handles) {
        count_connection(shared, Purpose::Pieces, "unproven");
        let reason = "the reply repeats a handle of an earlier one".to_owned();
        return (CallOutcome::Unproven { reason, has_run: true }, None);
    }
    start_sweep(shared);
    let outcome = match (status, results) {
        (StatusCode::OK, Ok(results)) => CallOutcome::Results(results),
        (_, Err(err)) => CallOutcome::Failed(err.to_string()),
        (StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS, _) => CallOutcome::Busy,
        (status, _) => CallOutcome::Failed(format!("status {status}")),
    };
    (outcome, Some(head))
}

fn count_connection<D: Dialect, S>(shared: &Shared<D, S>, purpose: Purpose, use_of: &'static str) {
    let purpose = match purpose {
        Purpose::Pieces => "pieces",
        Purpose::Release => "release",
    };
    let labels = [KeyValue::new("purpose", purpose), KeyValue::new("use", use_of)];
    shared.metrics.stage_connections.add(1, &labels);
}

/// Closes idle connections that are no longer needed, until none are left.
fn start_sweep<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>) {
    if !shared.stage_connections.start_sweep() {
        return;
    }
    let shared = shared.clone();
    tokio::spawn(async move {
        loop {
            time::sleep(SWEEP_INTERVAL).await;
            if !shared.stage_connections.sweep(boottime::now(), &shared.targets) {
                return;
            }
        }
    });
}

fn post_request<D: Dialect>(
    tracked: &TrackedTarget,
    path: &'static str,
    body: Bytes,
) -> Request<Bytes> {
    let mut req = Request::new(body);
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::from_static(path);
    D::call_headers(req.headers_mut(), &tracked.target.id);
    req
}

/// Queues results to be freed by the next calls to their targets.
pub(crate) fn release<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    pool: &str,
    handles: Vec<String>,
) {
    if handles.is_empty() {
        return;
    }
    let targets = shared.targets.in_pool(pool);
    let mut pools = shared.batcher.pools.lock();
    let state = pools.entry(pool.to_owned()).or_default();
    for handle in handles {
        // A target that is not listed has stopped, and its results with it, so no call is needed.
        let addr = D::result_addr(&handle);
        let Some(tracked) = targets.iter().find(|tracked| Some(tracked.target.addr) == addr) else {
            continue;
        };
        let target = state.targets.entry(tracked.target.id.clone()).or_default();
        target.pending_releases.push(handle);
        if target.pending_releases.len() == 1 {
            tokio::spawn(flush_releases(shared.clone(), tracked.clone()));
        }
    }
}

async fn flush_releases<D: Dialect, S: Store>(
    shared: Arc<Shared<D, S>>,
    tracked: Arc<TrackedTarget>,
) {
    time::sleep(RELEASE_INTERVAL).await;
    let handles = {
        let mut pools = shared.batcher.pools.lock();
        let state = pools.entry(tracked.target.pool.clone()).or_default();
        let target = state.targets.entry(tracked.target.id.clone()).or_default();
        std::mem::take(&mut target.pending_releases)
    };
    let sent_at = boottime::now();
    if !may_release(&shared, &tracked) {
        return;
    }
    let reply = match call_release(&shared, &tracked, &handles, true).await {
        Err(stage_connections::Error::Reused(_)) if may_release(&shared, &tracked) => {
            call_release(&shared, &tracked, &handles, false).await
        }
        result => result,
    };
    match reply {
        Ok(reply) => {
            let head = D::read_reply(reply.response.status(), reply.response.headers());
            // A duplicate is no answer to this call, but what it says of leaving stays true.
            if !reply.is_on_reused() || head.is_leaving || head.pause.is_some() {
                announcements::observe(&shared.targets, &tracked, &head, sent_at);
            }
            let is_freed = shared.stage_connections.accept_release(reply);
            start_sweep(&shared);
            if is_freed {
                let mut pools = shared.batcher.pools.lock();
                let state = pools.entry(tracked.target.pool.clone()).or_default();
                let target = state.targets.entry(tracked.target.id.clone()).or_default();
                target.memory.free(&handles);
            }
        }
        // The results expire without the call.
        Err(err) => tracing::debug!(target = tracked.target.id, %err, "results not freed"),
    }
    dispatch(&shared, &tracked.target.pool);
}

/// Returns whether a target may get a call that frees results. One in need gets no calls that are not needed: the results expire
/// without them.
fn may_release<D: Dialect, S: Store>(shared: &Shared<D, S>, tracked: &TrackedTarget) -> bool {
    shared.limits.per_s(tracked).is_none()
        && tracked.hold.until(boottime::now()).is_none()
        && shared.targets.has_start(&tracked.target.id, tracked.target.started_at_ms)
}

async fn call_release<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    tracked: &TrackedTarget,
    handles: &[String],
    may_reuse: bool,
) -> stage_connections::Result<Reply> {
    let req = post_request::<D>(tracked, D::RELEASE_PATH, D::release_call(handles));
    let peer = Peer::new(&tracked.target, Purpose::Release);
    let timeouts = Timeouts { reused: RELEASE_TIMEOUT / 2, new: RELEASE_TIMEOUT };
    let connections = &shared.stage_connections;
    let result = connections.call(peer, req, may_reuse, timeouts, MAX_REPLY_BYTES).await;
    let use_of = match &result {
        Ok(reply) if reply.is_on_reused() => "reused",
        Err(stage_connections::Error::Reused(_)) => "unproven",
        _ => "opened",
    };
    count_connection(shared, Purpose::Release, use_of);
    result
}
