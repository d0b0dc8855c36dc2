//! Which gateway gathers the calls to which pool, and which watch the configuration for the others.
//!
//! Gateways that know the same members agree without asking each other. While they know different ones two gateways
//! may send calls to the same pool: batches are smaller then, and nothing else is lost.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Name;
use crate::rendezvous;

/// A gateway that may take on work for others.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Its name.
    pub name: Name,
    /// Processor time that it may use, in cores.
    pub weight: f64,
    /// Whether it has run for [`SETTLING_TIME`], or since the whole system started.
    pub is_settled: bool,
}

/// Time for which a gateway that was started again takes on no work for others: each move of a pool costs the calls in
/// progress, and the new owner does not know what fills the targets. Machines that are restarted in turn, as in an
/// upgrade, would take their pools back one by one; the deployments stop and start theirs a second or two apart.
pub const SETTLING_TIME: Duration = Duration::from_secs(30);

/// The settled candidates, or all while those have less than half of the processor time.
fn eligible(candidates: &[Candidate]) -> Vec<&Candidate> {
    let settled: Vec<&Candidate> = candidates.iter().filter(|c| c.is_settled).collect();
    let settled_weight: f64 = settled.iter().map(|candidate| candidate.weight).sum();
    let weight: f64 = candidates.iter().map(|candidate| candidate.weight).sum();
    if 2.0 * settled_weight >= weight { settled } else { candidates.iter().collect() }
}

/// The owner of each pool, by name: pools are spread in proportion to the candidates' weights, over those that are
/// settled.
pub fn owners(pools: &[Name], candidates: &[Candidate]) -> BTreeMap<Name, Name> {
    let candidates = eligible(candidates);
    let mut owned = vec![0.0; candidates.len()];
    let mut sorted: Vec<&Name> = pools.iter().collect();
    sorted.sort();
    let mut owners = BTreeMap::new();
    for pool in sorted {
        let load =
            |index: usize| (owned[index] + 1.0) / candidates[index].weight.max(f64::MIN_POSITIVE);
        let score = |index: usize| rendezvous::score(pool, &candidates[index].name);
        let order =
            |a: &usize, b: &usize| load(*a).total_cmp(&load(*b)).then(score(*b).cmp(&score(*a)));
        let Some(owner) = (0..candidates.len()).min_by(order) else { continue };
        owned[owner] += 1.0;
        owners.insert(pool.clone(), candidates[owner].name.clone());
    }
    owners
}

/// Key by which watchers are chosen.
const WATCHERS_KEY: &str = "configuration";

/// The `count` gateways that watch the configuration for all: those with the most processor time.
pub fn watchers(candidates: &[Candidate], count: usize) -> Vec<Name> {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    let score = |candidate: &Candidate| rendezvous::score(WATCHERS_KEY, &candidate.name);
    ranked.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(score(b).cmp(&score(a))));
    ranked.into_iter().take(count).map(|candidate| candidate.name.clone()).collect()
}
