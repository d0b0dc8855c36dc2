//! Keyed calls: sent to the home of the key's shard under its licence, by this entry or one that is enrolled.

use std::sync::Arc;
use std::time::Duration;

use marigold_core::digest;
use marigold_core::ids::{KeyDigest, Name, Shard};
use marigold_core::outcome::{NotRunCause, Outcome};
use marigold_core::rendezvous;
use marigold_core::sent::PoolShard;
use marigold_core::view::PoolView;
use marigold_schema::messages::{AcquireHint, Call, Forward, KeyRef, Request};

use crate::attempt::{self, Ended};
use crate::state::Shared;
use crate::targets::{self, LINKS_PER_TARGET, TargetHandle};

/// Time between looks for the home of a key.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Time after which the search for a home is given up.
const HOME_WAIT: Duration = Duration::from_secs(4);
/// Time without a home after which another agent is asked to take the licence.
const HINT_AFTER: Duration = Duration::from_millis(800);
/// Time between two such requests.
const HINT_EVERY: Duration = Duration::from_secs(1);
/// Peers that are asked to pass a call on.
const FORWARD_PEERS: usize = 9;
/// Agents, first in line for a shard, whose entries are asked when no home is known.
const LIKELY_HOMES: usize = 3;

/// How a keyed call ended.
pub(crate) enum KeyedEnd {
    /// The home answered for the key.
    Home(Ended, Name),
    /// No home could be heard: the try did not run, and the key's state is unknown.
    NoHome,
}

/// A key and where it belongs.
pub(crate) struct Key {
    pub(crate) digest: KeyDigest,
    pub(crate) shard: Shard,
    pub(crate) body_digest: String,
}

struct Home {
    handle: Arc<TargetHandle>,
    epoch: u64,
    enrolled: bool,
    via: Vec<String>,
}

fn find_home(shared: &Shared, pool: &str, shard: Shard) -> Option<Home> {
    let targets = shared.targets.load();
    let of_pool = targets.values().filter(|handle| handle.pool == pool);
    let offers = of_pool.filter_map(|handle| {
        let (epoch, enrolled, via) = handle.offer(shard)?;
        Some(Home { handle: handle.clone(), epoch, enrolled, via })
    });
    offers.max_by_key(|home| home.epoch)
}

/// Whether the outcome tells that another home, or another try at the same one, is needed.
fn is_elsewhere(outcome: &Outcome) -> bool {
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

/// Runs a keyed call at the home of its key.
pub(crate) async fn run(shared: &Arc<Shared>, pool: &PoolView, key: &Key, call: &Call) -> KeyedEnd {
    let started = shared.now();
    let mut hinted_at: Option<Duration> = None;
    while shared.now() < started + HOME_WAIT {
        let home = find_home(shared, &pool.name, key.shard);
        if let Some((ended, peer)) = try_once(shared, pool, key, home.as_ref(), call).await {
            return KeyedEnd::Home(ended, peer);
        }
        if let Some(home) = &home {
            home.handle.beat_now.notify_one();
        }
        let waited = shared.now().saturating_sub(started);
        if waited > HINT_AFTER && hinted_at.is_none_or(|at| shared.now() > at + HINT_EVERY) {
            hinted_at = Some(shared.now());
            hint(shared, pool, key.shard, home.as_ref()).await;
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    KeyedEnd::NoHome
}

/// One try, from here or through an enrolled entry; none when the home could not be heard.
async fn try_once(
    shared: &Arc<Shared>,
    pool: &PoolView,
    key: &Key,
    home: Option<&Home>,
    call: &Call,
) -> Option<(Ended, Name)> {
    if let Some(home) = home.filter(|home| home.enrolled && home.handle.is_usable(shared.now())) {
        let ended = send_home(shared, &pool.name, key, home, call.clone()).await?;
        if !is_elsewhere(&ended.outcome) {
            return Some((ended, home.handle.name.clone()));
        }
    }
    let via = match home {
        Some(home) if !home.via.is_empty() => home.via.clone(),
        _ => likely_enrolled(shared, pool, key.shard),
    };
    forward(shared, pool, key, &via, call).await
}

/// Targets in line for a shard, without those that are known to take no work.
fn in_line(shared: &Shared, pool: &PoolView, shard: Shard) -> Vec<Name> {
    let now = shared.now();
    let targets = shared.targets.load();
    let ranked = rendezvous::rank(&format!("{}/{shard}", pool.name), pool.targets.keys());
    let takes_work = |name: &Name| targets.get(name).is_none_or(|handle| handle.is_usable(now));
    ranked.into_iter().filter(|name| takes_work(name)).cloned().collect()
}

/// Entries that link to the agents that are first in line for a shard.
fn likely_enrolled(shared: &Shared, pool: &PoolView, shard: Shard) -> Vec<String> {
    let entries = targets::entry_addresses(shared);
    let mut likely = Vec::new();
    for target in in_line(shared, pool, shard).iter().take(LIKELY_HOMES) {
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

/// Sends a keyed call under a licence; none when the licence was sealed here.
async fn send_home(
    shared: &Arc<Shared>,
    pool: &str,
    key: &Key,
    home: &Home,
    mut call: Call,
) -> Option<Ended> {
    let shard_key: PoolShard = (pool.to_owned(), key.shard);
    shared.sent.lock().record(&shard_key, home.epoch, key.digest, shared.now()).ok()?;
    call.attempt = shared.new_attempt_id();
    call.sender = shared.member.clone().into();
    call.agent_incarnation = home.handle.report.load().as_ref()?.incarnation;
    call.key = Some(key_ref(key, home.epoch));
    let ended = attempt::run(shared, &home.handle, call, |_, _| {}).await;
    if matches!(ended.outcome, Outcome::NotRun { .. }) {
        shared.sent.lock().retract(&shard_key, key.digest);
    }
    Some(ended)
}

/// Passes a keyed call on to entries that may be enrolled with the home, one after the other.
async fn forward(
    shared: &Arc<Shared>,
    pool: &PoolView,
    key: &Key,
    via: &[String],
    call: &Call,
) -> Option<(Ended, Name)> {
    let peers = via
        .iter()
        .filter_map(|address| shared.peers.iter().find(|peer| peer.addr().to_string() == *address));
    for peer in peers.take(FORWARD_PEERS) {
        let mut call = call.clone();
        call.attempt = shared.new_attempt_id();
        let attempt = call.attempt;
        call.key = Some(key_ref(key, 0));
        let forward = Forward { pool: pool.name.clone(), shard: key.shard, call };
        let name = peer.addr().to_string();
        let (link, replies) = match peer.stream(&Request::Forward(forward)).await {
            Ok(opened) => opened,
            Err(err) if err.is_before_send() => continue,
            Err(_) => return Some((forward_lost(), name)),
        };
        match attempt::follow(link, replies, attempt, 0, &mut 0, &mut |_, _| {}).await {
            Some(ended) if is_elsewhere(&ended.outcome) => {}
            Some(ended) => return Some((ended, name)),
            None => return Some((forward_lost(), name)),
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

fn forward_lost() -> Ended {
    let reason = "the entry that passed the call on does not answer".to_owned();
    Ended { outcome: Outcome::Unknown(reason), replayed: false }
}

/// Serves a call passed on by another entry: one try at the home, if this entry is enrolled with it.
pub(crate) async fn run_forwarded(shared: &Arc<Shared>, forward: Forward) -> Ended {
    let not_enrolled =
        Ended { outcome: Outcome::not_run(NotRunCause::NotEnrolled), replayed: false };
    let Some(key_ref) = forward.call.key.clone() else { return not_enrolled };
    let Some(digest) = digest::from_wire(&key_ref.digest) else { return not_enrolled };
    let home = find_home(shared, &forward.pool, forward.shard);
    let usable = home.filter(|home| home.enrolled && home.handle.is_usable(shared.now()));
    let Some(home) = usable else { return not_enrolled };
    let key = Key { digest, shard: forward.shard, body_digest: key_ref.body_digest };
    send_home(shared, &forward.pool, &key, &home, forward.call).await.unwrap_or(not_enrolled)
}

/// Asks an agent to look at a shard without a reachable home: the one that offers the licence, which may have lost it,
/// or else the first in line, which may take it.
async fn hint(shared: &Shared, pool: &PoolView, shard: Shard, home: Option<&Home>) {
    let offering = home.map(|home| home.handle.clone());
    let offering = offering.filter(|handle| handle.is_usable(shared.now()));
    let first = in_line(shared, pool, shard).into_iter().next();
    // An agent that this entry has no link to is asked by the entries that have one.
    let linked = first.and_then(|name| shared.targets.load().get(&name).cloned());
    let Some(next) = offering.or(linked) else { return };
    let epoch = home.map_or(0, |home| home.epoch);
    tracing::info!(
        shard,
        epoch,
        target = next.name,
        "home of a shard is not reachable; an agent is asked"
    );
    let req = Request::TakeHint(AcquireHint { shard, epoch });
    let _ = next.peer.request(&req, Duration::from_millis(500)).await;
}
