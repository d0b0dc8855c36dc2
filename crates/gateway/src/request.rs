//! One request of a caller, from its head to its answer.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::Incoming;
use marigold_core::ids::Uptime;
use marigold_core::routes::{self, Customer, Limits, Refusal, Repeat, Route};
use marigold_objects::Store;
use marigold_process::boottime;
use opentelemetry::KeyValue;
use tokio::sync::mpsc;
use tokio::time;

use crate::attempts::{self, Attempts, Reply};
use crate::dialect::{CallerHead, Dialect};
use crate::relay::{self, Next, Source};
use crate::response::{self, Body, Failure};
use crate::shared::{AdoptedConfig, Shared};
use crate::upstream;

/// When a caller may come back to a gateway that does not know enough to serve it.
const RETRY_UNINFORMED: Duration = Duration::from_millis(500);
/// Largest whole answer of a target, in bytes.
const MAX_ANSWER: usize = 16 * 1024 * 1024;

/// A request in progress; its log line is written when it ends, however it does.
pub(crate) struct Guard<D: Dialect, S: Store> {
    shared: Arc<Shared<D, S>>,
    request: String,
    route: String,
    version: u64,
    arrived: Uptime,
    first_byte: Option<Duration>,
    is_finished: bool,
}

impl<D: Dialect, S: Store> Guard<D, S> {
    fn new(shared: &Arc<Shared<D, S>>, arrived: Uptime) -> Self {
        shared.start_request();
        Self {
            shared: shared.clone(),
            request: String::new(),
            route: String::new(),
            version: 0,
            arrived,
            first_byte: None,
            is_finished: false,
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

    /// Writes the request's log line.
    pub(crate) fn finish(mut self, status: StatusCode, outcome: &str, target: Option<&str>) {
        self.write(status.as_u16(), outcome, target);
    }

    fn write(&mut self, status: u16, outcome: &str, target: Option<&str>) {
        self.is_finished = true;
        tracing::info!(
            request = self.request,
            route = self.route,
            version = self.version,
            target,
            status,
            first_byte_ms = self.first_byte.map(|time| time.as_millis() as u64),
            took_ms = self.elapsed().as_millis() as u64,
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

impl<D: Dialect, S: Store> Drop for Guard<D, S> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.write(0, "caller_left", None);
        }
        self.shared.end_request();
    }
}

/// Answers a request.
pub(crate) async fn serve<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    req: Request<Incoming>,
) -> Response<Body> {
    let arrived = boottime::now();
    let mut guard = Guard::new(shared, arrived);
    let (parts, body) = req.into_parts();
    // Parsers differ on requests with two lengths, so nothing more is read after a body in chunks.
    let closes = parts.headers.contains_key(header::TRANSFER_ENCODING);
    let answered = match prepare(shared, &parts, body, &mut guard).await {
        Ok(attempts) => answer(attempts, guard).await,
        Err(failure) => fail(&failure, guard),
    };
    let mut response = answered;
    if closes || shared.is_stopping() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn fail<D: Dialect, S: Store>(failure: &Failure, guard: Guard<D, S>) -> Response<Body> {
    guard.finish(failure.status, &failure.reason, None);
    failure.into()
}

/// Checks a request and reads its body.
async fn prepare<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    parts: &request::Parts,
    body: Incoming,
    guard: &mut Guard<D, S>,
) -> Result<Attempts<D, S>, Failure> {
    let bad = |reason: String| Failure::new(StatusCode::BAD_REQUEST, reason).closing();
    let head = D::read_caller(&parts.headers).map_err(|err| bad(err.to_string()))?;
    guard.request.clone_from(&head.request);
    let host = check_framing(parts).map_err(|reason| bad(reason.to_owned()))?;
    let uninformed = |reason: &str| Failure::refused(reason, RETRY_UNINFORMED);
    let Some(adopted) = shared.adopted.load_full() else {
        return Err(uninformed("no configuration is known yet"));
    };
    guard.version = adopted.routing.version;
    let (route, customer) = authorize(shared, &adopted, host, parts.uri.path(), &head)?;
    guard.route.clone_from(&route.name);
    let patience = head.timeout.map_or(route.timeout, |patience| patience.min(route.timeout));
    let deadline = guard.arrived + patience;
    let body = read_body(parts, body, &adopted.routing.limits, patience).await?;
    let pool = route.pool(routes::hash_point(&head.request)).clone();
    shared.count_request(&pool);
    Ok(Attempts {
        shared: shared.clone(),
        adopted,
        route,
        pool,
        customer,
        head,
        method: parts.method.clone(),
        uri: parts.uri.clone(),
        headers: attempts::end_to_end(&parts.headers),
        body,
        arrived: guard.arrived,
        deadline,
        runs: 0,
        tried: HashSet::new(),
    })
}

/// Checks what different parsers read differently; gives the host.
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

/// The route and the customer of a request, as far as the knowledge of the configuration allows a decision.
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
                RETRY_UNINFORMED,
            );
        }
        let status = match refusal {
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::UnknownKey => StatusCode::UNAUTHORIZED,
        };
        Failure::new(status, refusal.to_string())
    };
    let routing = &adopted.routing;
    let route = routing.route(host, path).map_err(refuse)?;
    if routing.needs_key(route) && !confidence.can_accept_keys {
        let reason = "the store has not confirmed for too long that keys are valid";
        return Err(Failure::refused(reason, RETRY_UNINFORMED));
    }
    let customer = routing.customer(route, head.api_key.as_deref()).map_err(refuse)?;
    Ok((route.clone(), customer))
}

async fn read_body(
    parts: &request::Parts,
    body: Incoming,
    limits: &Limits,
    patience: Duration,
) -> Result<Bytes, Failure> {
    let too_large =
        || Failure::new(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large").closing();
    let declared = parts
        .headers
        .get(header::CONTENT_LENGTH)
        .and_then(|value| value.to_str().ok()?.parse::<usize>().ok());
    if declared.is_some_and(|length| length > limits.body_bytes) {
        return Err(too_large());
    }
    let collected = time::timeout(patience, Limited::new(body, limits.body_bytes).collect());
    match collected.await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(err)) if err.is::<LengthLimitError>() => Err(too_large()),
        Ok(Err(err)) => {
            let reason = format!("the body cannot be read: {}", upstream::describe(&*err));
            Err(Failure::new(StatusCode::BAD_REQUEST, reason).closing())
        }
        Err(_) => {
            Err(Failure::new(StatusCode::REQUEST_TIMEOUT, "the body did not arrive in time")
                .closing())
        }
    }
}

/// Has a request run, and answers when its deadline passes before.
async fn answer<D: Dialect, S: Store>(
    mut attempts: Attempts<D, S>,
    mut guard: Guard<D, S>,
) -> Response<Body> {
    let left = attempts.deadline.saturating_sub(boottime::now());
    let ran = time::timeout(left, execute(&mut attempts)).await;
    let failure = match ran {
        Ok(Ok(Answer::Whole { status, response, target })) => {
            guard.on_first_byte();
            guard.finish(status, "answered", Some(&target));
            return response;
        }
        Ok(Ok(Answer::Stream { head, first, source })) => {
            guard.on_first_byte();
            return stream(head, first, source, attempts, guard);
        }
        Ok(Err(failure)) => failure,
        Err(_) if attempts.runs > 0 => {
            Failure::new(StatusCode::GATEWAY_TIMEOUT, "the target did not answer in time")
        }
        Err(_) => {
            Failure::new(StatusCode::SERVICE_UNAVAILABLE, "the request could not be run in time")
        }
    };
    fail(&failure, guard)
}

/// A target's answer.
enum Answer {
    Whole { status: StatusCode, response: Response<Body>, target: String },
    Stream { head: http::response::Parts, first: Option<Bytes>, source: Source },
}

async fn execute<D: Dialect, S: Store>(attempts: &mut Attempts<D, S>) -> Result<Answer, Failure> {
    attempts.admit()?;
    loop {
        let results = attempts.run_stages(attempts.arrived).await?;
        let reply = attempts.send(results, attempts.head.last_event).await?;
        if !reply.is_answer_to(attempts.request()) {
            tracing::warn!(
                request = attempts.request(),
                target = reply.sent.target(),
                status = reply.response.status().as_u16(),
                answers = reply.head.request,
                is_signed = reply.head.is_signed,
                "reply does not answer the request"
            );
            if attempts.repeat("foreign_reply") {
                continue;
            }
            return Err(Failure::new(
                StatusCode::BAD_GATEWAY,
                "the target's reply answers another request",
            ));
        }
        let is_stream = attempts.route.streams && reply.response.status() == StatusCode::OK;
        let answer =
            if is_stream { first_event(attempts, reply).await } else { whole(reply).await };
        match answer {
            Ok(answer) => {
                let is_failed =
                    matches!(&answer, Answer::Whole { status, .. } if status.is_server_error());
                if !(is_failed && attempts.repeat("target_failed")) {
                    return Ok(answer);
                }
            }
            Err(reason) => {
                tracing::warn!(request = attempts.request(), reason, "answer broke off");
                if !attempts.repeat("broken_answer") {
                    return Err(Failure::new(
                        StatusCode::BAD_GATEWAY,
                        "the target's answer broke off",
                    ));
                }
            }
        }
    }
}

async fn whole(reply: Reply) -> Result<Answer, String> {
    let Reply { sent, response, .. } = reply;
    let (parts, body) = response.into_parts();
    let body = match Limited::new(body, MAX_ANSWER).collect().await {
        Ok(body) => body.to_bytes(),
        Err(err) => {
            sent.on_failure();
            return Err(upstream::describe(&*err));
        }
    };
    if parts.status.is_server_error() {
        sent.on_failure()
    } else {
        sent.on_success()
    }
    let mut response = response::whole(parts.status, body);
    *response.headers_mut() = attempts::end_to_end(&parts.headers);
    Ok(Answer::Whole { status: parts.status, response, target: sent.target().to_owned() })
}

/// Waits for a stream's first event, so that a target that fails before it can be replaced.
async fn first_event<D: Dialect, S: Store>(
    attempts: &Attempts<D, S>,
    reply: Reply,
) -> Result<Answer, String> {
    let Reply { sent, response, .. } = reply;
    let (head, body) = response.into_parts();
    let is_resumable = attempts.route.repeat == Repeat::Resumable;
    let mut source = Source::new(sent, body, attempts.head.last_event, is_resumable);
    match source.next().await {
        Next::Events(first) => {
            let (now, started) = (boottime::now(), source.started());
            let took = now.saturating_sub(started);
            attempts.shared.durations.observe_first_event(&attempts.route.name, took, now);
            Ok(Answer::Stream { head, first: Some(first), source })
        }
        Next::End => Ok(Answer::Stream { head, first: None, source }),
        Next::Broken(reason) => {
            source.on_failure();
            Err(reason)
        }
    }
}

fn stream<D: Dialect, S: Store>(
    head: http::response::Parts,
    first: Option<Bytes>,
    source: Source,
    attempts: Attempts<D, S>,
    guard: Guard<D, S>,
) -> Response<Body> {
    let (tx, rx) = mpsc::channel(relay::QUEUE);
    let mut response = Response::new(Body::Streamed(rx));
    *response.status_mut() = head.status;
    *response.headers_mut() = attempts::end_to_end(&head.headers);
    match first {
        Some(first) => {
            // The channel is new and empty, so the first part fits.
            let _ = tx.try_send(Ok(first));
            let deadline = attempts.deadline;
            tokio::spawn(relay::run(source, attempts, tx, deadline, guard));
        }
        None => guard.finish(head.status, "whole", Some(source.target())),
    }
    response
}
