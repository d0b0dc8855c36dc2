//! Routes of callers' requests and keys of customers, from one version of the configuration.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::ids::Name;

/// Result type of this module.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// The request may run more than once.
    Idempotent,
    /// The request may run at most once.
    Never,
    /// The response is a stream of events that another target can resume.
    Resumable,
}

/// A stage that has to complete before the request itself can run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stage {
    /// Pool that runs the stage.
    pub pool: Name,
    /// Indices of the stages whose results it needs; all are smaller than its own index.
    pub after: Vec<usize>,
    /// Approximate size of one result, in bytes.
    pub result_bytes: u64,
}

/// Selects requests by host and path, and determines how they are served.
#[derive(Clone, Debug)]
pub struct Route {
    /// Name in the configuration.
    pub name: Name,
    /// Host of the requests; ASCII case is ignored.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether the response is a stream of events.
    pub streams: bool,
    /// Whether requests may be retried.
    pub repeat: Repeat,
    /// Maximum time for which a caller waits.
    pub timeout: Duration,
    /// Time within which a response, or the first event of a stream, counts as on time.
    pub latency_objective: Duration,
    /// Priority; zero is the highest.
    pub priority: u8,
    /// Pools with their weights; the sum of the weights is positive.
    pub pools: Vec<(Name, u32)>,
    /// Maximum number of targets on which one request may run.
    pub max_attempts: u32,
    /// Stages that run before the request itself.
    pub stages: Vec<Stage>,
    /// Whether requests need no key.
    pub is_public: bool,
    /// Whether requests share prompt prefixes, which targets cache.
    pub shares_prompts: bool,
}

impl Route {
    /// Returns the pool for a request by weighted traffic split; `hash_point` is uniformly distributed over requests.
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

    /// Returns the indices of the stages that no other stage depends on; their results are the inputs of the request
    /// itself.
    pub fn last_stages(&self) -> impl Iterator<Item = usize> {
        let followed: HashSet<usize> =
            self.stages.iter().flat_map(|stage| stage.after.iter().copied()).collect();
        (0..self.stages.len()).filter(move |index| !followed.contains(index))
    }
}

/// Parameters of a pool that runs stages in batched calls.
#[derive(Clone, Debug, PartialEq)]
pub struct StagePool {
    /// Number of calls that a target runs concurrently.
    pub slots: u32,
    /// Maximum number of pieces in one call.
    pub max_pieces: usize,
    /// Fixed part of the duration of a call.
    pub call_overhead: Duration,
    /// Approximate increase of the duration for each piece.
    pub piece_time: Duration,
    /// Memory for results on each target, in bytes.
    pub result_memory_bytes: u64,
    /// Time for which a target retains a result.
    pub result_retention: Duration,
}

impl StagePool {
    /// Returns the expected duration of a call with `pieces` pieces.
    pub fn duration(&self, pieces: usize) -> Duration {
        self.call_overhead + self.piece_time.mul_f64(pieces as f64)
    }
}

/// A pool of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name in the configuration.
    pub name: Name,
    /// Set if the targets of the pool run stages.
    pub stage: Option<StagePool>,
}

/// A customer, identified by the key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Customer {
    /// Name passed to the targets.
    pub name: Name,
    /// Takes precedence over the priority of the route.
    pub priority: Option<u8>,
}

/// Limits on the size and time of requests on callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Timeout for receiving a request head.
    pub head_timeout: Duration,
    /// Idle timeout of a connection.
    pub idle_timeout: Duration,
}

/// Reason for the refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    /// No route matches the host and path.
    #[error("no route takes this host and path")]
    NoRoute,
    /// The route needs a key from the configuration, and the request has none or another one.
    #[error("the route needs a known key")]
    UnknownKey,
}

/// One version of the configuration, indexed for look-ups.
#[derive(Clone, Debug)]
pub struct Routing {
    /// Version number set by the operator.
    pub version: u64,
    /// Limits on callers' connections.
    pub limits: Limits,
    /// Pools by name.
    pub pools: BTreeMap<Name, Pool>,
    /// Routes by host in lower case, longest path prefix first.
    by_host: HashMap<String, Vec<Arc<Route>>>,
    /// Customers by key; `None` if the configuration has no customers, which differs from customers without keys.
    customers: Option<HashMap<String, Arc<Customer>>>,
}

impl Routing {
    /// Builds the indices. `keys` pairs each key with its customer; it is `None` only if the configuration has no
    /// customers at all, so that requests need no keys.
    pub fn new(
        version: u64,
        limits: Limits,
        pools: Vec<Pool>,
        routes: Vec<Route>,
        keys: Option<Vec<(String, Arc<Customer>)>>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.to_ascii_lowercase()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let pools = pools.into_iter().map(|pool| (pool.name.clone(), pool)).collect();
        let customers = keys.map(|keys| keys.into_iter().collect());
        Self { version, limits, pools, by_host, customers }
    }

    /// Returns the route of `host` with the longest matching path prefix; the host may include a port.
    ///
    /// # Errors
    /// Fails with [`Refusal::NoRoute`] if none matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        self.by_host
            .get(&host)
            .and_then(|routes| routes.iter().find(|route| path.starts_with(&route.path_prefix)))
            .ok_or(Refusal::NoRoute)
    }

    /// Returns the customer of a request; none if the route is public and the key is missing or unknown, or if the
    /// configuration has no customers and the request no key.
    ///
    /// A key that the configuration does not have is refused without customers too: it may have been removed.
    ///
    /// # Errors
    /// Fails with [`Refusal::UnknownKey`] if the request has no known key although the route needs one, or has an unknown one.
    pub fn customer(&self, route: &Route, key: Option<&str>) -> Result<Option<Arc<Customer>>> {
        let customer = key.and_then(|key| self.customers.as_ref()?.get(key)).cloned();
        if customer.is_some() || route.is_public || (key.is_none() && !self.needs_key(route)) {
            return Ok(customer);
        }
        Err(Refusal::UnknownKey)
    }

    /// Returns whether requests of a route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.is_public && self.customers.is_some()
    }

    /// Returns all routes in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten()
    }
}

/// Hashes the id of a request for the traffic split; uniformly distributed over requests.
pub fn hash_point(request: &str) -> u64 {
    xxh3_64(request.as_bytes())
}
