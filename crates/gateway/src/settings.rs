//! Settings of a gateway, checked and with times as durations.

use std::fmt;
use std::time::Duration;

use marigold_core::ids::Name;
use marigold_core::routes;
use marigold_schema::settings::GatewaySettings;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// A setting with a number that has no meaning there.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("setting `{name}` is {value}; {wanted} is wanted")]
pub struct Error {
    name: &'static str,
    value: f64,
    wanted: Wanted,
}

/// Numbers that a setting may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wanted {
    Positive,
    ZeroOrMore,
}

impl fmt::Display for Wanted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Positive => "a number above zero",
            Self::ZeroOrMore => "zero or a number above it",
        })
    }
}

/// Settings of one gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of the cluster; links to other clusters are refused.
    pub cluster: Name,
    /// Name of this gateway, unique in the cluster.
    pub name: Name,
    /// Data centre of this gateway.
    pub data_centre: Name,
    /// IP address and port for callers.
    pub callers_address: String,
    /// IP address and port of the readiness check for the load balancer.
    pub ready_address: String,
    /// IP address and port for other gateways.
    pub link_address: String,
    /// IP address and port that serves the metrics.
    pub metrics_address: String,
    /// IP address and port of the platform's object store.
    pub store: String,
    /// Secret shared by all processes of the cluster.
    pub link_secret: String,
    /// CPU capacity of this process, in cores.
    pub weight: f64,
    /// Whether the whole system is started for the first time.
    pub first_start: bool,
    /// Time within which a confirmed change has to be in force.
    pub change_bound: Duration,
    /// Time after which a removed key has to be refused in any case, if there is such a limit.
    pub revocation_bound: Option<Duration>,
    /// Time for which a target that was removed while the store was unavailable is still used.
    pub lapse: Duration,
    /// Interval at which targets renew their entries in the store.
    pub target_heartbeat: Duration,
    /// Time within which the process has to exit after a stop signal.
    pub stop_time: Duration,
    /// Maximum number of retries of all gateways together, as a fraction of the requests in a window.
    pub retry_ratio: f64,
    /// Length of the window for the retry limit.
    pub retry_window: Duration,
    /// Number of retries of all gateways together in a window, in addition to that fraction.
    pub retry_reserve: f64,
    /// Writes a second that the store takes from all gateways together.
    pub store_writes_per_s: f64,
    /// Time within which the evacuation of a data centre has to be in force, if data centres are evacuated.
    pub evacuation_bound: Option<Duration>,
    /// Memory of the VM that the process may use, in megabytes (10^6 bytes).
    pub memory_mb: f64,
    /// Number of file descriptors that the process may open.
    pub max_open_files: f64,
    /// Maximum number of hedged requests, as a fraction of the requests in a window that may be repeated.
    pub hedge_ratio: f64,
}

fn zero_or_more(name: &'static str, value: f64) -> Result<f64> {
    let is_valid = value.is_finite() && value >= 0.0;
    if is_valid { Ok(value) } else { Err(Error { name, value, wanted: Wanted::ZeroOrMore }) }
}

fn positive(name: &'static str, value: f64) -> Result<f64> {
    let is_valid = value.is_finite() && value > 0.0;
    if is_valid { Ok(value) } else { Err(Error { name, value, wanted: Wanted::Positive }) }
}

/// Converts a time, given in units of which a second has `per_second`; more than a year counts as a year.
fn time(name: &'static str, value: f64, per_second: f64) -> Result<Duration> {
    let wanted = Wanted::Positive;
    let time = routes::bounded_time(positive(name, value)? / per_second);
    // A tiny number may be rounded to no time at all.
    time.filter(|time| !time.is_zero()).ok_or(Error { name, value, wanted })
}

fn seconds(name: &'static str, value: f64) -> Result<Duration> {
    time(name, value, 1.0)
}

fn millis(name: &'static str, value: f64) -> Result<Duration> {
    time(name, value, 1_000.0)
}

impl TryFrom<GatewaySettings> for Settings {
    type Error = Error;

    fn try_from(wire: GatewaySettings) -> Result<Self> {
        let lapse_ms = zero_or_more("lapse_ms", wire.lapse_ms)?;
        Ok(Self {
            cluster: wire.cluster,
            name: wire.name,
            data_centre: wire.data_centre,
            callers_address: wire.callers_address,
            ready_address: wire.ready_address,
            link_address: wire.link_address,
            metrics_address: wire.metrics_address,
            store: wire.store,
            link_secret: wire.link_secret,
            weight: zero_or_more("weight", wire.weight)?,
            first_start: wire.first_start,
            change_bound: millis("change_bound_ms", wire.change_bound_ms)?,
            revocation_bound: wire
                .revocation_ms
                .map(|ms| millis("revocation_ms", ms))
                .transpose()?,
            lapse: routes::bounded_millis(lapse_ms),
            target_heartbeat: millis("target_heartbeat_ms", wire.target_heartbeat_ms)?,
            stop_time: seconds("stop_s", wire.stop_s)?,
            retry_ratio: zero_or_more("retry_ratio", wire.retry_ratio)?,
            retry_window: seconds("retry_window_s", wire.retry_window_s)?,
            retry_reserve: zero_or_more("retry_reserve", wire.retry_reserve)?,
            store_writes_per_s: positive("store_writes_per_s", wire.store_writes_per_s)?,
            evacuation_bound: wire
                .evacuation_ms
                .map(|ms| millis("evacuation_ms", ms))
                .transpose()?,
            memory_mb: positive("memory_mb", wire.memory_mb)?,
            max_open_files: positive("max_open_files", wire.max_open_files)?,
            hedge_ratio: zero_or_more("hedge_ratio", wire.hedge_ratio)?,
        })
    }
}
