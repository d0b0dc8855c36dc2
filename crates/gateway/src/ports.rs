//! HTTP ports of a gateway: callers, readiness checks and metrics.

use std::sync::Arc;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use marigold_core::memory_budget;
use marigold_core::routes::Limits;
use marigold_objects::Store;

use crate::dialect::Dialect;
use crate::http_server::{ConnectionLimits, Service};
use crate::request;
use crate::response::{self, Body};
use crate::shared::Shared;

impl From<Limits> for ConnectionLimits {
    fn from(limits: Limits) -> Self {
        let Limits { max_head_bytes, head_timeout, idle_timeout, .. } = limits;
        Self { max_head_bytes, head_timeout, idle_timeout }
    }
}

/// The port for callers' requests.
pub(crate) struct CallersPort<D, S>(pub(crate) Arc<Shared<D, S>>);

impl<D: Dialect, S: Store> Service for CallersPort<D, S> {
    fn limits(&self) -> ConnectionLimits {
        let adopted = self.0.adopted.load();
        adopted.as_ref().map_or_else(Limits::default, |adopted| adopted.routing.limits).into()
    }

    fn max_connections(&self) -> Option<usize> {
        Some(memory_budget::max_connections(self.0.settings().max_open_files))
    }

    fn end_a_request(&self) -> bool {
        self.0.memory.shed_one()
    }

    fn on_connection_closed(&self, reason: &'static str) {
        self.0.memory.record_refusal(reason);
    }

    async fn call(&self, req: Request<Incoming>) -> Response<Body> {
        request::serve(&self.0, req).await
    }
}

/// The port for the load balancer's readiness checks.
pub(crate) struct ReadinessPort<D, S>(pub(crate) Arc<Shared<D, S>>);

impl<D: Dialect, S: Store> Service for ReadinessPort<D, S> {
    fn limits(&self) -> ConnectionLimits {
        Limits::default().into()
    }

    async fn call(&self, req: Request<Incoming>) -> Response<Body> {
        if req.uri().path() != D::READY_PATH {
            return response::full(StatusCode::NOT_FOUND, "");
        }
        let status =
            if self.0.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        response::full(status, "")
    }
}

/// The port that returns the metrics at any path.
pub(crate) struct MetricsPort<D, S>(pub(crate) Arc<Shared<D, S>>);

impl<D: Dialect, S: Store> Service for MetricsPort<D, S> {
    fn limits(&self) -> ConnectionLimits {
        Limits::default().into()
    }

    async fn call(&self, _req: Request<Incoming>) -> Response<Body> {
        response::full(StatusCode::OK, self.0.metrics_text())
    }
}
