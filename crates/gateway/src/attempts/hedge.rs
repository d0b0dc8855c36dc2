//! Hedged requests: what the two attempts must know of each other, and sending the second one.
//!
//! Both attempts run in one task, so the state cannot change between a check and the next `await`.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use marigold_core::hedge::{self, Denial};
use marigold_core::ids::{Name, Uptime};
use marigold_core::router::Candidate;
use marigold_core::routes::Repeat;
use marigold_objects::Store;
use marigold_process::boottime;
use opentelemetry::KeyValue;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time;

use super::continuation::Begun;
use super::{Attempts, NoAnswer, Reply};
use crate::dialect::Dialect;
use crate::response::Failure;
use crate::stage_runner::Results;
use crate::targets::TrackedTarget;
use crate::upstream::Connection;

/// A request that the first attempt has sent and that has no answer yet.
struct InFlight<D: Dialect, S: Store> {
    tracked: Arc<TrackedTarget>,
    sent_at: Uptime,
    /// Held so that they are not freed before both attempts have ended.
    results: Arc<Results<D, S>>,
}

/// State of the first attempt, and of those that it makes after failures.
struct First<D: Dialect, S: Store> {
    in_flight: Option<Arc<InFlight<D, S>>>,
    runs: u32,
    tried: HashSet<Name>,
    has_lost_targets: bool,
    is_answered: bool,
    /// Target and time of the request that was sent last.
    last_sent: Option<(Name, Uptime)>,
}

impl<D: Dialect, S: Store> Default for First<D, S> {
    fn default() -> Self {
        Self {
            in_flight: None,
            runs: 0,
            tried: HashSet::new(),
            has_lost_targets: false,
            is_answered: false,
            last_sent: None,
        }
    }
}

/// State of the second attempt.
struct Second<D: Dialect, S: Store> {
    /// Inputs of the request, which are not freed before the attempt has ended.
    inputs: Option<Arc<Results<D, S>>>,
    target: Option<Arc<TrackedTarget>>,
    sent_at: Option<Uptime>,
    may_have_run: bool,
    has_ended: bool,
    lost_targets: Vec<Arc<TrackedTarget>>,
}

impl<D: Dialect, S: Store> Default for Second<D, S> {
    fn default() -> Self {
        Self {
            inputs: None,
            target: None,
            sent_at: None,
            may_have_run: false,
            has_ended: false,
            lost_targets: Vec::new(),
        }
    }
}

/// The two attempts of a request.
pub(crate) struct Race<D: Dialect, S: Store> {
    first: watch::Sender<First<D, S>>,
    second: Mutex<Second<D, S>>,
}

impl<D: Dialect, S: Store> Race<D, S> {
    fn new() -> Self {
        Self { first: watch::Sender::new(First::default()), second: Mutex::default() }
    }

    /// Returns whether the first attempt has an answer that decides the request.
    pub(crate) fn is_answered(&self) -> bool {
        self.first.borrow().is_answered
    }

    /// Returns whether a hedge was sent, and has not ended.
    pub(crate) fn is_hedge_running(&self) -> bool {
        let second = self.second.lock();
        second.sent_at.is_some() && !second.has_ended
    }

    /// Records the end of the second attempt.
    pub(crate) fn on_second_end(&self, lost_targets: Vec<Arc<TrackedTarget>>) {
        let mut second = self.second.lock();
        second.has_ended = true;
        second.lost_targets = lost_targets;
    }

    /// Waits until a request of the first attempt has had no answer for `delay`.
    async fn wait_late(&self, delay: Duration) -> Arc<InFlight<D, S>> {
        let mut first = self.first.subscribe();
        loop {
            let in_flight = first.borrow_and_update().in_flight.clone();
            let changed = first.changed();
            let Some(in_flight) = in_flight else {
                // The sender is a field of `self`, so this does not fail.
                let _ = changed.await;
                continue;
            };
            let elapsed = boottime::now().saturating_sub(in_flight.sent_at);
            tokio::select! {
                _ = changed => {}
                () = time::sleep(delay.saturating_sub(elapsed)) => return in_flight,
            }
        }
    }

    fn is_current(&self, in_flight: &Arc<InFlight<D, S>>) -> bool {
        let first = self.first.borrow();
        first.in_flight.as_ref().is_some_and(|current| Arc::ptr_eq(current, in_flight))
    }
}

impl<D: Dialect, S: Store> Attempts<D, S> {
    /// Begins a race if the request may be hedged.
    pub(crate) fn begin_race(&mut self) -> Option<Arc<Race<D, S>>> {
        let may_hedge = self.shared.settings().hedge_ratio > 0.0
            && self.route.repeat != Repeat::Never
            && self.route.max_attempts > 1
            && self.runs == 0
            && self.begun.is_none()
            && self.head.last_event.is_none()
            && !self.is_probe;
        self.race = may_hedge.then(|| Arc::new(Race::new()));
        self.race.clone()
    }

    /// Returns the state of a second attempt, and the time after which it is made; `None` while that is not known.
    pub(crate) fn second_attempt(&self) -> Option<(Self, Duration)> {
        let now = boottime::now();
        let delay = self.shared.hedging.late_after(&self.route.name, &self.pool, now)?;
        let second = Self {
            shared: self.shared.clone(),
            adopted: self.adopted.clone(),
            route: self.route.clone(),
            pool: self.pool.clone(),
            customer: self.customer.clone(),
            head: self.head.clone(),
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            suspects: self.suspects.clone(),
            arrived: self.arrived,
            deadline: self.deadline,
            is_retry: self.is_retry,
            runs: 0,
            lost_targets: Vec::new(),
            is_probe: false,
            begun: None,
            tried: HashSet::new(),
            race: None,
            progress: self.progress.clone(),
        };
        Some((second, delay))
    }

    /// Returns the number of runs of both attempts.
    pub(crate) fn total_runs(&self) -> u32 {
        let is_hedged = self.race.as_ref().is_some_and(|race| race.second.lock().may_have_run);
        self.runs + u32::from(is_hedged)
    }

    pub(super) fn is_hedge_target(&self, id: &str) -> bool {
        self.race.as_ref().is_some_and(|race| {
            race.second.lock().target.as_ref().is_some_and(|tracked| tracked.target.id == id)
        })
    }

    pub(super) fn all_lost_targets(&self) -> Vec<Arc<TrackedTarget>> {
        let mut lost = self.lost_targets.clone();
        lost.extend(self.race.iter().flat_map(|race| race.second.lock().lost_targets.clone()));
        lost
    }

    /// Records that the first attempt has sent the request.
    pub(super) fn on_first_sent(
        &self,
        tracked: &Arc<TrackedTarget>,
        sent_at: Uptime,
        results: &Arc<Results<D, S>>,
    ) {
        let Some(race) = &self.race else { return };
        let in_flight = InFlight { tracked: tracked.clone(), sent_at, results: results.clone() };
        race.first.send_replace(First {
            in_flight: Some(Arc::new(in_flight)),
            runs: self.runs,
            tried: self.tried.clone(),
            has_lost_targets: !self.lost_targets.is_empty(),
            is_answered: false,
            last_sent: Some((tracked.target.id.clone(), sent_at)),
        });
    }

    /// Records that the first attempt has no answer from its target, or one that does not decide the request.
    pub(crate) fn on_first_failed(&self) {
        if let Some(race) = &self.race {
            race.first.send_modify(|first| first.in_flight = None);
        }
    }

    /// Records that the first attempt has the answer.
    pub(crate) fn on_first_answered(&self) {
        let Some(race) = &self.race else { return };
        let sent_at = race.first.borrow().in_flight.as_ref().map(|in_flight| in_flight.sent_at);
        sent_at.into_iter().for_each(|sent_at| self.observe_first_byte(sent_at));
        race.first.send_modify(|first| {
            first.in_flight = None;
            first.is_answered = true;
        });
    }

    /// Records that a target refused the request without running it.
    pub(super) fn on_refused_by_target(&self, now: Uptime) {
        if self.shared.settings().hedge_ratio > 0.0 {
            self.shared.hedging.on_refused(&self.pool, now);
        }
    }

    fn observe_first_byte(&self, sent_at: Uptime) {
        let now = boottime::now();
        let sample = now.saturating_sub(sent_at);
        self.shared.hedging.observe(&self.route.name, &self.pool, sample, now);
    }

    /// Ends the race: takes over what the second attempt has done, and logs both. `is_won` is set if its answer is the one for
    /// the caller.
    pub(crate) fn end_race(&mut self, is_won: bool) {
        let Some(race) = self.race.take() else { return };
        let first = race.first.send_replace(First::default());
        let second = std::mem::take(&mut *race.second.lock());
        let (Some(tracked), Some(sent_at)) = (&second.target, second.sent_at) else { return };
        self.runs += u32::from(second.may_have_run);
        self.tried.insert(tracked.target.id.clone());
        self.lost_targets.extend(second.lost_targets.iter().cloned());
        if is_won {
            self.observe_first_byte(sent_at);
            // The other target would have needed at least this time. Without such samples, the learned time would shrink.
            if let Some(in_flight) = &first.in_flight {
                self.observe_first_byte(in_flight.sent_at);
            }
        }
        let count = |event: &'static str| {
            let labels = [KeyValue::new("pool", self.pool.clone()), KeyValue::new("event", event)];
            self.shared.metrics.hedges.add(1, &labels);
        };
        let is_cancelled = if is_won { first.in_flight.is_some() } else { !second.has_ended };
        if is_won {
            count("won");
        } else if second.has_ended {
            count("failed");
        }
        if is_cancelled {
            count("cancelled");
        }
        let now = boottime::now();
        let elapsed_ms = |at: Uptime| now.saturating_sub(at).as_millis() as u64;
        tracing::info!(
            request = self.request(),
            pool = self.pool,
            target = first.last_sent.as_ref().map(|(target, _)| target.as_str()),
            since_sent_ms = first.last_sent.as_ref().map(|(_, at)| elapsed_ms(*at)),
            hedge_target = tracked.target.id,
            since_hedge_ms = elapsed_ms(sent_at),
            is_won,
            is_cancelled,
            "hedged request ended"
        );
    }

    /// Returns the failure of a hedged request. It is a refusal only if no attempt has run.
    pub(crate) fn hedged_failure(&self, failure: Failure) -> Failure {
        if failure.retry_after.is_none() || self.total_runs() == 0 {
            return failure;
        }
        let reason = "the request may have run at a target that failed";
        Failure::new(StatusCode::BAD_GATEWAY, reason)
    }

    /// Sends the request to a second target once the first one is late; returns `None` if that is denied or there is no
    /// answer to the request.
    pub(crate) async fn send_hedge(&mut self, race: &Race<D, S>, delay: Duration) -> Option<Reply> {
        let in_flight = race.wait_late(delay).await;
        let tracked = match self.start_hedge(race, &in_flight) {
            Ok(tracked) => tracked,
            Err(denial) => {
                let labels = [
                    KeyValue::new("pool", self.pool.clone()),
                    KeyValue::new("reason", denial.as_str()),
                ];
                self.shared.metrics.hedges_denied.add(1, &labels);
                tracing::debug!(
                    request = self.request(),
                    reason = denial.as_str(),
                    "late request is not hedged"
                );
                return None;
            }
        };
        race.second.lock().target = Some(tracked.clone());
        let connection = Connection::open(tracked.target.addr).await;
        let connection = match connection {
            Ok(connection) if race.is_current(&in_flight) => connection,
            Ok(_) => {
                // The first attempt has ended, and may need this target.
                race.second.lock().target = None;
                return None;
            }
            Err(err) => {
                tracing::warn!(request = self.request(), target = tracked.target.id, %err, "connecting to the target failed");
                tracked.load.on_failure(boottime::now());
                return None;
            }
        };
        let now = boottime::now();
        let req = self.build_request(&tracked, &in_flight.results, None);
        {
            let mut second = race.second.lock();
            second.sent_at = Some(now);
            second.may_have_run = true;
            second.inputs = Some(in_flight.results.clone());
        }
        let labels = [KeyValue::new("pool", self.pool.clone()), KeyValue::new("event", "sent")];
        self.shared.metrics.hedges.add(1, &labels);
        let reply = match self.exchange(&tracked, connection, req, now).await {
            Ok(reply) => reply,
            Err(NoAnswer::Broken) => return None,
            Err(NoAnswer::NotRun(_)) => {
                race.second.lock().may_have_run = false;
                return None;
            }
        };
        if !reply.is_reply_to(self.request()) {
            tracing::warn!(
                request = self.request(),
                target = tracked.target.id,
                status = reply.response.status().as_u16(),
                "reply to a hedged request is unsigned or for another request"
            );
            return None;
        }
        Some(reply)
    }

    /// Decides whether the request is sent to a second target, and withdraws it from both budgets.
    fn start_hedge(
        &mut self,
        race: &Race<D, S>,
        in_flight: &InFlight<D, S>,
    ) -> Result<Arc<TrackedTarget>, Denial> {
        let now = boottime::now();
        let settings = self.shared.settings();
        {
            let first = race.first.borrow();
            if first.runs >= self.route.max_attempts {
                return Err(Denial::MaxAttempts);
            }
            if first.has_lost_targets {
                return Err(Denial::Unsafe);
            }
            self.tried.clone_from(&first.tried);
        }
        let is_safe =
            !self.shared.is_stopping() && !self.is_route_moved() && self.quarantine().is_none();
        if !is_safe {
            return Err(Denial::Unsafe);
        }
        if self.shared.hedging.has_refused(&self.pool, now) {
            return Err(Denial::PoolRefused);
        }
        let targets = self.shared.targets.in_pool(&self.pool);
        let candidates: Vec<Candidate> =
            targets.iter().map(|tracked| tracked.candidate(&settings.data_centre, now)).collect();
        if !hedge::has_room(&candidates, self.shared.members.serving_count(now)) {
            return Err(Denial::PoolBusy);
        }
        // Targets with a limit take what their owner grants; that is for requests that run nowhere else.
        let mut held = self.shared.limits.held(self.demand(), true, now);
        let full = targets.iter().zip(&candidates).filter(|(_, target)| !hedge::is_free(target));
        held.extend(full.map(|(tracked, _)| tracked.target.id.clone()));
        if self.route.repeat == Repeat::Resumable {
            self.begun = Some(Begun::at_version(in_flight.tracked.target.version.clone()));
        }
        let tracked = self.pick_target(now, &held).ok_or(Denial::NoTarget)?;
        if !self.shared.hedging.withdraw(now, settings.hedge_ratio, settings.retry_window) {
            return Err(Denial::Budget);
        }
        if !self.withdraw_retry("hedge") {
            return Err(Denial::RetryBudget);
        }
        if tracked.hold.acquire(now) { Ok(tracked) } else { Err(Denial::NoTarget) }
    }

    /// Returns whether the configuration in force does not send this route's requests to the pool any more.
    fn is_route_moved(&self) -> bool {
        let adopted = self.shared.adopted.load();
        let mut routes = adopted.iter().flat_map(|adopted| adopted.routing.routes());
        let is_same = routes.any(|route| {
            route.name == self.route.name
                && route.repeat == self.route.repeat
                && route.pools.iter().any(|(pool, _)| *pool == self.pool)
        });
        !is_same
    }
}
