//! Limits that targets name in their replies or have because they are cold, and the requests that this gateway may send to
//! such targets.
//!
//! The owner of a target's limit grants each request. It is the owner of the pool where the pool has one, since that
//! gateway sends the calls to it, and is chosen by hashing otherwise. Gateways that know no limit of a target send
//! without asking; the first reply tells them. That a target is cold is known from the list of targets.

mod asks;
mod cold;

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use marigold_core::ids::{Name, Uptime};
use marigold_core::target_limit::{self, Ask, Grant, Grants, Notice};
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages;
use opentelemetry::KeyValue;
use parking_lot::Mutex;

pub(crate) use self::asks::{ASK_TIMEOUT, answer, merge_changed};
use crate::dialect::{Dialect, LimitStatement};
use crate::members::Owner;
use crate::peers;
use crate::shared::Shared;
use crate::targets::TrackedTarget;

/// Time after an ask without an answer for which the target gets no requests from this gateway. Gateways notice within
/// two polls that an owner is unresponsive, and then ask the next one.
const UNANSWERED_HOLD: Duration = Duration::from_millis(200);
/// Maximum number of asks for one target that wait for an answer; further requests use other targets.
const MAX_PENDING_ASKS: u32 = 4;
/// Maximum number of requests in one grant.
const MAX_GRANT: u32 = 64;
/// Time for which a limit is remembered after its last use, when its target is not listed or it has ended.
const RETENTION: Duration = Duration::from_secs(30);
/// Time for which a change of a limit is sent to other gateways in polls; it reaches all within a few polls.
const TELLING_TIME: Duration = Duration::from_secs(3);
/// Maximum number of changes that are sent in one poll.
const MAX_TOLD: usize = 16;
/// Maximum number of targets whose limits are remembered; the asks of other gateways could otherwise exhaust memory.
const MAX_TARGETS: usize = 16_384;

/// One start of a target; its limit ends with it.
type TargetStart = (Name, u64);

fn start_of(tracked: &TrackedTarget) -> TargetStart {
    (tracked.target.id.clone(), tracked.target.started_at_ms)
}

/// Whose request is to be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand<'a> {
    pub(crate) priority: u8,
    pub(crate) customer: Option<&'a str>,
}

/// Requests that may not be sent for some time.
struct Hold {
    until: Uptime,
    /// The hold applies to requests of this or a less urgent priority.
    priority: u8,
    /// Set if it applies to one customer only.
    customer: Option<Name>,
}

impl Hold {
    fn applies_to(&self, demand: Demand<'_>, now: Uptime) -> bool {
        let is_customer =
            self.customer.as_deref().is_none_or(|customer| Some(customer) == demand.customer);
        now < self.until && self.priority <= demand.priority && is_customer
    }
}

/// Requests that were granted in advance, and have not been sent.
#[derive(Default)]
struct Reserve {
    left: u32,
    used: u32,
    valid_until: Uptime,
    /// Number of requests to ask for, adapted to the use of the last grant.
    wanted: u32,
}

impl Reserve {
    fn take(&mut self, now: Uptime) -> bool {
        if self.left == 0 || now >= self.valid_until {
            return false;
        }
        self.left -= 1;
        self.used += 1;
        true
    }

    fn fill(&mut self, granted: u32, valid_until: Uptime) {
        // The request that asked uses one of each grant.
        let needed = self.used + 1;
        let wanted = if self.left == 0 { 2 * needed } else { needed };
        *self = Self { left: granted - 1, used: 0, valid_until, wanted: wanted.min(MAX_GRANT) };
    }
}

struct TargetLimit {
    pool: Name,
    notice: Notice,
    /// When the target stops being cold; zero if it is not.
    cold_until: Uptime,
    /// Requests a second that a cold target of the pool takes.
    cold_per_s: Option<f64>,
    /// When this gateway learned of the last change of the limit that the target names; `None` without such a change.
    changed_at: Option<Uptime>,
    last_used: Uptime,
    holds: Vec<Hold>,
    reserve: Reserve,
    pending_asks: u32,
    /// Set where this gateway has granted requests.
    grants: Option<Grants>,
}

impl TargetLimit {
    /// Creates the state of a target of which nothing is known yet.
    fn new(pool: Name, now: Uptime) -> Self {
        Self {
            pool,
            notice: Notice { per_s: None, sent_at: Uptime::ZERO, received_at: Uptime::ZERO },
            cold_until: Uptime::ZERO,
            cold_per_s: None,
            changed_at: None,
            last_used: now,
            holds: Vec::new(),
            reserve: Reserve::default(),
            pending_asks: 0,
            grants: None,
        }
    }

    /// Merges a notice and logs a change of the limit.
    fn merge(&mut self, id: &str, notice: Notice, source: &str) {
        let before = self.notice.per_s;
        self.notice = self.notice.merge(notice);
        let limit = self.notice.per_s;
        if limit != before {
            self.changed_at = Some(boottime::now());
            tracing::info!(
                target = id,
                pool = self.pool,
                limit,
                before,
                source,
                "limit of target changed"
            );
        }
        if self.in_force(boottime::now()).is_none() {
            self.holds.clear();
        }
    }

    /// Returns what the target takes because it is cold.
    fn cold(&self, now: Uptime) -> Option<f64> {
        self.cold_per_s.filter(|_| now < self.cold_until)
    }

    /// Returns the limit in force, in requests a second.
    fn in_force(&self, now: Uptime) -> Option<f64> {
        target_limit::in_force(self.notice.per_s, self.cold(now))
    }

    fn is_held(&self, demand: Demand<'_>, now: Uptime) -> bool {
        self.in_force(now).is_some() && self.holds.iter().any(|hold| hold.applies_to(demand, now))
    }

    /// Grants requests as the owner of the limit; all of them if the target has no limit. `cold` is what the target takes
    /// because it is cold as far as the gateway that asks knows: the owner may not have the entry yet.
    fn grant(&mut self, now: Uptime, reachable: f64, cold: Option<f64>, ask: Ask) -> Grant {
        self.last_used = now;
        let per_s = target_limit::in_force(self.in_force(now), cold);
        let Some(per_s) = per_s else { return Grant::Granted(ask.wanted) };
        let rate = target_limit::granted_rate(per_s, reachable);
        self.grants.get_or_insert_with(|| Grants::new(now)).ask(now, per_s, rate, ask)
    }

    /// Applies the answer to an ask that was sent at `asked_at`; returns whether the request may be sent.
    fn apply(&mut self, grant: Grant, asked_at: Uptime, now: Uptime, demand: Demand<'_>) -> bool {
        match grant {
            Grant::Granted(0) => false,
            Grant::Granted(count) => {
                self.reserve.fill(count, asked_at + target_limit::GRANT_VALIDITY);
                true
            }
            Grant::Denied { wait, is_own_share } => {
                let customer = demand.customer.filter(|_| is_own_share).map(str::to_owned);
                self.hold(now, wait, demand.priority, customer);
                false
            }
        }
    }

    fn hold(&mut self, now: Uptime, wait: Duration, priority: u8, customer: Option<Name>) {
        self.holds.retain(|hold| now < hold.until);
        self.holds.push(Hold { until: now + wait, priority, customer });
    }
}

/// Limits of the targets that have named one, or are cold.
#[derive(Default)]
pub(crate) struct Limits {
    targets: Mutex<HashMap<TargetStart, TargetLimit>>,
    /// Requests a second that a cold target takes, by pool. Locked before `targets`.
    cold_rates: Mutex<HashMap<Name, f64>>,
    /// Number of entries, so that requests do not take the lock while no target has a limit.
    count: AtomicUsize,
}

/// What to do before a request is sent to a target.
enum Step {
    Send,
    Skip,
    /// Ask the owner of the limit for so many requests; the message holds what is known of the limit, and of the cold rate.
    Ask(Notice, Option<f64>, u32),
}

impl Limits {
    fn is_empty(&self) -> bool {
        self.count.load(Ordering::Relaxed) == 0
    }

    /// Returns the ids of the targets to which a request must not be sent now, or of all with a limit.
    pub(crate) fn held(
        &self,
        demand: Demand<'_>,
        includes_all: bool,
        now: Uptime,
    ) -> HashSet<Name> {
        if self.is_empty() {
            return HashSet::new();
        }
        let targets = self.targets.lock();
        let held = targets.iter().filter(|(_, limit)| {
            limit.is_held(demand, now) || (includes_all && limit.in_force(now).is_some())
        });
        held.map(|((id, _), _)| id.clone()).collect()
    }

    /// Returns the limit of a target, in requests a second.
    pub(crate) fn per_s(&self, tracked: &TrackedTarget) -> Option<f64> {
        if self.is_empty() {
            return None;
        }
        self.targets.lock().get(&start_of(tracked))?.in_force(boottime::now())
    }

    /// Removes limits that are not needed; `is_listed` returns whether a start of a target is in the list of targets.
    pub(crate) fn remove_unused(&self, now: Uptime, is_listed: impl Fn(&str, u64) -> bool) {
        if self.is_empty() {
            return;
        }
        let mut targets = self.targets.lock();
        targets.retain(|(id, started_at_ms), limit| {
            let is_limited = limit.notice.per_s.is_some() && is_listed(id, *started_at_ms);
            limit.log_cold_end(id, now);
            is_limited || now < limit.cold_until || now < limit.last_used + RETENTION
        });
        self.count.store(targets.len(), Ordering::Relaxed);
    }

    /// Returns the ids and pools of the targets with limits that were used recently.
    pub(crate) fn in_use(&self, now: Uptime) -> Vec<(Name, Name)> {
        if self.is_empty() {
            return Vec::new();
        }
        let targets = self.targets.lock();
        let used = targets.iter().filter(|(_, limit)| {
            limit.in_force(now).is_some() && now < limit.last_used + RETENTION
        });
        used.map(|((id, _), limit)| (id.clone(), limit.pool.clone())).collect()
    }

    /// Returns the limits that have changed recently, for other gateways.
    pub(crate) fn changed(&self, now: Uptime) -> Vec<messages::TargetLimit> {
        if self.is_empty() {
            return Vec::new();
        }
        let targets = self.targets.lock();
        let is_changed =
            |limit: &TargetLimit| limit.changed_at.is_some_and(|at| now < at + TELLING_TIME);
        let changed = targets.iter().filter(|(_, limit)| is_changed(limit)).take(MAX_TOLD);
        changed.map(|(start, limit)| asks::to_target_limit(start, limit, now)).collect()
    }

    /// Records a notice of a target; returns whether it ended the limit that was known.
    fn observe(&self, tracked: &TrackedTarget, notice: Notice) -> bool {
        let mut targets = self.targets.lock();
        let start = start_of(tracked);
        let id = start.0.clone();
        if notice.per_s.is_none() && !targets.contains_key(&start) {
            return false;
        }
        let now = notice.received_at;
        let limit = targets
            .entry(start)
            .or_insert_with(|| TargetLimit::new(tracked.target.pool.clone(), now));
        limit.last_used = now;
        let was_limited = limit.notice.per_s.is_some();
        limit.merge(&id, notice, "reply");
        let is_ended = was_limited && limit.notice.per_s.is_none();
        self.count.store(targets.len(), Ordering::Relaxed);
        is_ended
    }

    fn next_step(&self, tracked: &TrackedTarget, demand: Demand<'_>, now: Uptime) -> Step {
        if self.is_empty() {
            return Step::Send;
        }
        let mut targets = self.targets.lock();
        let Some(limit) = targets.get_mut(&start_of(tracked)) else { return Step::Send };
        if limit.in_force(now).is_none() {
            return Step::Send;
        }
        limit.last_used = now;
        if limit.is_held(demand, now) || limit.pending_asks >= MAX_PENDING_ASKS {
            return Step::Skip;
        }
        if limit.reserve.take(now) {
            return Step::Send;
        }
        limit.pending_asks += 1;
        Step::Ask(limit.notice, limit.cold(now), limit.reserve.wanted.max(1))
    }

    fn with_target<T>(
        &self,
        tracked: &TrackedTarget,
        change: impl FnOnce(&mut TargetLimit) -> T,
    ) -> Option<T> {
        self.targets.lock().get_mut(&start_of(tracked)).map(change)
    }

    /// Returns the pools with limited targets: number of these, sum of their limits, and age of the oldest notice.
    pub(crate) fn summary(&self, now: Uptime) -> HashMap<Name, PoolLimits> {
        let mut pools: HashMap<Name, PoolLimits> = HashMap::new();
        for limit in self.targets.lock().values() {
            let pool = pools.entry(limit.pool.clone()).or_default();
            pool.cold_targets += u64::from(limit.cold(now).is_some());
            let Some(per_s) = limit.notice.per_s else { continue };
            pool.targets += 1;
            pool.per_s += per_s;
            pool.oldest_notice_s = pool
                .oldest_notice_s
                .max(now.saturating_sub(limit.notice.received_at).as_secs_f64());
        }
        pools
    }
}

/// Limited and cold targets of one pool.
#[derive(Default)]
pub(crate) struct PoolLimits {
    pub(crate) targets: u64,
    pub(crate) cold_targets: u64,
    pub(crate) per_s: f64,
    pub(crate) oldest_notice_s: f64,
}

/// Frees the place of an ask when its request is cancelled.
struct PendingAsk<'a> {
    limits: &'a Limits,
    tracked: &'a TrackedTarget,
}

impl Drop for PendingAsk<'_> {
    fn drop(&mut self) {
        self.limits.with_target(self.tracked, |limit| {
            limit.pending_asks = limit.pending_asks.saturating_sub(1);
        });
    }
}

/// Records what a reply to a request sent at `sent_at` says about the limit of its target.
pub(crate) fn observe<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    tracked: &Arc<TrackedTarget>,
    statement: LimitStatement,
    sent_at: Uptime,
) {
    let per_s = match statement {
        LimitStatement::Unlimited if shared.limits.is_empty() => return,
        LimitStatement::Unlimited => None,
        LimitStatement::PerSecond(per_s) => Some(per_s),
        LimitStatement::Unknown => return,
    };
    let notice = Notice { per_s, sent_at, received_at: boottime::now() };
    if shared.limits.observe(tracked, notice)
        && let Owner::Remote(owner) = shared.members.limit_owner(&tracked.target)
    {
        // The other gateways learn from the owner that they need no more grants.
        let ask = asks::to_message(
            shared,
            tracked,
            Demand { priority: 0, customer: None },
            0,
            (notice, None),
        );
        tokio::spawn(async move {
            if let Err(err) = peers::ask_limit(&owner, ask).await {
                tracing::debug!(member = owner.name, err, "end of a limit not reported");
            }
        });
    }
}

/// Returns whether a request may be sent to a target now. If not, the target is held for such requests for a while.
pub(crate) async fn acquire<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    tracked: &Arc<TrackedTarget>,
    demand: Demand<'_>,
) -> bool {
    let asked_at = boottime::now();
    let (notice, cold, wanted) = match shared.limits.next_step(tracked, demand, asked_at) {
        Step::Send => return true,
        Step::Skip => return false,
        Step::Ask(notice, cold, wanted) => (notice, cold, wanted),
    };
    let _pending = PendingAsk { limits: &shared.limits, tracked };
    let (is_granted, outcome) = match shared.members.limit_owner(&tracked.target) {
        Owner::Local => {
            let is_granted = acquire_as_owner(shared, tracked, demand, wanted);
            (is_granted, if is_granted { "granted" } else { "denied" })
        }
        Owner::Remote(owner) => {
            let ask = asks::to_message(shared, tracked, demand, wanted, (notice, cold));
            match peers::ask_limit(&owner, ask).await {
                Ok(answer) => {
                    let is_granted = asks::apply_answer(shared, tracked, demand, asked_at, &answer);
                    (is_granted, if is_granted { "granted" } else { "denied" })
                }
                Err(err) => {
                    tracing::warn!(
                        target = tracked.target.id,
                        member = owner.name,
                        err,
                        "owner of the target's limit did not answer"
                    );
                    let now = boottime::now();
                    shared.limits.with_target(tracked, |limit| {
                        limit.hold(now, UNANSWERED_HOLD, 0, None);
                    });
                    (false, "unanswered")
                }
            }
        }
    };
    let labels =
        [KeyValue::new("pool", tracked.target.pool.clone()), KeyValue::new("outcome", outcome)];
    shared.metrics.limit_asks.add(1, &labels);
    is_granted
}

/// As [`acquire`], where this gateway owns the limit or sends to the target without knowing an owner.
pub(crate) fn acquire_as_owner<D: Dialect, S>(
    shared: &Shared<D, S>,
    tracked: &TrackedTarget,
    demand: Demand<'_>,
    wanted: u32,
) -> bool {
    if shared.limits.is_empty() {
        return true;
    }
    let now = boottime::now();
    let reachable = shared.members.reachable_part(now);
    let ask = Ask {
        gateway: shared.settings().name.clone(),
        priority: demand.priority,
        customer: demand.customer.map(str::to_owned),
        wanted,
    };
    let apply = |limit: &mut TargetLimit| {
        let grant = limit.grant(now, reachable, None, ask);
        limit.apply(grant, now, now, demand)
    };
    // A target without an entry has no limit.
    shared.limits.with_target(tracked, apply).unwrap_or(true)
}

/// Returns a request that [`acquire_as_owner`] granted and that was not sent.
pub(crate) fn refund<D, S>(shared: &Shared<D, S>, tracked: &TrackedTarget) {
    shared.limits.with_target(tracked, |limit| limit.grants.as_mut().map(Grants::refund));
}
