//! Gathers pieces of stages from all gateways into calls to the targets of a pool.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode, Uri};
use marigold_core::ids::{Name, Uptime};
use marigold_core::routes::StagePool;
use marigold_core::stage_queue::{Offer, QueuedPiece, StageQueue};
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages::{PieceFailure, RunStage, StageDone};
use opentelemetry::KeyValue;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::time;

use crate::dialect::{Dialect, Piece, PieceError, PieceResult};
use crate::places::Place;
use crate::shared::Shared;
use crate::upstream::Client;

/// A call is given up after this multiple of its expected duration, and a pause for the network.
const PATIENCE: f64 = 4.0;
const PATIENCE_EXTRA: Duration = Duration::from_millis(200);
/// Calls in which a piece is sent at the most.
const MAX_TRIES: u8 = 4;
/// Pause after a target refused a call because another caller keeps it busy.
const BUSY_PAUSE: Duration = Duration::from_millis(40);
/// Time in which room that others have taken up is freed bit by bit: about the time for which results are needed.
const UNKNOWN_TIME: Duration = Duration::from_millis(1_500);
/// Time for which results are gathered before a target is told to free them: a small part of the time for which they
/// are needed, since room for them limits how much a target can run.
const RELEASE_EVERY: Duration = Duration::from_millis(20);
/// Time between two looks at pieces that wait for a near target: a fraction of a call.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// Time for a call that frees results.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest reply to a call, in bytes: handles are below 100 bytes and batches below 1,000 pieces.
const MAX_REPLY: usize = 256 * 1024;
/// Ratio of measured to expected duration from which a target is used only when the others do not suffice.
const SLOW: f64 = 1.6;
/// Time after which an idle slow target is tried again.
const SLOW_RETRY: Duration = Duration::from_secs(3);
/// Weight of a new measurement of that ratio.
const STRETCH_WEIGHT: f64 = 0.5;

/// One stage of one request.
struct Job {
    /// Number among the jobs of this gateway.
    number: u64,
    ask: RunStage,
    queued_at: Uptime,
    due: Uptime,
    expires: Uptime,
    state: Mutex<JobState>,
    changed: Notify,
    is_cancelled: AtomicBool,
}

struct JobState {
    handles: Vec<Option<String>>,
    missing: usize,
    /// When the first result was made.
    first_at: Option<Uptime>,
    failure: Option<PieceFailure>,
}

impl Job {
    fn is_over(&self) -> bool {
        self.is_cancelled.load(Ordering::Relaxed) || self.state.lock().failure.is_some()
    }

    fn complete(&self, piece: u32, handle: String, now: Uptime) {
        let mut state = self.state.lock();
        state.first_at.get_or_insert(now);
        let Some(slot) = state.handles.get_mut(piece as usize) else { return };
        if slot.replace(handle).is_none() {
            state.missing -= 1;
        }
        if state.missing == 0 {
            self.changed.notify_one();
        }
    }

    fn fail(&self, failure: PieceFailure) {
        self.state.lock().failure.get_or_insert(failure);
        self.changed.notify_one();
    }

    fn outcome(&self, now: Uptime) -> Option<StageDone> {
        let state = self.state.lock();
        if state.failure.is_none() && state.missing > 0 {
            return None;
        }
        let handles = state.handles.iter().flatten().cloned().collect();
        let age = state.first_at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
        Some(StageDone { handles, age_ms: age.as_millis() as u64, failure: state.failure })
    }
}

/// Cancels a job whose asker is gone.
struct CancelOnDrop(Arc<Job>);

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.0.is_cancelled.store(true, Ordering::Relaxed);
    }
}

/// A piece of a job.
#[derive(Clone)]
struct Ticket {
    job: Arc<Job>,
    piece: u32,
    tries: u8,
}

/// A target as the owner of its pool sees it.
#[derive(Default)]
struct Slot {
    calls: u32,
    /// Measured duration of calls relative to the expected one; zero before the first.
    stretch: f64,
    last_end: Uptime,
    paused_until: Uptime,
    client: Option<Arc<Client>>,
    /// Results that the target keeps, with their size and when they end at the latest.
    results: HashMap<String, (u64, Uptime)>,
    /// Results of calls in progress, in bytes.
    expected_bytes: u64,
    /// Room taken by results that this gateway does not know of, in bytes, as found out by a piece without room, and
    /// until when that is believed.
    unknown: (u64, Uptime),
    releases: Vec<String>,
}

impl Slot {
    /// Connections to the target; calls that free results do not wait behind those with pieces.
    fn client(&mut self, place: &Place) -> Arc<Client> {
        let peer = place.target.addr;
        let client = self.client.take().filter(|client| client.peer() == peer);
        self.client.insert(client.unwrap_or_else(|| Arc::new(Client::new(peer)))).clone()
    }

    fn used(&mut self, now: Uptime) -> u64 {
        self.results.retain(|_, (_, ends)| *ends > now);
        let (unknown, until) = self.unknown;
        let left = until.saturating_sub(now).as_secs_f64() / UNKNOWN_TIME.as_secs_f64();
        let known =
            self.results.values().map(|(bytes, _)| bytes).sum::<u64>() + self.expected_bytes;
        known + (unknown as f64 * left) as u64
    }
}

#[derive(Default)]
struct PoolState {
    queue: StageQueue<Ticket>,
    slots: HashMap<Name, Slot>,
    /// Whether a later look at the queue is under way.
    is_looked_after: bool,
}

/// Queues and targets of the pools that this gateway owns, or is asked for.
#[derive(Default)]
pub(crate) struct Broker {
    pools: Mutex<HashMap<Name, PoolState>>,
    jobs: AtomicU64,
}

impl Broker {
    /// Pieces that wait here.
    pub(crate) fn waiting(&self) -> usize {
        self.pools.lock().values().map(|state| state.queue.len()).sum()
    }
}

fn stage_pool<D: Dialect, S>(shared: &Shared<D, S>, pool: &str) -> Option<StagePool> {
    shared.adopted.load().as_ref()?.routing.pools.get(pool)?.stage.clone()
}

/// Runs a stage; dropping the future cancels the pieces that have not been sent.
pub(crate) async fn run<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    ask: RunStage,
) -> StageDone {
    let now = boottime::now();
    if shared.places.of(&ask.pool).is_empty() || stage_pool(shared, &ask.pool).is_none() {
        let failure = Some(PieceFailure::Overloaded);
        return StageDone { handles: Vec::new(), age_ms: 0, failure };
    }
    let due = if ask.due_ms >= 0 {
        now + Duration::from_millis(ask.due_ms as u64)
    } else {
        now.saturating_sub(Duration::from_millis(ask.due_ms.unsigned_abs()))
    };
    let pool = ask.pool.clone();
    let pieces = ask.pieces;
    let job = Arc::new(Job {
        number: shared.broker.jobs.fetch_add(1, Ordering::Relaxed),
        queued_at: now,
        due,
        expires: now + Duration::from_millis(ask.left_ms),
        state: Mutex::new(JobState {
            handles: vec![None; pieces as usize],
            missing: pieces as usize,
            first_at: None,
            failure: None,
        }),
        changed: Notify::new(),
        is_cancelled: AtomicBool::new(false),
        ask,
    });
    let _cancel = CancelOnDrop(job.clone());
    {
        let mut pools = shared.broker.pools.lock();
        let state = pools.entry(pool.clone()).or_default();
        for piece in 0..pieces {
            state.queue.push(waiting(Ticket { job: job.clone(), piece, tries: 0 }));
        }
    }
    dispatch(shared, &pool);
    loop {
        if let Some(done) = job.outcome(boottime::now()) {
            return done;
        }
        job.changed.notified().await;
    }
}

fn waiting(ticket: Ticket) -> QueuedPiece<Ticket> {
    let job = &ticket.job;
    QueuedPiece {
        group: job.number,
        queued_at: job.queued_at,
        preferred_data_centre: job.ask.near.clone(),
        has_inputs: !job.ask.inputs.is_empty(),
        due: job.due,
        expires: job.expires,
        priority: job.ask.priority,
        result_bytes: job.ask.result_bytes,
        ticket,
    }
}

/// Sends calls to the targets of a pool that are free, as long as pieces wait that they may take.
pub(crate) fn dispatch<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, pool: &str) {
    let Some(spec) = stage_pool(shared, pool) else { return };
    let places = shared.places.of(pool);
    let centres = places.iter().map(|place| place.target.data_centre.as_str()).collect();
    let now = boottime::now();
    let mut pools = shared.broker.pools.lock();
    let state = pools.entry(pool.to_owned()).or_default();
    state.queue.remove_if(|ticket| ticket.job.is_over());
    let call_time = spec.duration(spec.batch);
    let sound = places.iter().filter(|place| !place.load.snapshot(now).ejected).count();
    let calls_per_s = f64::from(spec.slots) * sound as f64 / call_time.as_secs_f64();
    let rate = spec.batch as f64 * calls_per_s;
    for hopeless in state.queue.dequeue_unserviceable(now, call_time, rate) {
        hopeless.ticket.job.fail(PieceFailure::Overloaded);
    }
    for place in free_places(state, &places, &spec, now) {
        if state.queue.is_empty() {
            return;
        }
        let slot = state.slots.entry(place.target.id.clone()).or_default();
        let offer = Offer {
            data_centre: &place.target.data_centre,
            pool_data_centres: &centres,
            max_pieces: spec.batch,
            call_duration: call_time,
            free_bytes: spec.result_memory_bytes.saturating_sub(slot.used(now)),
        };
        let pieces = state.queue.dequeue_batch(now, &offer);
        if pieces.is_empty() {
            continue;
        }
        slot.calls += 1;
        slot.expected_bytes += pieces.iter().map(|piece| piece.result_bytes).sum::<u64>();
        let client = slot.client(&place);
        let tickets = pieces.into_iter().map(|piece| piece.ticket).collect();
        tokio::spawn(call(shared.clone(), place, spec.clone(), tickets, client));
    }
    if !state.queue.is_empty() && !state.is_looked_after {
        // Pieces that wait for a near target may go to a far one later, with no other event in between.
        state.is_looked_after = true;
        tokio::spawn(look_again(shared.clone(), pool.to_owned()));
    }
}

async fn look_again<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>, pool: Name) {
    time::sleep(LOOK_AGAIN).await;
    if let Some(state) = shared.broker.pools.lock().get_mut(&pool) {
        state.is_looked_after = false;
    }
    dispatch(&shared, &pool);
}

/// The free targets, the fastest first; slow ones are left out while the others suffice.
fn free_places(
    state: &PoolState,
    places: &[Arc<Place>],
    spec: &StagePool,
    now: Uptime,
) -> Vec<Arc<Place>> {
    let is_backlog = state.queue.len() > spec.batch;
    let stretch =
        |place: &Place| state.slots.get(&place.target.id).map_or(0.0, |slot| slot.stretch);
    let is_sound = |place: &Place| !place.load.snapshot(now).ejected;
    let has_fast = places.iter().any(|place| stretch(place) < SLOW && is_sound(place));
    let is_free = |place: &&Arc<Place>| {
        let slot = state.slots.get(&place.target.id);
        let is_idle = slot.is_none_or(|slot| slot.calls < spec.slots && slot.paused_until <= now);
        let is_retried = slot.is_some_and(|slot| slot.last_end + SLOW_RETRY <= now);
        let is_wanted = stretch(place) < SLOW || !has_fast || is_backlog || is_retried;
        is_idle && is_sound(place) && is_wanted
    };
    let mut free: Vec<Arc<Place>> = places.iter().filter(is_free).cloned().collect();
    free.sort_by(|a, b| stretch(a).total_cmp(&stretch(b)));
    free
}

async fn call<D: Dialect, S: Store>(
    shared: Arc<Shared<D, S>>,
    place: Arc<Place>,
    spec: StagePool,
    tickets: Vec<Ticket>,
    client: Arc<Client>,
) {
    let pool = place.target.pool.clone();
    let started = boottime::now();
    let expected = spec.duration(tickets.len());
    let pieces: Vec<Piece> = tickets.iter().map(|ticket| piece(ticket, started)).collect();
    shared.metrics.stage_pieces.add(pieces.len() as u64, &[KeyValue::new("pool", pool.clone())]);
    let patience = expected.mul_f64(PATIENCE) + PATIENCE_EXTRA;
    let called = send_pieces::<D>(&client, &place, &pieces, patience).await;
    let now = boottime::now();
    let took = now.saturating_sub(started);
    let (results, outcome) = match called {
        Called::Results(results) => (Some(results), "done"),
        Called::Busy => (None, "busy"),
        Called::Failed(reason) => {
            tracing::warn!(
                target = place.target.id,
                pool,
                pieces = pieces.len(),
                reason,
                took_ms = took.as_millis() as u64,
                "stage call failed"
            );
            place.load.on_failure(now);
            (None, "failed")
        }
    };
    let failed = |reason: PieceError| {
        results.iter().flatten().filter(|result| **result == Err(reason)).count()
    };
    tracing::info!(
        target = place.target.id,
        pool,
        pieces = pieces.len(),
        late = failed(PieceError::Late),
        input_gone = failed(PieceError::InputGone),
        no_room = failed(PieceError::OutOfMemory),
        failed = failed(PieceError::Failed),
        waited_ms = longest_wait(&tickets, started).as_millis() as u64,
        took_ms = took.as_millis() as u64,
        outcome,
        "stage call ended"
    );
    let labels = [KeyValue::new("pool", pool.clone()), KeyValue::new("outcome", outcome)];
    shared.metrics.stage_calls.add(1, &labels);
    let mut unused = Vec::new();
    {
        let mut pools = shared.broker.pools.lock();
        let state = pools.entry(pool.clone()).or_default();
        let slot = state.slots.entry(place.target.id.clone()).or_default();
        slot.calls -= 1;
        slot.last_end = now;
        slot.expected_bytes = slot
            .expected_bytes
            .saturating_sub(tickets.iter().map(|ticket| ticket.job.ask.result_bytes).sum());
        match outcome {
            "done" => {
                let ratio = took.as_secs_f64() / expected.as_secs_f64().max(0.001);
                slot.stretch = if slot.stretch == 0.0 {
                    ratio
                } else {
                    slot.stretch + STRETCH_WEIGHT * (ratio - slot.stretch)
                };
            }
            "busy" => slot.paused_until = now + BUSY_PAUSE,
            _ => {}
        }
        let results = results.unwrap_or_else(|| vec![Err(PieceError::Failed); tickets.len()]);
        let is_busy = outcome == "busy";
        let mut has_room = true;
        for (mut ticket, result) in tickets.into_iter().zip(results) {
            match result {
                Ok(handle) => {
                    let ends = now + spec.result_retention;
                    slot.results.insert(handle.clone(), (ticket.job.ask.result_bytes, ends));
                    if ticket.job.is_over() {
                        unused.push(handle);
                    } else {
                        ticket.job.complete(ticket.piece, handle, now);
                    }
                }
                Err(PieceError::Late) => ticket.job.fail(PieceFailure::Late),
                Err(PieceError::InputGone) => ticket.job.fail(PieceFailure::InputGone),
                Err(reason @ (PieceError::OutOfMemory | PieceError::Failed)) => {
                    has_room &= reason != PieceError::OutOfMemory;
                    ticket.tries += u8::from(!is_busy);
                    if ticket.tries >= MAX_TRIES {
                        ticket.job.fail(PieceFailure::Failed);
                    } else {
                        state.queue.push(waiting(ticket));
                    }
                }
            }
        }
        if !has_room {
            slot.unknown = (0, now);
            slot.unknown =
                (spec.result_memory_bytes.saturating_sub(slot.used(now)), now + UNKNOWN_TIME);
        }
    }
    release(&shared, &pool, unused);
    dispatch(&shared, &pool);
    if outcome == "busy" {
        time::sleep(BUSY_PAUSE).await;
        dispatch(&shared, &pool);
    }
}

fn longest_wait(tickets: &[Ticket], sent: Uptime) -> Duration {
    let since = tickets.iter().map(|ticket| ticket.job.queued_at).min();
    since.map_or(Duration::ZERO, |since| sent.saturating_sub(since))
}

fn piece(ticket: &Ticket, now: Uptime) -> Piece {
    let ask = &ticket.job.ask;
    Piece {
        request: ask.request.clone(),
        stage: ask.stage,
        piece: ticket.piece,
        time_left: ticket.job.expires.saturating_sub(now),
        key: ask.key.clone(),
        inputs: ask.inputs.clone(),
    }
}

/// How a call with pieces ended.
enum Called {
    Results(Vec<PieceResult>),
    /// The target refused it without running it.
    Busy,
    Failed(String),
}

async fn send_pieces<D: Dialect>(
    client: &Client,
    place: &Place,
    pieces: &[Piece],
    patience: Duration,
) -> Called {
    let req = post::<D>(place, D::STAGE_PATH, D::stage_call(pieces));
    let reply = match client.exchange(req, true, patience, MAX_REPLY).await {
        Ok(reply) => reply,
        Err(err) => return Called::Failed(err.to_string()),
    };
    match reply.status() {
        StatusCode::OK => match D::stage_results(reply.body(), pieces.len()) {
            Ok(results) => Called::Results(results),
            Err(err) => Called::Failed(err.to_string()),
        },
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Called::Busy,
        status => Called::Failed(format!("status {status}")),
    }
}

fn post<D: Dialect>(place: &Place, path: &'static str, body: Bytes) -> Request<Bytes> {
    let mut req = Request::new(body);
    *req.method_mut() = Method::POST;
    *req.uri_mut() = Uri::from_static(path);
    D::call_headers(req.headers_mut(), &place.target.id);
    req
}

/// Frees results soon.
pub(crate) fn release<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    pool: &str,
    handles: Vec<String>,
) {
    if handles.is_empty() {
        return;
    }
    let places = shared.places.of(pool);
    let mut pools = shared.broker.pools.lock();
    let state = pools.entry(pool.to_owned()).or_default();
    for handle in handles {
        // A result ends with its maker, so one of an unknown target needs no call.
        let maker = D::result_addr(&handle);
        let Some(place) = places.iter().find(|place| Some(place.target.addr) == maker) else {
            continue;
        };
        let slot = state.slots.entry(place.target.id.clone()).or_default();
        slot.releases.push(handle);
        if slot.releases.len() == 1 {
            tokio::spawn(flush_releases(shared.clone(), place.clone()));
        }
    }
}

async fn flush_releases<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>, place: Arc<Place>) {
    time::sleep(RELEASE_EVERY).await;
    let (handles, client) = {
        let mut pools = shared.broker.pools.lock();
        let state = pools.entry(place.target.pool.clone()).or_default();
        let slot = state.slots.entry(place.target.id.clone()).or_default();
        (std::mem::take(&mut slot.releases), slot.client(&place))
    };
    let req = post::<D>(&place, D::RELEASE_PATH, D::release_call(&handles));
    match client.exchange(req, true, RELEASE_TIMEOUT, MAX_REPLY).await {
        Ok(_) => {
            let mut pools = shared.broker.pools.lock();
            let state = pools.entry(place.target.pool.clone()).or_default();
            let slot = state.slots.entry(place.target.id.clone()).or_default();
            slot.results.retain(|handle, _| !handles.contains(handle));
        }
        // The results end by themselves.
        Err(err) => tracing::debug!(target = place.target.id, %err, "results not freed"),
    }
    dispatch(&shared, &place.target.pool);
}
