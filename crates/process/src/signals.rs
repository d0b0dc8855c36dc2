//! Signals for a graceful shutdown and for a reload of the settings.
//!
//! The binaries drain on the first stop signal. A second one ends an entry or an agent at once, and a gateway if it is
//! `SIGINT`: planned stops of gateways may overlap, and repeat `SIGTERM`.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Listener for the signals to this process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// Action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// Shut down (`SIGTERM` or `SIGINT`).
    Stop,
    /// Reload the settings (`SIGHUP`).
    Reload,
}

impl Signals {
    /// Starts listening for `SIGTERM`, `SIGINT` and `SIGHUP`.
    ///
    /// # Errors
    /// The error of the operating system when a signal handler cannot be installed.
    pub fn open() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for `SIGINT`; other signals are ignored.
    pub async fn wait_for_interrupt(&mut self) {
        self.interrupt.recv().await;
    }

    /// Waits for the next stop signal; other signals are ignored.
    pub async fn wait_for_stop(&mut self) {
        while self.next_action().await != SignalAction::Stop {}
    }

    /// Waits for the next signal and returns the requested action.
    pub async fn next_action(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}
