//! Calls with an idempotency key: sent to the holder of the licence for the key's shard, by this entry or through
//! another entry that is enrolled.

use std::sync::Arc;
use std::time::Duration;

use marigold_core::digest;
use marigold_core::ids::{KeyDigest, Name, Shard};
use marigold_core::outcome::{NotRunCause, Outcome};
use marigold_core::rendezvous;
use marigold_core::sent::PoolShard;
use marigold_core::view::PoolView;
use marigold_schema::messages::{AcquireHint, Call, Forward, KeyRef, Request};

use crate::attempt::{self, AttemptResult};
use crate::state::Shared;
use crate::targets::{self, LINKS_PER_TARGET, TargetHandle};

/// Interval between attempts to reach the holder.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Timeout for reaching a holder.
const HOLDER_TIMEOUT: Duration = Duration::from_secs(4);
/// Time without a reachable holder after which an agent is sent a hint to acquire the licence.
const HINT_DELAY: Duration = Duration::from_millis(800);
const HINT_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of peers to which a call is forwarded.
const MAX_FORWARD_PEERS: usize = 9;
/// Number of highest-ranked agents of a shard to whose entries a call is forwarded when no enrolled one is known.
const LIKELY_HOLDERS: usize = 3;

pub(crate) enum KeyedResult {
    /// Result of the attempt, and name of the target or address of the entry that it was sent to.
    Attempted(AttemptResult, Name),
    /// No holder could be reached: this call did not run, but an earlier one with the key may have.
    NoHolder,
}

/// Idempotency key and its shard.
pub(crate) struct Key {
    pub(crate) digest: KeyDigest,
    pub(crate) shard: Shard,
    pub(crate) body_digest: String,
}

struct Holder {
    handle: Arc<TargetHandle>,
    epoch: u64,
    enrolled: bool,
    via: Vec<String>,
}

fn find_holder(shared: &Shared, pool: &str, shard: Shard) -> Option<Holder> {
    let targets = shared.targets.load();
    let of_pool = targets.values().filter(|handle| handle.pool == pool);
    let holders = of_pool.filter_map(|handle| {
        let (epoch, enrolled, via) = handle.licence(shard)?;
        Some(Holder { handle: handle.clone(), epoch, enrolled, via })
    });
    holders.max_by_key(|holder| holder.epoch)
}

/// Returns whether the call has to be sent again, to the same or another holder.
fn needs_retry(outcome: &Outcome) -> bool {
    let Outcome::NotRun { cause, .. } = outcome else { return false };
    match cause {
        NotRunCause::StaleIncarnation
        | NotRunCause::Leaving
        | NotRunCause::NoLicence
        | NotRunCause::NotEnrolled
        | NotRunCause::Fenced
        | NotRunCause::TargetRefused => true,
        NotRunCause::Overloaded | NotRunCause::LedgerFull => false,
    }
}

/// Runs a keyed call at the holder of the licence for the key's shard.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    pool: &PoolView,
    key: &Key,
    call: &Call,
) -> KeyedResult {
    let started = shared.now();
    let mut hinted_at: Option<Duration> = None;
    while shared.now() < started + HOLDER_TIMEOUT {
        let holder = find_holder(shared, &pool.name, key.shard);
        if let Some((result, peer)) = try_once(shared, pool, key, holder.as_ref(), call).await {
            return KeyedResult::Attempted(result, peer);
        }
        if let Some(holder) = &holder {
            holder.handle.heartbeat_now.notify_one();
        }
        let waited = shared.now().saturating_sub(started);
        if waited > HINT_DELAY && hinted_at.is_none_or(|at| shared.now() > at + HINT_INTERVAL) {
            hinted_at = Some(shared.now());
            send_acquire_hint(shared, pool, key.shard, holder.as_ref()).await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    KeyedResult::NoHolder
}

/// Sends the call once, directly or through an enrolled entry. Returns none if the holder could not be reached.
async fn try_once(
    shared: &Arc<Shared>,
    pool: &PoolView,
    key: &Key,
    holder: Option<&Holder>,
    call: &Call,
) -> Option<(AttemptResult, Name)> {
    if let Some(holder) =
        holder.filter(|holder| holder.enrolled && holder.handle.is_usable(shared.now()))
    {
        let result = send_to_holder(shared, &pool.name, key, holder, call.clone()).await?;
        if !needs_retry(&result.outcome) {
            return Some((result, holder.handle.name.clone()));
        }
    }
    let via = match holder {
        Some(holder) if !holder.via.is_empty() => holder.via.clone(),
        _ => likely_enrolled_entries(shared, pool, key.shard),
    };
    forward(shared, pool, key, &via, call).await
}

/// Returns a pool's targets in the order in which they are preferred as holders of a shard, without those that are
/// known to be unusable.
fn holder_candidates(shared: &Shared, pool: &PoolView, shard: Shard) -> Vec<Name> {
    let now = shared.now();
    let targets = shared.targets.load();
    let ranked = rendezvous::rank(&format!("{}/{shard}", pool.name), pool.targets.keys());
    let may_be_usable = |name: &Name| targets.get(name).is_none_or(|handle| handle.is_usable(now));
    ranked.into_iter().filter(|name| may_be_usable(name)).cloned().collect()
}

/// Returns the other entries that link to the highest-ranked agents of a shard, one of which may be the holder.
fn likely_enrolled_entries(shared: &Shared, pool: &PoolView, shard: Shard) -> Vec<String> {
    let entries = targets::entry_addresses(shared);
    let mut likely = Vec::new();
    for target in holder_candidates(shared, pool, shard).iter().take(LIKELY_HOLDERS) {
        let linked = entries
            .iter()
            .filter(|entry| rendezvous::is_linked(target, entry, &entries, LINKS_PER_TARGET));
        for entry in linked.filter(|entry| **entry != shared.member.address) {
            if !likely.contains(entry) {
                likely.push(entry.clone());
            }
        }
    }
    likely
}

/// Sends a keyed call under a licence. Returns none if a later holder has made this entry stop sending
/// under its epoch.
async fn send_to_holder(
    shared: &Arc<Shared>,
    pool: &str,
    key: &Key,
    holder: &Holder,
    mut call: Call,
) -> Option<AttemptResult> {
    let pool_shard: PoolShard = (pool.to_owned(), key.shard);
    shared.sent.lock().record(&pool_shard, holder.epoch, key.digest, shared.now()).ok()?;
    call.attempt = shared.new_attempt_id();
    call.sender = shared.member.clone().into();
    call.agent_incarnation = holder.handle.report.load().as_ref()?.incarnation;
    call.key = Some(key_ref(key, holder.epoch));
    let result = attempt::run(shared, &holder.handle, call, |_, _| {}).await;
    if matches!(result.outcome, Outcome::NotRun { .. }) {
        shared.sent.lock().retract(&pool_shard, key.digest);
    }
    Some(result)
}

/// Forwards a keyed call to entries that may be enrolled, one after the other.
async fn forward(
    shared: &Arc<Shared>,
    pool: &PoolView,
    key: &Key,
    via: &[String],
    call: &Call,
) -> Option<(AttemptResult, Name)> {
    let peers = via
        .iter()
        .filter_map(|address| shared.peers.iter().find(|peer| peer.addr().to_string() == *address));
    for peer in peers.take(MAX_FORWARD_PEERS) {
        let mut call = call.clone();
        call.attempt = shared.new_attempt_id();
        let attempt = call.attempt;
        call.key = Some(key_ref(key, 0));
        let forward = Forward { pool: pool.name.clone(), shard: key.shard, call };
        let name = peer.addr().to_string();
        let (link, replies) = match peer.stream(&Request::Forward(forward)).await {
            Ok(opened) => opened,
            Err(err) if err.is_before_send() => continue,
            Err(_) => return Some((forwarder_unresponsive(), name)),
        };
        match attempt::follow_events(link, replies, attempt, 0, &mut 0, &mut |_, _| {}).await {
            Some(result) if needs_retry(&result.outcome) => {}
            Some(result) => return Some((result, name)),
            None => return Some((forwarder_unresponsive(), name)),
        }
    }
    None
}

fn key_ref(key: &Key, epoch: u64) -> KeyRef {
    KeyRef {
        digest: digest::to_wire(key.digest),
        shard: key.shard,
        epoch,
        body_digest: key.body_digest.clone(),
    }
}

fn forwarder_unresponsive() -> AttemptResult {
    let reason = "the entry that passed the call on does not answer".to_owned();
    AttemptResult { outcome: Outcome::Unknown(reason), replayed: false }
}

/// Serves a call forwarded by another entry: sends it to the holder once, if this entry is enrolled.
pub(crate) async fn run_forwarded(shared: &Arc<Shared>, forward: Forward) -> AttemptResult {
    let not_enrolled =
        AttemptResult { outcome: Outcome::not_run(NotRunCause::NotEnrolled), replayed: false };
    let Some(key_ref) = forward.call.key.clone() else { return not_enrolled };
    let Some(digest) = digest::from_wire(&key_ref.digest) else { return not_enrolled };
    let holder = find_holder(shared, &forward.pool, forward.shard);
    let usable = holder.filter(|holder| holder.enrolled && holder.handle.is_usable(shared.now()));
    let Some(holder) = usable else { return not_enrolled };
    let key = Key { digest, shard: forward.shard, body_digest: key_ref.body_digest };
    send_to_holder(shared, &forward.pool, &key, &holder, forward.call).await.unwrap_or(not_enrolled)
}

/// Informs an agent that the holder of a shard cannot be reached: the one that reports the licence, which may have lost
/// it, or else the first candidate, which may acquire it.
async fn send_acquire_hint(
    shared: &Shared,
    pool: &PoolView,
    shard: Shard,
    holder: Option<&Holder>,
) {
    let current = holder.map(|holder| holder.handle.clone());
    let current = current.filter(|handle| handle.is_usable(shared.now()));
    let first = holder_candidates(shared, pool, shard).into_iter().next();
    // Entries with a link to the first candidate send it the hint if this entry has no link to it.
    let linked = first.and_then(|name| shared.targets.load().get(&name).cloned());
    let Some(recipient) = current.or(linked) else { return };
    let epoch = holder.map_or(0, |holder| holder.epoch);
    tracing::info!(
        shard,
        epoch,
        target = recipient.name,
        "holder of a shard cannot be reached; sending a hint to an agent"
    );
    let req = Request::TakeHint(AcquireHint { shard, epoch });
    let _ = recipient.peer.request(&req, Duration::from_millis(500)).await;
}
