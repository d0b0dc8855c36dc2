//! The platform: its object store over HTTP, a delayed VM list, rate limits and outages.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use marigold_objects::memory::MemoryStore;
use marigold_objects::{Error, Expect, Object, Store, VM_KIND, Version, Vm};
use marigold_process::http::Server;
use parking_lot::Mutex;
use rocket::fairing::AdHoc;
use rocket::http::{ContentType, Status};
use rocket::serde::json::Json;
use rocket::{State, delete, get, post, put, routes};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::server;

/// Configuration of the platform.
#[derive(Clone, Debug)]
pub struct Options {
    /// Limit of reads per second; a long-polling watch counts as one read.
    pub reads_per_s: f64,
    /// Limit of writes per second.
    pub writes_per_s: f64,
    /// Delay of changes to the VM list in milliseconds.
    pub vm_lag_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { reads_per_s: 2_000.0, writes_per_s: 500.0, vm_lag_ms: 2_000 }
    }
}

/// Faults that can be injected while the platform runs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Whether every call fails.
    pub down: bool,
    /// Whether calls are accepted and never answered, also after the fault has ended.
    pub swallows_calls: bool,
    /// Delay added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Number of writes whose response is replaced by a timeout after the write was processed.
    pub lose_answers: u32,
    /// Whether the history of changes up to this call is dropped.
    pub forget_history: bool,
    /// Kind of objects of which lists and watches fail.
    pub refused_kind: Option<String>,
}

/// Counts of calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads, including watches.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Writes.
    pub writes: u64,
    /// Calls refused by a rate limit.
    pub refused: u64,
    /// Largest number of calls within one second.
    pub peak_per_s: u64,
}

/// Begin of a value, as JSON, in place of which raw bytes are sent.
const RAW_SPEC: &str = "\"raw spec ";

/// Token bucket that holds the tokens of one second at most.
struct TokenBucket {
    tokens: f64,
    rate: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: f64) -> Self {
        Self { tokens: rate, rate, refilled_at: Instant::now() }
    }

    fn try_acquire(&mut self) -> bool {
        let now = Instant::now();
        self.tokens =
            (self.tokens + (now - self.refilled_at).as_secs_f64() * self.rate).min(self.rate);
        self.refilled_at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// State of the platform.
pub struct Platform {
    /// Objects of the store.
    pub store: MemoryStore,
    faults: Mutex<Faults>,
    counts: Mutex<Counts>,
    /// Seconds since the start, and the number of calls in the current second.
    current_second: Mutex<(u64, u64)>,
    read_limit: Mutex<TokenBucket>,
    write_limit: Mutex<TokenBucket>,
    started: Instant,
    vm_lag: Duration,
    /// Bytes that lists and watches contain in place of a stored value, by that value.
    raw_specs: Mutex<HashMap<String, Vec<u8>>>,
}

impl Platform {
    /// Writes an object whose `spec` is `raw` in lists and watches, which need not be JSON.
    pub async fn put_raw(&self, kind: &str, name: &str, raw: &[u8]) {
        let placeholder = {
            let mut raw_specs = self.raw_specs.lock();
            let placeholder = format!("{RAW_SPEC}{}\"", raw_specs.len());
            raw_specs.insert(placeholder.clone(), raw.to_vec());
            placeholder
        };
        let put = self.store.put(kind, name, placeholder, Expect::Any).await;
        put.expect("the in-memory store accepts a small object");
    }

    /// Returns a response with the raw bytes of objects in the places of their values.
    fn to_bytes(&self, response: &Value) -> Vec<u8> {
        let raw_specs = self.raw_specs.lock();
        let text = response.to_string();
        let (mut rest, mut bytes) = (text.as_str(), Vec::new());
        while let Some(at) = rest.find(RAW_SPEC) {
            let (before, placeholder) = rest.split_at(at);
            let length =
                RAW_SPEC.len() + placeholder[RAW_SPEC.len()..].find('"').map_or(0, |at| at + 1);
            let (placeholder, after) = placeholder.split_at(length);
            let raw = raw_specs.get(placeholder).map_or(placeholder.as_bytes(), Vec::as_slice);
            bytes.extend_from_slice(before.as_bytes());
            bytes.extend_from_slice(raw);
            rest = after;
        }
        bytes.extend_from_slice(rest.as_bytes());
        bytes
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        if faults.forget_history {
            self.store.forget_history();
        }
        *self.faults.lock() = faults;
    }

    /// Returns the counts of calls since the start.
    pub fn counts(&self) -> Counts {
        *self.counts.lock()
    }

    /// Writes VMs to the VM list after its delay.
    pub fn set_vms(self: &Arc<Self>, vms: Vec<Vm>) {
        let platform = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(platform.vm_lag).await;
            for vm in vms {
                let text = serde_json::to_string(&vm).expect("a VM is serialised as JSON");
                let written = platform.store.put(VM_KIND, &vm.name, text, Expect::Any).await;
                written.expect("the in-memory store accepts a small object");
            }
        });
    }

    /// Counts a call and applies the rate limits and faults to it.
    async fn admit(&self, is_write: bool) -> Result<(), Status> {
        self.count_call();
        let has_token = if is_write {
            self.write_limit.lock().try_acquire()
        } else {
            self.read_limit.lock().try_acquire()
        };
        {
            let mut counts = self.counts.lock();
            if is_write {
                counts.writes += 1;
            } else {
                counts.reads += 1;
            }
            counts.refused += u64::from(!has_token);
        }
        let faults = self.faults.lock().clone();
        if faults.swallows_calls {
            std::future::pending::<()>().await;
        }
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Err(Status::ServiceUnavailable);
        }
        if has_token { Ok(()) } else { Err(Status::TooManyRequests) }
    }

    fn count_call(&self) {
        let now = self.started.elapsed().as_secs();
        let mut second = self.current_second.lock();
        if second.0 != now {
            *second = (now, 0);
        }
        second.1 += 1;
        let mut counts = self.counts.lock();
        counts.peak_per_s = counts.peak_per_s.max(second.1);
    }

    fn consume_lost_response(&self) -> bool {
        let mut faults = self.faults.lock();
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    }
}

/// Returns the representation of an object in the API; its value is stored as JSON text.
fn object_json(object: &Object) -> Value {
    let spec = object.value.as_deref().and_then(|text| serde_json::from_str::<Value>(text).ok());
    json!({
        "metadata": {
            "name": object.name,
            "revision": object.version.revision,
            "createRevision": object.version.revision,
            "finalizers": [],
            "deleting": false,
        },
        "spec": spec,
        "status": null,
    })
}

#[derive(Deserialize)]
struct Metadata {
    name: Option<String>,
    revision: Option<u64>,
}

#[derive(Deserialize)]
struct ObjectBody {
    metadata: Metadata,
    spec: Value,
}

type Response = (Status, Json<Value>);

fn empty_response(status: Status) -> Response {
    (status, Json(Value::Null))
}

/// Returns the response to a write whose condition does not hold, which has the object.
async fn conflict(platform: &Platform, kind: &str, name: &str) -> Response {
    match platform.store.get(kind, name).await {
        Ok(Some(object)) => (Status::Conflict, Json(object_json(&object))),
        _ => empty_response(Status::NotFound),
    }
}

async fn put_object(
    platform: &Platform,
    kind: &str,
    name: &str,
    spec: Value,
    expect: Expect,
) -> Response {
    if let Err(refused) = platform.admit(true).await {
        return empty_response(refused);
    }
    let value = spec.to_string();
    let written = platform.store.put(kind, name, value.clone(), expect).await;
    if platform.consume_lost_response() {
        return empty_response(Status::GatewayTimeout);
    }
    match written {
        Ok(version) => {
            let object = Object { name: name.to_owned(), version, value: Some(value) };
            (Status::Ok, Json(object_json(&object)))
        }
        Err(Error::Conflict { .. }) => conflict(platform, kind, name).await,
        Err(Error::TooLarge { .. }) => empty_response(Status::PayloadTooLarge),
        Err(Error::TooManyCalls { .. }) => empty_response(Status::TooManyRequests),
        Err(Error::Unavailable { .. } | Error::HistoryExpired { .. }) => {
            empty_response(Status::ServiceUnavailable)
        }
    }
}

#[post("/objects/<kind>", data = "<object>")]
async fn create(platform: &State<Arc<Platform>>, kind: &str, object: Json<ObjectBody>) -> Response {
    let ObjectBody { metadata, spec } = object.into_inner();
    let Some(name) = metadata.name else { return empty_response(Status::BadRequest) };
    put_object(platform, kind, &name, spec, Expect::Absent).await
}

#[put("/objects/<kind>/<name>", data = "<object>")]
async fn replace(
    platform: &State<Arc<Platform>>,
    kind: &str,
    name: &str,
    object: Json<ObjectBody>,
) -> Response {
    let ObjectBody { metadata, spec } = object.into_inner();
    let expect = match platform.store.get(kind, name).await {
        Ok(Some(found)) => {
            let revision = metadata.revision.unwrap_or(found.version.revision);
            Expect::Version(Version { revision, ..found.version })
        }
        _ => return empty_response(Status::NotFound),
    };
    put_object(platform, kind, name, spec, expect).await
}

#[get("/objects/<kind>/<name>")]
async fn read(platform: &State<Arc<Platform>>, kind: &str, name: &str) -> Response {
    if let Err(refused) = platform.admit(false).await {
        return empty_response(refused);
    }
    match platform.store.get(kind, name).await {
        Ok(Some(object)) => (Status::Ok, Json(object_json(&object))),
        Ok(None) => empty_response(Status::NotFound),
        Err(_) => empty_response(Status::InternalServerError),
    }
}

#[delete("/objects/<kind>/<name>?<revision>")]
async fn remove(
    platform: &State<Arc<Platform>>,
    kind: &str,
    name: &str,
    revision: Option<u64>,
) -> Response {
    if let Err(refused) = platform.admit(true).await {
        return empty_response(refused);
    }
    let era = platform.store.version().era;
    let expect =
        revision.map_or(Expect::Any, |revision| Expect::Version(Version { era, revision }));
    match platform.store.delete(kind, name, expect).await {
        Ok(()) => empty_response(Status::Ok),
        Err(Error::Conflict { .. }) => conflict(platform, kind, name).await,
        Err(_) => empty_response(Status::InternalServerError),
    }
}

/// Largest number of objects in a page of a list.
const PAGE_SIZE: usize = 500;

#[get("/objects/<kind>?<after>&<watch>&<waitMs>")]
#[allow(non_snake_case, reason = "names of query parameters of the store API")]
async fn list_or_watch(
    platform: &State<Arc<Platform>>,
    kind: &str,
    after: Option<&str>,
    watch: Option<u64>,
    waitMs: Option<u64>,
) -> Result<(ContentType, Vec<u8>), Status> {
    platform.admit(false).await?;
    if platform.faults.lock().refused_kind.as_deref() == Some(kind) {
        return Err(Status::ServiceUnavailable);
    }
    let wait = Duration::from_millis(waitMs.unwrap_or(0).min(30_000));
    if watch.is_some() {
        platform.counts.lock().watches += 1;
    }
    // A revision has the era of the store: that of an older era cannot be told apart.
    let era = platform.store.version().era;
    let watched = watch.map_or(Version::default(), |revision| Version { era, revision });
    let changes = match platform.store.watch(kind, watched, wait).await {
        Ok(changes) => changes,
        Err(Error::HistoryExpired { .. }) => return Err(Status::Gone),
        Err(_) => return Err(Status::InternalServerError),
    };
    if platform.faults.lock().down {
        return Err(Status::ServiceUnavailable);
    }
    let body = if watch.is_some() {
        let event = |object: &Object| json!({ "removed": object.value.is_none(), "object": object_json(object) });
        let events: Vec<Value> = changes.objects.iter().map(event).collect();
        json!({ "events": events, "storeRevision": changes.version.revision })
    } else {
        let remaining = changes
            .objects
            .iter()
            .filter(|object| after.is_none_or(|after| object.name.as_str() > after));
        let mut items: Vec<Value> = remaining.take(PAGE_SIZE + 1).map(object_json).collect();
        let has_more = items.len() > PAGE_SIZE;
        items.truncate(PAGE_SIZE);
        json!({ "items": items, "hasMore": has_more, "storeRevision": changes.version.revision })
    };
    Ok((ContentType::JSON, platform.to_bytes(&body)))
}

#[put("/vms", data = "<vms>")]
fn set_vms(platform: &State<Arc<Platform>>, vms: Json<Vec<Vm>>) {
    platform.set_vms(vms.into_inner());
}

#[put("/faults", data = "<faults>")]
fn set_faults(platform: &State<Arc<Platform>>, faults: Json<Faults>) {
    platform.set_faults(faults.into_inner());
}

#[get("/counts")]
fn counts(platform: &State<Arc<Platform>>) -> Json<Counts> {
    Json(platform.counts())
}

/// Starts a platform on an address.
///
/// # Errors
/// As [`Server::spawn`].
pub async fn spawn(addr: SocketAddr, options: Options) -> anyhow::Result<(Server, Arc<Platform>)> {
    let platform = Arc::new(Platform {
        store: MemoryStore::default(),
        faults: Mutex::default(),
        counts: Mutex::default(),
        current_second: Mutex::default(),
        read_limit: Mutex::new(TokenBucket::new(options.reads_per_s)),
        write_limit: Mutex::new(TokenBucket::new(options.writes_per_s)),
        started: Instant::now(),
        vm_lag: Duration::from_millis(options.vm_lag_ms),
        raw_specs: Mutex::default(),
    });
    let (manages, answers) = (platform.clone(), platform.clone());
    let era = AdHoc::on_response("era of the store", move |_, response| {
        let era = answers.store.version().era;
        Box::pin(async move {
            response.set_raw_header("Store-Era", era.to_string());
        })
    });
    let rocket = rocket::custom(server::config(addr)).manage(manages).attach(era).mount(
        "/",
        routes![read, create, replace, remove, list_or_watch, set_vms, set_faults, counts],
    );
    Ok((Server::spawn(rocket).await?, platform))
}
