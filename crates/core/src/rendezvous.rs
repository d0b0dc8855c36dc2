//! Rendezvous hashing: assignments that change little when the set of names changes.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the score of a name for a key; the name with the highest score is chosen.
pub fn score(key: &str, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), xxh3_64_with_seed(key.as_bytes(), 0))
}

/// Returns the names in descending order of their scores for a key.
pub fn rank<'a, N: AsRef<str>>(key: &str, names: impl IntoIterator<Item = &'a N>) -> Vec<&'a N> {
    let mut ranked: Vec<&N> = names.into_iter().collect();
    ranked.sort_by_cached_key(|name| {
        (std::cmp::Reverse(score(key, name.as_ref())), name.as_ref().to_owned())
    });
    ranked
}

/// Returns whether an entry keeps a link to a target, when `links` entries are to be linked to each target.
pub fn is_linked<N: AsRef<str>>(target: &str, entry: &str, entries: &[N], links: usize) -> bool {
    let own_score = score(target, entry);
    let higher = entries
        .iter()
        .filter(|other| other.as_ref() != entry && score(target, other.as_ref()) > own_score);
    higher.take(links).count() < links
}
