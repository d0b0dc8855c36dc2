//! Structured logs on standard error.

use tracing_subscriber::EnvFilter;

/// Levels of a server process.
pub const SERVER_LEVELS: &str = "info,rocket=warn,_=warn";
/// Levels of a program whose output is for people.
pub const QUIET_LEVELS: &str = "warn,rocket=off,_=off";

/// Starts logging as JSON lines; `RUST_LOG` sets the levels, or else `levels` does.
pub fn init(levels: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(levels));
    // A second call, as in tests, leaves the first in place.
    let _ = tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init();
}
