//! Metrics of an entry.

use marigold_process::metrics::Exporter;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// Instruments and the registry that exports them.
pub(crate) struct Metrics {
    exporter: Exporter,
    pub(crate) requests: Counter<u64>,
    pub(crate) request_seconds: Histogram<f64>,
    pub(crate) attempts: Counter<u64>,
    pub(crate) settles: Counter<u64>,
    pub(crate) revision: Gauge<u64>,
    pub(crate) pages: Gauge<u64>,
}

impl Metrics {
    pub(crate) fn open() -> anyhow::Result<Self> {
        let exporter = Exporter::open()?;
        let meter = exporter.meter("marigold-entry");
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
            exporter,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        self.exporter.text()
    }
}
