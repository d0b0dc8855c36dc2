//! Distribution of a change in a tree of two levels: from the accepting entry to [`RELAYS_PER_DATA_CENTRE`] relays in
//! each data centre, and from each relay to the other entries of its data centre.

use std::collections::BTreeMap;

use crate::ids::{Name, Revision};
use crate::rendezvous;

/// Largest number of peers to which the accepting entry pushes directly, without relays.
pub const MAX_DIRECT_PEERS: usize = 16;
/// Relays chosen in each data centre; with more than one, a failed relay does not delay a change.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;

/// An entry and its data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Peer {
    /// Name of the entry.
    pub name: Name,
    /// Data centre of the entry.
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

/// Returns the peers to which the accepting entry pushes a revision; `peers` excludes the entry itself.
pub fn first_hop(peers: &[Peer], revision: Revision) -> Vec<&Peer> {
    if peers.len() <= MAX_DIRECT_PEERS {
        return peers.iter().collect();
    }
    relays(peers, revision).into_values().flatten().collect()
}

/// Returns the peers to which a relay forwards a revision; `peers` excludes the relay itself.
pub fn second_hop<'a>(data_centre: &str, peers: &'a [Peer]) -> Vec<&'a Peer> {
    peers.iter().filter(|peer| peer.data_centre == data_centre).collect()
}

/// Returns whether the receivers of the first hop have to forward a revision.
pub fn needs_relay(peers: &[Peer]) -> bool {
    peers.len() > MAX_DIRECT_PEERS
}

/// Returns whether an entry watches the platform for its data centre.
pub fn is_watcher(entry: &Peer, peers: &[Peer]) -> bool {
    let neighbours: Vec<&str> = peers
        .iter()
        .filter(|peer| peer.data_centre == entry.data_centre)
        .map(|peer| peer.name.as_str())
        .collect();
    rendezvous::is_linked(&entry.data_centre, &entry.name, &neighbours, RELAYS_PER_DATA_CENTRE)
}
