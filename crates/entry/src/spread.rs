//! Pushes accepted changes to the other entries.

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

/// Time for which the accepting entry waits for confirmations.
const PUSH_BOUND: Duration = Duration::from_millis(1500);

/// The other entries, named by their link addresses.
pub(crate) fn fanout_peers(shared: &Shared) -> Vec<fanout::Peer> {
    let peers = shared.settings.peers.iter();
    peers
        .map(|peer| fanout::Peer {
            name: peer.address.clone(),
            data_centre: peer.data_centre.clone(),
        })
        .collect()
}

/// Pushes the changes after `from`, and waits until all peers of the first hop confirmed or the bound has passed.
///
/// Gives the number of peers known to have `to`.
pub(crate) async fn push(shared: &Arc<Shared>, from: Revision, to: Revision) -> usize {
    let peers = fanout_peers(shared);
    let mut delta = shared.replica.lock().delta(from, shared.confirmation_age().as_millis() as u64);
    delta.relay = fanout::needs_relay(&peers);
    let names = fanout::first_hop(&peers, to).into_iter().map(|peer| peer.name.clone());
    send_all(shared, &delta, names, to).await
}

/// Passes changes on in the data centre.
pub(crate) async fn relay(shared: &Arc<Shared>, mut delta: Delta) {
    delta.relay = false;
    let peers = fanout_peers(shared);
    let names = fanout::second_hop(&shared.settings.data_centre, &peers)
        .into_iter()
        .map(|peer| peer.name.clone());
    send_all(shared, &delta, names, delta.to).await;
}

async fn send_all(
    shared: &Arc<Shared>,
    delta: &Delta,
    names: impl Iterator<Item = String>,
    to: Revision,
) -> usize {
    let addrs: Vec<SocketAddr> = names.filter_map(|name| name.parse().ok()).collect();
    let peers = shared.peers.iter().filter(|peer| addrs.contains(&peer.addr()));
    let mut sends: FuturesUnordered<_> = peers
        .map(|peer| async move {
            let answer = peer.request(&Request::Push(delta.clone()), PUSH_BOUND).await;
            matches!(answer, Ok(Reply::Revision(revision)) if revision >= to)
        })
        .collect();
    let mut confirmed = 0;
    while let Some(has_it) = sends.next().await {
        confirmed += usize::from(has_it);
    }
    confirmed
}

/// Serves a push: adopts it, asks for what is missing, and passes it on when asked to.
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
