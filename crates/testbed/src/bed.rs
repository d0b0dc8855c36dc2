//! A running bed: platform, targets, agents and entries as processes of their own.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use marigold_core::{check, config, digest};
use serde_json::{Value, json};

use crate::client::{Answer, EntryClient};
use crate::plan::{Binaries, OPERATOR_TOKEN, Plan, PoolPlan};
use crate::process::{Process, free_addr};
use crate::relay::Relay;

/// Time for a bed to serve.
const START_BOUND: Duration = Duration::from_secs(60);

/// Entries up to which each links to all targets.
const FULL_MESH_ENTRIES: usize = 8;

/// One target with its agent.
pub struct TargetPlace {
    /// Name of the target.
    pub name: String,
    /// Pool of the target.
    pub pool: String,
    /// Address of the stand-in.
    pub target_addr: SocketAddr,
    /// Relay before the agent, if the plan has relays.
    pub relay: Option<Relay>,
}

/// A running bed.
pub struct Bed {
    binaries: Binaries,
    folder: PathBuf,
    /// Processes by name.
    pub processes: BTreeMap<String, Process>,
    commands: BTreeMap<String, (PathBuf, Vec<String>)>,
    /// Targets in the order of the plan.
    pub targets: Vec<TargetPlace>,
    /// Relays on the way from each entry to another or, without another, to the platform.
    pub entry_relays: BTreeMap<(usize, Option<usize>), Relay>,
    /// Clients of the entries.
    pub entries: Vec<EntryClient>,
    /// Address of the platform.
    pub platform: SocketAddr,
    http: reqwest::Client,
}

impl Bed {
    /// Starts all processes, applies the declarations, and waits until all entries are ready.
    pub async fn start(binaries: Binaries, plan: &Plan, name: &str) -> Bed {
        let folder = std::env::temp_dir().join(format!("marigold-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the bed's folder is made");
        let mut bed = Bed {
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
        let standin = bed.binaries.standin.clone();
        let listen = format!("--listen={}", bed.platform);
        bed.run("platform", standin, vec!["platform".into(), listen, "--vm-lag-ms=200".into()]);
        wait_open(bed.platform).await;
        let declarations = bed.start_targets(plan).await;
        bed.start_entries(plan).await;
        bed.apply(&declarations).await;
        bed.wait_ready().await;
        bed
    }

    fn run(&mut self, name: &str, program: PathBuf, args: Vec<String>) {
        let log = self.folder.join(format!("{name}.log"));
        self.processes.insert(name.to_owned(), Process::start(name, &program, &args, &log));
        self.commands.insert(name.to_owned(), (program, args));
    }

    async fn start_targets(&mut self, plan: &Plan) -> String {
        let mut declared: Vec<(String, &PoolPlan, SocketAddr)> = Vec::new();
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
                let relay = if plan.relays { Some(Relay::spawn(agent_addr).await) } else { None };
                let addr = relay.as_ref().map_or(agent_addr, Relay::addr);
                declared.push((name.clone(), pool, addr));
                self.targets.push(TargetPlace {
                    name,
                    pool: pool.name.to_owned(),
                    target_addr,
                    relay,
                });
            }
        }
        plan.declarations(&declared)
    }

    fn start_target(&mut self, name: &str, pool: &PoolPlan, addr: SocketAddr) {
        let kind = if pool.kind == "engine" { "engine" } else { "service" };
        let duration = if kind == "engine" { "--step-ms" } else { "--duration-ms" };
        let args = vec![
            kind.to_owned(),
            format!("--listen={addr}"),
            format!("{duration}={}", pool.duration_ms),
        ];
        self.run(&format!("target-{name}"), self.binaries.standin.clone(), args);
    }

    fn start_agent(&mut self, name: &str, pool: &str, target_addr: SocketAddr, addr: SocketAddr) {
        let settings = json!({
            "cluster": "bed", "target": name, "pool": pool, "data_centre": "north", "link_address": addr.to_string(),
            "target_url": format!("http://{target_addr}"), "platform": format!("http://{}", self.platform),
            "link_secret": "a-secret-for-the-bed", "drain_s": 30,
        });
        let path = self.write_settings(name, &settings);
        self.run(&format!("agent-{name}"), self.binaries.agent.clone(), vec![path]);
    }

    async fn start_entries(&mut self, plan: &Plan) {
        let links: Vec<SocketAddr> = (0..plan.entries).map(|_| free_addr()).collect();
        for (i, link) in links.iter().enumerate() {
            let http = free_addr();
            let mut peers = Vec::new();
            for (j, peer) in links.iter().enumerate().filter(|(j, _)| *j != i) {
                let addr = self.way(plan, i, Some(j), *peer).await;
                peers.push(json!({ "address": addr.to_string(), "data_centre": "north" }));
            }
            let platform = self.way(plan, i, None, self.platform).await;
            let settings = json!({
                "cluster": "bed", "name": format!("entry-{i}"), "data_centre": "north", "http_address": http.to_string(),
                "link_address": link.to_string(), "platform": format!("http://{platform}"), "peers": peers,
                "link_secret": "a-secret-for-the-bed", "operator_token_sha256": digest::sha256_hex(OPERATOR_TOKEN),
                "drain_s": 30,
            });
            let path = self.write_settings(&format!("entry-{i}"), &settings);
            self.run(&format!("entry-{i}"), self.binaries.entry.clone(), vec![path]);
            self.entries.push(EntryClient::new(http));
            wait_open(http).await;
        }
    }

    /// Address at which an entry reaches another or the platform, through a relay if the plan has them.
    async fn way(
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

    /// Cuts an entry off from the other entries and the platform, or heals that.
    pub fn cut_entry(&self, entry: usize, is_cut: bool) {
        let ways = self.entry_relays.iter();
        let touching = ways.filter(|((from, to), _)| *from == entry || *to == Some(entry));
        touching.for_each(|(_, relay)| relay.cut(is_cut));
    }

    fn write_settings(&self, name: &str, settings: &Value) -> String {
        let path = self.folder.join(format!("{name}.toml"));
        let text = toml::to_string(settings).expect("settings serialise");
        std::fs::write(&path, text).expect("settings are written");
        path.to_string_lossy().into_owned()
    }

    async fn apply(&self, declarations: &str) {
        let files = BTreeMap::from([("bed.toml".to_owned(), declarations.to_owned())]);
        let declarations = check::check(&files).unwrap_or_else(|mistakes| panic!("{mistakes:#?}"));
        let items = config::to_items(&declarations);
        let changes: Vec<(String, Option<String>)> =
            items.into_iter().map(|(key, text)| (key, Some(text))).collect();
        let body = json!({ "base": 0, "changes": changes });
        let answer = self.operate("apply", Some(&body)).await;
        assert_eq!(answer.status, 200, "applying the declarations: {}", answer.body);
    }

    /// Posts to the first entry's operators' API.
    pub async fn operate(&self, path: &str, body: Option<&Value>) -> Answer {
        self.entries[0].operate(reqwest::Method::POST, path, body).await
    }

    /// Waits until every entry is ready and sees every target as usable.
    pub async fn wait_ready(&self) {
        let started = Instant::now();
        // Beyond a full mesh, an entry links to two targets of each pool at least.
        let is_full_mesh = self.entries.len() <= FULL_MESH_ENTRIES;
        let targets = if is_full_mesh { self.targets.len() } else { 1 };
        for entry in &self.entries {
            while !is_whole(entry, targets).await {
                assert!(
                    started.elapsed() < START_BOUND,
                    "the bed does not get ready; logs in {}",
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
        while started.elapsed() < START_BOUND {
            let answer = self.entries[0].record("record-receipt", "warm-up", Some("warm-up")).await;
            if answer.is_done() || answer.status == 404 {
                return;
            }
        }
        panic!("no home takes keyed calls; logs in {}", self.folder.display());
    }

    /// The process of a name, such as `agent-receipts-0` or `entry-1`.
    pub fn process(&mut self, name: &str) -> &mut Process {
        self.processes.get_mut(name).unwrap_or_else(|| panic!("no process {name}"))
    }

    /// Starts a process again after it was killed or ended.
    pub fn restart(&mut self, name: &str) {
        let (program, args) = self.commands[name].clone();
        self.processes.remove(name);
        self.run(name, program, args);
    }

    /// Puts faults into a stand-in.
    pub async fn set_faults(&self, addr: SocketAddr, faults: &Value) {
        let sent = self.http.put(format!("http://{addr}/faults")).json(faults).send().await;
        assert!(sent.is_ok_and(|response| response.status().is_success()), "faults at {addr}");
    }

    /// Runs by operation over all targets of a pool.
    pub async fn runs(&self, pool: &str) -> BTreeMap<String, u64> {
        let mut sum = BTreeMap::new();
        for target in self.targets.iter().filter(|target| target.pool == pool) {
            let url = format!("http://{}/runs", target.target_addr);
            let response = self.http.get(url).send().await.expect("the stand-in answers");
            let runs: BTreeMap<String, u64> = response.json().await.expect("runs are JSON");
            for (operation, count) in runs {
                *sum.entry(operation).or_default() += count;
            }
        }
        sum
    }

    /// Number of licences of a pool that a target holds.
    pub async fn held_by(&self, pool: &str, target: &str) -> usize {
        let licences = self.licences(pool).await;
        licences.values().filter(|record| record["holder"]["target"] == target).count()
    }

    /// Licence records of a pool by shard.
    pub async fn licences(&self, pool: &str) -> BTreeMap<String, Value> {
        let url = format!("http://{}/objects/licence.{pool}", self.platform);
        let changes: Value = self
            .http
            .get(url)
            .send()
            .await
            .expect("the platform answers")
            .json()
            .await
            .expect("JSON");
        let objects = changes["items"].as_array().cloned().unwrap_or_default();
        let parse = |object: &Value| {
            let record = serde_json::from_str(object["spec"].as_str()?).ok()?;
            Some((object["metadata"]["name"].as_str()?.to_owned(), record))
        };
        objects.iter().filter_map(parse).collect()
    }
}

impl Drop for Bed {
    fn drop(&mut self) {
        self.processes.clear();
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Whether an entry is ready and can use every target that it links to, at least `targets` of them.
async fn is_whole(entry: &EntryClient, targets: usize) -> bool {
    if entry.get("/ready").await.status != 200 {
        return false;
    }
    let status = entry.operate(reqwest::Method::GET, "status", None).await;
    let lines = status.body["targets"].as_array().cloned().unwrap_or_default();
    lines.len() >= targets
        && lines.iter().all(|line| line["usable"] == true && line["in_force"] == true)
}

/// Waits until something listens on an address.
async fn wait_open(addr: SocketAddr) {
    let started = Instant::now();
    while tokio::net::TcpStream::connect(addr).await.is_err() {
        assert!(started.elapsed() < START_BOUND, "nothing listens on {addr}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
