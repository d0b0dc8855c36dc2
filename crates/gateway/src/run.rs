//! Life of the gateway's process: start, signals, changes of the settings, and stop.

use std::time::Duration;

use anyhow::Context as _;
use marigold_objects::Store;
use marigold_process::logs;
use marigold_process::signals::{SignalAction, Signals};
use tokio::time;

use crate::dialect::Dialect;
use crate::gateway::Gateway;
use crate::options::Options;

/// Interval between two reads of the settings file, which the platform may change without a signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Runs a gateway until it has been asked to stop and has drained. `open_store` opens the store at an address.
///
/// # Errors
/// When the settings are invalid, a port cannot be opened, or `SIGINT` ends the draining process at once.
pub async fn run<D: Dialect, S: Store>(
    options: Options,
    open_store: impl FnOnce(&str) -> marigold_objects::Result<S>,
) -> anyhow::Result<()> {
    // Must come first: SIGHUP terminates a process that has no handler for it.
    let mut signals = Signals::open().context("listening for signals")?;
    let _logs = logs::init_nonblocking(logs::SERVER_LEVELS);
    let settings = options.read_settings()?;
    let store = open_store(&settings.store).context("setting `store`")?;
    let gateway: Gateway<D, _> = Gateway::bind(settings, store).await?;
    loop {
        let signal = time::timeout(SETTINGS_POLL_INTERVAL, signals.next_action()).await;
        match signal {
            Ok(SignalAction::Stop) => break,
            Ok(SignalAction::Reload) => tracing::info!("reloading settings after SIGHUP"),
            Err(_) => {}
        }
        // Also reached on timeout, as the file may change without a signal.
        match options.read_settings() {
            Ok(settings) => gateway.reload(settings),
            Err(err) => tracing::error!(
                err = format!("{err:#}"),
                "cannot read the settings; keeping the current ones"
            ),
        }
    }
    tokio::select! {
        () = gateway.drain() => Ok(()),
        () = signals.wait_for_interrupt() => anyhow::bail!("stopped at once by SIGINT; requests cut: {}", gateway.in_flight()),
    }
}
