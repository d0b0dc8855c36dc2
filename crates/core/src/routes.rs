//! Routes of callers' requests and keys of customers, from one version of the configuration.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
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
    /// Indices of the stages whose results it needs; no stage needs its own result, directly or through others.
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

/// Longest time; a longer one would mean the same, and overflow where times are added.
const MAX_TIME: Duration = Duration::from_secs(366 * 24 * 3_600);

/// Converts a time in seconds, up to a year, and rounds it down to nanoseconds; returns `None` if it is negative.
pub fn bounded_time(seconds: f64) -> Option<Duration> {
    let seconds = seconds.min(MAX_TIME.as_secs_f64());
    let nearest = Duration::try_from_secs_f64(seconds).ok()?;
    // A smaller difference is an error of the conversion back.
    let is_longer = nearest.as_secs_f64() - seconds > seconds * f64::EPSILON;
    Some(nearest.saturating_sub(Duration::from_nanos(is_longer.into())))
}

/// Converts a time in milliseconds, up to a year; a negative one counts as zero.
pub fn bounded_millis(ms: f64) -> Duration {
    bounded_time(ms / 1_000.0).unwrap_or_default()
}

/// Returns pools with their weights as whole numbers, without those that have no positive weight. Weights that are no whole
/// numbers, or too large, are scaled together.
pub fn whole_weights(pools: Vec<(Name, f64)>) -> Vec<(Name, u32)> {
    let largest = pools.iter().map(|(_, weight)| *weight).fold(0.0, f64::max).min(f64::MAX);
    let is_whole = |weight: f64| weight <= f64::from(u32::MAX) && weight.fract() == 0.0;
    let is_exact = pools.iter().all(|(_, weight)| *weight <= 0.0 || is_whole(*weight));
    let scale = if is_exact { 1.0 } else { f64::from(u32::MAX) / largest };
    let scaled = pools.into_iter().map(|(pool, weight)| (pool, (weight * scale).ceil() as u32));
    scaled.filter(|(_, weight)| *weight > 0).collect()
}

/// Returns whether each stage needs only stages that exist, and none its own result, directly or through others.
pub fn is_acyclic(stages: &[Stage]) -> bool {
    let mut done: HashSet<usize> = HashSet::new();
    loop {
        let before = done.len();
        for (index, stage) in stages.iter().enumerate() {
            if stage.after.iter().all(|needed| done.contains(needed)) {
                done.insert(index);
            }
        }
        if done.len() == before {
            return done.len() == stages.len();
        }
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
    /// Requests a second that a cold target takes from all gateways together; none if it takes as many as a warm one.
    pub cold_per_s: Option<f64>,
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

impl Default for Limits {
    /// Limits before a configuration is known, and in place of those that it does not tell.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
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
    /// The configuration of the route or of the key's customer cannot be used.
    #[error("the configuration of this route or key cannot be used")]
    Unusable,
}

/// Keys with their customers; a customer that cannot be used is `None`.
pub type Keys = Vec<(String, Option<Arc<Customer>>)>;

/// Content of one version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Content {
    /// Version number set by the operator.
    pub version: u64,
    /// Limits on callers' connections.
    pub limits: Limits,
    /// Pools that requests and stages are sent to.
    pub pools: Vec<Pool>,
    /// Routes that can be used.
    pub routes: Vec<Route>,
    /// Hosts and path prefixes of routes that cannot be used.
    pub unusable_routes: Vec<(String, String)>,
    /// Whether there are routes whose host or path prefix cannot be read.
    pub has_unread_routes: bool,
    /// Keys of the customers; `None` only if the configuration has no customers at all, so that requests need no keys.
    pub keys: Option<Keys>,
    /// Whether there are keys that cannot be read.
    pub has_unread_keys: bool,
    /// What cannot be used, and why.
    pub defects: Vec<String>,
}

impl Content {
    /// Adds the reason why a part cannot be used.
    pub fn add_defect(&mut self, part: &str, reason: impl fmt::Display) {
        self.defects.push(format!("{part}: {reason}"));
    }

    /// Records the problems of a part that is used nevertheless.
    pub fn add_defects(&mut self, part: &str, reasons: impl IntoIterator<Item = String>) {
        reasons.into_iter().for_each(|reason| self.add_defect(part, reason));
    }
}

/// Route of a host.
#[derive(Clone, Debug)]
enum HostRoute {
    Usable(Arc<Route>),
    /// Path prefix of a route that cannot be used.
    Unusable(String),
}

impl HostRoute {
    fn path_prefix(&self) -> &str {
        match self {
            Self::Usable(route) => &route.path_prefix,
            Self::Unusable(path_prefix) => path_prefix,
        }
    }
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
    /// What the configuration has that cannot be used, and why.
    pub defects: Vec<String>,
    /// Routes by host in lower case, longest path prefix first.
    by_host: HashMap<String, Vec<HostRoute>>,
    has_unread_routes: bool,
    /// Customers by key; `None` if the configuration has no customers, which differs from customers without keys.
    customers: Option<HashMap<String, Option<Arc<Customer>>>>,
    has_unread_keys: bool,
}

impl From<Content> for Routing {
    fn from(content: Content) -> Self {
        let usable = content.routes.into_iter().map(|route| {
            let host = route.host.clone();
            (host, HostRoute::Usable(Arc::new(route)))
        });
        let unusable = content.unusable_routes.into_iter();
        let unusable = unusable.map(|(host, prefix)| (host, HostRoute::Unusable(prefix)));
        let mut by_host: HashMap<String, Vec<HostRoute>> = HashMap::new();
        for (host, route) in usable.chain(unusable) {
            by_host.entry(host.to_ascii_lowercase()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix().len()));
        }
        let pools = content.pools.into_iter().map(|pool| (pool.name.clone(), pool)).collect();
        Self {
            version: content.version,
            limits: content.limits,
            pools,
            defects: content.defects,
            by_host,
            has_unread_routes: content.has_unread_routes,
            customers: content.keys.map(|keys| keys.into_iter().collect()),
            has_unread_keys: content.has_unread_keys,
        }
    }
}

impl Routing {
    /// Returns the route of `host` with the longest matching path prefix; the host may include a port.
    ///
    /// # Errors
    /// Fails with [`Refusal::NoRoute`] if none matches, and with [`Refusal::Unusable`] if the one that matches cannot be used or
    /// may be among those that cannot be read.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let mut routes = self.by_host.get(&host).into_iter().flatten();
        match routes.find(|route| path.starts_with(route.path_prefix())) {
            Some(HostRoute::Usable(route)) => Ok(route),
            Some(HostRoute::Unusable(_)) => Err(Refusal::Unusable),
            None if self.has_unread_routes => Err(Refusal::Unusable),
            None => Err(Refusal::NoRoute),
        }
    }

    /// Returns the customer of a request; none if the route is public and the key is missing or unknown, or if the
    /// configuration has no customers and the request no key.
    ///
    /// A key that the configuration does not have is refused without customers too: it may have been removed.
    ///
    /// # Errors
    /// Fails with [`Refusal::UnknownKey`] if the request has no known key although the route needs one, or has an unknown one, and
    /// with [`Refusal::Unusable`] if its key may be known and the customer cannot be used.
    pub fn customer(&self, route: &Route, key: Option<&str>) -> Result<Option<Arc<Customer>>> {
        let known = key.and_then(|key| self.customers.as_ref()?.get(key));
        match known {
            Some(Some(customer)) => Ok(Some(customer.clone())),
            Some(None) => Err(Refusal::Unusable),
            None if route.is_public => Ok(None),
            None if key.is_none() && self.customers.is_none() => Ok(None),
            None if key.is_some() && self.has_unread_keys => Err(Refusal::Unusable),
            None => Err(Refusal::UnknownKey),
        }
    }

    /// Returns whether requests of a route need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        !route.is_public && self.customers.is_some()
    }

    /// Returns all routes that can be used, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.by_host.values().flatten().filter_map(|route| match route {
            HostRoute::Usable(route) => Some(route),
            HostRoute::Unusable(_) => None,
        })
    }
}

/// Hashes the id of a request for the traffic split; uniformly distributed over requests.
pub fn hash_point(request: &str) -> u64 {
    xxh3_64(request.as_bytes())
}
