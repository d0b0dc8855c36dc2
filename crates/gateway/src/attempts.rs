//! Sends a request to a target, and to further targets when a retry is allowed.

mod continuation;
pub(crate) mod hedge;
mod held;
mod limited;
mod quarantined;
mod stopping;

use std::collections::HashSet;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use marigold_core::ids::{Name, Uptime};
use marigold_core::poison::Suspect;
use marigold_core::router::Candidate;
use marigold_core::routes::{Customer, Repeat, Route};
use marigold_core::targets::Target;
use marigold_core::{admission, placement};
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages::PieceFailure;
use opentelemetry::KeyValue;

use crate::announcements;
use crate::dialect::{CallerHead, Dialect, Forward, LimitStatement, ReplyHead};
use crate::in_progress::{Phase, Progress};
use crate::limits;
use crate::origins::versions;
use crate::response::Failure;
use crate::shared::{AdoptedConfig, Shared};
use crate::stage_runner::{Results, StageRunner};
use crate::targets::TrackedTarget;
use crate::upstream::Connection;

/// Retry-After of a refused request, as a range of shares of its remaining time. Overloads last for seconds and callers
/// have few attempts. The value is random because callers that retry at the same time overload the targets again.
const RETRY_AFTER_SHARE: std::ops::Range<f64> = 0.25..0.33;
/// Attempts at targets that did not run a request, after which it is refused.
const MAX_NOT_RUN_ATTEMPTS: u32 = 4;
/// Targets with limits that were denied to a request, after which it uses targets without limits only.
const MAX_DENIED_ASKS: usize = 4;
/// Highest status of HTTP; the library that parses replies accepts three digits.
const MAX_STATUS: u16 = 599;
/// Number of route priorities that are distinguished. The deployments declare three.
const ROUTE_PRIORITIES: u8 = 4;
/// Lowest urgency that targets accept; 0 is the highest.
const LOWEST_URGENCY: u8 = 9;

/// A request that was sent to a target; dropping it closes the connection, which cancels the request.
pub(crate) struct SentRequest {
    call: CallGuard,
    _connection: Connection,
    sent_at: Uptime,
    load_at_send: u32,
}

impl SentRequest {
    /// Returns the id of the target.
    pub(crate) fn target(&self) -> &str {
        &self.call.0.target.id
    }

    /// Returns the target with its load.
    pub(crate) fn tracked(&self) -> &Arc<TrackedTarget> {
        &self.call.0
    }

    /// Returns the start of the target.
    pub(crate) fn target_start(&self) -> &Target {
        &self.call.0.target
    }

    /// Returns the time at which the request was sent.
    pub(crate) fn sent_at(&self) -> Uptime {
        self.sent_at
    }

    /// Records a success of the target.
    pub(crate) fn on_success(&self) {
        let now = boottime::now();
        let duration = now.saturating_sub(self.sent_at);
        let tracked = self.tracked();
        tracked.load.on_success(duration, self.load_at_send, tracked.target.slots, now);
    }

    /// Records a failure of the target.
    pub(crate) fn on_failure(&self) {
        self.tracked().load.on_failure(boottime::now());
    }
}

/// A call that counts in the load of its target until this is dropped, also when the request is given up before its reply.
struct CallGuard(Arc<TrackedTarget>);

impl CallGuard {
    fn new(tracked: &Arc<TrackedTarget>) -> Self {
        tracked.load.on_send();
        Self(tracked.clone())
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.load.on_end();
    }
}

/// A target's reply, whose body has not been read.
pub(crate) struct Reply {
    pub(crate) sent: SentRequest,
    pub(crate) head: ReplyHead,
    pub(crate) response: Response<Incoming>,
}

/// Reason why a target has not answered a request.
enum NoAnswer {
    /// The target states with this status that it did not run the request.
    NotRun(StatusCode),
    /// The connection broke before the head of the reply.
    Broken,
}

/// A caller's request and the state of its attempts.
pub(crate) struct Attempts<D: Dialect, S: Store> {
    pub(crate) shared: Arc<Shared<D, S>>,
    pub(crate) adopted: Arc<AdoptedConfig>,
    pub(crate) route: Arc<Route>,
    pub(crate) pool: Name,
    pub(crate) customer: Option<Arc<Customer>>,
    pub(crate) head: CallerHead,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// End-to-end headers of the caller's request.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What may crash the targets that run the request.
    pub(crate) suspects: Arc<[Suspect]>,
    pub(crate) arrived: Uptime,
    pub(crate) deadline: Uptime,
    /// Whether the caller has come back after a refusal.
    pub(crate) is_retry: bool,
    /// Number of attempts in which the request ran or may have run.
    pub(crate) runs: u32,
    /// Targets that the request has lost before it had an answer.
    pub(crate) lost_targets: Vec<Arc<TrackedTarget>>,
    /// Whether the request finds out if a quarantine is still needed.
    pub(crate) is_probe: bool,
    /// Where the stream began, once its first event is known; it goes on at this software version only.
    pub(crate) begun: Option<continuation::Begun>,
    /// Targets to which the request is not sent again.
    pub(crate) tried: HashSet<Name>,
    /// Set while the request may be hedged, or has been.
    pub(crate) race: Option<Arc<hedge::Race<D, S>>>,
    pub(crate) progress: Arc<Progress>,
}

impl<D: Dialect, S: Store> Attempts<D, S> {
    /// Returns the id of the request.
    pub(crate) fn request(&self) -> &str {
        &self.head.request
    }

    /// Returns the priority of the request; zero is served first. The customer's priority takes precedence; the
    /// route's priority orders requests of customers with the same priority.
    pub(crate) fn priority(&self) -> u8 {
        let route = self.route.priority.min(ROUTE_PRIORITIES - 1);
        let customer = self.customer.as_ref().and_then(|customer| customer.priority);
        customer
            .unwrap_or(self.route.priority)
            .saturating_mul(ROUTE_PRIORITIES)
            .saturating_add(route)
    }

    /// Admission control: refuses a share of the requests, before any work is done, when too many wait for their
    /// stages. Streams with a record go on in any case: their work was admitted when they began. So do callers that have
    /// come back after a refusal, since they do not come back again.
    ///
    /// # Errors
    /// A refusal.
    pub(crate) fn admit(&self) -> Result<(), Failure> {
        if self.is_retry || self.begun.as_ref().is_some_and(continuation::Begun::is_recorded) {
            return Ok(());
        }
        let estimates = self.stage_runner(self.arrived).estimate_first_event(&self.shared);
        let Some((expected_latency, unloaded_latency)) = estimates else { return Ok(()) };
        let probability = admission::refusal_probability(
            expected_latency,
            unloaded_latency,
            self.route.latency_objective,
        );
        if rand::random::<f64>() >= probability {
            return Ok(());
        }
        tracing::info!(
            request = self.request(),
            first_attempt = self.head.resumes,
            expected_ms = expected_latency.as_millis() as u64,
            unloaded_ms = unloaded_latency.as_millis() as u64,
            aim_ms = self.route.latency_objective.as_millis() as u64,
            part = probability,
            "request not admitted"
        );
        Err(self.refused("too many requests wait for the stages"))
    }

    fn stage_runner(&self, since: Uptime) -> StageRunner<'_> {
        let has_stages = !self.route.stages.is_empty();
        let now = boottime::now();
        let held = self.shared.limits.held(self.demand(), false, now);
        let target = has_stages.then(|| self.pick_target(now, &held)).flatten();
        StageRunner {
            routing: &self.adopted.routing,
            route: &self.route,
            head: &self.head,
            priority: self.priority(),
            since,
            deadline: self.deadline,
            target_data_centre: target.map(|tracked| tracked.target.data_centre.clone()),
        }
    }

    /// Runs the stages of the request. The latency objective counts from `since`.
    ///
    /// # Errors
    /// A refusal when a stage fails; the request itself has not run.
    pub(crate) async fn run_stages(&self, since: Uptime) -> Result<Results<D, S>, Failure> {
        self.progress.set_phase(Phase::Stages);
        let too_late = self.shared.stop.too_late_for(|| self.work_at_target());
        let results = tokio::select! {
            biased;
            results = self.stage_runner(since).run(&self.shared) => results,
            () = too_late => return Err(self.stop_failure()),
        };
        results.map_err(|failure| {
            if self.total_runs() > 0 {
                return self.no_target_failure();
            }
            let reason = match failure {
                PieceFailure::Late => "the stages could not be done in time",
                PieceFailure::InputGone => "a stage's results were lost",
                PieceFailure::Failed => "a stage failed",
                PieceFailure::Overloaded => "a stage's targets are overloaded",
            };
            self.refused(reason)
        })
    }

    /// Returns whether the route allows the request to run at another target.
    pub(crate) fn can_retry(&self) -> bool {
        self.route.repeat != Repeat::Never && self.total_runs() < self.route.max_attempts
    }

    /// Withdraws a retry from the pool's budget; returns false when the budget is exhausted.
    fn withdraw_retry(&self, reason: &'static str) -> bool {
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

    /// Returns whether the request may be sent again after a failure at a target where it ran or may have run, and
    /// withdraws the retry from the budget.
    pub(crate) async fn start_retry(&self, reason: &'static str) -> bool {
        self.can_retry() && !self.is_suspect().await && self.withdraw_retry(reason)
    }

    fn customer_name(&self) -> Option<&str> {
        self.customer.as_ref().map(|customer| customer.name.as_str())
    }

    /// Returns whether a stream that can be taken up would begin at the next target.
    fn is_beginning(&self) -> bool {
        self.route.repeat == Repeat::Resumable && self.begun.is_none()
    }

    /// Chooses among the targets that have not been tried and are not in `held`.
    fn pick_target(&self, now: Uptime, held: &HashSet<Name>) -> Option<Arc<TrackedTarget>> {
        let targets = self.shared.targets.in_pool(&self.pool);
        let is_candidate = |tracked: &Arc<TrackedTarget>| {
            let id = &tracked.target.id;
            let is_version =
                self.begun.as_ref().is_none_or(|begun| begun.version == tracked.target.version);
            let is_held = held.contains(id) || tracked.hold.until(now).is_some();
            is_version && !self.tried.contains(id) && !is_held && !self.is_hedge_target(id)
        };
        let mut untried: Vec<Arc<TrackedTarget>> =
            targets.into_iter().filter(is_candidate).collect();
        let is_added = |tracked: &Arc<TrackedTarget>| {
            self.shared.versions.is_added(&self.pool, &tracked.target.version)
        };
        if self.is_beginning() && untried.iter().any(is_added) {
            untried.retain(is_added);
        }
        let settings = self.shared.settings();
        let candidates: Vec<Candidate> =
            untried.iter().map(|tracked| tracked.candidate(&settings.data_centre, now)).collect();
        let mut rng = rand::rng();
        let prompt = self.head.shared_prompt_part().filter(|_| self.route.shares_prompts);
        let index = match prompt {
            Some(prompt) => {
                let names: Vec<&str> =
                    untried.iter().map(|tracked| tracked.target.id.as_str()).collect();
                placement::by_prompt(prompt, &names, &candidates, &mut rng)
            }
            None => placement::by_load(&candidates, &mut rng),
        };
        untried.get(index?).cloned()
    }

    /// Sends the request to a target, and to further targets as long as it provably did not run or may be retried.
    ///
    /// `results` are the results of its stages; `resume_after` is the id of the event after which a stream resumes.
    ///
    /// # Errors
    /// A refusal when the request has not run at any target, and another failure when it may have run.
    pub(crate) async fn send(
        &mut self,
        results: Results<D, S>,
        resume_after: Option<u64>,
    ) -> Result<Reply, Failure> {
        let mut results = Arc::new(results);
        let mut not_run = 0;
        // Targets whose limits left no request for this one.
        let mut denied = HashSet::new();
        loop {
            self.progress.set_phase(Phase::Connecting);
            if let Some(entry) = self.quarantine() {
                return Err(self.quarantine_failure(&entry));
            }
            self.check_sending()?;
            if self.is_beginning() {
                versions::ensure_adopted(&self.shared, &self.pool).await;
            }
            let now = boottime::now();
            let is_denied_often = denied.len() >= MAX_DENIED_ASKS;
            let mut held = self.shared.limits.held(self.demand(), is_denied_often, now);
            held.extend(denied.iter().cloned());
            let picked = self.pick_target(now, &held).filter(|_| not_run < MAX_NOT_RUN_ATTEMPTS);
            let Some(tracked) = picked else {
                let is_limited = not_run < MAX_NOT_RUN_ATTEMPTS && self.is_pool_in(&held);
                let targets = self.shared.targets.in_pool(&self.pool);
                return Err(match self.all_held_until(&targets, now) {
                    _ if is_limited => self.limit_failure(),
                    Some(until) => self.hold_failure(until.saturating_sub(now)),
                    None => self.no_target_failure(),
                });
            };
            if self.is_beginning() {
                versions::ensure_added(&self.shared, &self.pool, &tracked.target.version).await;
            }
            let is_granted = limits::acquire(&self.shared, &tracked, self.demand()).await;
            if !is_granted || !tracked.hold.acquire(boottime::now()) {
                denied.insert(tracked.target.id.clone());
                continue;
            }
            // Asking the owner of a limit has taken time.
            let now = boottime::now();
            self.tried.insert(tracked.target.id.clone());
            let connection = match Connection::open(tracked.target.addr).await {
                Ok(connection) => connection,
                Err(err) => {
                    tracing::warn!(request = self.request(), target = tracked.target.id, %err, "connecting to the target failed");
                    tracked.load.on_failure(boottime::now());
                    not_run += 1;
                    continue;
                }
            };
            // Opening the connection, and asking for a place, have taken time.
            self.check_sending()?;
            if let Some(last_event) = resume_after {
                tracing::info!(
                    request = self.request(),
                    first_attempt = self.head.resumes,
                    last_event,
                    target = tracked.target.id,
                    software = tracked.target.version,
                    "stream continued at target"
                );
            }
            let req = self.build_request(&tracked, &results, resume_after);
            self.runs += 1;
            self.progress.set_phase(Phase::Answer);
            self.on_first_sent(&tracked, now, &results);
            let status = match self.exchange(&tracked, connection, req, now).await {
                Ok(reply) => return Ok(reply),
                Err(NoAnswer::Broken) => {
                    self.on_first_failed();
                    if self.start_retry("no_reply").await {
                        continue;
                    }
                    return Err(Failure::new(StatusCode::BAD_GATEWAY, "the target gave no reply"));
                }
                Err(NoAnswer::NotRun(status)) => status,
            };
            self.on_first_failed();
            self.runs -= 1;
            not_run += 1;
            if !self.withdraw_retry("not_run") {
                return Err(self.no_target_failure());
            }
            if status == StatusCode::CONFLICT {
                // An input was lost with the target that held it; this target is healthy.
                self.tried.remove(&tracked.target.id);
                results = Arc::new(self.run_stages(boottime::now()).await?);
            }
        }
    }

    /// Sends the request over a connection to a target, and records what the reply says about the target. The reply may be
    /// unsigned, or to another request.
    async fn exchange(
        &mut self,
        tracked: &Arc<TrackedTarget>,
        mut connection: Connection,
        req: Request<Full<Bytes>>,
        sent_at: Uptime,
    ) -> Result<Reply, NoAnswer> {
        let load_at_send = tracked.load.snapshot(sent_at).total;
        let call = CallGuard::new(tracked);
        let response = connection.send(req).await;
        let sent = SentRequest { call, _connection: connection, sent_at, load_at_send };
        let response = match response {
            Ok(response) => response,
            Err(err) => {
                sent.on_failure();
                self.on_break(&sent, false);
                tracing::warn!(request = self.request(), target = tracked.target.id, %err, "no reply from the target");
                return Err(NoAnswer::Broken);
            }
        };
        let head = D::read_reply(response.status(), response.headers());
        let is_own_reply = head.is_reply_to(self.request());
        let limit = match head.limit {
            LimitStatement::Unlimited if !is_own_reply => LimitStatement::Unknown,
            limit => limit,
        };
        limits::observe(&self.shared, tracked, limit, sent_at);
        if is_own_reply {
            announcements::observe(&self.shared.targets, tracked, &head, sent_at);
        }
        let status = response.status();
        if !(head.not_run && is_own_reply) {
            if status.as_u16() <= MAX_STATUS {
                return Ok(Reply { sent, head, response });
            }
            sent.on_failure();
            let (request, target, status) = (self.request(), sent.target(), status.as_u16());
            tracing::warn!(request, target, status, "invalid status of the target");
            return Err(NoAnswer::Broken);
        }
        self.on_refused_by_target(sent_at);
        tracing::info!(
            request = self.request(),
            target = tracked.target.id,
            status = status.as_u16(),
            "target did not run the request"
        );
        Err(NoAnswer::NotRun(status))
    }

    /// Returns the failure of a request whose deadline has passed.
    pub(crate) fn deadline_failure(&self) -> Failure {
        if self.total_runs() > 0 {
            Failure::new(StatusCode::GATEWAY_TIMEOUT, "the target did not answer in time")
        } else {
            Failure::new(StatusCode::SERVICE_UNAVAILABLE, "the request could not be run in time")
        }
    }

    fn no_target_failure(&self) -> Failure {
        if self.total_runs() > 0 {
            return Failure::new(
                StatusCode::BAD_GATEWAY,
                "the request may have run at a target that failed",
            );
        }
        if self.begun.is_some() {
            return self.version_failure("no_target");
        }
        self.refused("no target took the request")
    }

    fn refused(&self, reason: &str) -> Failure {
        let time_left = self.deadline.saturating_sub(boottime::now());
        Failure::refused(reason, time_left.mul_f64(rand::random_range(RETRY_AFTER_SHARE)))
    }

    fn build_request(
        &self,
        tracked: &TrackedTarget,
        results: &Results<D, S>,
        resume_after: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let forward = Forward {
            time_left: self.deadline.saturating_sub(boottime::now()),
            target: tracked.target.id.clone(),
            customer: self.customer.as_ref().map(|customer| customer.name.clone()),
            urgency: self.route.shares_prompts.then(|| self.priority().min(LOWEST_URGENCY)),
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
}

impl Reply {
    /// Returns whether this is a target's reply to the given request that is no refusal.
    pub(crate) fn is_reply_to(&self, request: &str) -> bool {
        !self.head.not_run && self.head.is_reply_to(request)
    }
}

/// Headers that apply to a single connection.
const HOP_BY_HOP_HEADERS: [header::HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::EXPECT,
];

/// Returns the end-to-end headers. The content length is omitted, because the HTTP library sets it with the body.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: HashSet<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let is_kept = |name: &header::HeaderName| {
        !HOP_BY_HOP_HEADERS.contains(name)
            && *name != header::CONTENT_LENGTH
            && name != "keep-alive"
            && !connection_options.contains(name.as_str())
    };
    let kept = headers.iter().filter(|(name, _)| is_kept(name));
    kept.map(|(name, value)| (name.clone(), value.clone())).collect()
}
