//! Spreading a change: a tree of two levels, from the accepting entry to one relay per data centre to its neighbours.

use std::collections::BTreeMap;

use crate::ids::{Name, Revision};
use crate::rendezvous;

/// Peers up to which the accepting entry pushes to all directly.
pub const MAX_DIRECT_PEERS: usize = 16;
/// Relays chosen in each data centre, so that a dead one does not hold a change up.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;

/// An entry and its data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name of the entry.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
}

fn relays(peers: &[Peer], revision: Revision) -> BTreeMap<&str, Vec<&Peer>> {
    let mut by_centre: BTreeMap<&str, Vec<&Peer>> = BTreeMap::new();
    for peer in peers {
        by_centre.entry(&peer.data_centre).or_default().push(peer);
    }
    let key = revision.to_string();
    for members in by_centre.values_mut() {
        members.sort_by_cached_key(|peer| std::cmp::Reverse(rendezvous::score(&key, &peer.name)));
        members.truncate(RELAYS_PER_DATA_CENTRE);
    }
    by_centre
}

/// Peers to which the accepting entry pushes a revision; `peers` leaves the entry itself out.
pub fn first_hop(peers: &[Peer], revision: Revision) -> Vec<&Peer> {
    if peers.len() <= MAX_DIRECT_PEERS {
        return peers.iter().collect();
    }
    relays(peers, revision).into_values().flatten().collect()
}

/// Peers to which a relay passes a revision on; `peers` leaves the relay itself out.
pub fn second_hop<'a>(data_centre: &str, peers: &'a [Peer]) -> Vec<&'a Peer> {
    peers.iter().filter(|peer| peer.data_centre == data_centre).collect()
}

/// Whether the receivers of the first hop have to pass a revision on.
pub fn needs_relay(peers: &[Peer]) -> bool {
    peers.len() > MAX_DIRECT_PEERS
}

/// Whether an entry watches the platform for its data centre.
pub fn is_watcher(own: &Peer, peers: &[Peer]) -> bool {
    let near: Vec<&str> = peers
        .iter()
        .filter(|peer| peer.data_centre == own.data_centre)
        .map(|peer| peer.name.as_str())
        .collect();
    rendezvous::is_linked(&own.data_centre, &own.name, &near, RELAYS_PER_DATA_CENTRE)
}
