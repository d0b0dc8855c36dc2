//! A test cluster that runs the platform, targets, agents and entries as separate processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use marigold_core::{check, config, digest};
use serde_json::{Value, json};

use crate::client::{EntryClient, Response};
use crate::plan::{Binaries, OPERATOR_TOKEN, Plan, PoolPlan};
use crate::process::{Process, free_addr};
use crate::relay::Relay;

/// Time within which a cluster has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest number of entries at which each entry connects to all targets.
const MAX_FULL_MESH_ENTRIES: usize = 8;

/// A target and its agent.
pub struct Target {
    /// Name of the target.
    pub name: String,
    /// Pool of the target.
    pub pool: String,
    /// Address of the stand-in.
    pub target_addr: SocketAddr,
    /// Relay in front of the agent, if the plan has agent relays.
    pub relay: Option<Relay>,
}

/// A running cluster.
pub struct Cluster {
    binaries: Binaries,
    folder: PathBuf,
    /// Processes by name.
    pub processes: BTreeMap<String, Process>,
    commands: BTreeMap<String, (PathBuf, Vec<String>)>,
    /// Targets in the order of the plan.
    pub targets: Vec<Target>,
    /// Relays by source and destination: from each entry to another entry or, without one, to the platform.
    pub entry_relays: BTreeMap<(usize, Option<usize>), Relay>,
    /// Clients of the entries, by index.
    pub entries: Vec<EntryClient>,
    /// Address of the platform.
    pub platform: SocketAddr,
    http: reqwest::Client,
}

impl Cluster {
    /// Starts all processes, applies the declarations, and waits until all entries are ready.
    pub async fn start(binaries: Binaries, plan: &Plan, name: &str) -> Cluster {
        let folder = std::env::temp_dir().join(format!("marigold-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder is created");
        let mut cluster = Cluster {
            binaries,
            folder,
            processes: BTreeMap::new(),
            commands: BTreeMap::new(),
            targets: Vec::new(),
            entry_relays: BTreeMap::new(),
            entries: Vec::new(),
            platform: free_addr(),
            http: reqwest::Client::new(),
        };
        let standin = cluster.binaries.standin.clone();
        let listen = format!("--listen={}", cluster.platform);
        cluster.start_process(
            "platform",
            standin,
            vec!["platform".into(), listen, "--vm-lag-ms=200".into()],
        );
        wait_listening(cluster.platform).await;
        let declarations = cluster.start_targets(plan).await;
        cluster.start_entries(plan).await;
        cluster.apply(&declarations).await;
        cluster.wait_ready().await;
        cluster
    }

    fn start_process(&mut self, name: &str, program: PathBuf, args: Vec<String>) {
        let log = self.folder.join(format!("{name}.log"));
        self.processes.insert(name.to_owned(), Process::start(name, &program, &args, &log));
        self.commands.insert(name.to_owned(), (program, args));
    }

    async fn start_targets(&mut self, plan: &Plan) -> String {
        let mut declared_targets: Vec<(String, &PoolPlan, SocketAddr)> = Vec::new();
        for pool in &plan.pools {
            for i in 0..pool.targets {
                let name = format!("{}-{i}", pool.name);
                let agent_addr = free_addr();
                let shared = self
                    .targets
                    .iter()
                    .find(|target| plan.shared_targets && target.pool == pool.name);
                let target_addr = match shared {
                    Some(target) => target.target_addr,
                    None => {
                        let addr = free_addr();
                        self.start_target(&name, pool, addr);
                        addr
                    }
                };
                self.start_agent(&name, pool.name, target_addr, agent_addr);
                let relay =
                    if plan.agent_relays { Some(Relay::spawn(agent_addr).await) } else { None };
                let addr = relay.as_ref().map_or(agent_addr, Relay::addr);
                declared_targets.push((name.clone(), pool, addr));
                self.targets.push(Target { name, pool: pool.name.to_owned(), target_addr, relay });
            }
        }
        plan.declarations(&declared_targets)
    }

    fn start_target(&mut self, name: &str, pool: &PoolPlan, addr: SocketAddr) {
        let kind = if pool.kind == "engine" { "engine" } else { "service" };
        let duration_flag = if kind == "engine" { "--step-ms" } else { "--duration-ms" };
        let args = vec![
            kind.to_owned(),
            format!("--listen={addr}"),
            format!("{duration_flag}={}", pool.duration_ms),
        ];
        self.start_process(&format!("target-{name}"), self.binaries.standin.clone(), args);
    }

    fn start_agent(&mut self, name: &str, pool: &str, target_addr: SocketAddr, addr: SocketAddr) {
        let settings = json!({
            "cluster": "bed", "target": name, "pool": pool, "data_centre": "north", "link_address": addr.to_string(),
            "target_url": format!("http://{target_addr}"), "platform": format!("http://{}", self.platform),
            "link_secret": "a-secret-for-the-bed", "drain_s": 30,
        });
        let path = self.write_settings(name, &settings);
        self.start_process(&format!("agent-{name}"), self.binaries.agent.clone(), vec![path]);
    }

    async fn start_entries(&mut self, plan: &Plan) {
        let link_addrs: Vec<SocketAddr> = (0..plan.entries).map(|_| free_addr()).collect();
        for (i, link_addr) in link_addrs.iter().enumerate() {
            let http_addr = free_addr();
            let mut peers = Vec::new();
            for (j, peer_addr) in link_addrs.iter().enumerate().filter(|(j, _)| *j != i) {
                let addr = self.addr_via_relay(plan, i, Some(j), *peer_addr).await;
                peers.push(json!({ "address": addr.to_string(), "data_centre": "north" }));
            }
            let platform = self.addr_via_relay(plan, i, None, self.platform).await;
            let settings = json!({
                "cluster": "bed", "name": format!("entry-{i}"), "data_centre": "north", "http_address": http_addr.to_string(),
                "link_address": link_addr.to_string(), "platform": format!("http://{platform}"), "peers": peers,
                "link_secret": "a-secret-for-the-bed", "operator_token_sha256": digest::sha256_hex(OPERATOR_TOKEN),
                "drain_s": 30,
            });
            let path = self.write_settings(&format!("entry-{i}"), &settings);
            self.start_process(&format!("entry-{i}"), self.binaries.entry.clone(), vec![path]);
            self.entries.push(EntryClient::new(http_addr));
            wait_listening(http_addr).await;
        }
    }

    /// Returns the address through which an entry reaches another entry or the platform: the given one or, if the plan has
    /// entry relays, that of a new relay in front of it.
    async fn addr_via_relay(
        &mut self,
        plan: &Plan,
        from: usize,
        to: Option<usize>,
        addr: SocketAddr,
    ) -> SocketAddr {
        if !plan.entry_relays {
            return addr;
        }
        let relay = Relay::spawn(addr).await;
        let addr = relay.addr();
        self.entry_relays.insert((from, to), relay);
        addr
    }

    /// Starts or ends a partition of an entry from the other entries and the platform.
    pub fn set_partitioned(&self, entry: usize, is_partitioned: bool) {
        let relays = self.entry_relays.iter();
        let affected = relays.filter(|((from, to), _)| *from == entry || *to == Some(entry));
        affected.for_each(|(_, relay)| relay.set_partitioned(is_partitioned));
    }

    fn write_settings(&self, name: &str, settings: &Value) -> String {
        let path = self.folder.join(format!("{name}.toml"));
        let text = toml::to_string(settings).expect("settings are serialised");
        std::fs::write(&path, text).expect("settings are written");
        path.to_string_lossy().into_owned()
    }

    async fn apply(&self, declarations: &str) {
        let files = BTreeMap::from([("bed.toml".to_owned(), declarations.to_owned())]);
        let declarations =
            check::check(&files).unwrap_or_else(|diagnostics| panic!("{diagnostics:#?}"));
        let items = config::to_items(&declarations);
        let changes: Vec<(String, Option<String>)> =
            items.into_iter().map(|(key, text)| (key, Some(text))).collect();
        let body = json!({ "base": 0, "changes": changes });
        let response = self.call_operator_api("apply", Some(&body)).await;
        assert_eq!(response.status, 200, "applying the declarations: {}", response.body);
    }

    /// Sends a POST request to the operator API of the first entry.
    pub async fn call_operator_api(&self, path: &str, body: Option<&Value>) -> Response {
        self.entries[0].call_operator_api(reqwest::Method::POST, path, body).await
    }

    /// Waits until every entry is ready and can use every target it is connected to.
    ///
    /// # Panics
    /// When the cluster does not become ready in time.
    pub async fn wait_ready(&self) {
        let started = Instant::now();
        // Beyond a full mesh, an entry is connected to at least two targets of each pool.
        let is_full_mesh = self.entries.len() <= MAX_FULL_MESH_ENTRIES;
        let min_targets = if is_full_mesh { self.targets.len() } else { 1 };
        for entry in &self.entries {
            while !is_serving(entry, min_targets).await {
                assert!(
                    started.elapsed() < START_TIMEOUT,
                    "the cluster is not ready in time; logs are in {}",
                    self.folder.display()
                );
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
        self.wait_licences().await;
    }

    async fn wait_licences(&self) {
        if !self.targets.iter().any(|target| target.pool == "receipts") {
            return;
        }
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            let response =
                self.entries[0].record("record-receipt", "warm-up", Some("warm-up")).await;
            if response.is_success() || response.status == 404 {
                return;
            }
        }
        panic!("no licence holder serves keyed calls; logs are in {}", self.folder.display());
    }

    /// Returns a process by its name, such as `agent-receipts-0` or `entry-1`.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap_or_else(|| panic!("there is no process {name}"))
    }

    /// Starts a process again with its arguments; kills it first if it still runs.
    pub fn restart(&mut self, name: &str) {
        let (program, args) = self.commands[name].clone();
        self.processes.remove(name);
        self.start_process(name, program, args);
    }

    /// Sets the faults of a stand-in.
    pub async fn set_faults(&self, addr: SocketAddr, faults: &Value) {
        let sent = self.http.put(format!("http://{addr}/faults")).json(faults).send().await;
        assert!(
            sent.is_ok_and(|response| response.status().is_success()),
            "setting faults at {addr} failed"
        );
    }

    /// Returns the number of runs by operation, summed over all targets of a pool.
    pub async fn run_counts(&self, pool: &str) -> BTreeMap<String, u64> {
        let mut sum = BTreeMap::new();
        for target in self.targets.iter().filter(|target| target.pool == pool) {
            let url = format!("http://{}/runs", target.target_addr);
            let response = self.http.get(url).send().await.expect("the stand-in responds");
            let counts: BTreeMap<String, u64> = response.json().await.expect("run counts are JSON");
            for (operation, count) in counts {
                *sum.entry(operation).or_default() += count;
            }
        }
        sum
    }

    /// Returns the number of licences of a pool that a target holds.
    pub async fn licence_count(&self, pool: &str, target: &str) -> usize {
        let licences = self.licences(pool).await;
        licences.values().filter(|record| record["holder"]["target"] == target).count()
    }

    /// Returns the licence records of a pool by shard.
    pub async fn licences(&self, pool: &str) -> BTreeMap<String, Value> {
        let url = format!("http://{}/objects/licence.{pool}", self.platform);
        let list: Value = self
            .http
            .get(url)
            .send()
            .await
            .expect("the platform responds")
            .json()
            .await
            .expect("licence records are JSON");
        let objects = list["items"].as_array().cloned().unwrap_or_default();
        let parse = |object: &Value| {
            let record = serde_json::from_str(object["spec"].as_str()?).ok()?;
            Some((object["metadata"]["name"].as_str()?.to_owned(), record))
        };
        objects.iter().filter_map(parse).collect()
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.processes.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns whether an entry is ready and can use every target it is connected to, with at least `min_targets` of them.
async fn is_serving(entry: &EntryClient, min_targets: usize) -> bool {
    if entry.get("/ready").await.status != 200 {
        return false;
    }
    let status = entry.call_operator_api(reqwest::Method::GET, "status", None).await;
    let targets = status.body["targets"].as_array().cloned().unwrap_or_default();
    targets.len() >= min_targets
        && targets.iter().all(|target| target["usable"] == true && target["in_force"] == true)
}

/// Waits until a process accepts connections on an address.
async fn wait_listening(addr: SocketAddr) {
    let started = Instant::now();
    while tokio::net::TcpStream::connect(addr).await.is_err() {
        assert!(started.elapsed() < START_TIMEOUT, "no process listens on {addr}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
