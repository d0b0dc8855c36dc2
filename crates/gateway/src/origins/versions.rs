//! The software versions that may have begun streams, as the store holds them for all gateways.
//!
//! A gateway adds a version before it begins the first stream there. So a set that is read after a stream was taken up has the
//! version that began it, and a new version costs the streams in progress nothing until it is used.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use marigold_core::ids::{Name, SoftwareVersion, Uptime};
use marigold_core::routes::Repeat;
use marigold_core::stream_origin::PoolVersion;
use marigold_core::stream_origin::version_set::{Proof, Review, VersionSet};
use marigold_objects::{Error, Expect, Result, Store, Version};
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
/// Time for which a stream waits until the set is read, or its version is in it.
const ADD_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between two reads for proofs; requests that wait meanwhile share one.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the set is maintained.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failure.
const MAINTENANCE_RETRY_DELAY: Duration = Duration::from_secs(1);
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
    /// Versions by pool that are in the set and have been listed without interruption since they were found there.
    added: ArcSwap<BTreeMap<Name, BTreeSet<SoftwareVersion>>>,
    /// Versions that are used although they could not be added in time.
    overdue: Mutex<BTreeSet<PoolVersion>>,
    last_read: Mutex<Option<Read>>,
    /// Whether the set was read since the list of targets was last unknown.
    is_adopted: AtomicBool,
    /// Held while a stream waits for its version to be added.
    adding: tokio::sync::Mutex<()>,
    /// Held during a read for proofs.
    reading: tokio::sync::Mutex<()>,
}

impl Versions {
    /// Returns whether streams may begin at a version.
    pub(crate) fn is_added(&self, pool: &str, version: &str) -> bool {
        self.added.load().get(pool).is_some_and(|versions| versions.contains(version))
    }

    fn has_added(&self, pool: &str) -> bool {
        self.added.load().contains_key(pool)
    }

    fn extend_added(&self, versions: &BTreeSet<PoolVersion>) {
        self.added.rcu(|added| {
            let mut added = BTreeMap::clone(added);
            for (pool, version) in versions {
                added.entry(pool.clone()).or_default().insert(version.clone());
            }
            added
        });
    }

    fn retain_added(&self, is_listed: impl Fn(&str, &str) -> bool) {
        self.added.rcu(|added| {
            let mut added = BTreeMap::clone(added);
            added.retain(|pool, versions| {
                versions.retain(|version| is_listed(pool, version));
                !versions.is_empty()
            });
            added
        });
    }

    /// Records that the list of targets was not known for a while.
    pub(crate) fn on_gap(&self) {
        self.added.store(Arc::default());
        self.is_adopted.store(false, Ordering::Relaxed);
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

/// Reads the set before the first stream begins in a pool, so that it begins at a version that is in use.
pub(crate) async fn ensure_adopted<D: Dialect, S: Store>(shared: &Shared<D, S>, pool: &str) {
    let is_done =
        || shared.versions.has_added(pool) || shared.versions.is_adopted.load(Ordering::Relaxed);
    if is_done() {
        return;
    }
    let _guard = shared.versions.adding.lock().await;
    if is_done() {
        return;
    }
    match time::timeout(ADD_TIMEOUT, adopt(shared)).await {
        Ok(Ok(())) => {}
        Ok(Err(err)) => on_failure(shared, "software versions in the store not read", &err),
        Err(_) => tracing::warn!("software versions in the store not read in time"),
    }
}

/// Adds a version to the set, before a stream begins there.
pub(crate) async fn ensure_added<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    pool: &str,
    version: &str,
) {
    let key = (pool.to_owned(), version.to_owned());
    let is_done =
        || shared.versions.is_added(pool, version) || shared.versions.overdue.lock().contains(&key);
    if is_done() {
        return;
    }
    let _guard = shared.versions.adding.lock().await;
    if is_done() {
        return;
    }
    let missing = BTreeSet::from([key.clone()]);
    if time::timeout(ADD_TIMEOUT, add_until_done(shared, &missing)).await.is_err() {
        tracing::error!(
            pool,
            version,
            "software version used before it could be added to the store"
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
    shared.versions.extend_added(missing);
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

/// Keeps the set up to date, until the process ends: adds versions that streams are to begin at, and removes those that are not
/// used any more.
pub(crate) async fn maintain_forever<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    let mut review = Review::default();
    loop {
        time::sleep(MAINTENANCE_INTERVAL).await;
        if !shared.has_current_targets(boottime::now()) {
            review.on_gap();
            continue;
        }
        match maintain(&shared, &mut review).await {
            Ok(()) | Err(Error::Conflict { .. }) => {}
            Err(err) => {
                on_failure(&shared, "software versions not maintained", &err);
                time::sleep(MAINTENANCE_RETRY_DELAY).await;
            }
        }
    }
}

async fn maintain<D: Dialect, S: Store>(shared: &Shared<D, S>, review: &mut Review) -> Result<()> {
    shared.versions.retain_added(|pool, version| shared.targets.is_version_listed(pool, version));
    if !shared.versions.is_adopted.load(Ordering::Relaxed) && shared.targets.len() > 0 {
        adopt(shared).await?;
    }
    let now = boottime::now();
    let mut due = shared.versions.overdue.lock().clone();
    for (key, is_known) in shared.targets.listed_versions(now) {
        let (pool, version) = &key;
        let is_needed = is_known || !shared.versions.has_added(pool);
        if is_needed && !shared.versions.is_added(pool, version) && begins_streams(shared, pool) {
            due.insert(key);
        }
    }
    if !due.is_empty() {
        add_once(shared, &due).await?;
        shared.versions.overdue.lock().retain(|version| !due.contains(version));
    }
    if shared.members.is_watcher() {
        revise(shared, review).await?;
    }
    Ok(())
}

/// Returns whether streams that can be taken up begin in a pool.
fn begins_streams<D: Dialect, S: Store>(shared: &Shared<D, S>, pool: &str) -> bool {
    let Some(adopted) = shared.adopted.load_full() else { return false };
    let mut resumable = adopted.routing.routes().filter(|route| route.repeat == Repeat::Resumable);
    resumable.any(|route| route.pools.iter().any(|(name, _)| name == pool))
}

/// Takes the set over after the list of targets was unknown: as the history of versions of that time, and the versions that are
/// listed as those that streams may begin at. If the set lacks versions, the history is known when this gateway has seen
/// the list for long enough.
async fn adopt<D: Dialect, S: Store>(shared: &Shared<D, S>) -> Result<()> {
    let read = read(shared).await?;
    let now = boottime::now();
    let listed: BTreeSet<PoolVersion> = shared.targets.listed_versions(now).into_keys().collect();
    let usable = read.set.iter().map(|(pool, version)| (pool.clone(), version.clone()));
    let usable: BTreeSet<PoolVersion> = usable.filter(|key| listed.contains(key)).collect();
    if !usable.is_empty() {
        add_once(shared, &usable).await?;
    }
    if read.set.is_complete() {
        shared.targets.restore_history(&read.set, now);
        tracing::info!(versions = read.set.iter().count(), "history of software versions restored");
    }
    // At the first start of the system the set is about to be made.
    let is_expected = read.object.is_none() && shared.settings().first_start;
    shared.versions.is_adopted.store(!is_expected, Ordering::Relaxed);
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
        let mut versions = last.set.iter().map(|(pool, version)| (pool.clone(), version.clone()));
        let is_in_use = versions.all(|version| recent.contains(&version));
        !last.set.is_complete() || (!is_in_use && last.at + REVIEW_INTERVAL <= now)
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
