//! Messages between gateways about targets with limits: asks for requests, and changes of limits.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::target_limit::{Ask, Grant, Notice};
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages::{self, LimitAsk, LimitGrant, LimitNotice};

use super::{Demand, MAX_GRANT, MAX_TARGETS, TargetLimit, TargetStart, UNANSWERED_HOLD, start_of};
use crate::dialect::Dialect;
use crate::shared::Shared;
use crate::targets::TrackedTarget;

/// Timeout of an ask. The round trip between gateways of one region takes milliseconds; meanwhile other targets could
/// serve the request.
pub(crate) const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Returns the ask for requests to a target; the pair is what this gateway knows of its limit, and of its
/// cold rate while it is cold.
pub(super) fn to_message<D: Dialect, S>(
    shared: &Shared<D, S>,
    tracked: &TrackedTarget,
    demand: Demand<'_>,
    wanted: u32,
    (notice, cold_per_s): (Notice, Option<f64>),
) -> LimitAsk {
    let (target, started_at_ms) = start_of(tracked);
    LimitAsk {
        gateway: shared.settings().name.clone(),
        target,
        started_at_ms,
        pool: tracked.target.pool.clone(),
        priority: demand.priority,
        customer: demand.customer.map(str::to_owned),
        wanted,
        notice: notice_message(notice, boottime::now()),
        cold_per_s,
    }
}

/// Returns what is sent to other gateways of a limit that has changed.
pub(super) fn to_target_limit(
    (target, started_at_ms): &TargetStart,
    limit: &TargetLimit,
    now: Uptime,
) -> messages::TargetLimit {
    messages::TargetLimit {
        target: target.clone(),
        started_at_ms: *started_at_ms,
        pool: limit.pool.clone(),
        notice: notice_message(limit.notice, now),
    }
}

/// Merges changes of limits that another gateway sent in a message at `earliest` or later.
pub(crate) fn merge_changed<D: Dialect, S>(
    shared: &Shared<D, S>,
    changed: Vec<messages::TargetLimit>,
    earliest: Uptime,
) {
    if changed.is_empty() {
        return;
    }
    let now = boottime::now();
    let mut targets = shared.limits.targets.lock();
    for messages::TargetLimit { target, started_at_ms, pool, notice } in changed {
        let notice = parse_notice(&notice, earliest, now);
        let start = (target.clone(), started_at_ms);
        let is_known = targets.contains_key(&start);
        if !is_known && (notice.per_s.is_none() || targets.len() >= MAX_TARGETS) {
            continue;
        }
        let limit = targets.entry(start).or_insert_with(|| TargetLimit::new(pool, now));
        limit.merge(&target, notice, "gateway");
    }
    shared.limits.count.store(targets.len(), Ordering::Relaxed);
}

fn notice_message(notice: Notice, now: Uptime) -> LimitNotice {
    let age = |at: Uptime| now.saturating_sub(at).as_millis() as u64;
    LimitNotice {
        per_s: notice.per_s,
        sent_age_ms: age(notice.sent_at) + 1,
        received_age_ms: age(notice.received_at),
    }
}

/// Converts a notice whose ages were determined at `earliest` or later. The period in which the reply was made is taken
/// as long as that allows.
fn parse_notice(notice: &LimitNotice, earliest: Uptime, now: Uptime) -> Notice {
    let before = |at: Uptime, age_ms| at.saturating_sub(Duration::from_millis(age_ms));
    let per_s = notice.per_s.filter(|per_s| per_s.is_finite() && *per_s >= 0.0);
    Notice {
        per_s,
        sent_at: before(earliest, notice.sent_age_ms),
        received_at: before(now, notice.received_age_ms),
    }
}

/// Applies the answer to an ask that was sent at `asked_at`; returns whether the request may be sent.
pub(super) fn apply_answer<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    tracked: &TrackedTarget,
    demand: Demand<'_>,
    asked_at: Uptime,
    answer: &LimitGrant,
) -> bool {
    let now = boottime::now();
    let notice = parse_notice(&answer.notice, asked_at, now);
    let grant = if answer.granted > 0 {
        Grant::Granted(answer.granted)
    } else {
        let wait = Duration::from_millis(answer.wait_ms);
        Grant::Denied { wait, is_own_share: answer.own_share }
    };
    let apply = |limit: &mut TargetLimit| {
        limit.merge(&tracked.target.id, notice, "gateway");
        limit.apply(grant, asked_at, now, demand)
    };
    shared.limits.with_target(tracked, apply).unwrap_or(answer.granted > 0)
}

/// Answers the ask of another gateway as the owner of a target's limit.
pub(crate) fn answer<D: Dialect, S>(shared: &Shared<D, S>, ask: LimitAsk) -> LimitGrant {
    let now = boottime::now();
    let reachable = shared.members.reachable_part(now);
    let notice = parse_notice(&ask.notice, now.saturating_sub(ASK_TIMEOUT), now);
    let mut targets = shared.limits.targets.lock();
    let start = (ask.target.clone(), ask.started_at_ms);
    if targets.len() >= MAX_TARGETS && !targets.contains_key(&start) {
        tracing::warn!(target = ask.target, "too many targets have limits; ask denied");
        let wait_ms = UNANSWERED_HOLD.as_millis() as u64;
        return LimitGrant { granted: 0, wait_ms, own_share: false, notice: ask.notice };
    }
    let limit = targets.entry(start).or_insert_with(|| TargetLimit::new(ask.pool.clone(), now));
    limit.merge(&ask.target, notice, "gateway");
    let cold = ask.cold_per_s.filter(|per_s| per_s.is_finite() && *per_s > 0.0);
    let question = Ask {
        gateway: ask.gateway,
        priority: ask.priority,
        customer: ask.customer,
        wanted: ask.wanted.min(MAX_GRANT),
    };
    let grant = match ask.wanted {
        0 => Grant::Granted(0),
        _ => limit.grant(now, reachable, cold, question),
    };
    let notice = notice_message(limit.notice, now);
    shared.limits.count.store(targets.len(), Ordering::Relaxed);
    match grant {
        Grant::Granted(granted) => LimitGrant { granted, wait_ms: 0, own_share: false, notice },
        Grant::Denied { wait, is_own_share: own_share } => {
            LimitGrant { granted: 0, wait_ms: wait.as_millis() as u64, own_share, notice }
        }
    }
}
