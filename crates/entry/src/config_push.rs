//! Replication of accepted configuration changes to the other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use marigold_core::fanout;
use marigold_core::ids::Revision;
use marigold_schema::messages::{Delta, Reply, Request};

use crate::config_sync;
use crate::state::Shared;

const PUSH_TIMEOUT: Duration = Duration::from_millis(1500);

/// Returns the other entries, named by their link addresses.
pub(crate) fn fanout_peers(shared: &Shared) -> Vec<fanout::Peer> {
    let peers = shared.settings.peers.iter();
    peers
        .map(|peer| fanout::Peer {
            name: peer.address.clone(),
            data_centre: peer.data_centre.clone(),
        })
        .collect()
}

/// Pushes the changes after `from`, and waits until each peer of the first hop has replied or timed out.
///
/// Returns the number of peers that have confirmed `to`; entries that get it from a relay are not counted.
pub(crate) async fn push(shared: &Arc<Shared>, from: Revision, to: Revision) -> usize {
    let peers = fanout_peers(shared);
    let mut delta = shared.replica.lock().delta(from, shared.confirmation_age().as_millis() as u64);
    delta.relay = fanout::needs_relay(&peers);
    let addresses = fanout::first_hop(&peers, to).into_iter().map(|peer| peer.name.clone());
    push_to(shared, &delta, addresses, to).await
}

/// Forwards changes to the other entries of the data centre.
pub(crate) async fn relay(shared: &Arc<Shared>, mut delta: Delta) {
    delta.relay = false;
    let peers = fanout_peers(shared);
    let addresses = fanout::second_hop(&shared.settings.data_centre, &peers)
        .into_iter()
        .map(|peer| peer.name.clone());
    push_to(shared, &delta, addresses, delta.to).await;
}

async fn push_to(
    shared: &Arc<Shared>,
    delta: &Delta,
    addresses: impl Iterator<Item = String>,
    to: Revision,
) -> usize {
    let addrs: Vec<SocketAddr> = addresses.filter_map(|address| address.parse().ok()).collect();
    let peers = shared.peers.iter().filter(|peer| addrs.contains(&peer.addr()));
    let mut sends: FuturesUnordered<_> = peers
        .map(|peer| async move {
            let reply = peer.request(&Request::Push(delta.clone()), PUSH_TIMEOUT).await;
            matches!(reply, Ok(Reply::Revision(revision)) if revision >= to)
        })
        .collect();
    let mut confirmed = 0;
    while let Some(is_confirmed) = sends.next().await {
        confirmed += usize::from(is_confirmed);
    }
    confirmed
}

/// Adopts pushed changes, starts a pull if earlier ones are missing, and relays them if requested.
///
/// Returns the revision of the replica.
pub(crate) async fn receive(shared: &Arc<Shared>, delta: Delta) -> Revision {
    let adoption = config_sync::adopt(shared, &delta);
    if adoption == marigold_core::head::Adoption::Gap {
        shared.pull_now.notify_one();
    }
    if delta.relay {
        let shared = shared.clone();
        tokio::spawn(async move { relay(&shared, delta).await });
    }
    shared.replica.lock().revision
}
