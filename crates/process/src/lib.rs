//! Functions that all processes of the system share: settings, structured logs, metrics, signals and clocks.

pub mod boottime;
#[cfg(feature = "http")]
pub mod http;
pub mod logs;
pub mod metrics;
pub mod settings;
pub mod signals;
pub mod uptime;
