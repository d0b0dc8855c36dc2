//! Launch of the HTTP servers that are built on `rocket`.

use anyhow::Context as _;
use rocket::fairing::AdHoc;
use rocket::{Build, Rocket};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// A running server; dropping the handle does not stop it.
pub struct Server {
    shutdown: rocket::Shutdown,
    task: JoinHandle<Result<(), Box<rocket::Error>>>,
}

impl Server {
    /// Starts a server in the background, and returns when it accepts connections.
    ///
    /// # Errors
    /// When `rocket` rejects the configuration or the routes, or the address cannot be bound; the error names it.
    pub async fn spawn(rocket: Rocket<Build>) -> anyhow::Result<Server> {
        let (listening, is_listening) = oneshot::channel();
        let rocket = rocket.attach(AdHoc::on_liftoff("report that the server listens", |_| {
            Box::pin(async move {
                let _ = listening.send(());
            })
        }));
        let ignited = rocket.ignite().await.map_err(Box::new).context("setting up HTTP")?;
        let addr = format!("{}:{}", ignited.config().address, ignited.config().port);
        let shutdown = ignited.shutdown();
        let mut task = tokio::spawn(async move {
            let launched = ignited.launch().await;
            launched.map(drop).map_err(|err| {
                tracing::error!(%err, "HTTP server failed");
                Box::new(err)
            })
        });
        tokio::select! {
            Ok(()) = is_listening => Ok(Server { shutdown, task }),
            ended = &mut task => {
                ended.context("the HTTP server panicked")?.with_context(|| format!("serving HTTP on {addr}"))?;
                anyhow::bail!("the HTTP server on {addr} stopped at its start")
            }
        }
    }

    /// Tells the server to stop, without waiting for it.
    pub fn notify_stop(&self) {
        self.shutdown.clone().notify();
    }

    /// Stops the server and waits for its end.
    pub async fn stop(self) {
        self.notify_stop();
        let _ = self.task.await;
    }
}
