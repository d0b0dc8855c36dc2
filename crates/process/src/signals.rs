//! Signals: the first asks for a graceful shutdown, the second ends the process at once; one asks for a reload.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Signals to this process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalAction {
    /// The process is to end.
    Stop,
    /// The settings are to be read again.
    Reload,
}

impl Signals {
    /// Starts to listen for `SIGTERM`, `SIGINT` and `SIGHUP`.
    ///
    /// # Errors
    /// What the operating system says.
    pub fn open() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal that asks the process to end.
    pub async fn wait_for_stop(&mut self) {
        while self.next_action().await != SignalAction::Stop {}
    }

    /// Waits for the next signal.
    pub async fn next_action(&mut self) -> SignalAction {
        tokio::select! {
            _ = self.terminate.recv() => SignalAction::Stop,
            _ = self.interrupt.recv() => SignalAction::Stop,
            _ = self.hangup.recv() => SignalAction::Reload,
        }
    }
}
