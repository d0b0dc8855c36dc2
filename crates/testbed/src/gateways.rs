//! A test cluster of gateways as separate processes; replicas and the store run in the test process.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use marigold_objects::{Expect, Store as _};
use marigold_process::http::Server;
use marigold_standin::platform::{self, Platform};
use marigold_standin::replica::{Options, Poison, Replica};
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;

use crate::process::{self, Process};
use crate::relay::Relay;

/// `Host` header of all routes.
pub const ROUTE_HOST: &str = "rent.example";
/// Number of events in each stream.
pub const STREAM_EVENTS: u64 = 8;
/// API key of the only customer.
pub const API_KEY: &str = "key-1";

/// Secret of the links between gateways.
const LINK_SECRET: &str = "secret";

/// Software version of the replicas.
const DEFAULT_VERSION: &str = "v1";

/// Time after a crash of a replica after which its entry expires: three heartbeats.
const EXPIRY: Duration = Duration::from_millis(1_200);

/// States with which replicas come back after a crash, by number; `None` for one that has left.
type StatesAfterCrash = BTreeMap<usize, Option<String>>;

/// Objects in the store by kind and name; `None` after a removal.
type Written = BTreeMap<(String, String), Option<Value>>;

/// A gateway process.
pub struct Gateway {
    /// Process of the gateway.
    pub process: Process,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Address of the readiness endpoint.
    pub ready_addr: SocketAddr,
    /// Address of the metrics.
    pub metrics_addr: SocketAddr,
    /// Relay between the gateway and the store.
    pub store_relay: Relay,
    settings: PathBuf,
}

/// A running cluster of gateways, replicas and a store.
pub struct GatewayCluster {
    /// The platform, which holds the store.
    pub platform: Arc<Platform>,
    /// Targets of the pool `app`.
    pub replicas: Vec<Replica>,
    /// Targets of the pool `stage`.
    pub stage_replicas: Vec<Replica>,
    /// Relays between the gateways and the targets of the pool `app`, in the order of `replicas`.
    pub replica_relays: Vec<Relay>,
    /// Gateways by number.
    pub gateways: Vec<Gateway>,
    program: PathBuf,
    /// Options of the gateways' command line.
    options: Vec<String>,
    /// Folder of settings and logs; removed on drop unless `keeps_logs` is set or the thread panics.
    pub folder: PathBuf,
    /// Whether the folder is kept on drop.
    pub keeps_logs: bool,
    version: u64,
    /// Software versions of the replicas of the pool `app`.
    pub replica_versions: Vec<String>,
    /// Starts of the replicas of the pool `app`, as numbers.
    replica_starts: Vec<u64>,
    /// What the operator and the replicas wrote last, by kind and name; `None` after a removal.
    written: Arc<Mutex<Written>>,
    states_after_crash: Arc<Mutex<StatesAfterCrash>>,
    /// Tasks that keep the entries of replicas that crash.
    entry_keepers: JoinSet<()>,
    store_addr: SocketAddr,
    _server: Server,
}

/// Response to a caller.
#[derive(Clone, Debug, Default)]
pub struct Response {
    /// HTTP status; none when the connection was closed without a response.
    pub status: Option<u16>,
    /// Value of `Retry-After` in seconds.
    pub retry_after: Option<f64>,
    /// Signature of the target.
    pub signature: Option<String>,
    /// Body, as far as it was received.
    pub body: String,
    /// Whether the body was received to its end.
    pub is_complete: bool,
}

impl GatewayCluster {
    /// Starts a store, replicas and gateways, and waits until the gateways are ready.
    pub async fn start(program: &Path, name: &str, gateways: usize, replicas: usize) -> Self {
        Self::start_with_options(program, name, gateways, replicas, &[]).await
    }

    /// As [`GatewayCluster::start`], with options of the gateways' command line.
    pub async fn start_with_options(
        program: &Path,
        name: &str,
        gateways: usize,
        replicas: usize,
        options: &[&str],
    ) -> Self {
        let folder = std::env::temp_dir().join(format!("marigold-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("the folder is created");
        let addr = process::free_addr();
        let spawned = platform::spawn(addr, platform::Options::default()).await;
        let (server, platform) = spawned.expect("the store starts");
        let mut cluster = Self {
            platform,
            replicas: Vec::new(),
            stage_replicas: Vec::new(),
            replica_relays: Vec::new(),
            gateways: Vec::new(),
            program: program.to_owned(),
            options: options.iter().map(|option| (*option).to_owned()).collect(),
            folder,
            keeps_logs: false,
            version: 0,
            replica_versions: vec![DEFAULT_VERSION.to_owned(); replicas],
            replica_starts: vec![1; replicas],
            written: Arc::default(),
            states_after_crash: Arc::default(),
            entry_keepers: JoinSet::new(),
            store_addr: addr,
            _server: server,
        };
        cluster.configure(&[API_KEY]).await;
        for number in 0..replicas {
            let replica = spawn_replica(&format!("app-{number}"));
            let relay = Relay::spawn(replica.addr()).await;
            let keeper = EntryKeeper {
                number,
                relay: relay.clone(),
                platform: cluster.platform.clone(),
                written: cluster.written.clone(),
                states_after_crash: cluster.states_after_crash.clone(),
            };
            cluster.entry_keepers.spawn(keeper.run(replica.id()));
            cluster.replica_relays.push(relay);
            cluster.replicas.push(replica);
            cluster.set_replica_state(number, "ready").await;
            let stage_replica = spawn_replica(&format!("stage-{number}"));
            cluster
                .put(
                    "servers",
                    &stage_replica.options.id,
                    &server_spec("stage", stage_replica.addr(), DEFAULT_VERSION, "ready"),
                )
                .await;
            cluster.stage_replicas.push(stage_replica);
        }
        for number in 0..gateways {
            let gateway = cluster.spawn_gateway(number, addr, LINK_SECRET).await;
            cluster.gateways.push(gateway);
        }
        for number in 0..gateways {
            cluster.wait_ready(number, true).await;
        }
        cluster
    }

    /// Writes the next version of the configuration to the store, with `api_keys` as the keys of the customer.
    pub async fn configure(&mut self, api_keys: &[&str]) {
        self.configure_with(api_keys, |_| {}).await;
    }

    /// As [`GatewayCluster::configure`], with `change` applied to the configuration before it is written.
    pub async fn configure_with(&mut self, api_keys: &[&str], change: impl FnOnce(&mut Value)) {
        self.version += 1;
        let route = |name: &str, kind: &str, attempts: u32, extra: Value| {
            let mut route = json!({
                "name": name, "host": ROUTE_HOST, "pathPrefix": format!("/{name}/"), "kind": kind, "timeoutMs": 4000,
                "targetLatencyMs": 1000, "priority": 0, "service": "app", "maxAttempts": attempts,
            });
            for (key, value) in extra.as_object().expect("the additional fields are an object") {
                route[key] = value.clone();
            }
            route
        };
        let stages = json!([
            { "service": "stage", "after": [], "bytes": 1000 },
            { "service": "stage", "after": [0], "bytes": 1000 },
        ]);
        let mut config = json!({
            "version": self.version,
            "routes": [
                route("read", "idempotent", 2, json!({})),
                route("write", "non_idempotent", 1, json!({})),
                route("stream", "streaming", 2, json!({ "resumable": true, "sticky": true })),
                route("once", "streaming", 1, json!({ "resumable": false, "pathPrefix": "/once/stream/" })),
                route("staged", "streaming", 2, json!({ "resumable": true, "stages": stages, "pathPrefix": "/staged/stream/" })),
            ],
            "services": [
                { "name": "app", "maxConnections": 100 },
                { "name": "stage", "maxConnections": 100, "pieces": {
                    "slots": 1, "queue": 2, "batch": 8, "callMs": 40.0, "itemMs": 1.0, "headroomMb": 50.0,
                    "handleS": 4.0, "linkMbps": 1000,
                } },
            ],
            "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 100_000, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
            "tenants": [{ "name": "treasury", "apiKeys": api_keys }],
        });
        change(&mut config);
        self.put("config", "main", &config).await;
    }

    async fn put(&self, kind: &str, name: &str, value: &Value) {
        put(&self.platform, &self.written, kind, name, value).await;
    }

    /// Sets what crashes the replicas of the pool `app`.
    pub fn set_poisons(&self, poisons: &[Poison]) {
        for replica in &self.replicas {
            replica.set_poisons(poisons);
        }
    }

    /// Returns the times of all crashes of replicas of the pool `app`, in their order.
    pub fn crashes(&self) -> Vec<Instant> {
        let mut crashes: Vec<Instant> = self.replicas.iter().flat_map(Replica::crashes).collect();
        crashes.sort_unstable();
        crashes
    }

    /// Returns the times of the crashes under requests whose ids begin with `prefix`, in their order.
    pub fn crashes_under(&self, prefix: &str) -> Vec<Instant> {
        let poisoned = self.replicas.iter().flat_map(Replica::poisoned);
        let of_prefix = poisoned.filter(|(_, request)| request.starts_with(prefix));
        let mut crashes: Vec<Instant> = of_prefix.map(|(at, _)| at).collect();
        crashes.sort_unstable();
        crashes
    }

    /// Publishes a replica of the pool `app` with a state.
    pub async fn set_replica_state(&self, number: usize, state: &str) {
        let version = &self.replica_versions[number];
        let mut spec = server_spec("app", self.replica_relays[number].addr(), version, state);
        spec["born"] = json!(self.replica_starts[number]);
        let id = self.replicas[number].id().borrow().clone();
        self.set_state_after_crash(number, Some(state));
        if let Some(id) = id {
            self.put("servers", &id, &spec).await;
        }
    }

    /// Publishes the replicas with a number, of both pools, in another data centre.
    pub async fn move_replicas(&self, number: usize, data_centre: &str) {
        self.change_entries(number, "zone", json!(data_centre)).await;
    }

    /// Publishes the replicas with a number, of both pools, as cold for some more time.
    pub async fn set_cold(&self, number: usize, remaining: Duration) {
        self.change_entries(number, "coldRemainingMs", json!(remaining.as_millis() as u64)).await;
    }

    async fn change_entries(&self, number: usize, field: &str, value: Value) {
        let stage_id = self.stage_replicas[number].options.id.clone();
        let id = self.replicas[number].id().borrow().clone();
        for id in id.into_iter().chain([stage_id]) {
            let entry = {
                let written = self.written.lock().expect("no panic under the lock");
                written.get(&("servers".to_owned(), id.clone())).cloned().flatten()
            };
            if let Some(mut entry) = entry {
                entry[field] = value.clone();
                self.put("servers", &id, &entry).await;
            }
        }
    }

    /// Publishes a replica of the pool `stage` under the id that it has now, in a pool; the entry of another id is removed.
    pub async fn publish_stage_replica(&self, number: usize, pool: &str) {
        let replica = &self.stage_replicas[number];
        let id = replica.id().borrow().clone();
        let before = &replica.options.id;
        if id.as_ref() != Some(before) {
            remove(&self.platform, &self.written, "servers", before).await;
        }
        if let Some(id) = id {
            let spec = server_spec(pool, replica.addr(), DEFAULT_VERSION, "ready");
            self.put("servers", &id, &spec).await;
        }
    }

    /// Removes the entry of a replica of the pool `stage`.
    pub async fn remove_stage_replica(&self, number: usize) {
        let id = &self.stage_replicas[number].options.id;
        remove(&self.platform, &self.written, "servers", id).await;
    }

    /// Asks the gateways to send nothing more to a data centre.
    pub async fn evacuate(&self, data_centre: &str) {
        self.put("evacuations", data_centre, &json!({})).await;
    }

    /// Takes an evacuation back.
    pub async fn end_evacuation(&self, data_centre: &str) {
        remove(&self.platform, &self.written, "evacuations", data_centre).await;
    }

    /// Sets the state with which a replica comes back after a crash, or that it does not.
    fn set_state_after_crash(&self, number: usize, state: Option<&str>) {
        let mut states = self.states_after_crash.lock().expect("no panic under the lock");
        states.insert(number, state.map(str::to_owned));
    }

    /// Publishes another start of a replica of the pool `app` under its id, with a software version.
    pub async fn set_replica_version(&mut self, number: usize, version: &str) {
        self.replica_versions[number] = version.to_owned();
        self.replica_starts[number] += 1;
        self.set_replica_state(number, "ready").await;
    }

    /// Returns the software versions of the replicas of the pool `app` that ran one of `requests`, each once.
    pub fn versions_of_runs(&self, requests: &[&str]) -> BTreeSet<&str> {
        let ran = |replica: &Replica| {
            replica.runs().iter().any(|run| requests.contains(&run.request.as_str()))
        };
        let versions = self.replicas.iter().zip(&self.replica_versions);
        versions.filter(|(replica, _)| ran(replica)).map(|(_, version)| version.as_str()).collect()
    }

    /// Removes the entry of a replica of the pool `app`.
    pub async fn remove_replica(&self, number: usize) {
        let id = self.replicas[number].id().borrow().clone();
        self.set_state_after_crash(number, None);
        if let Some(id) = id {
            remove(&self.platform, &self.written, "servers", &id).await;
        }
    }

    /// Starts another gateway and waits until it is ready.
    pub async fn add_gateway(&mut self) {
        let number = self.gateways.len();
        let gateway = self.spawn_gateway(number, self.store_addr, LINK_SECRET).await;
        self.gateways.push(gateway);
        self.wait_ready(number, true).await;
    }

    /// Starts another gateway that is cut off from the others: it and they refuse each other's links. It reaches the store.
    pub async fn add_gateway_without_links(&mut self) {
        let number = self.gateways.len();
        let gateway = self.spawn_gateway(number, self.store_addr, "another secret").await;
        self.gateways.push(gateway);
        self.wait_ready(number, true).await;
    }

    /// Writes again what the operator and the replicas wrote last, and removes the entries of removed replicas, as these do
    /// after a restore of the store.
    pub async fn write_again(&self) {
        let written = self.written.lock().expect("no panic under the lock").clone();
        for ((kind, name), value) in written {
            match value {
                Some(value) => self.put(&kind, &name, &value).await,
                None => {
                    let removed = self.platform.store.delete(&kind, &name, Expect::Any).await;
                    removed.expect("the in-memory store accepts a removal");
                }
            }
        }
    }

    async fn spawn_gateway(
        &self,
        number: usize,
        store_addr: SocketAddr,
        link_secret: &str,
    ) -> Gateway {
        let name = format!("gateway-{number}");
        let [addr, ready_addr, link_addr, metrics_addr] =
            std::array::from_fn(|_| process::free_addr());
        let store_relay = Relay::spawn(store_addr).await;
        let settings = self.folder.join(format!("{name}.toml"));
        let text = format!(
            "cluster = \"test\"\nname = \"{name}\"\ndata_centre = \"north\"\ncallers_address = \"{addr}\"\n\
             ready_address = \"{ready_addr}\"\nlink_address = \"{link_addr}\"\nmetrics_address = \"{metrics_addr}\"\n\
             store = \"{}\"\nlink_secret = \"{link_secret}\"\nweight = 0.2\nchange_bound_ms = 2000\nrevocation_ms = 5000\n\
             lapse_ms = 2200\nstop_s = 8\nretry_ratio = 0.2\nretry_window_s = 10.0\nretry_reserve = 60.0\n",
            store_relay.addr(),
        );
        std::fs::write(&settings, text).expect("settings are written");
        let process = self.start_process(&name, &settings);
        Gateway { process, addr, ready_addr, metrics_addr, store_relay, settings }
    }

    fn start_process(&self, name: &str, settings: &Path) -> Process {
        let log = self.folder.join(format!("{name}.log"));
        let args = self.options.iter().cloned().chain([settings.display().to_string()]);
        Process::start(name, &self.program, &Vec::from_iter(args), &log)
    }

    /// Starts a new process for a gateway, on the same ports.
    pub fn restart(&mut self, number: usize) {
        let settings = self.gateways[number].settings.clone();
        self.gateways[number].process = self.start_process(&format!("gateway-{number}"), &settings);
    }

    /// Kills all gateways at once, as a loss of power does, and with them all that they keep for each other in memory.
    pub fn kill_all(&mut self) {
        for gateway in &mut self.gateways {
            gateway.process.kill();
        }
    }

    /// Starts all gateways again and waits until they are ready.
    pub async fn restart_all(&mut self) {
        for number in 0..self.gateways.len() {
            self.restart(number);
        }
        for number in 0..self.gateways.len() {
            self.wait_ready(number, true).await;
        }
    }

    /// Waits until a gateway accepts connections from callers.
    pub async fn wait_listening(&self, number: usize) {
        let started = Instant::now();
        while tokio::net::TcpStream::connect(self.gateways[number].addr).await.is_err() {
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "gateway {number} does not accept connections"
            );
            time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Waits until the readiness endpoint of a gateway reports `is_ready`.
    pub async fn wait_ready(&self, number: usize, is_ready: bool) {
        let started = Instant::now();
        let url = format!("http://{}/readyz", self.gateways[number].ready_addr);
        loop {
            let response = reqwest::get(&url).await;
            if response.is_ok_and(|response| response.status().is_success()) == is_ready {
                return;
            }
            assert!(
                started.elapsed() < Duration::from_secs(20),
                "gateway {number} does not report ready = {is_ready}"
            );
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends a request to a gateway with the API key of the customer.
    pub async fn send_authorized(&self, number: usize, path: &str, request: &str) -> Response {
        self.send(number, path, request, &[("authorization", &format!("Bearer {API_KEY}"))]).await
    }

    /// Sends a request to a gateway with additional headers.
    pub async fn send(
        &self,
        number: usize,
        path: &str,
        request: &str,
        headers: &[(&str, &str)],
    ) -> Response {
        send(self.gateways[number].addr, path, request, headers).await
    }

    /// Sends requests to the gateways in turn for some time, over connections that are reused, and returns the responses.
    /// `pieces` is the header of that name, omitted if it is empty.
    pub async fn send_in_turn(
        &self,
        path: &'static str,
        pieces: &'static str,
        interval: Duration,
        duration: Duration,
    ) -> Vec<Response> {
        let client = reqwest::Client::builder().no_proxy().build();
        let client = client.expect("the HTTP client is built");
        let mut interval = time::interval(interval);
        let mut requests = JoinSet::new();
        let started = Instant::now();
        for number in 0.. {
            interval.tick().await;
            if started.elapsed() >= duration {
                break;
            }
            let (client, addr) = (client.clone(), self.gateways[number % self.gateways.len()].addr);
            requests.spawn(async move {
                let auth = format!("Bearer {API_KEY}");
                let request = format!("{number}-{}", started.elapsed().as_micros());
                let mut headers = vec![("authorization", auth.as_str())];
                if !pieces.is_empty() {
                    headers.push(("pieces", pieces));
                }
                send_with(&client, addr, path, &request, &headers).await
            });
        }
        requests.join_all().await
    }

    /// Returns how often the replicas of the pool `app` ran a request.
    pub fn run_count(&self, request: &str) -> usize {
        let runs = self.replicas.iter().flat_map(Replica::runs);
        runs.filter(|run| run.request == request).count()
    }
}

impl Drop for GatewayCluster {
    fn drop(&mut self) {
        self.gateways.clear();
        if !std::thread::panicking() && !self.keeps_logs {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

async fn put(platform: &Platform, written: &Mutex<Written>, kind: &str, name: &str, value: &Value) {
    let key = (kind.to_owned(), name.to_owned());
    written.lock().expect("no panic under the lock").insert(key, Some(value.clone()));
    let put = platform.store.put(kind, name, value.to_string(), Expect::Any).await;
    put.expect("the in-memory store accepts a small object");
}

async fn remove(platform: &Platform, written: &Mutex<Written>, kind: &str, name: &str) {
    let key = (kind.to_owned(), name.to_owned());
    written.lock().expect("no panic under the lock").insert(key, None);
    let removed = platform.store.delete(kind, name, Expect::Any).await;
    removed.expect("the in-memory store accepts a removal");
}

/// Keeps the entry of a replica that may crash.
struct EntryKeeper {
    number: usize,
    relay: Relay,
    platform: Arc<Platform>,
    written: Arc<Mutex<Written>>,
    states_after_crash: Arc<Mutex<StatesAfterCrash>>,
}

impl EntryKeeper {
    /// Takes the relay of the replica down while it is gone after a crash, lets the entry in the store expire, and writes one
    /// for the ID under which the replica comes back.
    async fn run(self, mut id: watch::Receiver<Option<String>>) {
        loop {
            let Some(gone) = id.borrow_and_update().clone() else { return };
            if id.wait_for(Option::is_none).await.is_err() {
                return;
            }
            self.relay.set_down(true);
            time::sleep(EXPIRY).await;
            let entry = self.written_entry(&gone);
            remove(&self.platform, &self.written, "servers", &gone).await;
            let back = match id.wait_for(Option::is_some).await {
                Ok(back) => back.clone().unwrap_or_default(),
                Err(_) => return,
            };
            self.relay.set_down(false);
            if let (Some(mut entry), Some(state)) = (entry, self.state_after_crash()) {
                entry["state"] = json!(state);
                put(&self.platform, &self.written, "servers", &back, &entry).await;
            }
        }
    }

    fn written_entry(&self, id: &str) -> Option<Value> {
        let written = self.written.lock().expect("no panic under the lock");
        written.get(&("servers".to_owned(), id.to_owned())).cloned().flatten()
    }

    fn state_after_crash(&self) -> Option<String> {
        let states = self.states_after_crash.lock().expect("no panic under the lock");
        states.get(&self.number).cloned().flatten()
    }
}

fn spawn_replica(id: &str) -> Replica {
    let options = Options {
        id: id.to_owned(),
        events: STREAM_EVENTS,
        response_delay: Duration::from_millis(15),
        stage_call_duration: Duration::from_millis(40),
    };
    Replica::spawn(process::free_listener(), options)
}

fn server_spec(pool: &str, addr: SocketAddr, version: &str, state: &str) -> Value {
    json!({
        "service": pool, "address": addr, "zone": "north", "version": version, "slots": 8, "state": state,
        "coldRemainingMs": 0, "sequence": 1, "born": 1,
    })
}

/// Sends a request to a gateway over a new connection.
pub async fn send(
    addr: SocketAddr,
    path: &str,
    request: &str,
    headers: &[(&str, &str)],
) -> Response {
    let client = reqwest::Client::builder().pool_max_idle_per_host(0).no_proxy().build();
    send_with(&client.expect("the HTTP client is built"), addr, path, request, headers).await
}

/// Sends a request to a gateway with a client, which may reuse its connections.
pub async fn send_with(
    client: &reqwest::Client,
    addr: SocketAddr,
    path: &str,
    request: &str,
    headers: &[(&str, &str)],
) -> Response {
    send_until(client, addr, path, request, headers, usize::MAX).await
}

/// As [`send_with`], but closes the connection after `max_events` events.
pub async fn send_until(
    client: &reqwest::Client,
    addr: SocketAddr,
    path: &str,
    request: &str,
    headers: &[(&str, &str)],
    max_events: usize,
) -> Response {
    send_body(client, addr, path, request, headers, "body", max_events).await
}

/// As [`send_until`], with a body.
pub async fn send_body(
    client: &reqwest::Client,
    addr: SocketAddr,
    path: &str,
    request: &str,
    headers: &[(&str, &str)],
    body: &str,
    max_events: usize,
) -> Response {
    let req = build(client, addr, path, request, headers).body(body.to_owned());
    receive(req, max_events).await
}

fn build(
    client: &reqwest::Client,
    addr: SocketAddr,
    path: &str,
    request: &str,
    headers: &[(&str, &str)],
) -> reqwest::RequestBuilder {
    let mut req = client
        .post(format!("http://{addr}{path}"))
        .header("host", ROUTE_HOST)
        .header("attempt-id", request)
        .header("deadline-ms", "4000")
        .header("piece-key", "k");
    for (name, value) in headers {
        req = req.header(*name, *value);
    }
    req
}

async fn receive(req: reqwest::RequestBuilder, max_events: usize) -> Response {
    let Ok(mut raw) = req.send().await else { return Response::default() };
    let header = |name: &str| {
        raw.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
    };
    let mut response = Response {
        status: Some(raw.status().as_u16()),
        retry_after: header("retry-after").and_then(|value| value.parse().ok()),
        signature: header("replica-seal"),
        ..Response::default()
    };
    while response.body.matches("\n\n").count() < max_events {
        match raw.chunk().await {
            Ok(Some(chunk)) => response.body.push_str(&String::from_utf8_lossy(&chunk)),
            Ok(None) => {
                response.is_complete = true;
                return response;
            }
            Err(_) => return response,
        }
    }
    response
}
