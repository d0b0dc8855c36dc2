//! Start, background tasks and shutdown of an entry.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use anyhow::Context as _;
use arc_swap::{ArcSwap, ArcSwapOption};
use marigold_core::ids::Member;
use marigold_link::peer::Peer;
use marigold_link::security::Security;
use marigold_link::server::Server;
use marigold_objects::{Object, Store as _, VM_KIND, Version, Vm, VmState};
use marigold_platform::store::PlatformStore;
use marigold_process::http;
use marigold_process::uptime::{Uptime, wall_clock_ms};
use marigold_schema::settings::EntrySettings;
use parking_lot::Mutex;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::api;
use crate::billing;
use crate::config_sync;
use crate::metrics::Metrics;
use crate::peers::PeerHandler;
use crate::state::Shared;

/// Time for which a stopping entry still accepts requests, until the load balancer stops sending them.
const BALANCER_GRACE: Duration = Duration::from_secs(1);
const VM_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two removals of idempotency keys that are past their retention time.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);

/// Handle of a running entry.
pub struct Entry {
    shared: Arc<Shared>,
    _links: Server,
    http: Mutex<Option<http::Server>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Entry {
    /// Starts to serve callers, operators and other processes in the background.
    ///
    /// # Errors
    /// An error that names the step, and the address or file, that failed.
    pub async fn bind(settings: EntrySettings) -> anyhow::Result<Entry> {
        let http_addr: SocketAddr =
            settings.http_address.parse().context("`http_address` is no IP:PORT")?;
        let link_addr: SocketAddr =
            settings.link_address.parse().context("`link_address` is no IP:PORT")?;
        let security =
            Security::open(&settings.cluster, &settings.link_secret, settings.tls.clone())?;
        let shared = Arc::new(open_state(settings, security.clone())?);
        let handler = Arc::new(PeerHandler { shared: shared.clone() });
        let links = Server::bind(link_addr, security, handler).await?;
        let http = http::Server::spawn(api::rocket(http_addr, shared.clone())).await?;
        let tasks = vec![
            tokio::spawn(config_sync::load_initial(shared.clone())),
            tokio::spawn(config_sync::watch_forever(shared.clone())),
            tokio::spawn(config_sync::pull_forever(shared.clone())),
            tokio::spawn(billing::flush_forever(shared.clone())),
            tokio::spawn(poll_vms_forever(shared.clone())),
            tokio::spawn(expire_keys_forever(shared.clone())),
        ];
        tracing::info!(entry = shared.member.name, http = %http_addr, links = %link_addr, "entry started");
        Ok(Entry { shared, _links: links, http: Mutex::new(Some(http)), tasks })
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Returns the bytes sent and the bytes received on links.
    pub fn link_bytes(&self) -> (u64, u64) {
        self.shared.security.traffic.bytes()
    }

    /// Returns the revision of the configuration in force on this entry, or zero before one is loaded.
    pub fn revision(&self) -> u64 {
        self.shared.view.load().as_ref().map_or(0, |view| view.revision)
    }

    /// Returns whether the entry accepts requests.
    pub fn is_ready(&self) -> bool {
        self.shared.is_ready()
    }

    /// Reports not ready, waits at most `drain_s` for the requests in flight, writes the outstanding costs and stops the
    /// HTTP server.
    pub async fn drain(&self) {
        tracing::info!(in_flight = self.in_flight(), "entry is leaving");
        self.shared.leaving.store(true, Ordering::SeqCst);
        let started = self.shared.now();
        let timeout = Duration::from_secs(u64::from(self.shared.settings.drain_s.get()));
        while self.shared.now() < started + BALANCER_GRACE || self.in_flight() > 0 {
            if self.shared.now() > started + timeout {
                tracing::warn!(cut = self.in_flight(), "drain timeout reached");
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        if let Err(err) =
            billing::flush(&self.shared).await.and(billing::flush_burn(&self.shared).await)
        {
            tracing::warn!(%err, "writing costs at shutdown failed");
        }
        let http = self.http.lock().take();
        if let Some(http) = http {
            http.stop().await;
        }
        tracing::info!("entry stopped");
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(http) = self.http.lock().as_ref() {
            http.notify_stop();
        }
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

fn open_state(settings: EntrySettings, security: Arc<Security>) -> anyhow::Result<Shared> {
    let peers = settings.peers.iter().map(|peer| {
        let addr = peer
            .address
            .parse()
            .with_context(|| format!("peer address `{}` is no IP:PORT", peer.address))?;
        Ok(Arc::new(Peer::new(addr, security.clone())))
    });
    let peers = peers.collect::<anyhow::Result<Vec<_>>>()?;
    let member = Member {
        name: settings.name.clone(),
        incarnation: wall_clock_ms(),
        address: settings.link_address.clone(),
    };
    Ok(Shared {
        store: PlatformStore::open(&settings.platform)?,
        clock: Uptime::default(),
        view: ArcSwapOption::empty(),
        replica: Mutex::default(),
        confirmed_at_ms: AtomicU64::new(0),
        is_current: AtomicBool::new(false),
        pull_now: Notify::new(),
        targets: ArcSwap::default(),
        pools: ArcSwap::default(),
        sent: Mutex::default(),
        next_attempt: AtomicU64::new(1),
        next_request: AtomicU64::new(1),
        in_flight: AtomicUsize::new(0),
        leaving: AtomicBool::new(false),
        accounts: Mutex::default(),
        burn: Mutex::default(),
        metrics: Metrics::open()?,
        member,
        peers,
        security,
        settings,
    })
}

/// Marks targets as leaving while their VM is leaving or an operator drains them.
async fn poll_vms_forever(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(VM_POLL_INTERVAL).await;
        let vms: Vec<Vm> =
            match shared.store.watch(VM_KIND, Version::default(), Duration::ZERO).await {
                Ok(changes) => changes.objects.iter().filter_map(parse_vm).collect(),
                Err(err) => {
                    tracing::debug!(%err, "reading the list of VMs failed");
                    continue;
                }
            };
        let leaving: BTreeSet<&str> = vms
            .iter()
            .filter(|vm| vm.state == VmState::Leaving)
            .map(|vm| vm.name.as_str())
            .collect();
        let Some(view) = shared.view.load_full() else { continue };
        for (name, handle) in shared.targets.load().iter() {
            handle.set_leaving(leaving.contains(name.as_str()) || view.draining.contains(name));
        }
    }
}

fn parse_vm(object: &Object) -> Option<Vm> {
    let parsed = serde_json::from_str(object.value.as_ref()?);
    parsed
        .inspect_err(|err| tracing::warn!(vm = object.name, %err, "ignoring an invalid VM object"))
        .ok()
}

async fn expire_keys_forever(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let Some(view) = shared.view.load_full() else { continue };
        let now = shared.now();
        let mut sent = shared.sent.lock();
        for pool in view.pools.values().filter(|pool| !pool.pool.idempotent) {
            sent.expire(&pool.name, now, pool.retention());
        }
    }
}
