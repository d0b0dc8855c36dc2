//! Task that acquires, renews and releases the licences of shards of idempotency keys. After an acquisition it
//! collects the keys that enrolled entries have sent.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future;
use marigold_core::digest;
use marigold_core::ids::{KeyDigest, Member, Shard};
use marigold_core::licence::{CLOCK_DRIFT_MARGIN, Holder, Licence, Record};
use marigold_core::rendezvous;
use marigold_link::peer::Peer;
use marigold_objects::{Error, Expect, Object, Store as _, Version, put_verified};
use marigold_process::uptime::wall_clock_ms;
use marigold_schema::messages::{PoolSlice, ReplicateKeys, Reply, Request, Seal};

use crate::state::Shared;

const UPDATE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest backoff between updates while the platform does not respond.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Timeout for a reply of an entry.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(1);

type Records = BTreeMap<Shard, (Version, Record)>;

pub(crate) async fn run(shared: Arc<Shared>) {
    let mut wait = UPDATE_INTERVAL;
    loop {
        if wait == UPDATE_INTERVAL {
            let _ = tokio::time::timeout(wait, shared.licence_wakeup.notified()).await;
        } else {
            tokio::time::sleep(jitter(wait)).await;
        }
        let Some(slice) = shared.slice.load_full().filter(|slice| !slice.idempotent) else {
            continue;
        };
        if shared.is_leaving() {
            continue;
        }
        wait = match update(&shared, &slice).await {
            Ok(()) => UPDATE_INTERVAL,
            Err(err) => {
                tracing::debug!(%err, "updating the licences failed");
                (wait * 2).min(MAX_BACKOFF)
            }
        };
    }
}

/// Returns a duration between half of `wait` and all of it, so that agents do not retry simultaneously.
fn jitter(wait: Duration) -> Duration {
    wait.mul_f64(0.5 + f64::from(wall_clock_ms() as u32 % 997) / 1994.0)
}

/// Records that an entry cannot reach the holder of a shard. Returns whether this agent will try to acquire it.
pub(crate) fn on_acquire_hint(shared: &Shared, shard: Shard) -> bool {
    let Some(slice) = shared.slice.load_full() else { return false };
    if slice.idempotent || shard >= slice.key_shards || shared.is_leaving() {
        return false;
    }
    shared.tables.lock().hints.insert(shard);
    shared.licence_wakeup.notify_one();
    true
}

fn kind(pool: &str) -> String {
    format!("licence.{pool}")
}

async fn update(shared: &Shared, slice: &PoolSlice) -> Result<(), Error> {
    let live = shared.enrolled_entries();
    if live.is_empty() {
        return Ok(());
    }
    collect_keys(shared, slice).await;
    renew_due(shared, slice, &live).await?;
    let candidates = candidate_shards(shared, slice);
    if candidates.is_empty() {
        return Ok(());
    }
    let records = read_records(shared, slice).await?;
    let acquisitions = candidates
        .into_iter()
        .map(|(shard, is_hinted)| acquire(shared, slice, shard, is_hinted, &records, &live));
    for result in future::join_all(acquisitions).await {
        result?;
    }
    collect_keys(shared, slice).await;
    Ok(())
}

/// Returns the shards to acquire, each with whether an entry sent a hint for it: of those that this agent does not
/// hold, the shards for which it is the preferred holder and those whose holder an entry cannot reach.
fn candidate_shards(shared: &Shared, slice: &PoolSlice) -> Vec<(Shard, bool)> {
    let mut tables = shared.tables.lock();
    let hints = std::mem::take(&mut tables.hints);
    let candidates = (0..slice.key_shards).filter_map(|shard| {
        if tables.licences.get(&shard).is_some_and(|licence| licence.record().is_some()) {
            return None;
        }
        let is_hinted = hints.contains(&shard);
        let is_preferred =
            is_preferred_holder(&slice.pool, shard, &slice.targets, &shared.settings.target);
        (is_hinted || is_preferred).then_some((shard, is_hinted))
    });
    candidates.collect()
}

fn is_preferred_holder(pool: &str, shard: Shard, targets: &[String], target: &str) -> bool {
    let ranked = rendezvous::rank(&format!("{pool}/{shard}"), targets);
    ranked.first().is_some_and(|first| *first == target)
}

async fn read_records(shared: &Shared, slice: &PoolSlice) -> Result<Records, Error> {
    let changes =
        shared.store.watch(&kind(&slice.pool), Version::default(), Duration::ZERO).await?;
    let parse = |object: Object| {
        let record = serde_json::from_str(&object.value?).ok()?;
        Some((object.name.parse().ok()?, (object.version, record)))
    };
    Ok(changes.objects.into_iter().filter_map(parse).collect())
}

async fn acquire(
    shared: &Shared,
    slice: &PoolSlice,
    shard: Shard,
    is_hinted: bool,
    records: &Records,
    live: &BTreeSet<Member>,
) -> Result<(), Error> {
    let found = records.get(&shard);
    let is_free = found.is_none_or(|(_, record)| {
        record.released || record.holder.target == shared.settings.target
    });
    if !is_free && !is_hinted {
        return Ok(());
    }
    let prior = found.map(|(_, record)| record);
    let record = Record::acquired(prior, holder(shared), live);
    let expect = found.map_or(Expect::Absent, |(version, _)| Expect::Version(*version));
    let sent_at = shared.now();
    write(shared, slice, shard, &record, expect).await?;
    let quarantine =
        Duration::from_millis(record.quarantine_until_ms.saturating_sub(wall_clock_ms()));
    tracing::info!(shard, epoch = record.epoch, "licence acquired");
    let term = Duration::from_secs(u64::from(slice.licence_term_s.max(1)));
    let mut tables = shared.tables.lock();
    let licence = tables.licences.entry(shard).or_insert_with(|| Licence::idle(shard, term));
    licence.start_collecting(record, prior, sent_at, quarantine);
    Ok(())
}

fn holder(shared: &Shared) -> Holder {
    Holder { target: shared.settings.target.clone(), incarnation: shared.incarnation }
}

async fn write(
    shared: &Shared,
    slice: &PoolSlice,
    shard: Shard,
    record: &Record,
    expect: Expect,
) -> Result<(), Error> {
    let text = serde_json::to_string(record).expect("a licence serialises");
    put_verified(&shared.store, &kind(&slice.pool), &shard.to_string(), text, expect)
        .await
        .map(drop)
}

/// Collects the sent keys from the entries that have not reported them yet, and stops waiting for unresponsive
/// ones once the old licence has expired.
async fn collect_keys(shared: &Shared, slice: &PoolSlice) {
    let pending: Vec<(Shard, u64, BTreeSet<Member>)> = {
        let tables = shared.tables.lock();
        let collecting = tables.licences.iter().filter_map(|(shard, licence)| {
            let pending = licence.pending();
            (!pending.is_empty())
                .then(|| (*shard, licence.record().map_or(0, |record| record.epoch), pending))
        });
        collecting.collect()
    };
    let requests = pending.iter().flat_map(|(shard, epoch, members)| {
        let (shard, epoch) = (*shard, *epoch);
        members.iter().map(move |member| async move {
            (shard, member, seal_older_epochs(shared, slice, shard, epoch, member).await)
        })
    });
    let results = future::join_all(requests).await;
    let now = shared.now();
    let retention = Duration::from_secs(u64::from(slice.retention_s));
    let mut tables = shared.tables.lock();
    let tables = &mut *tables;
    for (shard, member, keys) in results {
        if let (Some(licence), Some(keys)) = (tables.licences.get_mut(&shard), keys) {
            licence.on_keys_reported(member, &keys, &mut tables.ledger, now);
        }
    }
    for (shard, licence) in &mut tables.licences {
        if licence.abandon_unresponsive(now, retention) {
            tracing::warn!(
                shard,
                "an enrolled entry did not report its keys; the shard is quarantined"
            );
        }
    }
}

/// Makes an entry stop sending under older epochs and returns the keys it sent, or nothing if it does not reply.
async fn seal_older_epochs(
    shared: &Shared,
    slice: &PoolSlice,
    shard: Shard,
    epoch: u64,
    member: &Member,
) -> Option<Vec<KeyDigest>> {
    let seal =
        Seal { pool: slice.pool.clone(), shard, epoch, entry_incarnation: member.incarnation };
    match request_entry(shared, member, &Request::Seal(seal)).await? {
        Reply::Taught(taught) if taught.incarnation == member.incarnation => {
            taught.keys.iter().map(|key| digest::from_wire(key)).collect()
        }
        _ => None,
    }
}

async fn request_entry(shared: &Shared, member: &Member, req: &Request) -> Option<Reply> {
    let addr: SocketAddr = member.address.parse().ok()?;
    let reply = Peer::new(addr, shared.security.clone()).request(req, ENTRY_TIMEOUT).await;
    reply
        .inspect_err(|err| tracing::debug!(%err, entry = member.name, "entry did not respond"))
        .ok()
}

/// Renews the licences that are due or whose enrolled entries differ from the live ones.
async fn renew_due(
    shared: &Shared,
    slice: &PoolSlice,
    live: &BTreeSet<Member>,
) -> Result<(), Error> {
    let now = shared.now();
    let due: BTreeSet<Shard> = {
        let tables = shared.tables.lock();
        let due = tables
            .licences
            .iter()
            .filter(|(_, licence)| licence.is_renewal_due(now) || licence.is_enrolment_stale(live));
        due.map(|(shard, _)| *shard).collect()
    };
    if due.is_empty() {
        return Ok(());
    }
    let records = read_records(shared, slice).await?;
    let renewals = due.into_iter().map(|shard| renew(shared, slice, shard, &records, live, false));
    for result in future::join_all(renewals).await {
        result?;
    }
    Ok(())
}

async fn renew(
    shared: &Shared,
    slice: &PoolSlice,
    shard: Shard,
    records: &Records,
    live: &BTreeSet<Member>,
    is_release: bool,
) -> Result<(), Error> {
    let now = shared.now();
    let found = records.get(&shard);
    let is_holder = found.is_some_and(|(_, record)| record.holder == holder(shared));
    let prepared = {
        let mut tables = shared.tables.lock();
        let tables = &mut *tables;
        let Some(licence) = tables.licences.get_mut(&shard) else { return Ok(()) };
        if !is_holder {
            tracing::info!(shard, "licence lost to another agent");
            licence.clear();
            return Ok(());
        }
        let quarantine = licence.quarantine_left(now);
        let quarantine_until_ms = if quarantine.is_zero() {
            0
        } else {
            wall_clock_ms() + (quarantine + CLOCK_DRIFT_MARGIN).as_millis() as u64
        };
        licence.prepare_renewal(live, &tables.ledger, quarantine_until_ms)
    };
    let (Some(mut renewal), Some((version, _))) = (prepared, found) else { return Ok(()) };
    renewal.record.released = is_release;
    if !replicate_keys(shared, slice, shard, &renewal.unacknowledged, live).await {
        let tables = shared.tables.lock();
        if let Some(licence) = tables.licences.get(&shard) {
            licence.keep_enrolled(&mut renewal);
        }
    }
    let sent_at = shared.now();
    let result = write(shared, slice, shard, &renewal.record, Expect::Version(*version)).await;
    let mut tables = shared.tables.lock();
    let Some(licence) = tables.licences.get_mut(&shard) else { return Ok(()) };
    match result {
        Ok(()) if is_release => licence.clear(),
        Ok(()) => licence.on_renewed(renewal.record, sent_at),
        Err(Error::Conflict { .. }) => licence.clear(),
        Err(err) => return Err(err),
    }
    Ok(())
}

/// Sends the keys that only dropped entries know to the live ones. Returns whether at least one has acknowledged
/// them.
async fn replicate_keys(
    shared: &Shared,
    slice: &PoolSlice,
    shard: Shard,
    keys: &[KeyDigest],
    live: &BTreeSet<Member>,
) -> bool {
    if keys.is_empty() {
        return true;
    }
    let wire: Vec<String> = keys.iter().map(|key| digest::to_wire(*key)).collect();
    let requests = live.iter().map(|member| {
        let wire = wire.clone();
        async move {
            let msg = ReplicateKeys {
                pool: slice.pool.clone(),
                shard,
                keys: wire,
                entry_incarnation: member.incarnation,
            };
            let reply = request_entry(shared, member, &Request::Tell(msg)).await;
            matches!(reply, Some(Reply::Accepted(true))).then_some(member)
        }
    });
    let acknowledged: Vec<&Member> =
        future::join_all(requests).await.into_iter().flatten().collect();
    let mut tables = shared.tables.lock();
    for member in &acknowledged {
        tables.ledger.mark_acknowledged(keys, member);
    }
    !acknowledged.is_empty()
}

/// Releases all licences, after the last call has ended, so that the next holder does not wait for them to expire.
pub(crate) async fn release(shared: &Shared) {
    let Some(slice) = shared.slice.load_full().filter(|slice| !slice.idempotent) else { return };
    let live = shared.enrolled_entries();
    let Ok(records) = read_records(shared, &slice).await else { return };
    let held: Vec<Shard> = {
        let tables = shared.tables.lock();
        let held = tables.licences.iter().filter(|(_, licence)| licence.record().is_some());
        held.map(|(shard, _)| *shard).collect()
    };
    let releases =
        held.into_iter().map(|shard| renew(shared, &slice, shard, &records, &live, true));
    for result in future::join_all(releases).await {
        if let Err(err) = result {
            tracing::warn!(%err, "releasing a licence failed; the next holder has to wait until it expires");
        }
    }
}
