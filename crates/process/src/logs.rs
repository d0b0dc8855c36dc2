//! Structured logs, as lines of JSON.

use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Default log levels of a server process.
pub const SERVER_LEVELS: &str = "info,rocket=warn,_=warn";
/// Default log levels of a command-line program.
pub const QUIET_LEVELS: &str = "warn,rocket=off,_=off";

/// Starts logging to standard error, at the levels of `RUST_LOG` or, if that is not set, of `levels`.
pub fn init(levels: &str) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(levels));
    // The call fails if logging was started before, as in tests; the first subscriber stays.
    let _ = tracing_subscriber::fmt()
        .json()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .try_init();
}

/// Maximum number of buffered lines; further lines are dropped, so that a blocked reader of standard output does not
/// block the process.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Starts non-blocking logging to standard output; lines are written until the returned guard is dropped.
///
/// The levels are those of `RUST_LOG` or, if that is not set, of `levels`.
pub fn init_nonblocking(levels: &str) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new(levels));
    // The call fails if logging was started before, as in tests; the first subscriber stays.
    let _ = tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_target(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init();
    guard
}
