//! Rendezvous hashing: stable choices that move little when the set changes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of a name for a key; the highest score wins.
pub fn score(key: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Names ordered by falling score for a key.
pub fn rank<'a, N: AsRef<str>>(key: &str, names: impl IntoIterator<Item = &'a N>) -> Vec<&'a N> {
    let mut ranked: Vec<&N> = names.into_iter().collect();
    ranked.sort_by_cached_key(|name| {
        (std::cmp::Reverse(score(key, name.as_ref())), name.as_ref().to_owned())
    });
    ranked
}

/// Whether an entry keeps a link to a target when each target is to have `links` entries.
pub fn is_linked<N: AsRef<str>>(target: &str, entry: &str, entries: &[N], links: usize) -> bool {
    let own = score(target, entry);
    let ahead = entries
        .iter()
        .filter(|other| other.as_ref() != entry && score(target, other.as_ref()) > own);
    ahead.take(links).count() < links
}
