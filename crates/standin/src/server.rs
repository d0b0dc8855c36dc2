//! Runs a `rocket` server as a background task of a process.

use std::net::SocketAddr;

use rocket::config::{Config, Shutdown as ShutdownConfig};
use rocket::data::{Limits, ToByteUnit as _};
use rocket::{Build, Rocket};

/// A running server; dropping the handle does not stop it.
pub struct Server {
    shutdown: rocket::Shutdown,
    task: tokio::task::JoinHandle<()>,
}

/// Returns the configuration of a server on an address, without its own signal handlers and logs.
pub fn config(addr: SocketAddr) -> Config {
    Config {
        address: addr.ip(),
        port: addr.port(),
        log_level: rocket::config::LogLevel::Off,
        cli_colors: false,
        keep_alive: 30,
        limits: Limits::default().limit("json", 4.mebibytes()).limit("string", 4.mebibytes()),
        shutdown: ShutdownConfig {
            ctrlc: false,
            signals: Default::default(),
            grace: 1,
            mercy: 1,
            ..Default::default()
        },
        ..Config::release_default()
    }
}

impl Server {
    /// Starts the server in the background.
    ///
    /// # Errors
    /// Fails when `rocket` rejects the configuration or the routes.
    pub async fn spawn(rocket: Rocket<Build>) -> Result<Server, Box<rocket::Error>> {
        let rocket = rocket.ignite().await.map_err(Box::new)?;
        let shutdown = rocket.shutdown();
        let task = tokio::spawn(async move {
            if let Err(err) = rocket.launch().await {
                eprintln!("stand-in ended: {err}");
            }
        });
        Ok(Server { shutdown, task })
    }

    /// Stops the server and waits for its end.
    pub async fn stop(self) {
        self.shutdown.notify();
        let _ = self.task.await;
    }
}
