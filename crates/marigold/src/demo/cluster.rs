//! Runs the platform, targets, agents and entries of a deployment in one process, on the loopback interface.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::ops::Range;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use anyhow::Context as _;
use marigold_agent::agent::Agent;
use marigold_core::config;
use marigold_core::digest;
use marigold_core::head::ItemChange;
use marigold_entry::billing::{self, StoredCosts};
use marigold_entry::entry::Entry;
use marigold_platform::store::PlatformStore;
use marigold_schema::declarations::{Declarations, Pool, PoolKind, Target};
use marigold_schema::settings::{AgentSettings, EntrySettings};
use marigold_standin::engine::{self, Engine};
use marigold_standin::platform;
use marigold_standin::service::{self, Service};
use serde_json::{Value, json};

use crate::client::Client;

/// Number of entries.
pub(super) const ENTRIES: usize = 3;
/// Bearer token of the operators.
const OPERATOR_TOKEN: &str = "demo-operator";
/// Shared secret of the links between processes.
const LINK_SECRET: &str = "demo-link-secret";
/// Time within which all entries together have to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Ports of the demo, below those of the agents in `deployments/` and those that operating systems give to outgoing connections.
const PORTS: Range<u16> = 10_000..21_000;
/// Serial of the next port to try, before the offset of the process.
static NEXT_SERIAL: AtomicU32 = AtomicU32::new(0);

enum StandIn {
    Engine(Arc<Engine>),
    Service(Arc<Service>),
}

/// A deployment that runs in this process.
pub(super) struct Cluster {
    platform_url: String,
    targets: Vec<StandIn>,
    _agents: Vec<Agent>,
    entries: Vec<Entry>,
    urls: Vec<String>,
}

/// Returns an unused loopback address, on a port that neither an outgoing connection nor an agent of the deployment takes before
/// it is bound.
fn free_addr(declarations: &Declarations) -> anyhow::Result<SocketAddr> {
    let is_declared = |addr: &SocketAddr| {
        declarations.target.values().any(|target| target.address == addr.to_string())
    };
    let offset = std::process::id().wrapping_mul(977);
    let count = PORTS.end - PORTS.start;
    let next = |_| {
        let serial = NEXT_SERIAL.fetch_add(1, Ordering::Relaxed).wrapping_add(offset);
        SocketAddr::from(([127, 0, 0, 1], PORTS.start + (serial % u32::from(count)) as u16))
    };
    let is_free = |addr: &SocketAddr| !is_declared(addr) && TcpListener::bind(addr).is_ok();
    (0..count).map(next).find(is_free).context("looking for a free port")
}

impl Cluster {
    /// Starts the deployment and waits until all entries are ready.
    pub(super) async fn spawn(declarations: &Declarations) -> anyhow::Result<Cluster> {
        let platform_addr = free_addr(declarations)?;
        platform::spawn(platform_addr, platform::Options::default())
            .await
            .context("starting a stand-in")?;
        let platform_url = format!("http://{platform_addr}");
        let mut cluster = Cluster {
            platform_url: platform_url.clone(),
            targets: Vec::new(),
            _agents: Vec::new(),
            entries: Vec::new(),
            urls: Vec::new(),
        };
        for (name, target) in &declarations.target {
            let pool = &declarations.pool[&target.pool];
            let addr = free_addr(declarations)?;
            cluster.targets.push(spawn_target(addr, pool).await?);
            let agent = Agent::bind(agent_settings(name, target, addr, &platform_url)?).await;
            cluster._agents.push(agent.with_context(|| format!("starting the agent of `{name}`"))?);
        }
        cluster.spawn_entries(declarations, &platform_url).await?;
        cluster.apply(declarations).await?;
        Ok(cluster)
    }

    async fn spawn_entries(
        &mut self,
        declarations: &Declarations,
        platform: &str,
    ) -> anyhow::Result<()> {
        let data_centres: Vec<&String> = declarations.data_centre.keys().collect();
        let link_addrs =
            (0..ENTRIES).map(|_| free_addr(declarations)).collect::<anyhow::Result<Vec<_>>>()?;
        let data_centre_of = |i: usize| data_centres[i % data_centres.len()];
        for (i, link_addr) in link_addrs.iter().enumerate() {
            let http_addr = free_addr(declarations)?;
            let peer_links = link_addrs.iter().enumerate().filter(|(j, _)| *j != i);
            let peers: Vec<Value> = peer_links
                .map(|(j, peer)| json!({ "address": peer.to_string(), "data_centre": data_centre_of(j) }))
                .collect();
            let settings: EntrySettings = serde_json::from_value(json!({
                "cluster": "demo", "name": format!("entry-{i}"), "data_centre": data_centre_of(i), "http_address": http_addr.to_string(),
                "link_address": link_addr.to_string(), "platform": platform, "peers": peers, "link_secret": LINK_SECRET,
                "operator_token_sha256": digest::sha256_hex(OPERATOR_TOKEN),
            }))?;
            self.entries.push(Entry::bind(settings).await?);
            self.urls.push(format!("http://{http_addr}"));
        }
        Ok(())
    }

    async fn apply(&self, declarations: &Declarations) -> anyhow::Result<()> {
        let client = Client::new(&self.urls[0], OPERATOR_TOKEN, "demo");
        let items = config::to_items(declarations);
        let changes: Vec<ItemChange> =
            items.into_iter().map(|(key, text)| (key, Some(text))).collect();
        client
            .apply(0, &changes)
            .await
            .map_err(|err| anyhow::anyhow!("applying the declarations: {err}"))?;
        let target_count = declarations.target.len();
        let licence_count: u64 = declarations
            .pool
            .values()
            .filter(|pool| !pool.idempotent)
            .map(|pool| u64::from(pool.key_shards.get()))
            .sum();
        let started = tokio::time::Instant::now();
        for url in &self.urls {
            while !is_ready(url, target_count, licence_count).await {
                anyhow::ensure!(
                    started.elapsed() < START_TIMEOUT,
                    "the deployment does not get ready"
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        Ok(())
    }

    /// Base URLs of the entries.
    pub(super) fn entry_urls(&self) -> Vec<String> {
        self.urls.clone()
    }

    /// Drains all entries, one after the other.
    pub(super) async fn drain(&self) {
        for entry in &self.entries {
            entry.drain().await;
        }
    }

    /// Reads the costs of all entries from the platform.
    pub(super) async fn read_costs(&self) -> anyhow::Result<StoredCosts> {
        Ok(billing::read_all(&PlatformStore::open(&self.platform_url)?).await?)
    }

    /// Returns the number of runs by operation, summed over all targets.
    pub(super) fn run_counts(&self) -> BTreeMap<String, u64> {
        let mut sum = BTreeMap::new();
        for target in &self.targets {
            let counts = match target {
                StandIn::Engine(engine) => engine.runs.all(),
                StandIn::Service(service) => service.runs.all(),
            };
            for (operation, count) in counts {
                *sum.entry(operation).or_default() += count;
            }
        }
        sum
    }
}

async fn spawn_target(addr: SocketAddr, pool: &Pool) -> anyhow::Result<StandIn> {
    let concurrency = pool.concurrency.get() as usize;
    if pool.kind == PoolKind::Engine {
        let options = engine::Options {
            max_batch: concurrency,
            checks_fencing: pool.checks_fencing,
            ..Default::default()
        };
        return Ok(StandIn::Engine(
            engine::spawn(addr, options).await.context("starting a stand-in")?.1,
        ));
    }
    let duration_ms = match pool.kind {
        PoolKind::Encoder => 4.0,
        PoolKind::Retriever => 8.0,
        PoolKind::Reranker => 6.0,
        PoolKind::Engine | PoolKind::Service => 10.0,
    };
    let options = service::Options { concurrency, duration_ms, seed: u64::from(addr.port()) };
    Ok(StandIn::Service(service::spawn(addr, options).await.context("starting a stand-in")?.1))
}

fn agent_settings(
    name: &str,
    target: &Target,
    addr: SocketAddr,
    platform: &str,
) -> anyhow::Result<AgentSettings> {
    let settings = json!({
        "cluster": "demo", "target": name, "pool": target.pool, "data_centre": target.data_centre,
        "link_address": target.address, "target_url": format!("http://{addr}"), "platform": platform,
        "link_secret": LINK_SECRET,
    });
    Ok(serde_json::from_value(settings)?)
}

/// Returns whether an entry reports all targets as usable and their agents hold at least `licences` licences in total.
async fn is_ready(url: &str, targets: usize, licences: u64) -> bool {
    let client = Client::new(url, OPERATOR_TOKEN, "demo");
    let Ok(status) = client.call::<Value>(reqwest::Method::GET, "status", None).await else {
        return false;
    };
    let target_statuses = status["targets"].as_array().map(Vec::as_slice).unwrap_or_default();
    let usable = target_statuses.iter().filter(|target| target["usable"] == true).count();
    let licences_held: u64 =
        target_statuses.iter().filter_map(|target| target["licences"].as_u64()).sum();
    usable == targets && licences_held >= licences
}
