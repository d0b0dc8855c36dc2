//! Metrics of an entry.

use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};

/// Instruments and the registry that exports them.
pub(crate) struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    pub(crate) requests: Counter<u64>,
    pub(crate) request_seconds: Histogram<f64>,
    pub(crate) attempts: Counter<u64>,
    pub(crate) settles: Counter<u64>,
    pub(crate) revision: Gauge<u64>,
    pub(crate) pages: Gauge<u64>,
}

impl Metrics {
    pub(crate) fn open() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("marigold-entry");
        Ok(Self {
            requests: meter
                .u64_counter("marigold_requests")
                .with_description("Requests by pipeline and outcome")
                .build(),
            request_seconds: meter
                .f64_histogram("marigold_request_seconds")
                .with_unit("s")
                .with_description("Duration of requests by pipeline")
                .build(),
            attempts: meter
                .u64_counter("marigold_attempts")
                .with_description("Attempts by stage and worth")
                .build(),
            settles: meter
                .u64_counter("marigold_settles")
                .with_description("Attempts settled after a lost link")
                .build(),
            revision: meter
                .u64_gauge("marigold_revision")
                .with_description("Revision in force")
                .build(),
            pages: meter
                .u64_gauge("marigold_burn_pages")
                .with_description("Series that burn fast enough to page")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// All metrics in Prometheus' text format.
    pub(crate) fn text(&self) -> String {
        let mut buf = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::warn!(%err, "metrics not written");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }
}
