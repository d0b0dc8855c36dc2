//! A model engine with continuous batching, a bounded prefix cache, priorities, resumable streams and delayed load
//! reports.

mod batch;
mod cache;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use marigold_process::http::Server;
use parking_lot::Mutex;
use rocket::http::Status;
use rocket::response::stream::TextStream;
use rocket::serde::json::Json;
use rocket::{State, delete, get, post, put, routes};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::mpsc;

use crate::runs::{self, RunCounts};
use crate::server;
use batch::{Batch, Sequence};

/// Configuration of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    /// Largest number of sequences in a batch.
    pub max_batch: usize,
    /// Duration of a step with an empty batch, in milliseconds.
    pub step_ms: f64,
    /// Additional duration of a step for each sequence, in milliseconds.
    pub step_per_sequence_ms: f64,
    /// Prefill steps before the first token of a prompt whose prefix is not cached.
    pub prefill_steps: u32,
    /// Capacity of the prefix cache, in prefixes.
    pub cached_prefixes: usize,
    /// Delay of load reports in milliseconds.
    pub report_lag_ms: u64,
    /// Whether orders with a lower fencing token than an earlier order are refused.
    pub checks_fencing: bool,
    /// Time to load a model in milliseconds.
    pub load_ms: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_batch: 32,
            step_ms: 4.0,
            step_per_sequence_ms: 0.1,
            prefill_steps: 4,
            cached_prefixes: 64,
            report_lag_ms: 200,
            checks_fencing: true,
            load_ms: 300,
        }
    }
}

/// Faults that can be injected while the engine runs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Factor on the duration of every step; zero stands for one.
    pub slow: f64,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of sequences in the batch.
    pub running: usize,
    /// Number of sequences that wait for the batch.
    pub queued: usize,
}

/// A control command to the engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token of the sender.
    pub fencing: u64,
    /// Action, such as `load`, `adapter`, `version` or `role`.
    pub action: String,
    /// Argument of the action, such as the name of the model.
    pub value: String,
}

/// A running engine.
pub struct Engine {
    options: Options,
    batch: Batch,
    faults: Mutex<Faults>,
    reported: Mutex<LoadReport>,
    /// Highest fencing token received.
    fencing: AtomicU64,
    orders: Mutex<Vec<Order>>,
    model: Mutex<String>,
    /// Number of runs by operation.
    pub runs: RunCounts,
}

impl Engine {
    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }

    /// Returns the numbers of tokens generated and sequences cancelled since the start.
    pub fn totals(&self) -> (u64, u64) {
        self.batch.totals()
    }

    fn step_duration(&self, sequences: usize) -> Duration {
        let slow = self.faults.lock().slow;
        let factor = if slow > 0.0 { slow } else { 1.0 };
        let millis = self.options.step_ms + self.options.step_per_sequence_ms * sequences as f64;
        Duration::from_secs_f64(millis / 1e3 * factor)
    }
}

/// Body of a request to generate tokens.
#[derive(Clone, Debug, Deserialize)]
struct GenerateRequest {
    request: String,
    #[serde(default)]
    max_tokens: u32,
    #[serde(default)]
    priority: u8,
    #[serde(default)]
    resume_from: u32,
}

#[post("/v1/generate", data = "<body>")]
fn generate(engine: &State<Arc<Engine>>, body: Json<Value>) -> Result<TextStream![String], Status> {
    let req: GenerateRequest =
        serde_json::from_value(body.0.clone()).map_err(|_| Status::BadRequest)?;
    engine.runs.increment(&body);
    let digest = runs::input_digest(&body);
    let prefix =
        body.pointer("/input/prefix").and_then(Value::as_str).unwrap_or(&digest).to_owned();
    let (tx, mut rx) = mpsc::unbounded_channel();
    engine.batch.add(Sequence {
        request: req.request,
        priority: req.priority,
        next: req.resume_from,
        end: req.max_tokens,
        prefix,
        prefill_left: 0,
        tokens: tx,
    });
    Ok(TextStream! {
        let mut sent = 0;
        while let Some(index) = rx.recv().await {
            sent += 1;
            let separator = if index == 0 { "" } else { " " };
            yield format!("{}\n", json!({ "index": index, "text": format!("{separator}{digest}.{index}") }));
        }
        yield format!("{}\n", json!({ "done": true, "tokens": sent }));
    })
}

#[delete("/v1/requests/<request>")]
fn cancel(engine: &State<Arc<Engine>>, request: &str) {
    engine.batch.cancel(request);
}

#[get("/v1/load")]
fn load(engine: &State<Arc<Engine>>) -> Json<LoadReport> {
    Json(*engine.reported.lock())
}

#[get("/v1/cache-events?<after>")]
fn cache_events(engine: &State<Arc<Engine>>, after: u64) -> Json<Vec<cache::Event>> {
    Json(engine.batch.cache_events(after))
}

#[post("/v1/orders", data = "<order>")]
async fn order(engine: &State<Arc<Engine>>, order: Json<Order>) -> Status {
    let highest_fencing = engine.fencing.fetch_max(order.fencing, Ordering::SeqCst);
    if engine.options.checks_fencing && order.fencing < highest_fencing {
        return Status::Conflict;
    }
    if order.action == "load" {
        tokio::time::sleep(Duration::from_millis(engine.options.load_ms)).await;
        *engine.model.lock() = order.value.clone();
    }
    engine.orders.lock().push(order.into_inner());
    Status::Ok
}

#[get("/v1/model")]
fn model(engine: &State<Arc<Engine>>) -> Json<Value> {
    Json(json!({ "model": *engine.model.lock() }))
}

#[get("/orders")]
fn all_orders(engine: &State<Arc<Engine>>) -> Json<Vec<Order>> {
    Json(engine.orders.lock().clone())
}

#[get("/runs")]
fn all_runs(engine: &State<Arc<Engine>>) -> Json<BTreeMap<String, u64>> {
    Json(engine.runs.all())
}

#[put("/faults", data = "<faults>")]
fn set_faults(engine: &State<Arc<Engine>>, faults: Json<Faults>) {
    engine.set_faults(faults.into_inner());
}

async fn run_steps(engine: Arc<Engine>) {
    loop {
        let sequences = engine.batch.fill().await;
        tokio::time::sleep(engine.step_duration(sequences)).await;
        engine.batch.step();
    }
}

async fn report_load(engine: Arc<Engine>) {
    loop {
        let report = engine.batch.load();
        tokio::time::sleep(Duration::from_millis(engine.options.report_lag_ms.max(1))).await;
        *engine.reported.lock() = report;
    }
}

/// Starts an engine on an address.
///
/// # Errors
/// As [`Server::spawn`].
pub async fn spawn(addr: SocketAddr, options: Options) -> anyhow::Result<(Server, Arc<Engine>)> {
    let engine = Arc::new(Engine {
        batch: Batch::new(options.max_batch, options.prefill_steps, options.cached_prefixes),
        faults: Mutex::default(),
        reported: Mutex::default(),
        fencing: AtomicU64::new(0),
        orders: Mutex::default(),
        model: Mutex::default(),
        runs: RunCounts::default(),
        options,
    });
    tokio::spawn(run_steps(engine.clone()));
    tokio::spawn(report_load(engine.clone()));
    let rocket = rocket::custom(server::config(addr)).manage(engine.clone()).mount(
        "/",
        routes![
            generate,
            cancel,
            load,
            cache_events,
            order,
            model,
            all_orders,
            all_runs,
            set_faults
        ],
    );
    Ok((Server::spawn(rocket).await?, engine))
}
