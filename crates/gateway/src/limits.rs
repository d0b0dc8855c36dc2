//! Limits that targets name in their replies, as far as this gateway knows.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};

use marigold_core::ids::{Name, Uptime};
use marigold_core::target_limit::Notice;
use marigold_process::boottime;
use parking_lot::Mutex;

use crate::dialect::LimitStatement;
use crate::targets::TrackedTarget;

/// One start of a target; its limit ends with it.
type TargetStart = (Name, u64);

fn start_of(tracked: &TrackedTarget) -> TargetStart {
    (tracked.target.id.clone(), tracked.target.started_at_ms)
}

struct TargetLimit {
    pool: Name,
    notice: Notice,
}

/// Limits of the targets that have named one.
#[derive(Default)]
pub(crate) struct Limits {
    targets: Mutex<HashMap<TargetStart, TargetLimit>>,
    /// Number of entries, so that requests do not take the lock while no target has a limit.
    count: AtomicUsize,
}

impl Limits {
    /// Records what a reply to a request sent at `sent_at` says about the limit of its target.
    pub(crate) fn observe(
        &self,
        tracked: &TrackedTarget,
        statement: LimitStatement,
        sent_at: Uptime,
    ) {
        let per_s = match statement {
            LimitStatement::Unlimited if self.count.load(Ordering::Relaxed) == 0 => return,
            LimitStatement::Unlimited => None,
            LimitStatement::PerSecond(per_s) => Some(per_s),
            LimitStatement::Unknown => return,
        };
        let notice = Notice { per_s, sent_at, received_at: boottime::now() };
        let mut targets = self.targets.lock();
        let start = start_of(tracked);
        let before = targets.get(&start).map(|limit| limit.notice);
        let merged = before.map_or(notice, |before| before.merge(notice));
        let per_s_before = before.and_then(|before| before.per_s);
        if before.is_none() && merged.per_s.is_none() {
            return;
        }
        if merged.per_s != per_s_before {
            tracing::info!(
                target = start.0,
                pool = tracked.target.pool,
                limit = merged.per_s,
                before = per_s_before,
                "limit of target changed"
            );
        }
        let pool = tracked.target.pool.clone();
        targets.insert(start, TargetLimit { pool, notice: merged });
        self.count.store(targets.len(), Ordering::Relaxed);
    }

    /// Forgets the limits of targets for which `is_listed` is false.
    pub(crate) fn retain(&self, is_listed: impl Fn(&str, u64) -> bool) {
        let mut targets = self.targets.lock();
        targets.retain(|(id, started_at_ms), _| is_listed(id, *started_at_ms));
        self.count.store(targets.len(), Ordering::Relaxed);
    }

    /// Returns the pools with limited targets: number of these, sum of their limits, and age of the oldest notice.
    pub(crate) fn summary(&self, now: Uptime) -> HashMap<Name, PoolLimits> {
        let mut pools: HashMap<Name, PoolLimits> = HashMap::new();
        for limit in self.targets.lock().values() {
            let pool = pools.entry(limit.pool.clone()).or_default();
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

/// Limited targets of one pool.
#[derive(Default)]
pub(crate) struct PoolLimits {
    pub(crate) targets: u64,
    pub(crate) per_s: f64,
    pub(crate) oldest_notice_s: f64,
}
