//! Polls the target's load and forgets what is old.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::state::Shared;
use crate::target::Target as _;

/// Time between two looks.
const TICK: Duration = Duration::from_millis(500);

pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(TICK).await;
        let slice = shared.slice.load_full();
        if slice.as_ref().is_some_and(|slice| slice.reports_load)
            && let Some(total) = shared.target.load().await
        {
            shared.queued.store(total, Ordering::Relaxed);
        }
        let retention =
            slice.map_or(Duration::MAX, |slice| Duration::from_secs(u64::from(slice.retention_s)));
        forget_old(&shared, retention);
    }
}

fn forget_old(shared: &Shared, retention: Duration) {
    let now = shared.now();
    let mut tables = shared.tables.lock();
    let tables = &mut *tables;
    tables.attempts.expire(now);
    tables.ledger.expire(now, retention);
    let attempts = &tables.attempts;
    tables.feeds.retain(|key, _| attempts.contains(key));
}
