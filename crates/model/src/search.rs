//! Breadth-first search that keeps a fingerprint of each state, not the state.

use std::collections::HashSet;
use std::hash::Hash;
use std::sync::{Mutex, PoisonError};
use std::thread;

use xxhash_rust::xxh3::Xxh3;

/// States above which a search is given up, so that it cannot use up the memory.
const MAX_STATES: usize = 6_000_000;

/// Held by the search that runs: each uses all cores and much memory.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// What a search reached.
pub(crate) struct Reached<S> {
    pub(crate) states: usize,
    pub(crate) depth: usize,
    pub(crate) found: Option<S>,
}

fn fingerprint<S: Hash>(state: &S) -> u128 {
    let mut hasher = Xxh3::new();
    state.hash(&mut hasher);
    hasher.digest128()
}

/// Successors of a level with their fingerprints, in the order of the level whatever the number of threads.
fn expand<S: Hash + Send + Sync>(
    level: &[S],
    successors: &(impl Fn(&S) -> Vec<S> + Sync),
) -> Vec<(u128, S)> {
    let threads = thread::available_parallelism().map_or(1, usize::from);
    let part = level.len().div_ceil(threads).max(1);
    thread::scope(|scope| {
        let expand_part = |states: &[S]| -> Vec<(u128, S)> {
            let all = states.iter().flat_map(successors);
            let mut unique = HashSet::new();
            let mut ordered = Vec::new();
            for state in all {
                let print = fingerprint(&state);
                if unique.insert(print) {
                    ordered.push((print, state));
                }
            }
            ordered
        };
        let parts: Vec<_> =
            level.chunks(part).map(|states| scope.spawn(move || expand_part(states))).collect();
        parts.into_iter().flat_map(|part| part.join().expect("a search thread ends")).collect()
    })
}

/// Visits all states, level by level, until one is found.
///
/// # Panics
/// When the bounds let in more than [`MAX_STATES`].
pub(crate) fn breadth_first<S: Hash + Send + Sync>(
    start: S,
    successors: impl Fn(&S) -> Vec<S> + Sync,
    is_found: impl Fn(&S) -> bool,
) -> Reached<S> {
    // A search that panicked leaves nothing behind that others would use.
    let _running = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut level = vec![start];
    let mut depth = 0;
    while !level.is_empty() {
        if let Some(at) = level.iter().position(&is_found) {
            return Reached { states: seen.len(), depth, found: Some(level.swap_remove(at)) };
        }
        let mut next = Vec::new();
        for (print, state) in expand(&level, &successors) {
            if seen.insert(print) {
                next.push(state);
            }
        }
        assert!(seen.len() <= MAX_STATES, "more than {MAX_STATES} states: tighten the bounds");
        level = next;
        depth += 1;
    }
    Reached { states: seen.len(), depth: depth - 1, found: None }
}
