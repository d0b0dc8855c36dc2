//! The platform: its metadata store in the published form, a lagging VM list, rates, and outages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use marigold_objects::memory::MemoryStore;
use marigold_objects::{Error, Expect, Object, Store, VM_KIND, Version, Vm};
use parking_lot::Mutex;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{State, delete, get, post, put, routes};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::host::{self, Host};

/// Rates and lags.
#[derive(Clone, Debug)]
pub struct Options {
    /// Reads a second; a waiting watch counts as one call.
    pub reads_per_s: f64,
    /// Writes a second.
    pub writes_per_s: f64,
    /// Age of the VM list in milliseconds.
    pub vm_lag_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { reads_per_s: 2_000.0, writes_per_s: 500.0, vm_lag_ms: 2_000 }
    }
}

/// Faults that can be put in while the platform runs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Every call fails.
    pub down: bool,
    /// Added to every call, in milliseconds.
    pub slow_ms: u64,
    /// Answers to writes that are lost after the write took effect.
    pub lose_answers: u32,
    /// The history of changes up to now is dropped.
    pub forget_history: bool,
}

/// Calls so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Reads, watches among them.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Writes.
    pub writes: u64,
    /// Calls refused for their rate.
    pub refused: u64,
    /// Most calls seen in one second.
    pub peak_per_s: u64,
}

struct Bucket {
    tokens: f64,
    rate: f64,
    at: Instant,
}

impl Bucket {
    fn new(rate: f64) -> Self {
        Self { tokens: rate, rate, at: Instant::now() }
    }

    fn take(&mut self) -> bool {
        let now = Instant::now();
        self.tokens = (self.tokens + (now - self.at).as_secs_f64() * self.rate).min(self.rate);
        self.at = now;
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}

/// State of the platform.
pub struct Platform {
    /// The objects.
    pub store: MemoryStore,
    faults: Mutex<Faults>,
    counts: Mutex<Counts>,
    second: Mutex<(u64, u64)>,
    reads: Mutex<Bucket>,
    writes: Mutex<Bucket>,
    started: Instant,
    vm_lag: Duration,
}

impl Platform {
    /// Puts faults in.
    pub fn set_faults(&self, faults: Faults) {
        if faults.forget_history {
            self.store.forget_history();
        }
        *self.faults.lock() = faults;
    }

    /// Calls so far.
    pub fn counts(&self) -> Counts {
        *self.counts.lock()
    }

    /// Sets the VM list, which is seen after its lag.
    pub fn set_vms(self: &Arc<Self>, vms: Vec<Vm>) {
        let platform = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(platform.vm_lag).await;
            for vm in vms {
                let text = serde_json::to_string(&vm).expect("a VM can be written as JSON");
                let written = platform.store.put(VM_KIND, &vm.name, text, Expect::Any).await;
                written.expect("the store in memory takes every small object");
            }
        });
    }

    async fn enter(&self, is_write: bool) -> Result<(), Status> {
        self.count_second();
        let has_token = if is_write { self.writes.lock().take() } else { self.reads.lock().take() };
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
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        if faults.down {
            return Err(Status::ServiceUnavailable);
        }
        if has_token { Ok(()) } else { Err(Status::TooManyRequests) }
    }

    fn count_second(&self) {
        let now = self.started.elapsed().as_secs();
        let mut second = self.second.lock();
        if second.0 != now {
            *second = (now, 0);
        }
        second.1 += 1;
        let mut counts = self.counts.lock();
        counts.peak_per_s = counts.peak_per_s.max(second.1);
    }

    fn is_answer_lost(&self) -> bool {
        let mut faults = self.faults.lock();
        let is_lost = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        is_lost
    }
}

/// An object as the store shows it; its value is kept as JSON text.
fn stored(object: &Object) -> Value {
    let spec = object.value.as_deref().and_then(|text| serde_json::from_str::<Value>(text).ok());
    json!({
        "metadata": {
            "name": object.name,
            "revision": object.version,
            "createRevision": object.version,
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
    revision: Option<Version>,
}

#[derive(Deserialize)]
struct Written {
    metadata: Metadata,
    spec: Value,
}

type Reply = (Status, Json<Value>);

fn status(status: Status) -> Reply {
    (status, Json(Value::Null))
}

async fn store_object(
    platform: &Platform,
    kind: &str,
    name: &str,
    spec: Value,
    expect: Expect,
) -> Reply {
    if let Err(refused) = platform.enter(true).await {
        return status(refused);
    }
    let value = spec.to_string();
    let written = platform.store.put(kind, name, value.clone(), expect).await;
    if platform.is_answer_lost() {
        return status(Status::GatewayTimeout);
    }
    match written {
        Ok(version) => {
            let object = Object { name: name.to_owned(), version, value: Some(value) };
            (Status::Ok, Json(stored(&object)))
        }
        Err(Error::Conflict { .. }) => match platform.store.get(kind, name).await {
            Ok(Some(object)) => (Status::Conflict, Json(stored(&object))),
            _ => status(Status::NotFound),
        },
        Err(Error::TooLarge { .. }) => status(Status::PayloadTooLarge),
        Err(Error::Unavailable { .. } | Error::HistoryExpired { .. }) => {
            status(Status::ServiceUnavailable)
        }
    }
}

#[post("/objects/<kind>", data = "<object>")]
async fn create(platform: &State<Arc<Platform>>, kind: &str, object: Json<Written>) -> Reply {
    let Written { metadata, spec } = object.into_inner();
    let Some(name) = metadata.name else { return status(Status::BadRequest) };
    store_object(platform, kind, &name, spec, Expect::Absent).await
}

#[put("/objects/<kind>/<name>", data = "<object>")]
async fn replace(
    platform: &State<Arc<Platform>>,
    kind: &str,
    name: &str,
    object: Json<Written>,
) -> Reply {
    let Written { metadata, spec } = object.into_inner();
    let expect = match platform.store.get(kind, name).await {
        Ok(Some(found)) => Expect::Version(metadata.revision.unwrap_or(found.version)),
        _ => return status(Status::NotFound),
    };
    store_object(platform, kind, name, spec, expect).await
}

#[get("/objects/<kind>/<name>")]
async fn read(platform: &State<Arc<Platform>>, kind: &str, name: &str) -> Reply {
    if let Err(refused) = platform.enter(false).await {
        return status(refused);
    }
    match platform.store.get(kind, name).await {
        Ok(Some(object)) => (Status::Ok, Json(stored(&object))),
        Ok(None) => status(Status::NotFound),
        Err(_) => status(Status::InternalServerError),
    }
}

#[delete("/objects/<kind>/<name>")]
async fn remove(platform: &State<Arc<Platform>>, kind: &str, name: &str) -> Result<(), Status> {
    platform.enter(true).await?;
    platform.store.delete(kind, name).await.map_err(|_| Status::InternalServerError)
}

/// Objects in one page of a list.
const PAGE: usize = 500;

#[get("/objects/<kind>?<after>&<watch>&<waitMs>")]
#[allow(non_snake_case, reason = "the store's published names")]
async fn list_or_watch(
    platform: &State<Arc<Platform>>,
    kind: &str,
    after: Option<&str>,
    watch: Option<Version>,
    waitMs: Option<u64>,
) -> Reply {
    if let Err(refused) = platform.enter(false).await {
        return status(refused);
    }
    let wait = Duration::from_millis(waitMs.unwrap_or(0).min(30_000));
    if watch.is_some() {
        platform.counts.lock().watches += 1;
    }
    let changes = match platform.store.watch(kind, watch.unwrap_or(0), wait).await {
        Ok(changes) => changes,
        Err(Error::HistoryExpired { .. }) => return status(Status::Gone),
        Err(_) => return status(Status::InternalServerError),
    };
    if platform.faults.lock().down {
        return status(Status::ServiceUnavailable);
    }
    let body = if watch.is_some() {
        let event = |object: &Object| json!({ "removed": object.value.is_none(), "object": stored(object) });
        let events: Vec<Value> = changes.objects.iter().map(event).collect();
        json!({ "events": events, "storeRevision": changes.version })
    } else {
        let rest = changes
            .objects
            .iter()
            .filter(|object| after.is_none_or(|after| object.name.as_str() > after));
        let mut items: Vec<Value> = rest.take(PAGE + 1).map(stored).collect();
        let has_more = items.len() > PAGE;
        items.truncate(PAGE);
        json!({ "items": items, "hasMore": has_more, "storeRevision": changes.version })
    };
    (Status::Ok, Json(body))
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

/// Starts a platform.
///
/// # Errors
/// What `rocket` says when it cannot start.
pub async fn spawn(
    addr: SocketAddr,
    options: Options,
) -> Result<(Host, Arc<Platform>), Box<rocket::Error>> {
    let platform = Arc::new(Platform {
        store: MemoryStore::default(),
        faults: Mutex::default(),
        counts: Mutex::default(),
        second: Mutex::default(),
        reads: Mutex::new(Bucket::new(options.reads_per_s)),
        writes: Mutex::new(Bucket::new(options.writes_per_s)),
        started: Instant::now(),
        vm_lag: Duration::from_millis(options.vm_lag_ms),
    });
    let rocket = rocket::custom(host::config(addr)).manage(platform.clone()).mount(
        "/",
        routes![read, create, replace, remove, list_or_watch, set_vms, set_faults, counts],
    );
    Ok((Host::spawn(rocket).await?, platform))
}
