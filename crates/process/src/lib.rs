//! Functions that all processes of the system share: settings, structured logs, metrics, signals and clocks.

pub mod boottime;
pub mod logs;
pub mod metrics;
pub mod settings;
pub mod signals;
pub mod uptime;
