//! What targets say of themselves in their replies: that they leave, and that they want nothing for a while.

use marigold_core::ids::Uptime;
use marigold_process::boottime;

use crate::dialect::ReplyHead;
use crate::targets::{TargetTable, TrackedTarget};

/// Records what a reply says of its target. The reply was to a request sent at `sent_at`, and it was the target's own.
pub(crate) fn observe(
    targets: &TargetTable,
    tracked: &TrackedTarget,
    head: &ReplyHead,
    sent_at: Uptime,
) {
    let (target, now) = (&tracked.target, boottime::now());
    if head.is_leaving && targets.announce_leaving(target, now) {
        tracing::info!(target = target.id, pool = target.pool, "target leaves, by its reply");
    }
    match head.pause {
        Some(pause) => {
            if tracked.hold.hold(now, pause) {
                let pause_ms = pause.as_millis() as u64;
                tracing::info!(
                    target = target.id,
                    pool = target.pool,
                    pause_ms,
                    "target asks for a pause"
                );
            }
        }
        None => tracked.hold.on_answer(sent_at),
    }
}
