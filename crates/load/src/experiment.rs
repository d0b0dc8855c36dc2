//! Experiment files: the load of a run, as TOML.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::Context as _;
use serde::{Deserialize, Serialize};

/// An interval with a multiple of the base rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start of the burst in seconds since the start of the run.
    pub at_s: f64,
    /// Length of the burst in seconds.
    pub for_s: f64,
    /// Factor by which the base rate is multiplied.
    pub factor: f64,
}

/// Load of a run: arrival rate, duration, and mix of pipelines and customers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Seed of the arrivals: the same seed gives the same arrivals.
    pub seed: u64,
    /// Duration in seconds.
    pub duration_s: f64,
    /// Base rate in requests per second.
    pub rate: f64,
    /// Weights of the pipelines.
    pub mix: BTreeMap<String, u32>,
    /// Weights of the customers.
    pub customers: BTreeMap<String, u32>,
    /// Bursts; where two overlap, the first one applies.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

impl Experiment {
    /// Reads an experiment file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or parsed; it names the file, and the invalid line and key.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("reading experiment {}", path.display()))?;
        toml::from_str(&text).with_context(|| format!("parsing experiment {}", path.display()))
    }
}
