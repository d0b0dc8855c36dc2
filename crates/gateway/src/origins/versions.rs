//! The software versions that may have begun streams, as the store holds them for all gateways.
//!
//! Whoever reads a list of targets from the store adds its versions before the list is used here or passed on to others. So
//! a set that is read after a stream was taken up has the version that began it.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use marigold_core::ids::Uptime;
use marigold_core::routes::Repeat;
use marigold_core::stream_origin::PoolVersion;
use marigold_core::stream_origin::version_set::{Proof, Review, VersionSet};
use marigold_core::targets::Target;
use marigold_objects::{Changes, Error, Expect, Result, Store, Version};
use marigold_process::boottime;
use marigold_schema::messages::StoredVersions;
use opentelemetry::KeyValue;
use parking_lot::Mutex;
use tokio::time;

use crate::dialect::Dialect;
use crate::shared::Shared;

/// Kind of the objects, one for each era of the store, named by its number. A restored store gives its revisions out again, so
/// the condition of a write that was sent before could hold by chance.
const KIND: &str = "stream-versions";
/// Time for which a list of targets waits until its versions are in the store. Targets that leave must be noticed in time.
const ADD_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two reads for proofs; requests that wait meanwhile share one.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the set is maintained.
const MAINTENANCE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval between reads of the set for that.
const REVIEW_INTERVAL: Duration = Duration::from_secs(10);
/// Minimum time for which a version has to be unused before it is removed.
const MIN_WINDOW: Duration = Duration::from_secs(15);
/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// A set as it was read from the store.
#[derive(Clone, Debug)]
struct Read {
    set: VersionSet,
    /// Version of the object; none if there is no object.
    object: Version,
    /// Era of the store, by which the object is named.
    era: u64,
    /// When the read was started.
    at: Uptime,
}

/// What this gateway knows of the set.
#[derive(Default)]
pub(crate) struct Versions {
    /// Versions that are in the set and have been listed without interruption since they were found there.
    added: Mutex<BTreeSet<PoolVersion>>,
    /// Versions that are used although they could not be added in time.
    overdue: Mutex<BTreeSet<PoolVersion>>,
    last_read: Mutex<Option<Read>>,
    /// Whether the history of versions was looked for in the set since the list of targets was last unknown.
    is_history_read: AtomicBool,
    /// Held during a read for proofs.
    reading: tokio::sync::Mutex<()>,
}

impl Versions {
    /// Records that the list of targets was not known for a while.
    pub(crate) fn on_gap(&self) {
        self.added.lock().clear();
        self.is_history_read.store(false, Ordering::Relaxed);
    }
}

fn era_changed(step: &'static str, era: u64) -> Error {
    let object = format!("{KIND}/{era}");
    Error::Unavailable { step, object, reason: "the store has another era".to_owned() }
}

/// Reads the set of the era that the store is known to have.
async fn read<D: Dialect, S: Store>(shared: &Shared<D, S>) -> Result<Read> {
    let at = boottime::now();
    let era = shared.store_era.borrow().era.unwrap_or_default();
    let object = shared.store.get(KIND, &era.to_string()).await?;
    let (object, text) =
        object.map_or_else(Default::default, |object| (object.version, object.value));
    if !object.is_none() && object.era != era {
        return Err(era_changed("reading", era));
    }
    let set = text.map_or_else(VersionSet::default, |text| {
        let stored = serde_json::from_str::<StoredVersions>(&text);
        stored.map(VersionSet::from).unwrap_or_else(|err| {
            tracing::error!(era, %err, "invalid software versions in the store");
            VersionSet::default()
        })
    });
    let read = Read { set, object, era, at };
    *shared.versions.last_read.lock() = Some(read.clone());
    Ok(read)
}

/// Replaces the set if it has not changed since it was read.
async fn write<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    read: &Read,
    set: VersionSet,
) -> Result<()> {
    let name = read.era.to_string();
    let text = serde_json::to_string(&StoredVersions::from(&set)).map_err(|err| {
        let object = format!("{KIND}/{name}");
        Error::Unavailable { step: "writing", object, reason: err.to_string() }
    })?;
    let expect = if read.object.is_none() { Expect::Absent } else { Expect::Version(read.object) };
    let object = shared.store.put(KIND, &name, text, expect).await?;
    if object.era != read.era {
        return Err(era_changed("writing", read.era));
    }
    *shared.versions.last_read.lock() = Some(Read { set, object, ..read.clone() });
    Ok(())
}

fn on_failure<D: Dialect, S: Store>(shared: &Shared<D, S>, message: &'static str, err: &Error) {
    shared.metrics.store_failures.add(1, &[KeyValue::new("kind", KIND)]);
    tracing::warn!(%err, "{message}");
}

/// Adds the versions of targets that the store has listed to the set, before the targets are used.
pub(crate) async fn add<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    changes: &Changes<Target>,
) {
    let targets = changes.objects.iter().filter_map(|object| object.value.as_ref());
    let used: BTreeSet<PoolVersion> =
        targets.map(|target| (target.pool.clone(), target.version.clone())).collect();
    let missing: BTreeSet<PoolVersion> = {
        let mut added = shared.versions.added.lock();
        added.retain(|(pool, version)| shared.targets.is_version_listed(pool, version));
        used.difference(&added).cloned().collect()
    };
    if missing.is_empty() {
        return;
    }
    if time::timeout(ADD_TIMEOUT, add_until_done(shared, &missing)).await.is_err() {
        tracing::error!(
            versions = ?missing,
            "software versions not added to the store in time; using the list of targets"
        );
        shared.versions.overdue.lock().extend(missing);
    }
}

async fn add_until_done<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    missing: &BTreeSet<PoolVersion>,
) {
    loop {
        match add_once(shared, missing).await {
            Ok(()) => return,
            // Another gateway has changed the set.
            Err(Error::Conflict { .. }) => {}
            Err(err) => {
                on_failure(shared, "software versions not added to the store", &err);
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn add_once<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    missing: &BTreeSet<PoolVersion>,
) -> Result<()> {
    let read = read(shared).await?;
    // Streams of an earlier run, and of a store that was restored, may have begun at versions that nobody knows.
    let is_first = read.object.is_none() && read.era == 0 && shared.settings().first_start;
    let mut set = if is_first { VersionSet::complete() } else { read.set.clone() };
    if set.add(missing) {
        tracing::info!(versions = ?missing, "software versions added to the store");
        write(shared, &read, set).await?;
    }
    shared.versions.added.lock().extend(missing.iter().cloned());
    Ok(())
}

/// Returns what the set proves of a pool now.
///
/// # Errors
/// When the store cannot be read.
pub(crate) async fn prove<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    pool: &str,
) -> Result<Proof> {
    let asked_at = boottime::now();
    let _guard = shared.versions.reading.lock().await;
    let last = shared.versions.last_read.lock().clone();
    let read = match last {
        Some(last) if last.at >= asked_at => last,
        Some(last) => {
            time::sleep((last.at + MIN_READ_INTERVAL).saturating_sub(boottime::now())).await;
            read(shared).await?
        }
        None => read(shared).await?,
    };
    Ok(read.set.proof(pool))
}

/// Returns the time within which streams that are taken up now can have begun, on any route.
fn window<D: Dialect, S: Store>(shared: &Shared<D, S>) -> Option<Duration> {
    let adopted = shared.adopted.load_full()?;
    let resumable = adopted.routing.routes().filter(|route| route.repeat == Repeat::Resumable);
    Some(resumable.map(|route| super::window(route.timeout)).max()?.max(MIN_WINDOW))
}

/// Restores the history of versions from the set, and removes versions from it that are not used any more, until the process
/// ends.
pub(crate) async fn maintain_forever<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    let mut review = Review::default();
    loop {
        time::sleep(MAINTENANCE_INTERVAL).await;
        let now = boottime::now();
        if !shared.has_current_targets(now) {
            review.on_gap();
            continue;
        }
        let overdue = shared.versions.overdue.lock().clone();
        let maintained = if !overdue.is_empty() {
            add_overdue(&shared, &overdue).await
        } else if !shared.versions.is_history_read.load(Ordering::Relaxed)
            && shared.targets.len() > 0
        {
            restore_history(&shared).await
        } else if shared.members.is_watcher() {
            revise(&shared, &mut review).await
        } else {
            continue;
        };
        match maintained {
            Ok(()) | Err(Error::Conflict { .. }) => {}
            Err(err) => on_failure(&shared, "software versions not maintained", &err),
        }
    }
}

async fn add_overdue<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    overdue: &BTreeSet<PoolVersion>,
) -> Result<()> {
    add_once(shared, overdue).await?;
    shared.versions.overdue.lock().retain(|version| !overdue.contains(version));
    Ok(())
}

/// Takes the set over as the history of versions before this gateway knew the list of targets. If it lacks versions, the
/// history is known when this gateway has seen the list for long enough.
async fn restore_history<D: Dialect, S: Store>(shared: &Shared<D, S>) -> Result<()> {
    let read = read(shared).await?;
    if read.set.is_complete() {
        shared.targets.restore_history(&read.set, boottime::now());
        tracing::info!(versions = read.set.iter().count(), "history of software versions restored");
    }
    shared.versions.is_history_read.store(true, Ordering::Relaxed);
    Ok(())
}

async fn revise<D: Dialect, S: Store>(shared: &Shared<D, S>, review: &mut Review) -> Result<()> {
    let now = boottime::now();
    let Some(window) = window(shared) else { return Ok(()) };
    let Some(recent) = shared.targets.recent_versions(now, window) else {
        review.on_gap();
        return Ok(());
    };
    let last = shared.versions.last_read.lock().clone();
    let is_due = last.is_none_or(|last| {
        let versions = last.set.iter().map(|(pool, version)| (pool.clone(), version.clone()));
        let is_same = versions.eq(recent.iter().cloned());
        !last.set.is_complete() || (!is_same && last.at + REVIEW_INTERVAL <= now)
    });
    if !is_due {
        return Ok(());
    }
    let read = read(shared).await?;
    let revision = read.object.revision;
    let Some(revised) = review.revise(&read.set, revision, &recent, now, window) else {
        return Ok(());
    };
    tracing::info!(before = ?read.set, after = ?revised, "software versions in the store revised");
    write(shared, &read, revised).await
}
