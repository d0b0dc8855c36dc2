//! Startup, reload and shutdown of a gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use marigold_core::stop::{DRAIN_DELAY, Stop};
use marigold_link::security::Security;
use marigold_link::server::Server as LinkServer;
use marigold_objects::Store;
use marigold_process::boottime;
use tokio::sync::watch;
use tokio::time;

use crate::connections::Connections;
use crate::dialect::Dialect;
use crate::http_server::Server;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::peers::PeerHandler;
use crate::ports::{CallersPort, MetricsPort, ReadinessPort};
use crate::settings::Settings;
use crate::shared::Shared;
use crate::{discovery, origins, peers, poison, stage_runner};

/// Interval at which a stopping gateway checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A running gateway.
pub struct Gateway<D: Dialect, S: Store> {
    shared: Arc<Shared<D, S>>,
    callers: Server,
    _readiness: Server,
    _metrics: Server,
    _links: LinkServer,
    close: watch::Sender<bool>,
}

impl<D: Dialect, S: Store> Gateway<D, S> {
    /// Opens all ports and starts to watch the store.
    ///
    /// # Errors
    /// When a port cannot be opened or a setting is invalid; the error names it.
    pub async fn bind(settings: Settings, store: S) -> anyhow::Result<Self> {
        let security = Security::open(&settings.cluster, &settings.link_secret, None)?;
        let link_address: SocketAddr = settings.link_address.parse().with_context(|| {
            format!("link_address `{}` is no IP address and port", settings.link_address)
        })?;
        let members = Members::new(&settings, security.clone(), boottime::now());
        let shared = Arc::new(Shared::<D, S>::new(settings, store, members, Metrics::open()?));
        let close = watch::Sender::new(false);
        let settings = shared.settings();
        let links =
            LinkServer::bind(link_address, security, Arc::new(PeerHandler(shared.clone()))).await?;
        let readiness = ReadinessPort(shared.clone());
        let readiness = Server::bind(
            &settings.ready_address,
            Arc::new(readiness),
            close.subscribe(),
            Connections::default(),
        )
        .await?;
        let metrics = MetricsPort(shared.clone());
        let metrics = Server::bind(
            &settings.metrics_address,
            Arc::new(metrics),
            close.subscribe(),
            Connections::default(),
        )
        .await?;
        let callers = CallersPort(shared.clone());
        let callers = Server::bind(
            &settings.callers_address,
            Arc::new(callers),
            close.subscribe(),
            shared.connections.clone(),
        )
        .await?;
        discovery::spawn(&shared);
        tokio::spawn(peers::poll_forever(shared.clone()));
        tokio::spawn(stage_runner::release_forever(shared.clone()));
        tokio::spawn(origins::stored::run(shared.clone()));
        tokio::spawn(origins::stored::inherit_forever(shared.clone()));
        tokio::spawn(origins::versions::maintain_forever(shared.clone()));
        tokio::spawn(poison::stored::run(shared.clone()));
        tracing::info!(name = settings.name, incarnation = shared.incarnation, callers = %callers.addr(), "gateway started");
        Ok(Self { shared, callers, _readiness: readiness, _metrics: metrics, _links: links, close })
    }

    /// Returns the address of the port for callers.
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Returns the number of requests in progress.
    pub fn in_flight(&self) -> usize {
        self.shared.in_progress.len()
    }

    /// Applies changed settings, as far as that is possible in a running process.
    pub fn reload(&self, settings: Settings) {
        let old = self.shared.settings();
        if *old == settings {
            return;
        }
        let startup_settings = |settings: &Settings| {
            let Settings { cluster, name, data_centre, callers_address, .. } = settings.clone();
            let ports =
                [&settings.ready_address, &settings.link_address, &settings.metrics_address];
            let ports = ports.map(Clone::clone);
            (
                cluster,
                name,
                data_centre,
                callers_address,
                ports,
                settings.store.clone(),
                settings.link_secret.clone(),
            )
        };
        if startup_settings(&old) == startup_settings(&settings) {
            tracing::info!(?settings, "changed settings applied");
        } else {
            tracing::warn!(
                "settings changed; names, addresses and the secret take effect at the next start"
            );
        }
        self.shared.set_settings(settings);
    }

    /// Reports the gateway as not ready, then closes its HTTP ports and waits until the requests in progress have been
    /// answered and the stages that run for peers are done. Requests that cannot be done within the stop time are given up
    /// before its end.
    pub async fn drain(&self) {
        let stop_time = self.shared.settings().stop_time;
        let started = boottime::now();
        let stop = Stop::begin(started, stop_time);
        self.shared.stop.begin(stop);
        peers::leave(&self.shared);
        let waiting = self.shared.in_progress.summary();
        tracing::info!(
            in_flight = self.in_flight(),
            waiting,
            ?stop_time,
            "stopping; reporting not ready"
        );
        time::sleep(DRAIN_DELAY.min(stop_time)).await;
        self.close.send_replace(true);
        let has_work = || !self.callers.has_ended() || self.shared.batcher.has_peer_stages();
        while has_work() && boottime::now() < stop.exit_by {
            time::sleep(POLL_INTERVAL).await;
        }
        // The last replies to peers and calls that free results may still be on their way, and after a pause of the process
        // requests get their answers now.
        time::sleep(POLL_INTERVAL).await;
        let now = boottime::now();
        self.shared.in_progress.log_cut(now);
        let took = now.saturating_sub(started);
        let connections = self.shared.connections.len();
        tracing::info!(in_flight = self.in_flight(), connections, ?took, "stopped");
    }
}
