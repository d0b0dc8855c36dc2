//! Quarantines in the store, which survive the loss of all gateways.
//!
//! One object holds all of them. The gateway that has changed one writes it; the watchers write it when it lacks something for
//! other reasons. The object replaces the one before, so an entry that is not in it has ended. A gateway reads it when it starts.
//! A write that is late or lost costs a quarantine, or the count of a probe, when all gateways are lost meanwhile.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::poison::stored::{self, Seen};
use marigold_objects::{Error, Expect, Result, Store, Version};
use marigold_process::boottime;
use marigold_schema::messages::StoredQuarantines;
use opentelemetry::KeyValue;
use tokio::time;

use crate::dialect::Dialect;
use crate::shared::Shared;

/// Kind and name of the object.
const KIND: &str = "marigold-quarantines";
const NAME: &str = "all";
/// Time after the start of a gateway from which it serves requests without having read the object.
pub(crate) const RESTORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a failed read is repeated at the start, before a random factor between one and two.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Minimum time from one write of a gateway to the next.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Interval at which gateways look whether the object lacks something, and at which failed writes are repeated.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which watchers read the object while there are quarantines. A late write of another gateway may have replaced it.
const REVIEW_INTERVAL: Duration = Duration::from_secs(30);

/// What this gateway knows of the object.
#[derive(Default)]
struct Known {
    seen: Seen,
    /// Hash of the quarantines that the object had when it was last read or written.
    digest: u64,
    at: Uptime,
    /// Era of the store then.
    era: Option<u64>,
}

/// Takes over what the store has, then writes what changes, until the process ends.
pub(crate) async fn run<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    let mut known = Known::default();
    while let Err(err) = read(&shared, &mut known).await {
        on_failure(&shared, "quarantines not read from the store", &err);
        time::sleep(RETRY_DELAY.mul_f64(1.0 + rand::random::<f64>())).await;
    }
    shared.poison.is_restored.store(true, Ordering::Relaxed);
    let mut is_pending = false;
    loop {
        let changed = time::timeout(CHECK_INTERVAL, shared.poison.changed.notified()).await;
        is_pending |= changed.is_ok();
        known.seen.record(&shared.poison.quarantines.lock());
        if !is_pending && !is_due(&shared, &known) {
            continue;
        }
        let written = write(&shared, &mut known).await;
        is_pending = written.is_err();
        match written {
            Ok(()) => {}
            // Another gateway has written; what it wrote is merged at once.
            Err(Error::Conflict { .. }) => shared.poison.changed.notify_one(),
            Err(err) => on_failure(&shared, "quarantines not written to the store", &err),
        }
        time::sleep(WRITE_INTERVAL).await;
    }
}

fn on_failure<D: Dialect, S: Store>(shared: &Shared<D, S>, message: &'static str, err: &Error) {
    shared.metrics.store_failures.add(1, &[KeyValue::new("kind", KIND)]);
    tracing::warn!(%err, "{message}");
}

/// Returns whether this gateway has to look after the object although it has changed nothing itself.
fn is_due<D: Dialect, S: Store>(shared: &Shared<D, S>, known: &Known) -> bool {
    let digest = shared.poison.digest();
    if digest == 0 && known.digest == 0 {
        return false;
    }
    let is_changed = digest != known.digest || known.era != shared.store_era.borrow().era;
    let is_review_due = boottime::now() >= known.at + REVIEW_INTERVAL;
    (is_changed || is_review_due) && shared.members.is_watcher()
}

/// Reads the object and takes over what is new in it; returns its version and what it has.
async fn read<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    known: &mut Known,
) -> Result<(Version, StoredQuarantines)> {
    let era = shared.store_era.borrow().era;
    let object = shared.store.get(KIND, NAME).await?;
    let (version, text) =
        object.map_or_else(Default::default, |object| (object.version, object.value));
    let list = text.map_or(Ok(StoredQuarantines { entries: Vec::new() }), |text| {
        serde_json::from_str::<StoredQuarantines>(&text)
    });
    let list = list.unwrap_or_else(|err| {
        tracing::error!(%version, %err, "invalid quarantines in the store");
        StoredQuarantines { entries: Vec::new() }
    });
    let now = boottime::now();
    shared.poison.change(|quarantines| {
        known.seen.record(quarantines);
        for entry in stored::decode(&list, now) {
            if !known.seen.is_new(&entry) {
                continue;
            }
            if let Some(entry) = quarantines.merge(entry, now) {
                tracing::info!(
                    pool = entry.key.0,
                    suspects = super::text(&entry),
                    revision = entry.revision,
                    is_released = entry.is_released,
                    probes = entry.probes,
                    "quarantine read from the store"
                );
            }
        }
        known.seen.record(quarantines);
        if stored::is_same(&stored::encode(quarantines, now), &list) {
            known.digest = quarantines.digest();
        }
    });
    (known.era, known.at) = (era, now);
    Ok((version, list))
}

/// Writes the quarantines if the object has others.
async fn write<D: Dialect, S: Store>(shared: &Shared<D, S>, known: &mut Known) -> Result<()> {
    let (version, stored) = read(shared, known).await?;
    let (list, digest) = {
        let quarantines = shared.poison.quarantines.lock();
        (stored::encode(&quarantines, boottime::now()), quarantines.digest())
    };
    if !stored::is_same(&list, &stored) {
        let text = serde_json::to_string(&list).map_err(|err| Error::Unavailable {
            step: "writing",
            object: format!("{KIND}/{NAME}"),
            reason: err.to_string(),
        })?;
        let expect = if version.is_none() { Expect::Absent } else { Expect::Version(version) };
        shared.store.put(KIND, NAME, text, expect).await?;
        tracing::info!(quarantines = list.entries.len(), "quarantines written to the store");
    }
    known.digest = digest;
    Ok(())
}
