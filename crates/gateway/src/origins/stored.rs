//! Origins of streams in the store, which survive the loss of all gateways.
//!
//! Each gateway has a kind of objects of its own. Each write puts the records since the last one into one object, a slot, which
//! is used again when its streams have ended. A gateway reads its slots when it starts again; another gateway does so for
//! one that does not answer. Records that are lost cost their streams the continuation and nothing else.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use marigold_core::ids::{KeyDigest, Name, Uptime};
use marigold_core::stream_origin::{Record, stored};
use marigold_core::write_pace::WritePace;
use marigold_objects::{Error, Expect, Object, Store, Version};
use marigold_process::boottime;
use marigold_schema::messages::StoredStreams;
use opentelemetry::KeyValue;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time;

use super::send_all;
use crate::dialect::Dialect;
use crate::members::Member;
use crate::shared::Shared;

/// Kind of the objects, as a label of metrics; a gateway's kind has its name added.
const KIND: &str = "streams";
/// Part of the writes that the store takes which is for origins of streams, of all gateways together.
const WRITE_SHARE: f64 = 0.5;
/// Maximum number of records in a slot, which keeps its size below that of the largest object.
const MAX_SLOT_RECORDS: usize = 4_096;
/// Time without new records after which slots that are not needed are deleted.
const IDLE_DELAY: Duration = Duration::from_secs(1);
/// Delay before a failed call is repeated, before a random factor between one and two.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval at which records that were read from the store are sent again to gateways that did not take them.
const RESEND_INTERVAL: Duration = Duration::from_millis(300);
/// Number of times that such records are sent. Gateways that start together reach each other within one or two seconds.
const MAX_RESENDS: u32 = 10;
/// Interval at which gateways that do not answer are looked for.
const INHERIT_INTERVAL: Duration = Duration::from_millis(400);

/// Position of a record among all that were queued.
type Ticket = u64;

#[derive(Default)]
struct Queued {
    records: VecDeque<Record>,
    /// Number of records that were ever queued.
    total: Ticket,
}

/// Records that are to be written to the store.
#[derive(Default)]
pub(crate) struct Queue {
    queued: Mutex<Queued>,
    added: Notify,
    /// Up to which ticket the records have been written.
    written: watch::Sender<Ticket>,
    /// Whether the last write has failed.
    is_failing: AtomicBool,
    pace: Mutex<WritePace>,
}

impl Queue {
    /// Adds a record; returns its ticket.
    pub(super) fn push(&self, record: Record) -> Ticket {
        let mut queued = self.queued.lock();
        queued.records.push_back(record);
        queued.total += 1;
        self.added.notify_one();
        queued.total
    }

    /// Waits until a record has been written, unless the last write has failed; returns whether it has been in time.
    pub(super) async fn wait_written(&self, ticket: Ticket, timeout: Duration) -> bool {
        if self.is_failing.load(Ordering::Relaxed) {
            return false;
        }
        let mut written = self.written.subscribe();
        let written = written.wait_for(|written| *written >= ticket);
        matches!(time::timeout(timeout, written).await, Ok(Ok(_)))
    }

    fn is_empty(&self) -> bool {
        self.queued.lock().records.is_empty()
    }

    /// Takes records for one slot, with the ticket of the last one.
    fn take(&self) -> (Vec<Record>, Ticket) {
        let mut queued = self.queued.lock();
        let count = queued.records.len().min(MAX_SLOT_RECORDS);
        let records = queued.records.drain(..count).collect();
        (records, queued.total - queued.records.len() as Ticket)
    }

    /// Puts records back that could not be written.
    fn put_back(&self, records: Vec<Record>) {
        let mut queued = self.queued.lock();
        for record in records.into_iter().rev() {
            queued.records.push_front(record);
        }
    }
}

/// Object in the store that holds some records.
struct Slot {
    name: Name,
    version: Version,
    /// Streams whose records it holds.
    keys: Vec<KeyDigest>,
}

fn kind_of(gateway: &str) -> String {
    format!("{KIND}-{gateway}")
}

fn on_failure<D: Dialect, S: Store>(shared: &Shared<D, S>, message: &'static str, err: &Error) {
    shared.metrics.store_failures.add(1, &[KeyValue::new("kind", KIND)]);
    tracing::warn!(%err, "{message}");
}

async fn retry_delay() {
    time::sleep(RETRY_DELAY.mul_f64(1.0 + rand::random::<f64>())).await;
}

/// Returns the interval between two writes of this gateway.
fn write_interval<D: Dialect, S: Store>(shared: &Shared<D, S>) -> Duration {
    let writes_per_s = shared.settings().store_writes_per_s * WRITE_SHARE;
    shared.origins.queue.pace.lock().interval(shared.members.alive_count(), writes_per_s)
}

/// Takes over the records of this gateway's run before, then writes new ones, until the process ends.
pub(crate) async fn run<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    let kind = kind_of(&shared.settings().name);
    let mut slots = restore_own(&shared, &kind).await;
    let mut era = shared.store_era.subscribe();
    loop {
        if era.has_changed().unwrap_or(false) {
            // The copy from which the store was restored may lack any of the slots.
            era.mark_unchanged();
            for key in slots.drain(..).flat_map(|slot| slot.keys) {
                let record = shared.origins.table.lock().get(key, boottime::now()).cloned();
                if let Some(record) = record {
                    shared.origins.queue.push(record);
                }
            }
        }
        let added = shared.origins.queue.added.notified();
        if !shared.origins.queue.is_empty() {
            let sent = boottime::now();
            write(&shared, &kind, &mut slots).await;
            let took = boottime::now().saturating_sub(sent);
            time::sleep(write_interval(&shared).saturating_sub(took)).await;
        } else if slots.is_empty() {
            tokio::select! {
                () = added => {}
                _ = era.changed() => era.mark_changed(),
            }
        } else if time::timeout(IDLE_DELAY, added).await.is_err() {
            delete_unneeded(&shared, &kind, &mut slots).await;
        }
    }
}

/// Returns whether a record of some streams may still be needed.
fn is_needed<D: Dialect, S: Store>(shared: &Shared<D, S>, keys: &[KeyDigest]) -> bool {
    let (table, now) = (shared.origins.table.lock(), boottime::now());
    keys.iter().any(|key| table.is_needed(*key, now))
}

/// Writes the queued records to a slot that is not needed, or to a new one.
async fn write<D: Dialect, S: Store>(shared: &Shared<D, S>, kind: &str, slots: &mut Vec<Slot>) {
    let (mut records, last) = shared.origins.queue.take();
    records.retain(|record| is_needed(shared, &[record.key]));
    if records.is_empty() {
        shared.origins.queue.written.send_replace(last);
        return;
    }
    let now = boottime::now();
    let text = match serde_json::to_string(&stored::encode(&records, now)) {
        Ok(text) => text,
        Err(err) => return tracing::error!(%err, "failed to serialise origins of streams"),
    };
    let index = slots.iter().position(|slot| !is_needed(shared, &slot.keys)).unwrap_or_else(|| {
        let is_free = |name: &Name| slots.iter().all(|slot| slot.name != *name);
        let mut names = (0..=slots.len()).map(|number| number.to_string());
        let name = names.find(is_free).unwrap_or_default();
        slots.push(Slot { name, version: Version::default(), keys: Vec::new() });
        slots.len() - 1
    });
    let slot = &mut slots[index];
    slot.keys = records.iter().map(|record| record.key).collect();
    let expect =
        if slot.version.is_none() { Expect::Absent } else { Expect::Version(slot.version) };
    match shared.store.put(kind, &slot.name, text, expect).await {
        Ok(version) => {
            slot.version = version;
            shared.origins.queue.pace.lock().on_accepted();
            shared.origins.queue.is_failing.store(false, Ordering::Relaxed);
            shared.origins.queue.written.send_replace(last);
            tracing::debug!(streams = records.len(), slot = slot.name, "origins of streams stored");
        }
        Err(err) => {
            shared.origins.queue.put_back(records);
            if let Error::Conflict { found, .. } = err {
                // A write without an answer has taken effect, or another gateway has deleted the slot.
                slot.version = found;
                slot.keys.clear();
                return;
            }
            if matches!(err, Error::TooManyCalls { .. }) {
                shared.origins.queue.pace.lock().on_refused();
            }
            shared.origins.queue.is_failing.store(true, Ordering::Relaxed);
            on_failure(shared, "origins of streams not stored", &err);
            retry_delay().await;
        }
    }
}

/// Deletes the slots whose streams have ended, until there are new records.
async fn delete_unneeded<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    kind: &str,
    slots: &mut Vec<Slot>,
) {
    while let Some(index) = slots.iter().position(|slot| !is_needed(shared, &slot.keys)) {
        if !shared.origins.queue.is_empty() {
            return;
        }
        let slot = &mut slots[index];
        match shared.store.delete(kind, &slot.name, Expect::Version(slot.version)).await {
            Ok(()) => drop(slots.swap_remove(index)),
            Err(Error::Conflict { found, .. }) if found.is_none() => {
                slots.swap_remove(index);
            }
            Err(Error::Conflict { found, .. }) => slot.version = found,
            Err(err) => {
                if matches!(err, Error::TooManyCalls { .. }) {
                    shared.origins.queue.pace.lock().on_refused();
                }
                on_failure(shared, "origins of streams that have ended not deleted", &err);
                return;
            }
        }
        time::sleep(write_interval(shared)).await;
    }
}

/// Reads the slots of a gateway with their records.
async fn read<D: Dialect, S: Store>(
    shared: &Shared<D, S>,
    kind: &str,
) -> marigold_objects::Result<(Vec<Slot>, Vec<Record>)> {
    let list = shared.store.watch(kind, Version::default(), Duration::ZERO).await?;
    let (mut slots, mut records) = (Vec::new(), Vec::new());
    for Object { name, version, value } in list.objects {
        let streams = serde_json::from_str::<StoredStreams>(&value.unwrap_or_default());
        let found = match streams {
            Ok(streams) => stored::decode(&streams, boottime::now()),
            Err(err) => {
                tracing::warn!(kind, name, %err, "invalid origins of streams in the store");
                Vec::new()
            }
        };
        let keys = found.iter().map(|record| record.key).collect();
        slots.push(Slot { name, version, keys });
        records.extend(found);
    }
    Ok((slots, records))
}

/// Takes over the records of this gateway's run before; returns its slots.
async fn restore_own<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, kind: &str) -> Vec<Slot> {
    let (slots, records) = loop {
        match read(shared, kind).await {
            Ok(read) => break read,
            Err(err) => {
                on_failure(shared, "own origins of streams not read", &err);
                retry_delay().await;
            }
        }
    };
    if !records.is_empty() {
        tracing::info!(streams = records.len(), "origins of streams taken over");
        take_over(shared, records, true);
    }
    shared.origins.is_restored.store(true, Ordering::Relaxed);
    slots
}

/// Keeps records that were read from the store, and sends them to the gateways that keep them.
fn take_over<D: Dialect, S: Store>(shared: &Arc<Shared<D, S>>, records: Vec<Record>, is_own: bool) {
    let now = boottime::now();
    {
        let mut table = shared.origins.table.lock();
        for record in &records {
            table.insert(record.clone(), is_own, now);
        }
    }
    tokio::spawn(resend(shared.clone(), records));
}

/// Sends records to the gateways that keep them, until each is kept by one.
async fn resend<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>, mut records: Vec<Record>) {
    for _ in 0..MAX_RESENDS {
        records = send_all(&shared, records).await;
        records.retain(|record| record.expires > boottime::now());
        if records.is_empty() {
            return;
        }
        time::sleep(RESEND_INTERVAL).await;
    }
}

/// Takes over the records of gateways that do not answer, until the process ends.
pub(crate) async fn inherit_forever<D: Dialect, S: Store>(shared: Arc<Shared<D, S>>) {
    let mut inherited: BTreeMap<Name, Uptime> = BTreeMap::new();
    loop {
        time::sleep(INHERIT_INTERVAL).await;
        let orphaned = shared.members.orphaned();
        inherited.retain(|name, since| {
            orphaned.iter().any(|(member, at)| member.name == *name && at == since)
        });
        for (member, since) in orphaned {
            if inherited.contains_key(&member.name) {
                continue;
            }
            match read(&shared, &kind_of(&member.name)).await {
                Ok((slots, records)) => {
                    inherited.insert(member.name.clone(), since);
                    inherit(&shared, &member, since, slots, records);
                }
                Err(err) => on_failure(&shared, "origins of a silent gateway not read", &err),
            }
        }
    }
}

fn inherit<D: Dialect, S: Store>(
    shared: &Arc<Shared<D, S>>,
    member: &Member,
    since: Uptime,
    slots: Vec<Slot>,
    records: Vec<Record>,
) {
    if slots.is_empty() {
        return;
    }
    let streams = records.len();
    tracing::info!(member = member.name, streams, "origins of a silent gateway taken over");
    let expire = records.iter().map(|record| record.expires).max().unwrap_or_default();
    take_over(shared, records, false);
    tokio::spawn(delete_orphaned(shared.clone(), member.name.clone(), since, slots, expire));
}

/// Deletes the slots of a gateway that is gone once its records have expired, unless they were written since.
async fn delete_orphaned<D: Dialect, S: Store>(
    shared: Arc<Shared<D, S>>,
    gateway: Name,
    since: Uptime,
    slots: Vec<Slot>,
    expire: Uptime,
) {
    time::sleep(expire.saturating_sub(boottime::now())).await;
    for slot in slots {
        let orphaned = shared.members.orphaned();
        if !orphaned.iter().any(|(member, at)| member.name == gateway && *at == since) {
            return;
        }
        let expect = Expect::Version(slot.version);
        match shared.store.delete(&kind_of(&gateway), &slot.name, expect).await {
            Ok(()) | Err(Error::Conflict { .. }) => {}
            Err(err) => on_failure(&shared, "origins of a gateway that is gone not deleted", &err),
        }
        time::sleep(write_interval(&shared)).await;
    }
}
