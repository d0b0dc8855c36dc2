//! Task that polls the target's load and removes expired attempts, keys and streams.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::state::Shared;
use crate::target::Target as _;

const POLL_INTERVAL: Duration = Duration::from_millis(500);

pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let slice = shared.slice.load_full();
        if slice.as_ref().is_some_and(|slice| slice.reports_load)
            && let Some(total) = shared.target.load().await
        {
            shared.queued.store(total, Ordering::Relaxed);
        }
        let retention =
            slice.map_or(Duration::MAX, |slice| Duration::from_secs(u64::from(slice.retention_s)));
        remove_expired(&shared, retention);
    }
}

fn remove_expired(shared: &Shared, retention: Duration) {
    let now = shared.now();
    let mut tables = shared.tables.lock();
    let tables = &mut *tables;
    tables.attempts.expire(now);
    tables.ledger.expire(now, retention);
    let attempts = &tables.attempts;
    tables.streams.retain(|key, _| attempts.contains(key));
}
