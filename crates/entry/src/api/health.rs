//! Health and metrics.

use std::sync::Arc;

use rocket::http::Status;
use rocket::{State, get};

use crate::state::Shared;

/// The process runs.
#[get("/live")]
pub(crate) fn live() -> &'static str {
    "live\n"
}

/// The balancer may send requests.
#[get("/ready")]
pub(crate) fn ready(shared: &State<Arc<Shared>>) -> (Status, &'static str) {
    if shared.is_ready() {
        (Status::Ok, "ready\n")
    } else {
        (Status::ServiceUnavailable, "not ready\n")
    }
}

/// Metrics in Prometheus' text format.
#[get("/metrics")]
pub(crate) fn metrics(shared: &State<Arc<Shared>>) -> String {
    shared.metrics.text()
}
