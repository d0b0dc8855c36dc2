//! Health checks and metrics.

use std::sync::Arc;

use rocket::http::Status;
use rocket::{State, get};

use crate::state::Shared;

/// Responds with status 200 while the process runs.
#[get("/live")]
pub(crate) fn live() -> &'static str {
    "live\n"
}

/// Responds with status 200 while the entry accepts requests, otherwise with 503.
#[get("/ready")]
pub(crate) fn ready(shared: &State<Arc<Shared>>) -> (Status, &'static str) {
    if shared.is_ready() {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

/// Returns all metrics in the text format of Prometheus.
#[get("/metrics")]
pub(crate) fn metrics(shared: &State<Arc<Shared>>) -> String {
    shared.metrics.text()
}
