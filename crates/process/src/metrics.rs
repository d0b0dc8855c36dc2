//! Export of metrics in the Prometheus text format.

use opentelemetry::metrics::{Meter, MeterProvider as _};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder as _, Registry, TextEncoder};

/// Registry of metrics with a Prometheus exporter.
pub struct Exporter {
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Exporter {
    /// Creates an empty registry.
    ///
    /// # Errors
    /// The error of the exporter when it cannot be registered.
    pub fn open() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter =
            opentelemetry_prometheus::exporter().with_registry(registry.clone()).build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        Ok(Self { registry, provider })
    }

    /// Returns the meter that creates instruments; `name` is the name of the program.
    pub fn meter(&self, name: &'static str) -> Meter {
        self.provider.meter(name)
    }

    /// Returns all metrics in the text format.
    pub fn text(&self) -> String {
        let mut buf = Vec::new();
        if let Err(err) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::warn!(%err, "encoding the metrics failed");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }
}
