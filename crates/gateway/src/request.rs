//! Handles a caller's request: checks it, runs it and returns the response.

mod hedged;

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::uri::PathAndQuery;
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use marigold_core::ids::Uptime;
use marigold_core::memory_budget::{self, Kind};
use marigold_core::poison;
use marigold_core::routes::{self, Customer, Limits, Refusal, Repeat, Route};
use marigold_objects::Store;
use marigold_process::boottime;
use opentelemetry::KeyValue;
use tokio::sync::mpsc;
use tokio::time;

use crate::attempts::{self, Attempts, Reply};
use crate::dialect::{CallerHead, Dialect};
use crate::in_progress::{Phase, Progress};
use crate::memory::{Denied, Hold, Memory};
use crate::relay::{self, EventStream, StreamItem};
use crate::response::{self, Body, Chunk, Failure, UnreadBody};
use crate::shared::{AdoptedConfig, Shared};
use crate::stop::Work;
use crate::upstream;

/// Retry-After of a request that the gateway cannot decide on, because it has no or only a stale configuration.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Retry-After of a request whose route or customer cannot be used until the operator changes the configuration.
const UNUSABLE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Retry-After of a request whose body was given up for lack of memory. A crowd keeps its memory until its bodies are given up or
/// their time is over; callers honour a third of their remaining time.
const MEMORY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum size of a target's response that is not a stream, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;
/// Size up to which a response is gathered in any case, in bytes; the rest draws on the memory that replies share.
const MIN_GATHERED_BYTES: usize = 64 * 1024;

/// A request in progress. Its log line is written when it ends, also when the caller closes the connection and the
/// guard is dropped.
pub(crate) struct RequestGuard<D: Dialect, S: Store> {
    shared: Arc<Shared<D, S>>,
    request: String,
    route: String,
    version: u64,
    arrived: Uptime,
    first_byte: Option<Duration>,
    is_retry: bool,
    is_finished: bool,
    progress: Arc<Progress>,
}

impl<D: Dialect, S: Store> RequestGuard<D, S> {
    fn new(shared: &Arc<Shared<D, S>>, arrived: Uptime) -> Self {
        Self {
            shared: shared.clone(),
            request: String::new(),
            route: String::new(),
            version: 0,
            arrived,
            first_byte: None,
            is_retry: false,
            is_finished: false,
            progress: shared.in_progress.open(arrived),
        }
    }

    fn elapsed(&self) -> Duration {
        boottime::now().saturating_sub(self.arrived)
    }

    fn on_first_byte(&mut self) {
        let elapsed = self.elapsed();
        self.first_byte = Some(elapsed);
        let labels = [KeyValue::new("route", self.route.clone())];
        self.shared.metrics.first_byte_seconds.record(elapsed.as_secs_f64(), &labels);
    }

    /// Logs and counts the end of the request.
    pub(crate) fn finish(mut self, status: StatusCode, outcome: &str, target: Option<&str>) {
        self.record(status.as_u16(), outcome, target);
    }

    fn record(&mut self, status: u16, outcome: &str, target: Option<&str>) {
        self.is_finished = true;
        tracing::info!(
            request = self.request,
            route = self.route,
            version = self.version,
            target,
            status,
            first_byte_ms = self.first_byte.map(|time| time.as_millis() as u64),
            is_retry = self.is_retry,
            took_ms = self.elapsed().as_millis() as u64,
            phase = self.progress.phase().as_str(),
            outcome,
            "request ended"
        );
        let labels = [
            KeyValue::new("route", self.route.clone()),
            KeyValue::new("status", i64::from(status)),
        ];
        self.shared.metrics.requests.add(1, &labels);
    }
}

impl<D: Dialect, S: Store> Drop for RequestGuard<D, S> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.record(0, "caller_left", None);
        }
        self.shared.in_progress.close(&self.progress);
    }
}

/// Handles a request and returns its response.
pub(crate) async fn serve<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    req: Request<Incoming>,
) -> Response<Body> {
    let arrived = boottime::now();
    let mut guard = RequestGuard::new(shared, arrived);
    let (parts, body) = req.into_parts();
    let has_body = !http_body::Body::is_end_stream(&body);
    // HTTP parsers disagree on requests that have both a length and chunked encoding, so no further request is read
    // from a connection after a chunked body.
    let closes_connection = parts.headers.contains_key(header::TRANSFER_ENCODING);
    let response = match prepare(shared, &parts, body, &mut guard).await {
        Ok(attempts) => respond(attempts, guard).await,
        Err(failure) => {
            let mut response = failure_response(&failure, guard);
            if has_body {
                response.extensions_mut().insert(UnreadBody);
            }
            response
        }
    };
    let mut response = response;
    if closes_connection || shared.is_stopping() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn failure_response<D: Dialect, S: Store>(
    failure: &Failure,
    guard: RequestGuard<D, S>,
) -> Response<Body> {
    guard.finish(failure.status, &failure.reason, None);
    failure.into()
}

/// Checks a request, authorizes it and reads its body.
///
/// # Errors
/// The response to a request that is invalid or is not accepted.
async fn prepare<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    parts: &request::Parts,
    body: Incoming,
    guard: &mut RequestGuard<D, S>,
) -> Result<Attempts<D, S>, Failure> {
    let bad_request =
        |reason: String| Failure::new(StatusCode::BAD_REQUEST, reason).closing_connection();
    let head = D::read_caller(&parts.headers).map_err(|err| bad_request(err.to_string()))?;
    guard.request.clone_from(&head.request);
    guard.progress.set_request(&head.request);
    let host = check_framing(parts).map_err(|reason| bad_request(reason.to_owned()))?;
    let not_ready = |reason: &str| Failure::refused(reason, NOT_READY_RETRY_AFTER);
    let Some(adopted) = shared.adopted.load_full() else {
        return Err(not_ready("no configuration is known yet"));
    };
    if !shared.knows_quarantines() {
        return Err(not_ready("it is not known yet which requests crash targets"));
    }
    if !shared.knows_evacuations() {
        return Err(not_ready("it is not known yet which data centres are evacuated"));
    }
    guard.version = adopted.routing.version;
    let (route, customer) = authorize(shared, &adopted, host, parts.uri.path(), &head)?;
    guard.route.clone_from(&route.name);
    guard.progress.set_route(&route.name);
    let timeout = head.timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let deadline = guard.arrived + timeout;
    let is_retry = head.timeout.is_some_and(|timeout| {
        shared.durations.observe_caller(&route.name, timeout, guard.arrived)
    });
    guard.is_retry = is_retry;
    if is_retry {
        let labels = [KeyValue::new("route", route.name.clone())];
        shared.metrics.caller_retries.add(1, &labels);
    }
    let hold = shared.memory.open(Kind::Body { has_key: customer.is_some() });
    let work = || Work {
        duration: shared.durations.estimate_response(&route),
        deadline,
        is_stream: route.streams,
    };
    let too_late = shared.stop.too_late_for(work);
    let body = tokio::select! {
        biased;
        body = read_body(parts, body, &adopted.routing.limits, timeout, hold, &shared.memory) => body,
        () = too_late => Err(Failure::stopping().closing_connection()),
    }?;
    let pool = route.pool(routes::hash_point(&head.request)).clone();
    shared.count_request(&pool);
    shared.count_repeatable(route.repeat);
    let identity = poison::Identity {
        customer: customer.as_ref().map(|customer| customer.name.as_str()),
        method: parts.method.as_str(),
        path: parts.uri.path_and_query().map_or(parts.uri.path(), PathAndQuery::as_str),
        body: &body,
        prompt_parts: &head.prompt_parts,
    };
    let suspects = poison::suspects(&identity);
    Ok(Attempts {
        shared: shared.clone(),
        adopted,
        route,
        pool,
        customer,
        head,
        method: parts.method.clone(),
        uri: parts.uri.clone(),
        headers: attempts::end_to_end_headers(&parts.headers),
        body,
        suspects: suspects.into(),
        arrived: guard.arrived,
        deadline,
        is_retry,
        runs: 0,
        lost_targets: Vec::new(),
        is_probe: false,
        begun: None,
        tried: HashSet::new(),
        race: None,
        progress: guard.progress.clone(),
    })
}

/// Rejects requests that HTTP parsers interpret differently; returns the host.
fn check_framing(parts: &request::Parts) -> Result<&str, &'static str> {
    let headers = &parts.headers;
    if headers.contains_key(header::CONTENT_LENGTH)
        && headers.contains_key(header::TRANSFER_ENCODING)
    {
        return Err("a request has a length or is sent in chunks, not both");
    }
    if parts.uri.authority().is_some() || !parts.uri.path().starts_with('/') {
        return Err("the request's target is no path");
    }
    let mut hosts = headers.get_all(header::HOST).iter();
    match (hosts.next().map(HeaderValue::to_str), hosts.next()) {
        (Some(Ok(host)), None) => Ok(host),
        (Some(_), _) => Err("the request names more than one host, or one that cannot be read"),
        (None, _) => Err("the request names no host"),
    }
}

/// Returns the route and the customer of a request.
///
/// # Errors
/// A permanent refusal when the configuration is recent enough to prove it; otherwise one that the caller may retry.
fn authorize<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    adopted: &AdoptedConfig,
    host: &str,
    path: &str,
    head: &CallerHead,
) -> Result<(Arc<Route>, Option<Arc<Customer>>), Failure> {
    let confidence = shared.confidence(boottime::now());
    let refuse = |refusal: Refusal| {
        if !confidence.can_refuse_unknown {
            return Failure::refused(
                format!("{refusal}, or it is too new to be known here"),
                NOT_READY_RETRY_AFTER,
            );
        }
        let status = match refusal {
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
            Refusal::Unusable => {
                return Failure::refused(refusal.to_string(), UNUSABLE_RETRY_AFTER);
            }
        };
        Failure::new(status, refusal.to_string())
    };
    let routing = &adopted.routing;
    let route = routing.route(host, path).map_err(refuse)?;
    if routing.needs_key(route) && !confidence.can_accept_keys {
        let reason = "the store has not confirmed for too long that keys are valid";
        return Err(Failure::refused(reason, NOT_READY_RETRY_AFTER));
    }
    let customer = routing.customer(route, head.api_key.as_deref()).map_err(refuse)?;
    Ok((route.clone(), customer))
}

/// Reads a body into one buffer that is charged to the memory budget. It is given up when others come first.
async fn read_body(
    parts: &request::Parts,
    body: Incoming,
    limits: &Limits,
    timeout: Duration,
    hold: Hold,
    memory: &Memory,
) -> Result<Bytes, Failure> {
    let length = parts
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if length.is_some_and(|length| length > limits.max_body_bytes) {
        return Err(body_failure(BodyError::TooLarge, memory));
    }
    let read = time::timeout(timeout, collect_body(body, length, limits.max_body_bytes, hold));
    let read = read.await.unwrap_or(Err(BodyError::Late));
    read.map_err(|err| body_failure(err, memory))
}

/// Reason why a body was not read to its end.
enum BodyError {
    TooLarge,
    Late,
    GivenUp,
    Broken(String),
}

impl From<Denied> for BodyError {
    fn from(_: Denied) -> Self {
        Self::GivenUp
    }
}

fn body_failure(err: BodyError, memory: &Memory) -> Failure {
    let failure = match err {
        BodyError::TooLarge => {
            memory.record_refusal("body_too_large");
            Failure::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
        }
        BodyError::Late => {
            memory.record_refusal("body_late");
            Failure::new(StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time")
        }
        BodyError::GivenUp => {
            memory.record_refusal("body_given_up");
            Failure::refused(Denied.to_string(), MEMORY_RETRY_AFTER)
        }
        BodyError::Broken(reason) => {
            Failure::new(StatusCode::BAD_REQUEST, format!("the body cannot be read: {reason}"))
        }
    };
    failure.closing_connection()
}

async fn collect_body(
    mut body: Incoming,
    length: Option<usize>,
    limit: usize,
    mut hold: Hold,
) -> Result<Bytes, BodyError> {
    let mut buf = Vec::new();
    loop {
        let frame = tokio::select! {
            biased;
            () = hold.shed() => return Err(BodyError::GivenUp),
            frame = body.frame() => frame,
        };
        let Some(frame) = frame else { break };
        let frame = frame.map_err(|err| BodyError::Broken(upstream::error_chain(&err)))?;
        let Ok(data) = frame.into_data() else { continue };
        let size = buf.len() + data.len();
        if size > limit {
            return Err(BodyError::TooLarge);
        }
        reserve(&mut buf, size, length, limit, &mut hold)?;
        buf.extend_from_slice(&data);
        hold.record_arrival(data.len());
    }
    hold.complete()?;
    Ok(hold.attach(buf))
}

/// Makes room for `size` bytes in a buffer, and charges its capacity.
fn reserve(
    buf: &mut Vec<u8>,
    size: usize,
    length: Option<usize>,
    limit: usize,
    hold: &mut Hold,
) -> Result<(), Denied> {
    if size > buf.capacity() {
        let capacity = memory_budget::buffer_capacity(size, length, limit);
        hold.grow(capacity)?;
        buf.reserve_exact(capacity - buf.len());
    }
    Ok(())
}

/// Runs a request and returns the response, or a failure when its deadline or the stop time of the gateway passes first.
async fn respond<D: Dialect, S: Store>(
    mut attempts: Attempts<D, S>,
    mut guard: RequestGuard<D, S>,
) -> Response<Body> {
    let shared = attempts.shared.clone();
    let time_left = attempts.deadline.saturating_sub(boottime::now());
    let result = tokio::select! {
        biased;
        result = execute(&mut attempts) => result,
        () = time::sleep(time_left) => Err(attempts.deadline_failure()),
        () = shared.stop.out_of_time() => Err(attempts.stop_failure()),
    };
    let failure = match result {
        Ok(TargetResponse::Full { status, response, target }) => {
            guard.on_first_byte();
            guard.finish(status, "answered", Some(&target));
            return response;
        }
        Ok(TargetResponse::Stream { head, first_events, stream }) => {
            guard.on_first_byte();
            return stream_response(head, first_events, *stream, attempts, guard);
        }
        Err(failure) => failure,
    };
    failure_response(&failure, guard)
}

/// A target's response, complete or as a stream of events.
enum TargetResponse {
    Full { status: StatusCode, response: Response<Body>, target: String },
    Stream { head: http::response::Parts, first_events: Option<Bytes>, stream: Box<EventStream> },
}

impl TargetResponse {
    fn is_empty_stream(&self) -> bool {
        matches!(self, Self::Stream { first_events: None, .. })
    }

    /// Returns whether the answer decides the request, whatever another target would answer.
    fn is_success(&self) -> bool {
        match self {
            Self::Full { status, .. } => !status.is_server_error(),
            Self::Stream { first_events, .. } => first_events.is_some(),
        }
    }
}

async fn execute<D: Dialect, S: Store>(
    attempts: &mut Attempts<D, S>,
) -> Result<TargetResponse, Failure> {
    attempts.progress.set_phase(Phase::Checks);
    attempts.check_stop()?;
    attempts.check_quarantine().await?;
    attempts.find_origin().await?;
    attempts.check_targets()?;
    attempts.check_limits()?;
    attempts.admit()?;
    hedged::run(attempts).await
}

/// Runs the stages and sends the request, until it has an answer or may not be sent again.
async fn run_attempts<D: Dialect, S: Store>(
    attempts: &mut Attempts<D, S>,
) -> Result<TargetResponse, Failure> {
    // The answer of a target that failed, for the caller if no other target answers.
    let mut failed_answer = None;
    // Whether a target has ended the stream without an event.
    let mut is_end_claimed = false;
    loop {
        let sent = async {
            let results = attempts.run_stages(attempts.arrived).await?;
            attempts.send(results, attempts.head.last_event).await
        };
        let reply = match sent.await {
            Ok(reply) => reply,
            Err(failure) => return failed_answer.ok_or(failure),
        };
        if !reply.is_reply_to(attempts.request()) {
            attempts.on_first_failed();
            tracing::warn!(
                request = attempts.request(),
                target = reply.sent.target(),
                status = reply.response.status().as_u16(),
                answers = reply.head.request,
                is_signed = reply.head.is_signed,
                not_run = reply.head.not_run,
                "reply is unsigned or for another request"
            );
            if attempts.start_retry("foreign_reply").await {
                continue;
            }
            let reason = "the target's reply answers another request";
            return failed_answer.ok_or_else(|| Failure::new(StatusCode::BAD_GATEWAY, reason));
        }
        let is_stream = attempts.route.streams && reply.response.status() == StatusCode::OK;
        let response = if is_stream {
            start_stream(attempts, reply, true).await
        } else {
            read_full(attempts, reply).await
        };
        let is_success = response.as_ref().is_ok_and(TargetResponse::is_success);
        if is_success {
            attempts.on_first_answered()
        } else {
            attempts.on_first_failed()
        }
        match response {
            Ok(response) => {
                if let TargetResponse::Stream { first_events: Some(_), stream, .. } = &response {
                    attempts.record_origin(stream.target_start()).await;
                }
                if response.is_empty_stream()
                    && attempts.route.repeat == Repeat::Resumable
                    && !std::mem::replace(&mut is_end_claimed, true)
                {
                    let is_taken_up = attempts.head.last_event.is_some();
                    if attempts.start_retry("empty_stream").await {
                        if !is_taken_up {
                            failed_answer = Some(response);
                        }
                        continue;
                    }
                    if is_taken_up {
                        let reason = "no second target confirms that the stream has ended";
                        return Err(Failure::new(StatusCode::BAD_GATEWAY, reason));
                    }
                }
                let is_failed = matches!(
                    &response,
                    TargetResponse::Full { status, .. } if status.is_server_error()
                );
                if !(is_failed && attempts.start_retry("target_failed").await) {
                    return Ok(response);
                }
                failed_answer = Some(response);
            }
            Err(Unanswered::Silent) => {
                tracing::warn!(request = attempts.request(), "no event; sent to another target");
            }
            Err(Unanswered::Broken(reason)) => {
                tracing::warn!(request = attempts.request(), reason, "response ended early");
                if !attempts.start_retry("broken_answer").await {
                    let reason = "the target's answer broke off";
                    return failed_answer
                        .ok_or_else(|| Failure::new(StatusCode::BAD_GATEWAY, reason));
                }
            }
        }
    }
}

/// Gathers a body; the error is the reason why it was given up.
async fn gather<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    mut body: Incoming,
    length: Option<usize>,
) -> Result<Bytes, String> {
    let mut gathered = Vec::new();
    let mut hold = shared.memory.open(Kind::Response);
    let mut reply = shared.replies.open(MIN_GATHERED_BYTES);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|err| upstream::error_chain(&err))?;
        let Ok(data) = frame.into_data() else { continue };
        let size = gathered.len() + data.len();
        if size > MAX_RESPONSE_BYTES {
            return Err(format!("the body is larger than {MAX_RESPONSE_BYTES} bytes"));
        }
        reply.resize(size).map_err(|err| err.to_string())?;
        if let Err(err) = reserve(&mut gathered, size, length, MAX_RESPONSE_BYTES, &mut hold) {
            shared.memory.record_refusal("response_given_up");
            return Err(err.to_string());
        }
        gathered.extend_from_slice(&data);
    }
    Ok(hold.attach(gathered))
}

async fn read_full<D: Dialect, S: Store>(
    attempts: &mut Attempts<D, S>,
    reply: Reply,
) -> Result<TargetResponse, Unanswered> {
    let Reply { sent, response, .. } = reply;
    let (parts, body) = response.into_parts();
    let length = parts.headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok()?.parse().ok());
    let body = match gather(&attempts.shared, body, length).await {
        Ok(body) => body,
        Err(err) => {
            sent.on_failure();
            attempts.on_break(&sent, true);
            return Err(Unanswered::Broken(err));
        }
    };
    attempts.on_answer(sent.tracked());
    if parts.status.is_server_error() {
        sent.on_failure()
    } else {
        sent.on_success();
        attempts.observe_response(sent.sent_at());
    }
    let mut response = response::full(parts.status, body);
    *response.headers_mut() = attempts::end_to_end_headers(&parts.headers);
    Ok(TargetResponse::Full { status: parts.status, response, target: sent.target().to_owned() })
}

/// Why a target's response is given up.
#[derive(Debug)]
enum Unanswered {
    Broken(String),
    /// A stream has no event, and the request may be sent to another target.
    Silent,
}

/// Waits for the first event of a stream, so that the request can be retried when the target fails before it. With `may_retry`, a
/// target without an event for a while is given up if the request may be sent to another one.
async fn start_stream<D: Dialect, S: Store>(
    attempts: &mut Attempts<D, S>,
    reply: Reply,
    may_retry: bool,
) -> Result<TargetResponse, Unanswered> {
    let Reply { sent, response, .. } = reply;
    let (head, body) = response.into_parts();
    let is_resumable = attempts.route.repeat == Repeat::Resumable;
    let hold = attempts.shared.incomplete_events.open(relay::MIN_BUFFERED_BYTES);
    let stream = EventStream::new(sent, body, hold, attempts.head.last_event, is_resumable);
    let mut stream = Box::new(stream);
    let mut may_retry = may_retry && attempts.can_retry();
    let first_events = loop {
        match stream.next().await {
            StreamItem::Events(first_events) => break Some(first_events),
            StreamItem::End => break None,
            StreamItem::Silent if std::mem::take(&mut may_retry) => {
                stream.on_failure();
                attempts.on_break(stream.sent(), true);
                if attempts.start_retry("silent_stream").await {
                    return Err(Unanswered::Silent);
                }
            }
            // No other target may be asked, and this one may still be at work.
            StreamItem::Silent => {}
            StreamItem::Broken(reason) => {
                stream.on_failure();
                attempts.on_break(stream.sent(), true);
                return Err(Unanswered::Broken(reason));
            }
        }
    };
    if first_events.is_some() {
        let (now, sent_at) = (boottime::now(), stream.sent_at());
        let duration = now.saturating_sub(sent_at);
        attempts.shared.durations.observe_first_event(&attempts.route.name, duration, now);
        attempts.on_answer(stream.sent().tracked());
    }
    Ok(TargetResponse::Stream { head, first_events, stream })
}

fn stream_response<D: Dialect, S: Store>(
    head: http::response::Parts,
    first_events: Option<Bytes>,
    stream: EventStream,
    attempts: Attempts<D, S>,
    guard: RequestGuard<D, S>,
) -> Response<Body> {
    let (tx, rx) = mpsc::channel(relay::MAX_QUEUED_CHUNKS);
    let mut response = Response::new(Body::Streamed(rx));
    *response.status_mut() = head.status;
    *response.headers_mut() = attempts::end_to_end_headers(&head.headers);
    match first_events {
        Some(first_events) => {
            // The channel is empty, so this doesn't fail.
            let _ = tx.try_send(Chunk::Data(first_events));
            attempts.progress.set_phase(Phase::Stream);
            let deadline = attempts.deadline;
            tokio::spawn(relay::run(stream, attempts, tx, deadline, guard));
        }
        None => {
            let _ = tx.try_send(Chunk::End);
            guard.finish(head.status, "whole", Some(stream.target()));
        }
    }
    response
}
