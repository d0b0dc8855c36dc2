//! Takes, settles, renews and releases the licences of this agent's shards.

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

/// Time between two looks at the licences.
const TICK: Duration = Duration::from_millis(500);
/// Longest time between two looks while the platform does not answer.
const MAX_BACKOFF: Duration = Duration::from_secs(8);
/// Time for an entry to answer.
const ENTRY_BOUND: Duration = Duration::from_secs(1);

type Records = BTreeMap<Shard, (Version, Record)>;

pub(crate) async fn run(shared: Arc<Shared>) {
    let mut wait = TICK;
    loop {
        if wait == TICK {
            let _ = tokio::time::timeout(wait, shared.licence_work.notified()).await;
        } else {
            tokio::time::sleep(jitter(wait)).await;
        }
        let Some(slice) = shared.slice.load_full().filter(|slice| !slice.idempotent) else {
            continue;
        };
        if shared.is_leaving() {
            continue;
        }
        wait = match look(&shared, &slice).await {
            Ok(()) => TICK,
            Err(err) => {
                tracing::debug!(%err, "licences not brought up to date");
                (wait * 2).min(MAX_BACKOFF)
            }
        };
    }
}

/// Between half of a wait and the whole, so that agents do not return to the platform together.
fn jitter(wait: Duration) -> Duration {
    wait.mul_f64(0.5 + f64::from(wall_clock_ms() as u32 % 997) / 1994.0)
}

/// Notes that an entry cannot reach the home of a shard.
pub(crate) fn take_hint(shared: &Shared, shard: Shard) -> bool {
    let Some(slice) = shared.slice.load_full() else { return false };
    if slice.idempotent || shard >= slice.key_shards || shared.is_leaving() {
        return false;
    }
    shared.tables.lock().hints.insert(shard);
    shared.licence_work.notify_one();
    true
}

fn kind(pool: &str) -> String {
    format!("licence.{pool}")
}

async fn look(shared: &Shared, slice: &PoolSlice) -> Result<(), Error> {
    let live = shared.enrolled_entries();
    if live.is_empty() {
        return Ok(());
    }
    settle_all(shared, slice).await;
    renew_all(shared, slice, &live).await?;
    let wanted = wanted_shards(shared, slice);
    if wanted.is_empty() {
        return Ok(());
    }
    let records = read_records(shared, slice).await?;
    let takes = wanted
        .into_iter()
        .map(|(shard, hinted)| take(shared, slice, shard, hinted, &records, &live));
    for taken in future::join_all(takes).await {
        taken?;
    }
    settle_all(shared, slice).await;
    Ok(())
}

/// Shards that this agent does not hold and is first in line for, and those that an entry asked it to take.
fn wanted_shards(shared: &Shared, slice: &PoolSlice) -> Vec<(Shard, bool)> {
    let mut tables = shared.tables.lock();
    let hints = std::mem::take(&mut tables.hints);
    let wanted = (0..slice.key_shards).filter_map(|shard| {
        if tables.holdings.get(&shard).is_some_and(|holding| holding.record().is_some()) {
            return None;
        }
        let hinted = hints.contains(&shard);
        let is_first =
            is_first_in_line(&slice.pool, shard, &slice.targets, &shared.settings.target);
        (hinted || is_first).then_some((shard, hinted))
    });
    wanted.collect()
}

fn is_first_in_line(pool: &str, shard: Shard, targets: &[String], own: &str) -> bool {
    let ranked = rendezvous::rank(&format!("{pool}/{shard}"), targets);
    ranked.first().is_some_and(|first| *first == own)
}

async fn read_records(shared: &Shared, slice: &PoolSlice) -> Result<Records, Error> {
    let changes = shared.store.watch(&kind(&slice.pool), 0, Duration::ZERO).await?;
    let parse = |object: Object| {
        let record = serde_json::from_str(&object.value?).ok()?;
        Some((object.name.parse().ok()?, (object.version, record)))
    };
    Ok(changes.objects.into_iter().filter_map(parse).collect())
}

async fn take(
    shared: &Shared,
    slice: &PoolSlice,
    shard: Shard,
    hinted: bool,
    records: &Records,
    live: &BTreeSet<Member>,
) -> Result<(), Error> {
    let found = records.get(&shard);
    let is_free = found.is_none_or(|(_, record)| {
        record.released || record.holder.target == shared.settings.target
    });
    if !is_free && !hinted {
        return Ok(());
    }
    let prior = found.map(|(_, record)| record);
    let record = Record::acquired(prior, holder(shared), live);
    let expect = found.map_or(Expect::Absent, |(version, _)| Expect::Version(*version));
    let sent_at = shared.now();
    write(shared, slice, shard, &record, expect).await?;
    let quarantine =
        Duration::from_millis(record.quarantine_until_ms.saturating_sub(wall_clock_ms()));
    tracing::info!(shard, epoch = record.epoch, "licence taken");
    let term = Duration::from_secs(u64::from(slice.licence_term_s.max(1)));
    let mut tables = shared.tables.lock();
    let holding = tables.holdings.entry(shard).or_insert_with(|| Licence::idle(shard, term));
    holding.start_collecting(record, prior, sent_at, quarantine);
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

/// Asks the entries that have not answered yet which keys they sent.
async fn settle_all(shared: &Shared, slice: &PoolSlice) {
    let waiting: Vec<(Shard, u64, BTreeSet<Member>)> = {
        let tables = shared.tables.lock();
        let settling = tables.holdings.iter().filter_map(|(shard, holding)| {
            let waiting = holding.pending();
            (!waiting.is_empty())
                .then(|| (*shard, holding.record().map_or(0, |record| record.epoch), waiting))
        });
        settling.collect()
    };
    let asked = waiting.iter().flat_map(|(shard, epoch, members)| {
        let (shard, epoch) = (*shard, *epoch);
        members.iter().map(move |member| async move {
            (shard, member, ask_sent(shared, slice, shard, epoch, member).await)
        })
    });
    let answers = future::join_all(asked).await;
    let now = shared.now();
    let retention = Duration::from_secs(u64::from(slice.retention_s));
    let mut tables = shared.tables.lock();
    let tables = &mut *tables;
    for (shard, member, keys) in answers {
        if let (Some(holding), Some(keys)) = (tables.holdings.get_mut(&shard), keys) {
            holding.on_keys_reported(member, &keys, &mut tables.ledger, now);
        }
    }
    for (shard, holding) in &mut tables.holdings {
        if holding.abandon_unresponsive(now, retention) {
            tracing::warn!(shard, "an enrolled entry stayed silent; the shard is quarantined");
        }
    }
}

/// Seals older epochs at an entry and gives the keys it sent; none when it does not answer.
async fn ask_sent(
    shared: &Shared,
    slice: &PoolSlice,
    shard: Shard,
    epoch: u64,
    member: &Member,
) -> Option<Vec<KeyDigest>> {
    let seal =
        Seal { pool: slice.pool.clone(), shard, epoch, entry_incarnation: member.incarnation };
    match ask(shared, member, &Request::Seal(seal)).await? {
        Reply::Taught(taught) if taught.incarnation == member.incarnation => {
            taught.keys.iter().map(|key| digest::from_wire(key)).collect()
        }
        _ => None,
    }
}

async fn ask(shared: &Shared, member: &Member, req: &Request) -> Option<Reply> {
    let addr: SocketAddr = member.address.parse().ok()?;
    let answer = Peer::new(addr, shared.security.clone()).request(req, ENTRY_BOUND).await;
    answer
        .inspect_err(|err| tracing::debug!(%err, entry = member.name, "entry did not answer"))
        .ok()
}

/// Renews what is due, and brings the rolls up to the live entries.
async fn renew_all(
    shared: &Shared,
    slice: &PoolSlice,
    live: &BTreeSet<Member>,
) -> Result<(), Error> {
    let now = shared.now();
    let due: BTreeSet<Shard> = {
        let tables = shared.tables.lock();
        let due = tables
            .holdings
            .iter()
            .filter(|(_, holding)| holding.is_renewal_due(now) || holding.is_enrolment_stale(live));
        due.map(|(shard, _)| *shard).collect()
    };
    if due.is_empty() {
        return Ok(());
    }
    let records = read_records(shared, slice).await?;
    let renewals = due.into_iter().map(|shard| renew(shared, slice, shard, &records, live, false));
    for renewed in future::join_all(renewals).await {
        renewed?;
    }
    Ok(())
}

async fn renew(
    shared: &Shared,
    slice: &PoolSlice,
    shard: Shard,
    records: &Records,
    live: &BTreeSet<Member>,
    releases: bool,
) -> Result<(), Error> {
    let now = shared.now();
    let found = records.get(&shard);
    let is_ours = found.is_some_and(|(_, record)| record.holder == holder(shared));
    let prepared = {
        let mut tables = shared.tables.lock();
        let tables = &mut *tables;
        let Some(holding) = tables.holdings.get_mut(&shard) else { return Ok(()) };
        if !is_ours {
            tracing::info!(shard, "licence lost to another agent");
            holding.clear();
            return Ok(());
        }
        let quarantine = holding.quarantine_left(now);
        let until = if quarantine.is_zero() {
            0
        } else {
            wall_clock_ms() + (quarantine + CLOCK_DRIFT_MARGIN).as_millis() as u64
        };
        holding.prepare_renewal(live, &tables.ledger, until)
    };
    let (Some(mut renewal), Some((version, _))) = (prepared, found) else { return Ok(()) };
    renewal.record.released = releases;
    if !tell_live(shared, slice, shard, &renewal.unacknowledged, live).await {
        let tables = shared.tables.lock();
        if let Some(holding) = tables.holdings.get(&shard) {
            holding.keep_enrolled(&mut renewal);
        }
    }
    let sent_at = shared.now();
    let written = write(shared, slice, shard, &renewal.record, Expect::Version(*version)).await;
    let mut tables = shared.tables.lock();
    let Some(holding) = tables.holdings.get_mut(&shard) else { return Ok(()) };
    match written {
        Ok(()) if releases => holding.clear(),
        Ok(()) => holding.on_renewed(renewal.record, sent_at),
        Err(Error::Conflict { .. }) => holding.clear(),
        Err(err) => return Err(err),
    }
    Ok(())
}

/// Tells live entries the keys that only dropped entries know; true when at least one knows them now.
async fn tell_live(
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
    let told = live.iter().map(|member| {
        let wire = wire.clone();
        async move {
            let tell = ReplicateKeys {
                pool: slice.pool.clone(),
                shard,
                keys: wire,
                entry_incarnation: member.incarnation,
            };
            let answer = ask(shared, member, &Request::Tell(tell)).await;
            matches!(answer, Some(Reply::Accepted(true))).then_some(member)
        }
    });
    let told: Vec<&Member> = future::join_all(told).await.into_iter().flatten().collect();
    let mut tables = shared.tables.lock();
    for member in &told {
        tables.ledger.mark_acknowledged(keys, member);
    }
    !told.is_empty()
}

/// Gives up all licences after the last call has ended, so that the next holder does not wait for their end.
pub(crate) async fn release(shared: &Shared) {
    let Some(slice) = shared.slice.load_full().filter(|slice| !slice.idempotent) else { return };
    let live = shared.enrolled_entries();
    let Ok(records) = read_records(shared, &slice).await else { return };
    let held: Vec<Shard> = {
        let tables = shared.tables.lock();
        let held = tables.holdings.iter().filter(|(_, holding)| holding.record().is_some());
        held.map(|(shard, _)| *shard).collect()
    };
    let releases =
        held.into_iter().map(|shard| renew(shared, &slice, shard, &records, &live, true));
    for released in future::join_all(releases).await {
        if let Err(err) = released {
            tracing::warn!(%err, "licence not released; the next holder waits for its end");
        }
    }
}
