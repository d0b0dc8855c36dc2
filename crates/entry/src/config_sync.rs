//! Configuration replica of an entry: loaded at the start, updated from the platform and from peers, and changed by
//! operators. Its revision never decreases.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures::future;
use marigold_core::check;
use marigold_core::config;
use marigold_core::fanout;
use marigold_core::head::{self, Adoption, Head, ItemChange, Items};
use marigold_core::ids::Revision;
use marigold_core::rendezvous;
use marigold_core::view::View;
use marigold_objects::{Error, Expect, Object, Store as _, Version, put_verified};
use marigold_schema::messages::{Delta, Pull, Reply, Request};
use rand::Rng as _;

use crate::config_push;
use crate::state::Shared;
use crate::targets;

const HEAD_KIND: &str = "config";
const HEAD_NAME: &str = "head";
const BUCKET_KIND: &str = "config_part";
/// Longest time that one watch request waits for a change in the platform.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest time between two pulls from a peer; the shortest is half of it.
const PULL_INTERVAL: Duration = Duration::from_secs(1);
const PULL_PEERS: usize = 6;
const PULL_TIMEOUT: Duration = Duration::from_millis(700);
/// First and longest delay before another request to the platform after a failed one.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(5));
/// Largest number of attempts at a change that competes with concurrent changes of other items.
const MAX_ACCEPT_ATTEMPTS: u32 = 8;

/// A configuration change that is in force.
#[derive(Debug)]
pub(crate) struct Accepted {
    pub(crate) revision: Revision,
    /// Number of entries that have confirmed the revision, including this one.
    pub(crate) confirmed: usize,
    /// Number of all entries.
    pub(crate) entries: usize,
}

/// Reason why a change was rejected or could not be confirmed.
#[derive(Debug)]
pub(crate) enum Rejected {
    /// A later revision changed the same items differently, or the base revision is too old.
    Conflict(head::Conflict),
    /// The resulting configuration would be invalid; holds the errors.
    Invalid(Vec<String>),
    /// The platform is unavailable or too many concurrent changes were made; the change did not take effect.
    NotApplied(String),
    /// It is unknown whether the change took effect, since the write of the head failed without a clear result.
    Unknown(String),
}

impl From<Error> for Rejected {
    fn from(err: Error) -> Self {
        Rejected::NotApplied(err.to_string())
    }
}

/// Returns a random duration between half of `wait` and `wait`.
fn jitter(wait: Duration) -> Duration {
    wait.mul_f64(0.5 + f64::from(rand::rng().next_u32()) / f64::from(u32::MAX) / 2.0)
}

/// Adopts changes into the replica and puts them in force on this entry.
pub(crate) fn adopt(shared: &Arc<Shared>, delta: &Delta) -> Adoption {
    let mut replica = shared.replica.lock();
    let old_revision = replica.revision;
    let adoption = replica.adopt(delta);
    if adoption != Adoption::Adopted {
        return adoption;
    }
    let view =
        shared.view.load_full().filter(|view| view.revision == old_revision && delta.from > 0);
    let next = match view {
        Some(view) => {
            let newer = delta.changes.iter().filter(|change| change.revision > old_revision);
            let changes = newer.map(|change| (change.key.clone(), change.value.clone()));
            view.apply(replica.revision, changes)
        }
        None => View::compile(replica.revision, &replica.items),
    };
    put_in_force(shared, next);
    adoption
}

fn adopt_snapshot(shared: &Arc<Shared>, revision: Revision, items: Items) {
    let mut replica = shared.replica.lock();
    if replica.adopt_snapshot(revision, items) == Adoption::Adopted {
        put_in_force(shared, View::compile(replica.revision, &replica.items));
    }
}

/// Puts a view in force. The caller must hold the lock of the replica, so that views are stored in order of revision.
fn put_in_force(shared: &Arc<Shared>, compiled: config::Result<View>) {
    match compiled {
        Ok(view) => {
            tracing::info!(
                revision = view.revision,
                preset = view.preset_name,
                "configuration in force"
            );
            shared.metrics.revision.record(view.revision, &[]);
            let old_view = shared.view.load_full();
            targets::apply_view(shared, old_view.as_deref(), &view);
            shared.view.store(Some(Arc::new(view)));
        }
        Err(err) => {
            tracing::error!(%err, "configuration is invalid; the previous one stays in force")
        }
    }
}

fn revision(shared: &Shared) -> Revision {
    shared.replica.lock().revision
}

async fn read_head(shared: &Shared) -> Result<(Version, Head), Error> {
    match shared.store.get(HEAD_KIND, HEAD_NAME).await? {
        Some(object) => parse_head(&object),
        None => Ok((Version::default(), Head::default())),
    }
}

fn parse_head(object: &Object) -> Result<(Version, Head), Error> {
    let parsed = serde_json::from_str(object.value.as_deref().unwrap_or_default());
    let head = parsed.map_err(|err| Error::Unavailable {
        step: "parsing",
        object: format!("{HEAD_KIND}/{HEAD_NAME}"),
        reason: err.to_string(),
    })?;
    Ok((object.version, head))
}

/// Updates the replica to the revision of a head: from its history, otherwise from a peer, otherwise from the buckets.
async fn catch_up(shared: &Arc<Shared>, head: &Head) -> Result<(), Error> {
    let own_revision = revision(shared);
    if own_revision >= head.revision {
        return Ok(());
    }
    if let Some(delta) = head.delta(own_revision, 0) {
        adopt(shared, &delta);
        return Ok(());
    }
    pull_from_random(shared).await;
    if revision(shared) >= head.revision {
        return Ok(());
    }
    let hashes = head.buckets.iter().filter(|hash| !hash.is_empty());
    let buckets = future::try_join_all(hashes.map(|hash| read_bucket(shared, hash))).await?;
    adopt_snapshot(shared, head.revision, buckets.into_iter().flatten().collect());
    Ok(())
}

async fn read_bucket(shared: &Shared, hash: &str) -> Result<Items, Error> {
    let object = shared.store.get(BUCKET_KIND, hash).await?;
    let text = object.and_then(|object| object.value).unwrap_or_default();
    serde_json::from_str(&text).map_err(|err| Error::Unavailable {
        step: "parsing",
        object: format!("{BUCKET_KIND}/{hash}"),
        reason: err.to_string(),
    })
}

/// Loads the configuration from the platform. While the platform is unavailable, the configuration counts as current
/// once enough peers have replied that no later revision can be in force.
pub(crate) async fn load_initial(shared: Arc<Shared>) {
    let mut wait = BACKOFF.0;
    loop {
        let loaded = async {
            let (_, head) = read_head(&shared).await?;
            catch_up(&shared, &head).await
        };
        match loaded.await {
            Ok(()) => shared.record_confirmation(),
            Err(err) => {
                tracing::warn!(%err, "reading the configuration from the platform failed; pulling from peers");
                if pull_from_all(&shared).await >= replies_required(shared.peers.len() + 1) {
                    shared.is_current.store(true, Ordering::SeqCst);
                }
            }
        }
        if shared.is_current.load(Ordering::SeqCst) {
            return;
        }
        tokio::time::sleep(jitter(wait)).await;
        wait = (wait * 2).min(BACKOFF.1);
    }
}

/// Returns how many other entries have to reply so that at least one of them has each change that a majority confirmed.
///
/// The starting entry may have been one of that majority and lost its replica in the restart.
fn replies_required(entries: usize) -> usize {
    let majority = entries / 2 + 1;
    entries + 1 - majority
}

async fn pull(shared: &Arc<Shared>, index: usize) -> Option<Adoption> {
    let req = Request::Pull(Pull { revision: revision(shared) });
    match shared.peers[index].request(&req, PULL_TIMEOUT).await {
        Ok(Reply::Delta(delta)) => {
            record_peer_confirmation(shared, &delta);
            Some(adopt(shared, &delta))
        }
        Ok(_) => None,
        Err(err) => {
            tracing::debug!(%err, "pulling changes from a peer failed");
            None
        }
    }
}

/// Records the time at which the platform last confirmed the revision to a peer, if this entry has the same revision.
fn record_peer_confirmation(shared: &Shared, delta: &Delta) {
    if delta.to != revision(shared) || !shared.is_current.load(Ordering::SeqCst) {
        return;
    }
    let confirmed = shared.now().saturating_sub(Duration::from_millis(delta.as_of_ms));
    shared.confirmed_at_ms.fetch_max(confirmed.as_millis() as u64, Ordering::Relaxed);
}

/// Pulls from a random one of a fixed set of [`PULL_PEERS`] peers; the set is fixed so that links to them stay open.
async fn pull_from_random(shared: &Arc<Shared>) {
    let own_address = &shared.member.address;
    let mut ranked: Vec<usize> = (0..shared.peers.len()).collect();
    ranked.sort_by_cached_key(|i| {
        std::cmp::Reverse(rendezvous::score(own_address, &shared.peers[*i].addr().to_string()))
    });
    ranked.truncate(PULL_PEERS);
    if !ranked.is_empty() {
        let i = rand::rng().next_u32() as usize % ranked.len();
        pull(shared, ranked[i]).await;
    }
}

/// Pulls from all peers and returns the number that replied.
async fn pull_from_all(shared: &Arc<Shared>) -> usize {
    let pulls = (0..shared.peers.len()).map(|index| pull(shared, index));
    future::join_all(pulls).await.into_iter().flatten().count()
}

/// Pulls from a random peer periodically and after a gap in pushed changes, to get changes that no push delivered.
pub(crate) async fn pull_forever(shared: Arc<Shared>) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(jitter(PULL_INTERVAL)) => {}
            () = shared.pull_now.notified() => {}
        }
        pull_from_random(&shared).await;
    }
}

fn is_watcher(shared: &Shared) -> bool {
    let this_entry = fanout::Peer {
        name: shared.member.address.clone(),
        data_centre: shared.settings.data_centre.clone(),
    };
    fanout::is_watcher(&this_entry, &config_push::fanout_peers(shared))
}

/// Watches the head in the platform if this entry is one of the watchers of its data centre.
pub(crate) async fn watch_forever(shared: Arc<Shared>) {
    if !is_watcher(&shared) {
        return;
    }
    let mut after = Version::default();
    let mut wait = BACKOFF.0;
    loop {
        let poll = async {
            let changes = shared.store.watch(HEAD_KIND, after, WATCH_TIMEOUT).await?;
            for object in &changes.objects {
                let (_, head) = parse_head(object)?;
                catch_up(&shared, &head).await?;
            }
            Ok::<Version, Error>(changes.version.max(after))
        };
        match poll.await {
            Ok(version) => {
                after = version;
                wait = BACKOFF.0;
                shared.record_confirmation();
            }
            Err(Error::HistoryExpired { .. }) => after = Version::default(),
            Err(err) => {
                tracing::debug!(%err, "watching the configuration failed");
                tokio::time::sleep(jitter(wait)).await;
                wait = (wait * 2).min(BACKOFF.1);
            }
        }
    }
}

/// Puts changes in force by one conditional write of the head, and pushes them to peers before it returns.
pub(crate) async fn accept(
    shared: &Arc<Shared>,
    base: Revision,
    changes: Vec<ItemChange>,
    by: &str,
) -> Result<Accepted, Rejected> {
    for _ in 0..MAX_ACCEPT_ATTEMPTS {
        let (version, head) = read_head(shared).await?;
        catch_up(shared, &head).await?;
        head.check_conflicts(base, &changes).map_err(Rejected::Conflict)?;
        let items = {
            let replica = shared.replica.lock();
            if replica.revision != head.revision {
                continue;
            }
            replica.items.clone()
        };
        check_result(&items, &changes)?;
        let by = format!("{by} via {}", shared.new_request_id());
        let proposal = head.propose(&items, changes.clone(), &by);
        let buckets = proposal.buckets.iter();
        future::try_join_all(buckets.map(|(hash, text)| {
            put_verified(&shared.store, BUCKET_KIND, hash, text.clone(), Expect::Any)
        }))
        .await?;
        let text = serde_json::to_string(&proposal.head).expect("a head serialises");
        let expect = if version.is_none() { Expect::Absent } else { Expect::Version(version) };
        match put_verified(&shared.store, HEAD_KIND, HEAD_NAME, text, expect).await {
            Ok(_) => {
                shared.record_confirmation();
                return Ok(publish_accepted(shared, head.revision, proposal).await);
            }
            Err(Error::Conflict { .. }) => continue,
            Err(err @ (Error::Unavailable { .. } | Error::HistoryExpired { .. })) => {
                return Err(Rejected::Unknown(err.to_string()));
            }
            Err(err @ Error::TooManyCalls { .. }) => {
                return Err(Rejected::NotApplied(err.to_string()));
            }
            Err(err @ Error::TooLarge { .. }) => {
                return Err(Rejected::Invalid(vec![err.to_string()]));
            }
        }
    }
    Err(Rejected::NotApplied("other changes kept coming first".to_owned()))
}

async fn publish_accepted(
    shared: &Arc<Shared>,
    from: Revision,
    proposal: head::Proposal,
) -> Accepted {
    let revision = proposal.head.revision;
    match proposal.head.delta(from, 0) {
        Some(delta) => drop(adopt(shared, &delta)),
        None => adopt_snapshot(shared, revision, proposal.items),
    }
    let confirmed = config_push::push(shared, from, revision).await + 1;
    let collector = shared.clone();
    tokio::spawn(async move {
        for hash in proposal.garbage {
            if let Err(err) = collector.store.delete(BUCKET_KIND, &hash, Expect::Any).await {
                tracing::debug!(%err, "deleting a replaced bucket failed");
            }
        }
    });
    Accepted { revision, confirmed, entries: shared.peers.len() + 1 }
}

/// Checks the configuration that results from the changes.
fn check_result(items: &Items, changes: &[ItemChange]) -> Result<(), Rejected> {
    let mut items = items.clone();
    head::apply(&mut items, changes.iter().cloned());
    let declarations =
        config::from_items(&items).map_err(|err| Rejected::Invalid(vec![err.to_string()]))?;
    let preset = config::preset_in_force(&items);
    if !config::PRESETS.contains(&preset.as_str()) {
        let accepted = config::PRESETS.join(", ");
        return Err(Rejected::Invalid(vec![format!(
            "preset `{preset}` is not known; accepted: {accepted}"
        )]));
    }
    check::check_declarations(&declarations)
        .map_err(|errors| Rejected::Invalid(errors.iter().map(ToString::to_string).collect()))
}
