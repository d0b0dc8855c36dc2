//! Sends a request to targets: to one, and to another only when that is allowed.

use std::collections::HashSet;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use marigold_core::ids::{Name, Uptime};
use marigold_core::router::Candidate;
use marigold_core::routes::{Customer, Repeat, Route};
use marigold_core::{admission, placement};
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages::PieceFailure;
use opentelemetry::KeyValue;

use crate::dialect::{CallerHead, Dialect, Forward, ReplyHead};
use crate::relay::Source;
use crate::response::Failure;
use crate::shared::{AdoptedConfig, Shared};
use crate::stage_runner::{Results, StageRunner};
use crate::targets::TrackedTarget;
use crate::upstream::Channel;

/// When a caller may come back after its request found no place, as a range of its time left. An overload lasts for
/// seconds, callers have few tries, and those that come back in step overload the targets again.
const COME_BACK: std::ops::Range<f64> = 0.25..0.33;
/// Targets that did not run a request, after which it is refused.
const MAX_NOT_RUN: u32 = 4;
/// Ranks of routes that are told apart; the deployments declare three.
const ROUTE_RANKS: u8 = 4;
/// Lowest urgency that a target knows.
const URGENCY_LAST: u8 = 9;

/// A request that was sent to a target; dropping it closes the connection, which cancels the request.
pub(crate) struct Sent {
    place: Arc<TrackedTarget>,
    _channel: Channel,
    started: Uptime,
    load_at_send: u32,
}

impl Sent {
    /// Id of the target.
    pub(crate) fn target(&self) -> &str {
        &self.place.target.id
    }

    /// When the request was sent.
    pub(crate) fn started(&self) -> Uptime {
        self.started
    }

    /// Notes that the target answered.
    pub(crate) fn on_success(&self) {
        let now = boottime::now();
        let took = now.saturating_sub(self.started);
        self.place.load.on_success(took, self.load_at_send, self.place.target.slots, now);
    }

    /// Notes that the target failed.
    pub(crate) fn on_failure(&self) {
        self.place.load.on_failure(boottime::now());
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        self.place.load.on_end();
    }
}

/// A target's reply, with its body still to come.
pub(crate) struct Reply {
    pub(crate) sent: Sent,
    pub(crate) head: ReplyHead,
    pub(crate) response: Response<Incoming>,
}

/// A caller's request, ready to be sent as often as that is allowed.
pub(crate) struct Attempts<D: Dialect, S: Store> {
    pub(crate) shared: Arc<Shared<D, S>>,
    pub(crate) adopted: Arc<AdoptedConfig>,
    pub(crate) route: Arc<Route>,
    pub(crate) pool: Name,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) head: CallerHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// End-to-end headers of the caller.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrived: Uptime,
    pub(crate) deadline: Uptime,
    /// Targets at which the request ran, or may have run.
    pub(crate) runs: u32,
    /// Targets that were tried.
    pub(crate) tried: HashSet<Name>,
}

impl<D: Dialect, S: Store> Attempts<D, S> {
    /// Id of the request.
    pub(crate) fn request(&self) -> &str {
        &self.head.request
    }

    /// Rank of the request; zero is first. The customer's goes before the route's, which decides between requests
    /// of customers of one rank.
    pub(crate) fn priority(&self) -> u8 {
        let route = self.route.priority.min(ROUTE_RANKS - 1);
        let customer = self.customer.as_ref().and_then(|customer| customer.priority);
        customer.unwrap_or(self.route.priority).saturating_mul(ROUTE_RANKS).saturating_add(route)
    }

    /// Refuses a part of the requests, before any work is done, when too many wait for their stages.
    ///
    /// # Errors
    /// A refusal.
    pub(crate) fn admit(&self) -> Result<(), Failure> {
        let outlook = self.chain(self.arrived).estimate_first_event(&self.shared);
        let Some((expected, unloaded)) = outlook else { return Ok(()) };
        let part = admission::refusal_probability(expected, unloaded, self.route.latency_objective);
        if rand::random::<f64>() >= part {
            return Ok(());
        }
        tracing::info!(
            request = self.request(),
            expected_ms = expected.as_millis() as u64,
            unloaded_ms = unloaded.as_millis() as u64,
            aim_ms = self.route.latency_objective.as_millis() as u64,
            part,
            "request not admitted"
        );
        Err(self.refused("too many requests wait for the stages"))
    }

    fn chain(&self, since: Uptime) -> StageRunner<'_> {
        let has_stages = !self.route.stages.is_empty();
        let target = has_stages.then(|| self.pick(boottime::now())).flatten();
        StageRunner {
            routing: &self.adopted.routing,
            route: &self.route,
            head: &self.head,
            priority: self.priority(),
            since,
            deadline: self.deadline,
            target_data_centre: target.map(|place| place.target.data_centre.clone()),
        }
    }

    /// Runs the stages of the request, whose aim is counted from `since`.
    ///
    /// # Errors
    /// A refusal: the request itself has not run.
    pub(crate) async fn run_stages(&self, since: Uptime) -> Result<Results<D, S>, Failure> {
        self.chain(since).run(&self.shared).await.map_err(|failure| {
            let reason = match failure {
                PieceFailure::Late => "the stages could not be done in time",
                PieceFailure::InputGone => "a stage's results were lost",
                PieceFailure::Failed => "a stage failed",
                PieceFailure::Overloaded => "a stage's targets are overloaded",
            };
            self.refused(reason)
        })
    }

    /// Whether the request may run at one more target.
    fn may_repeat(&self) -> bool {
        self.route.repeat != Repeat::Never && self.runs < self.route.max_attempts
    }

    /// Takes a repeat out of the budget.
    fn withdraw(&self, reason: &'static str) -> bool {
        let is_allowed = self.shared.withdraw_retry(&self.pool);
        tracing::info!(
            request = self.request(),
            pool = self.pool,
            reason,
            runs = self.runs,
            is_allowed,
            "repeat"
        );
        if is_allowed {
            self.shared.metrics.retries.add(1, &[KeyValue::new("reason", reason)]);
        }
        is_allowed
    }

    /// Whether the request may be sent again after a failure at a target where it ran, or may have run.
    pub(crate) fn repeat(&self, reason: &'static str) -> bool {
        self.may_repeat() && self.withdraw(reason)
    }

    fn pick(&self, now: Uptime) -> Option<Arc<TrackedTarget>> {
        let places = self.shared.targets.in_pool(&self.pool);
        let untried: Vec<Arc<TrackedTarget>> =
            places.into_iter().filter(|place| !self.tried.contains(&place.target.id)).collect();
        let settings = self.shared.settings();
        let candidates: Vec<Candidate> =
            untried.iter().map(|place| place.candidate(&settings.data_centre, now)).collect();
        let mut rng = rand::rng();
        let prompt = self.head.shared_prompt_part().filter(|_| self.route.shares_prompts);
        let index = match prompt {
            Some(prompt) => {
                let names: Vec<&str> =
                    untried.iter().map(|place| place.target.id.as_str()).collect();
                placement::by_prompt(prompt, &names, &candidates, &mut rng)
            }
            None => placement::by_load(&candidates, &mut rng),
        };
        untried.get(index?).cloned()
    }

    /// Sends the request, to further targets as long as it provably has not run.
    ///
    /// `inputs` are the results of its last stages.
    ///
    /// # Errors
    /// A refusal when it has not run anywhere, and another failure when it may have.
    pub(crate) async fn send(
        &mut self,
        mut results: Results<D, S>,
        resume_after: Option<u64>,
    ) -> Result<Reply, Failure> {
        let mut not_run = 0;
        loop {
            let now = boottime::now();
            let Some(place) = self.pick(now).filter(|_| not_run < MAX_NOT_RUN) else {
                return Err(self.unplaced());
            };
            self.tried.insert(place.target.id.clone());
            let mut channel = match Channel::open(place.target.addr).await {
                Ok(channel) => channel,
                Err(err) => {
                    tracing::warn!(request = self.request(), target = place.target.id, %err, "target not reached");
                    place.load.on_failure(boottime::now());
                    not_run += 1;
                    continue;
                }
            };
            let req = self.build(&place, &results, resume_after);
            let load_at_send = place.load.snapshot(now).total;
            place.load.on_send();
            let sent = |channel| Sent {
                place: place.clone(),
                _channel: channel,
                started: now,
                load_at_send,
            };
            self.runs += 1;
            let response = match channel.send(req).await {
                Ok(response) => response,
                Err(err) => {
                    let sent = sent(channel);
                    sent.on_failure();
                    tracing::warn!(request = self.request(), target = place.target.id, %err, "no reply of a target");
                    if self.repeat("no_reply") {
                        continue;
                    }
                    return Err(Failure::new(StatusCode::BAD_GATEWAY, "the target gave no reply"));
                }
            };
            let sent = sent(channel);
            let head = D::read_reply(response.status(), response.headers());
            if !head.not_run {
                return Ok(Reply { sent, head, response });
            }
            self.runs -= 1;
            not_run += 1;
            let status = response.status();
            tracing::info!(
                request = self.request(),
                target = place.target.id,
                status = status.as_u16(),
                "target did not run the request"
            );
            drop(sent);
            if !self.withdraw("not_run") {
                return Err(self.unplaced());
            }
            if status == StatusCode::CONFLICT {
                // An input is gone with its maker; the target itself is in order.
                self.tried.remove(&place.target.id);
                results = self.run_stages(boottime::now()).await?;
            }
        }
    }

    fn unplaced(&self) -> Failure {
        if self.runs > 0 {
            return Failure::new(
                StatusCode::BAD_GATEWAY,
                "the request may have run at a target that failed",
            );
        }
        self.refused("no target took the request")
    }

    fn refused(&self, reason: &str) -> Failure {
        let left = self.deadline.saturating_sub(boottime::now());
        Failure::refused(reason, left.mul_f64(rand::random_range(COME_BACK)))
    }

    fn build(
        &self,
        place: &TrackedTarget,
        results: &Results<D, S>,
        resume_after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let forward = Forward {
            time_left: self.deadline.saturating_sub(boottime::now()),
            target: place.target.id.clone(),
            customer: self.customer.as_ref().map(|customer| customer.name.clone()),
            urgency: self.route.shares_prompts.then(|| self.priority().min(URGENCY_LAST)),
            inputs: results.handles(self.route.last_stages()),
            resume_after,
        };
        let mut req = Request::new(Full::new(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        D::forward_headers(&mut headers, &self.head, &forward);
        *req.headers_mut() = headers;
        req
    }

    /// Goes on with a stream at another target.
    pub(crate) async fn resume(&mut self, last_event: Option<u64>) -> Option<Source> {
        let last_event = last_event.or(self.head.last_event);
        if !self.repeat("stream_broken") {
            return None;
        }
        // The stream has begun, so it is as urgent as a request that has just arrived.
        let resumed = match self.run_stages(boottime::now()).await {
            Ok(results) => self.send(results, last_event).await,
            Err(failure) => Err(failure),
        };
        let reply = match resumed {
            Ok(reply) => reply,
            Err(failure) => {
                tracing::warn!(
                    request = self.request(),
                    reason = failure.reason,
                    "stream not resumed"
                );
                return None;
            }
        };
        let is_stream =
            reply.response.status() == StatusCode::OK && reply.is_answer_to(self.request());
        is_stream.then(|| Source::new(reply.sent, reply.response.into_body(), last_event, true))
    }
}

impl Reply {
    /// Whether this is a signed reply to a request, and not one to an earlier request.
    pub(crate) fn is_answer_to(&self, request: &str) -> bool {
        self.head.is_signed && self.head.request.as_deref() == Some(request)
    }
}

/// Headers that concern only one connection.
const CONNECTION_HEADERS: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Headers that go from end to end; the length is set anew with the body.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: HashSet<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_kept = |name: &header::HeaderName| {
        !CONNECTION_HEADERS.contains(name)
            && *name != header::CONTENT_LENGTH
            && name != "keep-alive"
            && !named.contains(name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| is_kept(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}
