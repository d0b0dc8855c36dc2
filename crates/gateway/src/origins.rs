//! Which software version began each stream, so that it goes on at no other one.
//!
//! While a pool has had several versions, the gateway that begins a stream sends a record of its origin to other gateways
//! before the caller gets the first event. A gateway at which a caller takes the stream up finds the record there, also
//! when the first gateway is gone; when all were lost at once, they read the records from the store. Without a record the
//! stream goes on only if the pool had one version, according to the store or, if that cannot tell, to the gateways that are
//! asked.

pub(crate) mod stored;
pub(crate) mod versions;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use marigold_core::digest;
use marigold_core::ids::{Name, SoftwareVersion, Uptime};
use marigold_core::routes::Route;
use marigold_core::stream_origin::version_set::Proof;
use marigold_core::stream_origin::{self, Origin, OriginTable, Record};
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::messages::{OriginAnswer, OriginQuery, StreamOrigin};
use parking_lot::Mutex;
use tokio::time;

use crate::dialect::Dialect;
use crate::members::Member;
use crate::peers;
use crate::shared::Shared;

/// Number of other gateways that keep a record.
const KEEPERS: usize = 2;
/// Number of records that are sent at a time.
const MAX_SENT_AT_ONCE: usize = 16;
/// Number of other gateways that are asked for a record. More than keep it, since memberships may differ.
const ASKED: usize = 4;
/// Time for which the first event waits until another gateway and the store have the record. A fraction of the delay from
/// which an event counts as late.
const RECORD_TIMEOUT: Duration = Duration::from_millis(60);
/// Timeout of a question for a record.
pub(crate) const QUERY_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout of the read of the versions in the store, which may be slow.
const PROOF_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after the last event for which a record stays in the store, as the caller may not have received it yet.
const END_MARGIN: Duration = Duration::from_secs(10);
/// Delay before gateways are asked again for a record that none has found, when some did not answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Time after a caller's deadline for which a record is kept.
const RECORD_MARGIN: Duration = Duration::from_secs(5);
/// Number of timeouts of its route that a stream may last in all, with its continuations.
const MAX_STREAM_TIMEOUTS: u32 = 3;

/// Records of the origins of streams that this gateway began or keeps for others.
#[derive(Default)]
pub(crate) struct Origins {
    table: Mutex<OriginTable>,
    queue: stored::Queue,
    /// Whether the records of the run before this one have been read from the store.
    is_restored: AtomicBool,
}

impl Origins {
    /// Removes the records that have expired.
    pub(crate) fn remove_expired(&self, now: Uptime) {
        self.table.lock().remove_expired(now);
    }

    /// Returns the number of records.
    pub(crate) fn len(&self) -> usize {
        self.table.lock().len()
    }
}

/// Returns the time within which a stream that is taken up now can have begun, on a route with a timeout. A caller may
/// take a stream up several times, for a request that it waits for longer than the route does.
pub(crate) fn window(timeout: Duration) -> Duration {
    MAX_STREAM_TIMEOUTS * timeout + RECORD_MARGIN
}

/// Returns the software version of a pool if it provably had no other within `window`.
fn only_version<D: Dialect, S>(
    shared: &Shared<D, S>,
    pool: &str,
    window: Duration,
) -> Option<SoftwareVersion> {
    let now = boottime::now();
    // First, since the list may be replaced in between.
    let is_current = shared.has_current_targets(now);
    shared.targets.only_version(pool, now, window).filter(|_| is_current)
}

/// Records that a stream begins with its first event; returns after another gateway and the store have the record, if it is
/// needed there.
pub(crate) async fn record<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    record: Record,
    route: &Route,
) {
    let window = window(route.timeout);
    // Nobody can prove in which pool a stream began that may have begun in several.
    let is_only =
        route.pools.len() == 1 && only_version(shared, &record.origin.pool, window).is_some();
    let now = boottime::now();
    let expires = (record.expires + RECORD_MARGIN).min(now + window);
    let record = Record { expires, ..record };
    if !shared.origins.table.lock().insert(record.clone(), true, now) {
        tracing::warn!(customer = record.customer, "too many streams; origin not recorded");
    }
    if is_only {
        return;
    }
    let ticket = shared.origins.queue.push(record.clone());
    let written = shared.origins.queue.wait_written(ticket, RECORD_TIMEOUT);
    let (is_kept, is_stored) = tokio::join!(send(shared, &record), written);
    if !is_stored {
        shared.metrics.origins_stored_late.add(1, &[]);
        tokio::spawn(ask_to_store(shared.clone(), record.clone()));
    }
    if !is_kept {
        tracing::info!(
            pool = record.origin.pool,
            software = record.origin.version,
            is_stored,
            "no other gateway has recorded the origin of a stream"
        );
    }
}

/// Asks a gateway that may reach the store to write a record.
async fn ask_to_store<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>, record: Record) {
    for keeper in shared.members.ranked(&digest::to_wire(record.key), KEEPERS, true) {
        let message = to_message(&record, boottime::now());
        match peers::record_origin(&keeper, message, true).await {
            Ok(()) => return,
            Err(err) => tracing::debug!(member = keeper.name, err, "origin of a stream not stored"),
        }
    }
}

/// Records that a stream has ended with its last event.
pub(crate) fn on_end<D: Dialect, S>(shared: &Shared<D, S>, customer: Option<&str>, first: &str) {
    let until = boottime::now() + END_MARGIN;
    shared.origins.table.lock().on_end(stream_origin::key(customer, first), until);
}

/// Sends a record to the gateways that keep it; returns whether one has answered in time.
async fn send<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, record: &Record) -> bool {
    let keepers = shared.members.ranked(&digest::to_wire(record.key), KEEPERS, true);
    let message = to_message(record, boottime::now());
    let mut sent: FuturesUnordered<_> = keepers
        .into_iter()
        .map(|member| {
            let message = message.clone();
            // Runs on after the first answer, so that both keep the record.
            tokio::spawn(async move { peers::record_origin(&member, message, false).await })
        })
        .collect();
    let first = async {
        while let Some(result) = sent.next().await {
            match result {
                Ok(Ok(())) => return true,
                Ok(Err(err)) => tracing::debug!(err, "origin of a stream not recorded"),
                Err(err) => tracing::error!(%err, "recording the origin of a stream failed"),
            }
        }
        false
    };
    time::timeout(RECORD_TIMEOUT, first).await.unwrap_or(false)
}

/// Sends the records of the streams in progress that this gateway began in some pools, and stores them, as it can no longer be
/// proved where they began.
pub(crate) async fn send_own<D: Dialect, S: Store>(
    shared: Arc<Shared<D, S>>,
    pools: Vec<Name>,
    reason: &'static str,
) {
    for pool in pools {
        let records = shared.origins.table.lock().own(Some(&pool), boottime::now());
        tracing::info!(pool, streams = records.len(), reason, "origins of streams sent");
        for record in &records {
            shared.origins.queue.push(record.clone());
        }
        send_all(&shared, records).await;
    }
}

/// Sends the records of pools from which the new configuration has moved routes.
pub(crate) fn on_config<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>) {
    let pools = shared.take_left_pools();
    if !pools.is_empty() {
        tokio::spawn(send_own(shared.clone(), pools, "route_moved"));
    }
}

/// Sends records to the gateways that keep them; returns those that none has taken in time.
async fn send_all<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    records: Vec<Record>,
) -> Vec<Record> {
    let sent = records.into_iter().map(async |record| {
        let is_kept = send(shared, &record).await;
        (!is_kept).then_some(record)
    });
    let sent = futures::stream::iter(sent).buffer_unordered(MAX_SENT_AT_ONCE);
    sent.filter_map(async |record| record).collect().await
}

/// Stream that a caller takes up.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TakenUp<'a> {
    pub(crate) customer: Option<&'a str>,
    /// The caller's attempt that brought the first event; unknown if the caller does not name it.
    pub(crate) resumes: Option<&'a str>,
    /// The only pool in which the stream can have begun, if there is one.
    pub(crate) pool: Option<&'a str>,
    pub(crate) window: Duration,
}

/// Where a stream began, as far as is known.
pub(crate) enum Found {
    /// The record of its origin.
    Origin(Origin),
    /// The only version that its pool had.
    Version(SoftwareVersion),
    /// Nobody knows it; how many other gateways were asked for a record, and how many answered.
    Unknown { asked: usize, answered: usize },
}

/// Finds out where a stream began: from the own records, from those of others, or because its pool had one version only
/// according to the store.
pub(crate) async fn find<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    stream: TakenUp<'_>,
) -> Found {
    let first = find_once(shared, stream).await;
    let Found::Unknown { asked, answered } = first else { return first };
    if answered == asked && shared.origins.is_restored.load(Ordering::Relaxed) {
        return first;
    }
    // Gateways that were lost together start again within some hundred milliseconds of each other.
    time::sleep(RETRY_DELAY).await;
    find_once(shared, stream).await
}

async fn find_once<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, stream: TakenUp<'_>) -> Found {
    let key = stream.resumes.map(|resumes| stream_origin::key(stream.customer, resumes));
    let own = key.and_then(|key| shared.origins.table.lock().get(key, boottime::now()).cloned());
    if let Some(record) = own {
        return Found::Origin(record.origin);
    }
    let query = OriginQuery {
        key: key.map(digest::to_wire).unwrap_or_default(),
        pool: stream.pool.map(str::to_owned),
        window_ms: stream.window.as_millis() as u64,
    };
    // Those that rank first among all, and those that do among the ones that answer now.
    let mut asked = shared.members.ranked(&query.key, ASKED, false);
    for member in shared.members.ranked(&query.key, KEEPERS, true) {
        if asked.iter().all(|other| other.name != member.name) {
            asked.push(member);
        }
    }
    let mut answers: FuturesUnordered<_> = asked.iter().map(|member| ask(member, &query)).collect();
    let mut versions_of_others = Vec::new();
    while let Some(answer) = answers.next().await {
        let Some(answer) = answer else { continue };
        if let Some(origin) = answer.origin {
            return Found::Origin(Origin::from(origin));
        }
        versions_of_others.push(answer.only_version);
    }
    let (asked, answered) = (asked.len(), versions_of_others.len());
    let unknown = Found::Unknown { asked, answered };
    let Some(pool) = stream.pool else { return unknown };
    let proof = time::timeout(PROOF_TIMEOUT, versions::prove(shared, pool)).await;
    match proof {
        Ok(Ok(Proof::Only(version))) => Found::Version(version),
        Ok(Ok(Proof::Several)) => unknown,
        // The set does not help, or the store cannot be read; then all that are asked have to know that there was one
        // version. One that is cut off may have missed another.
        Ok(Ok(Proof::Incomplete) | Err(_)) | Err(_) => {
            let mut versions = versions_of_others.into_iter();
            let own = only_version(shared, pool, stream.window);
            let first = own.or_else(|| versions.clone().next().flatten());
            let is_agreed = answered == asked && versions.all(|version| version == first);
            first.filter(|_| is_agreed).map_or(unknown, Found::Version)
        }
    }
}

async fn ask(member: &Member, query: &OriginQuery) -> Option<OriginAnswer> {
    match peers::read_origin(member, query.clone()).await {
        Ok(answer) => Some(answer),
        Err(err) => {
            tracing::debug!(member = member.name, err, "origin of a stream not read");
            None
        }
    }
}

/// Keeps a record for another gateway, and writes it to the store if that one could not.
pub(crate) fn keep<D, S>(shared: &Shared<D, S>, message: StreamOrigin, is_stored: bool) -> bool {
    let now = boottime::now();
    let Some(key) = digest::from_wire(&message.key) else { return false };
    let expires = now + Duration::from_millis(message.left_ms);
    let record =
        Record { key, customer: message.customer.clone(), origin: message.into(), expires };
    let is_kept = shared.origins.table.lock().insert(record.clone(), false, now);
    if is_kept && is_stored {
        shared.origins.queue.push(record);
    }
    is_kept
}

/// Answers the question of another gateway where a stream began.
pub(crate) fn answer<D: Dialect, S>(shared: &Shared<D, S>, query: &OriginQuery) -> OriginAnswer {
    let now = boottime::now();
    let window = Duration::from_millis(query.window_ms);
    let record = digest::from_wire(&query.key)
        .and_then(|key| shared.origins.table.lock().get(key, now).cloned());
    OriginAnswer {
        origin: record.map(|record| to_message(&record, now)),
        only_version: query.pool.as_ref().and_then(|pool| only_version(shared, pool, window)),
    }
}

fn to_message(record: &Record, now: Uptime) -> StreamOrigin {
    let Record { key, customer, origin, expires } = record.clone();
    StreamOrigin {
        key: digest::to_wire(key),
        customer,
        pool: origin.pool,
        version: origin.version,
        target: origin.target,
        started_at_ms: origin.started_at_ms,
        left_ms: expires.saturating_sub(now).as_millis() as u64,
    }
}
