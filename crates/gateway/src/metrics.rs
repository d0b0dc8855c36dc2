//! Metrics of a gateway.

use marigold_process::metrics::Exporter;
use opentelemetry::metrics::{Counter, Gauge, Histogram};

/// Instruments, and the exporter of their values.
pub(crate) struct Metrics {
    exporter: Exporter,
    pub(crate) requests: Counter<u64>,
    pub(crate) first_byte_seconds: Histogram<f64>,
    pub(crate) stage_seconds: Histogram<f64>,
    pub(crate) stage_calls: Counter<u64>,
    pub(crate) stage_pieces: Counter<u64>,
    pub(crate) stage_connections: Counter<u64>,
    pub(crate) retries: Counter<u64>,
    pub(crate) hedges: Counter<u64>,
    pub(crate) hedges_denied: Counter<u64>,
    pub(crate) store_failures: Counter<u64>,
    pub(crate) odd_objects: Counter<u64>,
    pub(crate) store_answer_age: Gauge<f64>,
    pub(crate) config_version: Gauge<u64>,
    pub(crate) config_defects: Gauge<u64>,
    pub(crate) store_era: Gauge<u64>,
    pub(crate) evacuated_data_centres: Gauge<u64>,
    pub(crate) caller_retries: Counter<u64>,
    pub(crate) load_age: Gauge<f64>,
    pub(crate) target_versions: Gauge<u64>,
    pub(crate) stream_origins: Gauge<u64>,
    pub(crate) streams_not_continued: Counter<u64>,
    pub(crate) origins_stored_late: Counter<u64>,
    pub(crate) limited_targets: Gauge<u64>,
    pub(crate) cold_targets: Gauge<u64>,
    pub(crate) target_limits: Gauge<f64>,
    pub(crate) limit_age: Gauge<f64>,
    pub(crate) limit_asks: Counter<u64>,
    pub(crate) limit_refusals: Counter<u64>,
    pub(crate) target_crashes: Counter<u64>,
    pub(crate) quarantines: Gauge<u64>,
    pub(crate) quarantine_refusals: Counter<u64>,
    pub(crate) memory_refusals: Counter<u64>,
    pub(crate) memory_held: Gauge<u64>,
    pub(crate) memory_budget: Gauge<u64>,
    pub(crate) caller_connections: Gauge<u64>,
}

impl Metrics {
    pub(crate) fn open() -> anyhow::Result<Self> {
        let exporter = Exporter::open()?;
        let meter = exporter.meter("marigold-gateway");
        let counter = |name: &'static str, description: &'static str| {
            meter.u64_counter(name).with_description(description).build()
        };
        let seconds = |name: &'static str, description: &'static str| {
            meter.f64_histogram(name).with_unit("s").with_description(description).build()
        };
        Ok(Self {
            requests: counter("marigold_requests", "Requests by route and status"),
            first_byte_seconds: seconds(
                "marigold_first_byte_seconds",
                "Time from a request's head to the first byte of its answer, by route",
            ),
            stage_seconds: seconds("marigold_stage_seconds", "Duration of stages by pool"),
            stage_calls: counter("marigold_stage_calls", "Calls with pieces by pool and outcome"),
            stage_pieces: counter("marigold_stage_pieces", "Pieces sent by pool"),
            stage_connections: counter(
                "marigold_stage_connections",
                "Calls with pieces and calls that free results, by purpose and use of a connection",
            ),
            retries: counter("marigold_retries", "Requests sent to another target, by reason"),
            hedges: counter(
                "marigold_hedges",
                "Hedged requests by pool and event: sent, won, cancelled (either attempt) or failed",
            ),
            hedges_denied: counter(
                "marigold_hedges_denied",
                "Late requests that were not hedged, by pool and reason",
            ),
            store_failures: counter("marigold_store_failures", "Failed calls to the store by kind"),
            odd_objects: counter(
                "marigold_odd_objects",
                "Versions of objects in the store that could not be read, by kind",
            ),
            store_answer_age: meter
                .f64_gauge("marigold_store_answer_age_seconds")
                .with_unit("s")
                .with_description("Time since the store last answered a watch, by kind")
                .build(),
            config_version: meter
                .u64_gauge("marigold_config_version")
                .with_description("Version of the configuration in force")
                .build(),
            config_defects: meter
                .u64_gauge("marigold_config_defects")
                .with_description("Parts of the configuration in force that cannot be used")
                .build(),
            stream_origins: meter
                .u64_gauge("marigold_stream_origins")
                .with_description("Records of where streams began")
                .build(),
            streams_not_continued: counter(
                "marigold_streams_not_continued",
                "Streams that could not go on because of their software version, by reason",
            ),
            origins_stored_late: counter(
                "marigold_origins_stored_late",
                "Streams whose first event was passed on before the store had their origin",
            ),
            caller_retries: counter(
                "marigold_caller_retries",
                "Requests that have come back after a refusal, by route",
            ),
            load_age: meter
                .f64_gauge("marigold_load_age_seconds")
                .with_unit("s")
                .with_description("Time since other gateways told what all have in flight")
                .build(),
            evacuated_data_centres: meter
                .u64_gauge("marigold_evacuated_data_centres")
                .with_description("Data centres that are evacuated")
                .build(),
            target_versions: meter
                .u64_gauge("marigold_target_versions")
                .with_description(
                    "Targets that accept requests, by pool and version of their software",
                )
                .build(),
            limited_targets: meter
                .u64_gauge("marigold_limited_targets")
                .with_description("Targets that name a limit, by pool")
                .build(),
            cold_targets: meter
                .u64_gauge("marigold_cold_targets")
                .with_description("Targets that are cold and get the cold rate, by pool")
                .build(),
            target_limits: meter
                .f64_gauge("marigold_target_limits_per_second")
                .with_description("Sum of the limits that targets name, by pool")
                .build(),
            limit_age: meter
                .f64_gauge("marigold_target_limit_age_seconds")
                .with_unit("s")
                .with_description("Time since the reply that named the oldest known limit, by pool")
                .build(),
            limit_asks: counter(
                "marigold_limit_asks",
                "Asks for requests to targets with limits, by pool and outcome",
            ),
            limit_refusals: counter(
                "marigold_limit_refusals",
                "Requests refused because of the limits of targets, by pool",
            ),
            target_crashes: counter(
                "marigold_target_crashes",
                "Crashes of targets that ran requests of this gateway, by pool",
            ),
            quarantines: meter
                .u64_gauge("marigold_quarantines")
                .with_description("Quarantines of requests that crash targets, by pool")
                .build(),
            quarantine_refusals: counter(
                "marigold_quarantine_refusals",
                "Requests refused because such requests crash targets, by pool",
            ),
            memory_refusals: counter(
                "marigold_memory_refusals",
                "Requests and connections refused or closed to stay within memory and descriptors, by reason",
            ),
            memory_held: meter
                .u64_gauge("marigold_memory_held_bytes")
                .with_unit("By")
                .with_description("Memory held for callers and targets")
                .build(),
            memory_budget: meter
                .u64_gauge("marigold_memory_budget_bytes")
                .with_unit("By")
                .with_description("Memory that may be held for callers and targets")
                .build(),
            caller_connections: meter
                .u64_gauge("marigold_caller_connections")
                .with_description("Connections of callers")
                .build(),
            store_era: meter
                .u64_gauge("marigold_store_era")
                .with_description("Number of times that the store was restored from an older copy")
                .build(),
            exporter,
        })
    }

    /// Returns all metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        self.exporter.text()
    }
}
