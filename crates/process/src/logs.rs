//! Structured logs on standard error.

use tracing_subscriber::EnvFilter;

/// Starts logging as JSON lines; `RUST_LOG` sets the level, `info` by default.
pub fn init() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    // A second call, as in tests, leaves the first in place.
    let _ = tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init();
}
