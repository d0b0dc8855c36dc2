//! A target that gateways call directly: plain responses, event streams and batched stage pieces, with injected faults.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::time;

/// Largest head of a request, with its request line and headers.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Time for which a replica that crashed is gone.
pub const RESTART_DELAY: Duration = Duration::from_millis(2_500);
/// Interval at which a restarted replica tries to bind its address.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between the bytes of [`Fault::Dripping`].
const DRIP_INTERVAL: Duration = Duration::from_millis(200);

/// Time after a reply at which [`CallFault::RepeatWhenIdle`] and [`CallFault::CloseWhenIdle`] happen.
const IDLE_FAULT_DELAY: Duration = Duration::from_millis(5);

/// What crashes each replica that runs a request with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Poison {
    /// A part of the prompt, but the last one; the replica crashes within the first event of its answer.
    PromptPart(String),
    /// A path and a body; the replica crashes without an answer.
    Request(String, Vec<u8>),
    /// A path, a body and a whole prompt; the replica crashes within the first event of its answer.
    Prompt(String, Vec<u8>, String),
}

impl Poison {
    fn is_in(&self, run: &Run) -> bool {
        match self {
            Self::PromptPart(part) => {
                let prefix = run.headers.get("prompt-prefix").map_or("", String::as_str);
                let shared = prefix.rsplit_once(',').map_or("", |(shared, _)| shared);
                shared.split(',').any(|entry| entry.split(':').next() == Some(part))
            }
            Self::Request(path, body) => {
                run.request_line.split(' ').nth(1) == Some(path) && run.body == *body
            }
            Self::Prompt(path, body, prompt) => {
                run.request_line.split(' ').nth(1) == Some(path)
                    && run.body == *body
                    && run.headers.get("prompt-prefix") == Some(prompt)
            }
        }
    }
}

/// Fault injected into one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The replica does not run the request and says so with status 503.
    NotExecuted,
    /// The replica runs the request and closes the connection without a response.
    NoResponse,
    /// The replica runs the request and sends nothing until the caller closes the connection.
    Hang,
    /// The replica runs the request and responds with a signed status 500.
    ServerError,
    /// The replica runs the request and responds, after a refusal of another request.
    ForeignRefusal,
    /// The replica runs the request and responds, after a refusal that names no request.
    UnnamedRefusal,
    /// The response has the `Attempt-Id` of another request.
    WrongAttemptId,
    /// The response has no signature.
    Unsigned,
    /// The connection closes before the end of the response; a stream ends within its third event.
    Truncated,
    /// A stream ends within its third event, and one that continues another ends without any event, as if it were whole.
    EmptyContinuation,
    /// The third event of a stream never ends, and grows by a byte now and then.
    Dripping,
    /// A stream pauses before its third event, for [`PAUSE`].
    Pause,
    /// A stream pauses before its first event, for [`PAUSE`].
    PauseFirst,
    /// The head of the response never ends.
    EndlessHead,
    /// The body of the response never ends, and holds no complete event.
    EndlessBody,
    /// An input has been removed: the replica does not run the request and says so with status 409.
    InputRemoved,
}

/// Pause of a stream with [`Fault::Pause`] or [`Fault::PauseFirst`].
pub const PAUSE: Duration = Duration::from_millis(2_200);

/// Fault in the replies to calls of pieces and calls that free results, or in their connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// Each reply comes a second time, when the next call has arrived on its connection and has run.
    RepeatBeforeNext,
    /// Each reply comes a second time as soon as the next call has arrived on its connection.
    RepeatOnNextCall,
    /// Each reply comes a second time while its connection is idle.
    RepeatWhenIdle,
    /// The second call on a connection gets no reply, and the connection stays open.
    Forget,
    /// A connection is closed without notice when its second call arrives.
    CloseOnNextCall,
    /// A connection is closed shortly after its first reply, which says nothing of it.
    CloseWhenIdle,
    /// Each reply says that its connection will be closed, which the replica leaves to the caller.
    AnnounceClose,
}

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    /// ID of the replica in the list of servers, with which it signs its responses.
    pub id: String,
    /// Number of events in a stream.
    pub events: u64,
    /// Delay before each event of a stream and before a plain response.
    pub response_delay: Duration,
    /// Duration of a stage call.
    pub stage_call_duration: Duration,
}

/// A request that the replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// When its head had arrived.
    pub at: Instant,
    /// ID of the attempt.
    pub request: String,
    /// Headers, with lower-case names.
    pub headers: HashMap<String, String>,
    /// Method and path, separated by a space.
    pub request_line: String,
    /// Body of the request.
    pub body: Vec<u8>,
}

/// A request or call that reached the replica, whether or not it ran.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When its head had arrived.
    pub at: Instant,
    /// ID of the attempt; empty for calls of the gateways themselves.
    pub request: String,
    /// Method and path, separated by a space.
    pub request_line: String,
    /// Number of the connection on which it came.
    pub connection: usize,
}

/// A completed piece, the unit of batched work in a stage call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompletedPiece {
    /// ID of the attempt.
    pub request: String,
    /// Index of the stage.
    pub stage: u64,
    /// Handles of the results that the piece had as inputs.
    pub inputs: Vec<String>,
}

/// A span of time in which the replica worked on a request or on a piece of one.
#[derive(Clone, Debug)]
pub struct Work {
    /// ID of the attempt.
    pub request: String,
    /// Start of the work.
    pub started_at: Instant,
    /// End of the work; for a request also when its caller closes the connection.
    pub ended_at: Instant,
}

#[derive(Default)]
struct State {
    /// ID of the replica, a new one after each crash; none while it is gone.
    id: watch::Sender<Option<String>>,
    poisons: Mutex<Vec<Poison>>,
    crash: Notify,
    crashes: Mutex<Vec<Instant>>,
    /// Requests that crashed the replica.
    poisoned: Mutex<Vec<(Instant, String)>>,
    /// Faults of the next requests; the queue may be shared with other replicas.
    faults: Mutex<Arc<Mutex<VecDeque<Fault>>>>,
    runs: Mutex<Vec<Run>>,
    arrivals: Mutex<Vec<Arrival>>,
    /// Value of the header with which each reply names the replica's limit.
    limit: Mutex<Option<String>>,
    /// Whether each reply says that the replica leaves.
    is_leaving: AtomicBool,
    /// Delay before each plain response and the first event of each stream, in addition to that of the options.
    extra_delay: Mutex<Duration>,
    /// Value of `Retry-After` with which the replica refuses all requests.
    pause: Mutex<Option<String>>,
    /// Delays of calls with pieces of a stage, by its index, in addition to the duration of the options.
    stage_delays: Mutex<HashMap<u64, Duration>>,
    call_fault: Mutex<Option<CallFault>>,
    /// Number of the next calls of pieces that find no room for any result.
    full_calls: AtomicUsize,
    /// Number of connections that were accepted.
    connections: AtomicUsize,
    open_connections: AtomicUsize,
    /// Limits of the calls of pieces.
    call_limits: Mutex<CallLimits>,
    /// Number of calls of pieces that run or wait.
    stage_calls: AtomicUsize,
    /// When the results that have not been freed were made, by handle.
    held: Mutex<HashMap<String, Instant>>,
    /// Number of pieces that found no room for their results.
    pieces_without_room: AtomicUsize,
    /// Number of calls of pieces that were refused because too many others waited.
    busy_calls: AtomicUsize,
    completed: Mutex<HashMap<String, CompletedPiece>>,
    /// Completed pieces whose results were freed.
    freed: Mutex<HashMap<String, CompletedPiece>>,
    stage_call_sizes: Mutex<Vec<usize>>,
    in_progress: AtomicUsize,
    work: Mutex<Vec<Work>>,
}

impl State {
    fn free(&self, handles: &[Value]) {
        let (mut completed, mut freed) = (self.completed.lock(), self.freed.lock());
        for handle in handles.iter().filter_map(Value::as_str) {
            self.held.lock().remove(handle);
            freed.extend(completed.remove(handle).map(|piece| (handle.to_owned(), piece)));
        }
    }
}

/// Limits of the calls of pieces at a replica.
#[derive(Clone, Debug)]
pub struct CallLimits {
    /// Number of calls that run or wait; others are refused with status 503.
    pub calls: usize,
    /// Number of results for which there is room.
    pub results: usize,
    /// Time after which results expire that were not freed.
    pub retention: Duration,
    /// Duration of a call, in addition to that of the options.
    pub extra_duration: Duration,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            calls: usize::MAX,
            results: usize::MAX,
            retention: Duration::MAX,
            extra_duration: Duration::ZERO,
        }
    }
}

impl State {
    /// Returns how many more results there is room for.
    fn room(&self, limits: &CallLimits) -> usize {
        let mut held = self.held.lock();
        held.retain(|_, made_at| made_at.elapsed() < limits.retention);
        limits.results.saturating_sub(held.len())
    }
}

/// A running replica; dropping it stops the replica.
pub struct Replica {
    /// Configuration of the replica.
    pub options: Options,
    addr: SocketAddr,
    state: Arc<State>,
    task: tokio::task::JoinHandle<()>,
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Replica {
    /// Starts a replica that serves the connections of a listener.
    ///
    /// # Panics
    /// When the listener cannot be registered with the runtime.
    pub fn spawn(listener: std::net::TcpListener, options: Options) -> Replica {
        listener.set_nonblocking(true).expect("the socket is set to non-blocking mode");
        let listener =
            TcpListener::from_std(listener).expect("the listener is registered with the runtime");
        let addr = listener.local_addr().expect("a bound listener has an address");
        let state = Arc::new(State::default());
        state.id.send_replace(Some(options.id.clone()));
        let task = tokio::spawn(run(listener, state.clone(), Arc::new(options.clone())));
        Replica { options, addr, state, task }
    }

    /// Returns the address of the replica.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the ID of the replica, which is another one after each crash, and its changes; none while it is gone.
    pub fn id(&self) -> watch::Receiver<Option<String>> {
        self.state.id.subscribe()
    }

    /// Crashes the replica: all its connections break, and it is back at its address after [`RESTART_DELAY`].
    pub fn crash(&self) {
        self.state.crash.notify_one();
    }

    /// Sets what crashes the replica.
    pub fn set_poisons(&self, poisons: &[Poison]) {
        *self.state.poisons.lock() = poisons.to_vec();
    }

    /// Returns the requests that crashed the replica, with the times.
    pub fn poisoned(&self) -> Vec<(Instant, String)> {
        self.state.poisoned.lock().clone()
    }

    /// Returns the times of the crashes.
    pub fn crashes(&self) -> Vec<Instant> {
        self.state.crashes.lock().clone()
    }

    /// Queues faults, each of which affects one of the next requests.
    pub fn add_faults(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.faults.lock().lock().extend(faults);
    }

    /// Shares the queue of faults with another replica, so that each fault affects whichever of them is reached first.
    pub fn share_faults(&self, other: &Self) {
        let faults = other.state.faults.lock().clone();
        *self.state.faults.lock() = faults;
    }

    /// Returns the requests that ran.
    pub fn runs(&self) -> Vec<Run> {
        self.state.runs.lock().clone()
    }

    /// Returns the requests and calls that arrived, in this order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.state.arrivals.lock().clone()
    }

    /// Sends each reply to a stage call a second time, at the point where the next one on its connection is expected.
    pub fn repeat_stage_replies(&self) {
        self.set_call_fault(Some(CallFault::RepeatBeforeNext));
    }

    /// Sets the fault of all calls of pieces and calls that free results from now on.
    pub fn set_call_fault(&self, fault: Option<CallFault>) {
        *self.state.call_fault.lock() = fault;
    }

    /// Returns the number of open connections.
    pub fn open_connections(&self) -> usize {
        self.state.open_connections.load(Ordering::SeqCst)
    }

    /// Lets the next `count` calls of pieces find no room for any result.
    pub fn fill_for_calls(&self, count: usize) {
        self.state.full_calls.store(count, Ordering::SeqCst);
    }

    /// Limits the calls of pieces from now on.
    pub fn set_call_limits(&self, limits: CallLimits) {
        *self.state.call_limits.lock() = limits;
    }

    /// Returns the number of pieces that found no room for their results.
    pub fn pieces_without_room(&self) -> usize {
        self.state.pieces_without_room.load(Ordering::SeqCst)
    }

    /// Returns the number of calls of pieces that were refused because too many others waited.
    pub fn busy_calls(&self) -> usize {
        self.state.busy_calls.load(Ordering::SeqCst)
    }

    /// Names a limit, in requests a second, in all replies from now on; `None` ends it.
    pub fn set_limit(&self, limit: Option<&str>) {
        *self.state.limit.lock() = limit.map(str::to_owned);
    }

    /// Says in all replies from now on that the replica leaves.
    pub fn announce_leaving(&self) {
        self.state.is_leaving.store(true, Ordering::SeqCst);
    }

    /// Delays each plain response, and the first event of each stream after the head, from now on.
    pub fn set_extra_delay(&self, delay: Duration) {
        *self.state.extra_delay.lock() = delay;
    }

    /// Delays each stage call with pieces of a stage from now on.
    pub fn set_stage_delay(&self, stage: u64, delay: Duration) {
        self.state.stage_delays.lock().insert(stage, delay);
    }

    /// Returns the work on requests and pieces that has ended, in the order of the ends.
    pub fn work(&self) -> Vec<Work> {
        self.state.work.lock().clone()
    }

    /// Refuses all requests with this value of `Retry-After` from now on; `None` ends it.
    pub fn set_pause(&self, pause: Option<&str>) {
        *self.state.pause.lock() = pause.map(str::to_owned);
    }

    /// Returns the number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.state.in_progress.load(Ordering::SeqCst)
    }

    /// Returns the completed pieces by handle, including those whose results were freed.
    pub fn completed_pieces(&self) -> HashMap<String, CompletedPiece> {
        let mut completed = self.state.completed.lock().clone();
        completed.extend(
            self.state.freed.lock().iter().map(|(handle, piece)| (handle.clone(), piece.clone())),
        );
        completed
    }

    /// Returns the completed pieces whose results were freed.
    pub fn freed_pieces(&self) -> Vec<CompletedPiece> {
        self.state.freed.lock().values().cloned().collect()
    }

    /// Returns the number of pieces in each stage call.
    pub fn stage_call_sizes(&self) -> Vec<usize> {
        self.state.stage_call_sizes.lock().clone()
    }
}

/// Serves the connections of a listener, and starts again after each crash.
async fn run(mut listener: TcpListener, state: Arc<State>, options: Arc<Options>) {
    let addr = listener.local_addr().expect("a bound listener has an address");
    for restarts in 1.. {
        let stage_call_lock = Arc::<tokio::sync::Mutex<()>>::default();
        let mut connections = tokio::task::JoinSet::new();
        loop {
            tokio::select! {
                           accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                               let (state, options) = (state.clone(), options.clone());
                               let id = state.id.borrow().clone().unwrap_or_default();
                               let stage_call_lock = stage_call_lock.clone();
                               let number = state.connections.fetch_add(1, Ordering::SeqCst);
                               connections.spawn(async move {
                                   let counted = state.clone();
                                   counted.open_connections.fetch_add(1, Ordering::SeqCst);
                                   let _open = CountGuard(&counted.open_connections);
                                   let connection = Connection {
            stream, addr, id, state, options, stage_call_lock, last_reply: None, number,
            };
                                   // A caller that disconnects is not a failure of the replica.
                                   drop(connection.serve().await);
                               });
                           },
                           Some(_) = connections.join_next() => {}
                           () = state.crash.notified() => break,
                       }
        }
        drop(listener);
        connections.shutdown().await;
        state.crashes.lock().push(Instant::now());
        state.id.send_replace(None);
        time::sleep(RESTART_DELAY).await;
        listener = loop {
            match TcpListener::bind(addr).await {
                Ok(listener) => break listener,
                Err(_) => time::sleep(BIND_RETRY_INTERVAL).await,
            }
        };
        state.id.send_replace(Some(format!("{}-{restarts}", options.id)));
    }
}

struct Connection {
    stream: TcpStream,
    addr: SocketAddr,
    /// ID that the replica had when the connection was opened.
    id: String,
    state: Arc<State>,
    options: Arc<Options>,
    /// Held while a stage call runs, so that one runs at a time.
    stage_call_lock: Arc<tokio::sync::Mutex<()>>,
    /// Reply to the last call of pieces or call that frees results.
    last_reply: Option<String>,
    number: usize,
}

/// Decrements a counter when it is dropped.
struct CountGuard<'a>(&'a AtomicUsize);

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Records the work on a request when it is dropped.
struct WorkGuard {
    state: Arc<State>,
    request: String,
    started_at: Instant,
}

impl WorkGuard {
    fn new(state: &Arc<State>, request: &str) -> Self {
        Self { state: state.clone(), request: request.to_owned(), started_at: Instant::now() }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        let request = std::mem::take(&mut self.request);
        let (started_at, ended_at) = (self.started_at, Instant::now());
        self.state.work.lock().push(Work { request, started_at, ended_at });
    }
}

/// Returns the time that a request asks to be worked on with its header `Work-Ms`, in addition to the delays of the replica.
fn requested_work(run: &Run) -> Duration {
    let millis = run.headers.get("work-ms").and_then(|millis| millis.parse().ok());
    Duration::from_millis(millis.unwrap_or(0))
}

impl Connection {
    async fn serve(mut self) -> std::io::Result<()> {
        while let Some(run) = self.read_request().await? {
            self.state.arrivals.lock().push(Arrival {
                at: run.at,
                request: run.request.clone(),
                request_line: run.request_line.clone(),
                connection: self.number,
            });
            let expected = run.headers.get("expect-instance").map_or("", String::as_str);
            if expected != self.id {
                let headers =
                    [("Instance-Id", self.id.clone()), ("Attempt-Id", run.request.clone())];
                let headers = headers.each_ref().map(|(name, value)| (*name, value.as_str()));
                self.respond(421, &headers, b"").await?;
                continue;
            }
            let pause = self.state.pause.lock().clone();
            if let Some(pause) = pause {
                let headers = [
                    ("Not-Executed", "1"),
                    ("Retry-After", pause.as_str()),
                    ("Attempt-Id", run.request.as_str()),
                ];
                self.respond(503, &headers, b"").await?;
                continue;
            }
            if run.request_line.starts_with("POST /stage-") && self.last_reply.is_some() {
                let fault = *self.state.call_fault.lock();
                match fault {
                    Some(CallFault::RepeatOnNextCall) => self.repeat_reply().await?,
                    Some(CallFault::Forget) => std::future::pending().await,
                    Some(CallFault::CloseOnNextCall) => return Ok(()),
                    _ => {}
                }
            }
            match run.request_line.as_str() {
                "POST /stage-run" => self.run_pieces(&run).await?,
                "POST /stage-free" => {
                    let body: Value = serde_json::from_slice(&run.body).unwrap_or_default();
                    let handles = body["handles"].as_array().cloned().unwrap_or_default();
                    self.state.free(&handles);
                    self.respond_to_call("{}".to_owned()).await?;
                }
                _ => self.run_request(run).await?,
            }
        }
        Ok(())
    }

    async fn read_request(&mut self) -> std::io::Result<Option<Run>> {
        let mut buf = Vec::new();
        let end = loop {
            if let Some(end) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if buf.len() > MAX_HEAD_BYTES || self.stream.read_buf(&mut buf).await? == 0 {
                return Ok(None);
            }
        };
        let head = String::from_utf8_lossy(&buf[..end]).into_owned();
        let mut lines = head.split("\r\n");
        let request_line =
            lines.next().unwrap_or_default().trim_end_matches(" HTTP/1.1").to_owned();
        let headers: HashMap<String, String> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let length =
            headers.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
        let mut body = buf.split_off(end + 4);
        while body.len() < length {
            if self.stream.read_buf(&mut body).await? == 0 {
                return Ok(None);
            }
        }
        let request = headers.get("attempt-id").cloned().unwrap_or_default();
        Ok(Some(Run { at: Instant::now(), request, headers, request_line, body }))
    }

    async fn respond(
        &mut self,
        status: u16,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut head = format!("HTTP/1.1 {status} Status\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&self.state_headers());
        self.stream.write_all(&[head.as_bytes(), b"\r\n", body].concat()).await
    }

    /// Returns the header lines that tell the replica's limit and that it leaves.
    fn state_headers(&self) -> String {
        let limit = self.state.limit.lock();
        let mut lines =
            limit.as_ref().map_or(String::new(), |limit| format!("Server-Limit: {limit}\r\n"));
        if self.state.is_leaving.load(Ordering::SeqCst) {
            lines.push_str("Server-Leaving: 1\r\n");
        }
        lines
    }

    async fn run_pieces(&mut self, run: &Run) -> std::io::Result<()> {
        let limits = self.state.call_limits.lock().clone();
        let state = self.state.clone();
        let calls = state.stage_calls.fetch_add(1, Ordering::SeqCst);
        let _running = CountGuard(&state.stage_calls);
        if calls >= limits.calls {
            state.busy_calls.fetch_add(1, Ordering::SeqCst);
            return self.respond(503, &[("Not-Executed", "1")], b"").await;
        }
        let stage_call_lock = self.stage_call_lock.clone();
        let _guard = stage_call_lock.lock().await;
        let mut room = self.state.room(&limits);
        let body: Value = serde_json::from_slice(&run.body).unwrap_or_default();
        let items = body["items"].as_array().cloned().unwrap_or_default();
        self.state.stage_call_sizes.lock().push(items.len());
        let delay = limits.extra_duration + self.stage_delay(&items);
        let ids = items.iter().filter_map(|item| item["id"].as_str());
        let working: Vec<_> = ids.map(|request| WorkGuard::new(&self.state, request)).collect();
        time::sleep(self.options.stage_call_duration + delay).await;
        drop(working);
        let decrement = |count: usize| count.checked_sub(1);
        let order = Ordering::SeqCst;
        let is_full = self.state.full_calls.fetch_update(order, order, decrement).is_ok();
        let mut complete = |item: &Value| {
            if is_full || room == 0 {
                state.pieces_without_room.fetch_add(1, order);
                return json!({ "reason": "room" });
            }
            let inputs = item["inputs"].as_array().cloned().unwrap_or_default();
            let piece = CompletedPiece {
                request: item["id"].as_str().unwrap_or_default().to_owned(),
                stage: item["stage"].as_u64().unwrap_or_default(),
                inputs: inputs.iter().filter_map(Value::as_str).map(str::to_owned).collect(),
            };
            let handle = format!("{}/{:016x}", self.addr, rand::random::<u64>());
            room -= 1;
            self.state.held.lock().insert(handle.clone(), Instant::now());
            self.state.completed.lock().insert(handle.clone(), piece);
            json!({ "handle": handle })
        };
        let reply =
            json!({ "items": items.iter().map(&mut complete).collect::<Vec<_>>() }).to_string();
        self.respond_to_call(reply).await
    }

    /// Returns the longest delay of the stages of some pieces.
    fn stage_delay(&self, items: &[Value]) -> Duration {
        let delays = self.state.stage_delays.lock();
        let stages = items.iter().filter_map(|item| item["stage"].as_u64());
        stages.filter_map(|stage| delays.get(&stage).copied()).max().unwrap_or_default()
    }

    /// Sends the last reply to a call once more.
    async fn repeat_reply(&mut self) -> std::io::Result<()> {
        match self.last_reply.clone() {
            Some(reply) => self.respond(200, &[], reply.as_bytes()).await,
            None => Ok(()),
        }
    }

    /// Replies to a call of pieces or a call that frees results.
    async fn respond_to_call(&mut self, reply: String) -> std::io::Result<()> {
        let fault = *self.state.call_fault.lock();
        if fault == Some(CallFault::RepeatBeforeNext) {
            self.repeat_reply().await?;
        }
        let is_closing = fault == Some(CallFault::AnnounceClose);
        let headers: &[(&str, &str)] = if is_closing { &[("Connection", "close")] } else { &[] };
        self.respond(200, headers, reply.as_bytes()).await?;
        self.last_reply = Some(reply);
        match fault {
            Some(CallFault::RepeatWhenIdle) => {
                time::sleep(IDLE_FAULT_DELAY).await;
                self.repeat_reply().await
            }
            Some(CallFault::CloseWhenIdle) => {
                time::sleep(IDLE_FAULT_DELAY).await;
                self.stream.shutdown().await
            }
            _ => Ok(()),
        }
    }

    async fn run_request(&mut self, run: Run) -> std::io::Result<()> {
        let faults = self.state.faults.lock().clone();
        let fault = faults.lock().pop_front();
        let refusal = [("Not-Executed", "1"), ("Attempt-Id", run.request.as_str())];
        match fault {
            Some(Fault::NotExecuted) => return self.respond(503, &refusal, b"").await,
            Some(Fault::InputRemoved) => return self.respond(409, &refusal, b"").await,
            Some(Fault::ForeignRefusal) => {
                self.respond(503, &[refusal[0], ("Attempt-Id", "other")], b"").await?;
            }
            Some(Fault::UnnamedRefusal) => self.respond(503, &refusal[..1], b"").await?,
            _ => {}
        }
        self.state.runs.lock().push(run.clone());
        let state = self.state.clone();
        state.in_progress.fetch_add(1, Ordering::SeqCst);
        let _in_progress = CountGuard(&state.in_progress);
        let _working = WorkGuard::new(&state, &run.request);
        match fault {
            Some(Fault::EndlessHead) => {
                return self.send_without_end(b"HTTP/1.1 200 OK\r\n", b"X: y\r\n").await;
            }
            Some(Fault::EndlessBody) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {}\r\nReplica-Seal: s\r\n\r\n",
                    run.request
                );
                return self.send_without_end(head.as_bytes(), b"data: x\n").await;
            }
            Some(Fault::NoResponse) => return self.stream.shutdown().await,
            Some(Fault::Hang) => {
                // The read returns when the caller closes the connection.
                let mut buf = [0; 1];
                return self.stream.read(&mut buf).await.map(drop);
            }
            _ => {}
        }
        let attempt =
            if fault == Some(Fault::WrongAttemptId) { "other" } else { run.request.as_str() };
        let mut headers = vec![("Attempt-Id", attempt)];
        if fault != Some(Fault::Unsigned) {
            headers.push(("Replica-Seal", self.id.as_str()));
        }
        let headers: Vec<(String, String)> =
            headers.into_iter().map(|(name, value)| (name.to_owned(), value.to_owned())).collect();
        let headers: Vec<(&str, &str)> =
            headers.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        let poison = self.state.poisons.lock().iter().find(|poison| poison.is_in(&run)).cloned();
        if let Some(poison) = poison {
            time::sleep(self.options.response_delay).await;
            if !matches!(poison, Poison::Request(..)) {
                let head = self.stream_head(&headers);
                self.stream.write_all(format!("{head}8\r\nid: 1\nda\r\n").as_bytes()).await?;
            }
            self.state.poisoned.lock().push((Instant::now(), run.request));
            self.state.crash.notify_one();
            return std::future::pending().await;
        }
        if run.request_line.contains("/stream/") {
            return self.stream_events(&run, &headers, fault).await;
        }
        if self.is_cancelled_in_extra_delay(requested_work(&run)).await {
            return Ok(());
        }
        time::sleep(self.options.response_delay).await;
        let body = format!("{} {}", run.request_line, run.request);
        match fault {
            Some(Fault::ServerError) => self.respond(500, &headers, b"failed").await,
            Some(Fault::Truncated) => {
                let head =
                    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len() + 10);
                self.stream.write_all(&[head.as_bytes(), body.as_bytes()].concat()).await?;
                self.stream.shutdown().await
            }
            _ => self.respond(200, &headers, body.as_bytes()).await,
        }
    }

    /// Waits for the extra delay and `work`; returns true if the caller closes the connection meanwhile, which cancels its
    /// request.
    async fn is_cancelled_in_extra_delay(&mut self, work: Duration) -> bool {
        let extra_delay = *self.state.extra_delay.lock() + work;
        if extra_delay.is_zero() {
            return false;
        }
        let mut buf = [0; 1];
        tokio::select! {
            _ = self.stream.read(&mut buf) => true,
            () = time::sleep(extra_delay) => false,
        }
    }

    /// Sends `start`, then `part` again and again until the caller closes the connection.
    async fn send_without_end(&mut self, start: &[u8], part: &[u8]) -> std::io::Result<()> {
        self.stream.write_all(start).await?;
        let parts = part.repeat(1_000);
        loop {
            self.stream.write_all(&parts).await?;
        }
    }

    /// Sends an event that never ends, until the caller closes the connection.
    async fn drip(&mut self) -> std::io::Result<()> {
        self.stream.write_all(b"6\r\ndata: \r\n").await?;
        let mut buf = [0; 1];
        loop {
            tokio::select! {
                _ = self.stream.read(&mut buf) => return Ok(()),
                () = time::sleep(DRIP_INTERVAL) => self.stream.write_all(b"1\r\nx\r\n").await?,
            }
        }
    }

    fn stream_head(&self, headers: &[(&str, &str)]) -> String {
        let mut head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                .to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&self.state_headers());
        format!("{head}\r\n")
    }

    async fn stream_events(
        &mut self,
        run: &Run,
        headers: &[(&str, &str)],
        fault: Option<Fault>,
    ) -> std::io::Result<()> {
        let head = self.stream_head(headers);
        self.stream.write_all(head.as_bytes()).await?;
        let after = run.headers.get("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        if fault == Some(Fault::EmptyContinuation) && after > 0 {
            return self.stream.write_all(b"0\r\n\r\n").await;
        }
        if self.is_cancelled_in_extra_delay(Duration::ZERO).await {
            return Ok(());
        }
        let interval = self.options.response_delay
            + requested_work(run).div_f64(self.options.events.max(1) as f64);
        for id in after + 1..=self.options.events {
            let mut buf = [0; 1];
            tokio::select! {
                // A caller cancels its request by closing the connection.
                _ = self.stream.read(&mut buf) => return Ok(()),
                () = time::sleep(interval) => {}
            }
            let mut event = format!("id: {id}\ndata: {} {id}\n\n", run.request);
            let is_cut = matches!(fault, Some(Fault::Truncated | Fault::EmptyContinuation));
            let is_last = is_cut && id == after + 3;
            if fault == Some(Fault::Dripping) && id == after + 3 {
                return self.drip().await;
            }
            let paused_at = match fault {
                Some(Fault::Pause) => after + 3,
                Some(Fault::PauseFirst) => after + 1,
                _ => 0,
            };
            if id == paused_at && self.is_cancelled_in_extra_delay(PAUSE).await {
                return Ok(());
            }
            if is_last {
                event.truncate(event.len() / 2);
            }
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            self.stream.write_all(chunk.as_bytes()).await?;
            if is_last {
                return self.stream.shutdown().await;
            }
        }
        self.stream.write_all(b"0\r\n\r\n").await
    }
}
