//! Routes of callers' requests, and the customers' keys, as one version of the configuration declares them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Name;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run more than once.
    Idempotent,
    /// It may run at most once.
    Never,
    /// A stream of events that another target may go on with.
    Resumable,
}

/// One stage that has to be done before a request can run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Pool whose targets run the stage.
    pub pool: Name,
    /// Stages whose results it needs, by index; all are smaller than its own.
    pub after: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// A route: which requests it takes and what is promised for them.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name in the configuration.
    pub name: Name,
    /// Host that the request has to name.
    pub host: String,
    /// Start of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether the response is a stream of events.
    pub streams: bool,
    /// What may be repeated.
    pub repeat: Repeat,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, is on time.
    pub latency_objective: Duration,
    /// Rank; zero is served first.
    pub priority: u8,
    /// Pools with their weights; the weights' sum is above zero.
    pub pools: Vec<(Name, u32)>,
    /// Targets at which one request may run.
    pub max_attempts: u32,
    /// Stages before the request itself.
    pub stages: Vec<Stage>,
    /// Whether a request needs no key.
    pub is_public: bool,
    /// Whether requests share parts of their prompts, which targets keep in memory.
    pub shares_prompts: bool,
}

impl Route {
    /// The pool that runs a request; `lot` is any number that is spread evenly over requests.
    pub fn pool(&self, hash_point: u64) -> &Name {
        let sum: u64 = self.pools.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut remaining = hash_point % sum.max(1);
        for (pool, weight) in &self.pools {
            if remaining < u64::from(*weight) {
                return pool;
            }
            remaining -= u64::from(*weight);
        }
        &self.pools[0].0
    }

    /// Stages that no other stage follows; their results are the inputs of the request itself.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> {
        let followed: HashSet<usize> =
            self.stages.iter().flat_map(|stage| stage.after.iter().copied()).collect();
        (0..self.stages.len()).filter(move |index| !followed.contains(index))
    }
}

/// How the targets of a pool run pieces of stages.
#[derive(Clone, Debug, PartialEq)]
pub struct StagePool {
    /// Calls that a target runs at a time.
    pub slots: u32,
    /// Pieces that one call may carry.
    pub batch: usize,
    /// Duration of a call without its pieces.
    pub call_overhead: Duration,
    /// Approximate duration of each piece.
    pub piece_time: Duration,
    /// Memory of a target for results, in bytes.
    pub result_memory_bytes: u64,
    /// Time for which a target keeps a result.
    pub result_retention: Duration,
}

impl StagePool {
    /// Expected duration of a call with `pieces` pieces.
    pub fn duration(&self, pieces: usize) -> Duration {
        self.call_overhead + self.piece_time.mul_f64(pieces as f64)
    }
}

/// A pool of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name in the configuration.
    pub name: Name,
    /// Set where targets run pieces of stages.
    pub stage: Option<StagePool>,
}

/// A customer whose key a request carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name passed to the targets.
    pub name: Name,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
}

/// What a caller's connection may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Time for the head of a request.
    pub head_time: Duration,
    /// Time that a connection may stay idle.
    pub idle_time: Duration,
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No route takes this host and path.
    #[error("no route takes this host and path")]
    NoRoute,
    /// The route needs a key that the configuration holds.
    #[error("the route needs a known key")]
    UnknownKey,
}

/// One version of the configuration, ready for look-ups.
#[derive(Clone, Debug)]
pub struct Routing {
    /// The operator's number of the version.
    pub version: u64,
    /// Limits of callers' connections.
    pub limits: Limits,
    /// Pools by name.
    pub pools: BTreeMap<Name, Pool>,
    /// Routes of each host, longest prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    customers: HashMap<String, Arc<Customer>>,
}

impl Routing {
    /// Prepares look-ups; `keys` pairs each key with its customer.
    pub fn new(
        version: u64,
        limits: Limits,
        pools: Vec<Pool>,
        routes: Vec<Route>,
        keys: Vec<(String, Arc<Customer>)>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let pools = pools.into_iter().map(|pool| (pool.name.clone(), pool)).collect();
        Self { version, limits, pools, by_host, customers: keys.into_iter().collect() }
    }

    /// The route with the longest prefix of a path; the host may carry a port.
    ///
    /// # Errors
    /// [`Refusal::NoRoute`].
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.by_host
            .get(&host)
            .and_then(|routes| routes.iter().find(|route| path.starts_with(&route.path_prefix)))
            .ok_or(Refusal::NoRoute)
    }

    /// The customer of a request; none where the configuration has no customers or the route is public.
    ///
    /// # Errors
    /// [`Refusal::UnknownKey`].
    pub fn customer(&self, route: &Route, key: Option<&str>) -> Result<Option<Arc<Customer>>> {
        let customer = key.and_then(|key| self.customers.get(key)).cloned();
        if self.customers.is_empty() || (route.is_public && customer.is_none()) {
            return Ok(None);
        }
        customer.map(Some).ok_or(Refusal::UnknownKey)
    }

    /// Whether requests of a route depend on a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.is_public && !self.customers.is_empty()
    }

    /// Routes in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}

/// A number spread evenly over requests, from their id.
pub fn hash_point(request: &str) -> u64 {
    xxh3_64(request.as_bytes())
}
