//! Breadth-first search that stores a fingerprint of each visited state instead of the state.

use std::collections::HashSet;
use std::hash::Hash;
use std::sync::{Mutex, PoisonError};
use std::thread;

use xxhash_rust::xxh3::Xxh3;

/// Number of states above which a search is aborted, so that it cannot exhaust the memory.
const MAX_STATES: usize = 6_000_000;

/// Held by the running search, because each uses all cores and much memory.
static SEARCH_LOCK: Mutex<()> = Mutex::new(());

pub(crate) struct SearchResult<S> {
    pub(crate) states: usize,
    pub(crate) depth: usize,
    pub(crate) found: Option<S>,
}

/// Result of an exploration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Exploration {
    /// Number of distinct states reached.
    pub states: usize,
    /// Number of actions from the start to the last state reached.
    pub depth: usize,
    /// Description of the first violation.
    pub violation: Option<&'static str>,
}

impl<S> SearchResult<S> {
    /// Returns the result of a search for a violation, which `describe` describes.
    pub(crate) fn into_exploration(
        self,
        describe: impl FnOnce(S) -> Option<&'static str>,
    ) -> Exploration {
        let violation = self.found.and_then(describe);
        Exploration { states: self.states, depth: self.depth, violation }
    }
}

fn fingerprint<S: Hash>(state: &S) -> u128 {
    let mut hasher = Xxh3::new();
    state.hash(&mut hasher);
    hasher.digest128()
}

/// Returns the successors of a level with their fingerprints, in an order that does not depend on the number of
/// threads.
fn expand<S: Hash + Send + Sync>(
    level: &[S],
    successors: &(impl Fn(&S) -> Vec<S> + Sync),
) -> Vec<(u128, S)> {
    let threads = thread::available_parallelism().map_or(1, usize::from);
    let chunk = level.len().div_ceil(threads).max(1);
    thread::scope(|scope| {
        let expand_chunk = |states: &[S]| -> Vec<(u128, S)> {
            let all = states.iter().flat_map(successors);
            let mut unique = HashSet::new();
            let mut ordered = Vec::new();
            for state in all {
                let hash = fingerprint(&state);
                if unique.insert(hash) {
                    ordered.push((hash, state));
                }
            }
            ordered
        };
        let handles: Vec<_> =
            level.chunks(chunk).map(|states| scope.spawn(move || expand_chunk(states))).collect();
        handles
            .into_iter()
            .flat_map(|handle| handle.join().expect("search thread completes"))
            .collect()
    })
}

/// Visits all states, level by level, until `is_found` holds for one.
///
/// # Panics
/// When there are more than [`MAX_STATES`] states.
pub(crate) fn breadth_first<S: Hash + Send + Sync>(
    start: S,
    successors: impl Fn(&S) -> Vec<S> + Sync,
    is_found: impl Fn(&S) -> bool,
) -> SearchResult<S> {
    // A poisoned lock can be used, because it guards no data.
    let _running = SEARCH_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let mut seen = HashSet::from([fingerprint(&start)]);
    let mut level = vec![start];
    let mut depth = 0;
    while !level.is_empty() {
        if let Some(at) = level.iter().position(&is_found) {
            return SearchResult { states: seen.len(), depth, found: Some(level.swap_remove(at)) };
        }
        let mut next = Vec::new();
        for (hash, state) in expand(&level, &successors) {
            if seen.insert(hash) {
                next.push(state);
            }
        }
        assert!(seen.len() <= MAX_STATES, "more than {MAX_STATES} states: tighten the bounds");
        level = next;
        depth += 1;
    }
    SearchResult { states: seen.len(), depth: depth - 1, found: None }
}
