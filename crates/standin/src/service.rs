//! A plain service, such as an encoder, a retriever or a reranker.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use marigold_process::http::Server;
use parking_lot::Mutex;
use rand::{Rng as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rocket::http::Status;
use rocket::serde::json::Json;
use rocket::{State, get, post, put, routes};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Semaphore;

use crate::runs::{self, RunCounts};
use crate::server;

/// Configuration of a service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Options {
    /// Largest number of calls that run at the same time; further calls wait.
    pub concurrency: usize,
    /// Mean duration of a call in milliseconds.
    pub duration_ms: f64,
    /// Seed of the random durations and failures.
    pub seed: u64,
}

/// Faults that can be injected while the service runs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Factor on the duration of every call; zero stands for one.
    pub slow: f64,
    /// Fraction of calls that fail with status 500 without a run.
    pub fail_share: f64,
}

/// State of a service.
pub struct Service {
    options: Options,
    slots: Semaphore,
    faults: Mutex<Faults>,
    rng: Mutex<ChaCha8Rng>,
    /// Number of runs by operation.
    pub runs: RunCounts,
}

impl Service {
    fn new(options: Options) -> Arc<Self> {
        Arc::new(Self {
            slots: Semaphore::new(options.concurrency),
            faults: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(options.seed)),
            runs: RunCounts::default(),
            options,
        })
    }

    /// Draws a duration between 0.5 and 1.5 times the mean.
    fn draw_duration(&self) -> Duration {
        let unit = f64::from(self.rng.lock().next_u32()) / f64::from(u32::MAX);
        let slow = self.faults.lock().slow;
        let factor = if slow > 0.0 { slow } else { 1.0 };
        Duration::from_secs_f64(self.options.duration_ms / 1e3 * (0.5 + unit) * factor)
    }

    fn draw_failure(&self) -> bool {
        let unit = f64::from(self.rng.lock().next_u32()) / f64::from(u32::MAX);
        unit < self.faults.lock().fail_share
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
    }
}

#[post("/v1/<_>", data = "<body>")]
async fn call(service: &State<Arc<Service>>, body: Json<Value>) -> Result<Json<Value>, Status> {
    if service.draw_failure() {
        return Err(Status::InternalServerError);
    }
    let _slot = service.slots.acquire().await.map_err(|_| Status::ServiceUnavailable)?;
    let run = service.runs.increment(&body);
    tokio::time::sleep(service.draw_duration()).await;
    let stage = body.get("stage").cloned().unwrap_or_default();
    Ok(Json(json!({
        "operation": runs::operation(&body),
        "stage": stage,
        "input_digest": runs::input_digest(&body),
        "run": run,
    })))
}

#[get("/v1/load")]
fn load(service: &State<Arc<Service>>) -> Json<Value> {
    let running = service.options.concurrency - service.slots.available_permits();
    Json(json!({ "running": running, "queued": 0 }))
}

#[get("/runs")]
fn all_runs(service: &State<Arc<Service>>) -> Json<BTreeMap<String, u64>> {
    Json(service.runs.all())
}

#[put("/faults", data = "<faults>")]
fn set_faults(service: &State<Arc<Service>>, faults: Json<Faults>) {
    service.set_faults(faults.into_inner());
}

/// Starts a service on an address.
///
/// # Errors
/// As [`Server::spawn`].
pub async fn spawn(addr: SocketAddr, options: Options) -> anyhow::Result<(Server, Arc<Service>)> {
    let service = Service::new(options);
    let rocket = rocket::custom(server::config(addr))
        .manage(service.clone())
        .mount("/", routes![call, load, all_runs, set_faults]);
    Ok((Server::spawn(rocket).await?, service))
}
