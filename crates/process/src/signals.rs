//! Signals: the first asks for a graceful shutdown, the second ends the process at once.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Termination signals of this process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Starts to listen for `SIGTERM` and `SIGINT`.
    ///
    /// # Errors
    /// What the operating system says.
    pub fn open() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
