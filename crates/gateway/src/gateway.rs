//! A running gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context as _;
use marigold_link::security::Security;
use marigold_link::server::Server as LinkServer;
use marigold_objects::Store;
use marigold_process::boottime;
use marigold_schema::settings::GatewaySettings;
use tokio::sync::watch;
use tokio::time;

use crate::callers::{Callers, MetricsPort, Readiness};
use crate::dialect::Dialect;
use crate::http_server::Server;
use crate::members::Members;
use crate::metrics::Metrics;
use crate::peers::PeerHandler;
use crate::shared::Shared;
use crate::{discovery, peers, stage_runner};

/// Time for which connections stay open after a stop was asked for, so that the balancer sends no new ones meanwhile:
/// it takes a gateway out after two questions, one a second.
const LINGER: Duration = Duration::from_millis(2_600);
/// Part of the time for a stop that is left for ending connections.
const LAST_MOMENTS: Duration = Duration::from_millis(500);
/// Pause between two looks at the requests in progress.
const LOOK_EVERY: Duration = Duration::from_millis(50);

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
    /// Opens all ports and follows the store.
    ///
    /// # Errors
    /// Names the port that cannot be opened or the setting that makes no sense.
    pub async fn bind(settings: GatewaySettings, store: S) -> anyhow::Result<Self> {
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
        let readiness = Readiness(shared.clone());
        let readiness =
            Server::bind(&settings.ready_address, Arc::new(readiness), close.subscribe()).await?;
        let metrics = MetricsPort(shared.clone());
        let metrics =
            Server::bind(&settings.metrics_address, Arc::new(metrics), close.subscribe()).await?;
        let callers = Callers(shared.clone());
        let callers =
            Server::bind(&settings.callers_address, Arc::new(callers), close.subscribe()).await?;
        discovery::spawn(&shared);
        tokio::spawn(peers::poll_forever(shared.clone()));
        tokio::spawn(stage_runner::release_forever(shared.clone()));
        tracing::info!(name = settings.name, incarnation = shared.incarnation, callers = %callers.addr(), "gateway started");
        Ok(Self { shared, callers, _readiness: readiness, _metrics: metrics, _links: links, close })
    }

    /// Address for callers.
    pub fn callers_addr(&self) -> SocketAddr {
        self.callers.addr()
    }

    /// Requests in progress.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight()
    }

    /// Puts changed settings in force, as far as that is possible in a running process.
    pub fn reload(&self, settings: GatewaySettings) {
        let old = self.shared.settings();
        if *old == settings {
            return;
        }
        let fixed = |settings: &GatewaySettings| {
            let GatewaySettings { cluster, name, data_centre, callers_address, .. } =
                settings.clone();
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
        if fixed(&old) == fixed(&settings) {
            tracing::info!(?settings, "changed settings put in force");
        } else {
            tracing::warn!(
                "settings changed; names, addresses and the secret take effect at the next start"
            );
        }
        self.shared.set_settings(settings);
    }

    /// Stops taking part, and waits until the requests in progress are answered or the time for a stop is over.
    pub async fn drain(&self) {
        let stop =
            Duration::from_secs(u64::from(self.shared.settings().stop_s.get())) - LAST_MOMENTS;
        let started = time::Instant::now();
        self.shared.stopping.send_replace(true);
        tracing::info!(in_flight = self.in_flight(), ?stop, "stopping: no longer ready");
        time::sleep(LINGER.min(stop)).await;
        self.close.send_replace(true);
        while self.callers.connections() > 0 && started.elapsed() < stop {
            time::sleep(LOOK_EVERY).await;
        }
        tracing::info!(in_flight = self.in_flight(), took = ?started.elapsed(), "stopped");
    }
}
