//! Assignment of pools to gateways, and choice of the gateways that watch the configuration for all.
//!
//! The owner of a pool batches the calls to it. Gateways with the same membership compute the same owners without
//! communication. While memberships differ, two gateways may send calls to the same pool, which only makes the batches
//! smaller.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::Name;
use crate::rendezvous;

/// A gateway that can own pools or watch the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the gateway.
    pub name: Name,
    /// CPU allowance, in cores.
    pub weight: f64,
    /// Whether it has run for [`SETTLING_TIME`], or since the first start of the whole system.
    pub is_settled: bool,
}

impl Candidate {
    /// Returns the weight; zero if it is no number of cores, as in an entry that another program wrote.
    fn cores(&self) -> f64 {
        if self.weight.is_finite() { self.weight.max(0.0) } else { 0.0 }
    }
}

/// Time for which a restarted gateway is not assigned pools while enough others are settled.
///
/// Each move of a pool loses the calls in progress, and the new owner does not know the load of the targets. Without
/// this delay, VMs that are restarted one after the other, as in an upgrade, would each take back their pools. The
/// deployments restart theirs one or two seconds apart.
pub const SETTLING_TIME: Duration = Duration::from_secs(30);

/// Returns the settled candidates, or all while the settled ones have less than half of the total weight.
fn eligible(candidates: &[Candidate]) -> Vec<&Candidate> {
    let settled: Vec<&Candidate> = candidates.iter().filter(|c| c.is_settled).collect();
    let settled_weight: f64 = settled.iter().map(|candidate| candidate.cores()).sum();
    let weight: f64 = candidates.iter().map(Candidate::cores).sum();
    if !settled.is_empty() && 2.0 * settled_weight >= weight {
        settled
    } else {
        candidates.iter().collect()
    }
}

/// Returns the owner of each pool, by name of the pool.
///
/// Pools are distributed over the settled candidates in proportion to their weights; ties are broken by rendezvous
/// hashing.
pub fn owners(pools: &[Name], candidates: &[Candidate]) -> BTreeMap<Name, Name> {
    let candidates = eligible(candidates);
    let mut assigned = vec![0.0; candidates.len()];
    let mut sorted: Vec<&Name> = pools.iter().collect();
    sorted.sort();
    let mut owners = BTreeMap::new();
    for pool in sorted {
        let load = |index: usize| {
            (assigned[index] + 1.0) / candidates[index].cores().max(f64::MIN_POSITIVE)
        };
        let score = |index: usize| rendezvous::score(pool, &candidates[index].name);
        let order =
            |a: &usize, b: &usize| load(*a).total_cmp(&load(*b)).then(score(*b).cmp(&score(*a)));
        let Some(owner) = (0..candidates.len()).min_by(order) else { continue };
        assigned[owner] += 1.0;
        owners.insert(pool.clone(), candidates[owner].name.clone());
    }
    owners
}

/// Returns the owner of the limit that a target has named. Each target is assigned for itself, since gateways know
/// different targets with limits.
pub fn limit_owner(target: &str, candidates: &[Candidate]) -> Option<Name> {
    owners(&[target.to_owned()], candidates).into_values().next()
}

/// Number of gateways that poll the owner of a pool in each round of polls. Calls to an owner that has failed show it as well.
const OWNER_POLLS: usize = 40;

/// Returns the probability with which a gateway polls a responsive owner of a pool in a round of polls.
pub fn owner_poll_probability(gateways: usize) -> f64 {
    (OWNER_POLLS as f64 / gateways.max(1) as f64).min(1.0)
}

/// Key for the rendezvous hashing of watchers; all gateways have to use the same.
const WATCHERS_KEY: &str = "configuration";
/// Minimum number of watchers; with two, one can fail without an interruption.
const MIN_WATCHERS: usize = 2;
/// Number of gateways for each watcher. It sends them all changes, so more would exceed the link of a VM in a large fleet.
const GATEWAYS_PER_WATCHER: usize = 40;
/// Number of watchers that a gateway polls, so that one can fail without an interruption.
const WATCHERS_POLLED: usize = 2;

fn watcher_count(gateways: usize) -> usize {
    gateways.div_ceil(GATEWAYS_PER_WATCHER).max(MIN_WATCHERS)
}

/// Returns the gateways in the order in which they become watchers: those with the largest CPU allowance first.
fn ranked_as_watchers(candidates: &[Candidate]) -> Vec<&Name> {
    let mut ranked: Vec<&Candidate> = candidates.iter().collect();
    let score = |candidate: &Candidate| rendezvous::score(WATCHERS_KEY, &candidate.name);
    ranked.sort_by(|a, b| b.cores().total_cmp(&a.cores()).then(score(b).cmp(&score(a))));
    ranked.into_iter().map(|candidate| &candidate.name).collect()
}

/// Returns the gateways that watch the configuration and the targets for all.
pub fn watchers(candidates: &[Candidate]) -> Vec<Name> {
    let ranked = ranked_as_watchers(candidates);
    ranked.into_iter().take(watcher_count(candidates.len())).cloned().collect()
}

/// Returns the watchers that a gateway polls. Each watcher serves a part of the gateways, and those that come next in rank,
/// which have to notice when a watcher fails.
pub fn watchers_polled_by(name: &str, candidates: &[Candidate]) -> Vec<Name> {
    let ranked = ranked_as_watchers(candidates);
    let count = watcher_count(candidates.len()).min(ranked.len());
    let watchers = &ranked[..count];
    if ranked.iter().take(2 * count).any(|ranked| *ranked == name) {
        return watchers.iter().copied().cloned().collect();
    }
    let own = rendezvous::rank(name, watchers.iter().copied());
    own.into_iter().take(WATCHERS_POLLED).cloned().collect()
}
