//! Experiment files.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::Context as _;
use serde::{Deserialize, Serialize};

/// A burst of arrivals on top of the base rate.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// Start of the burst in seconds.
    pub at_s: f64,
    /// Length of the burst in seconds.
    pub for_s: f64,
    /// Factor on the base rate.
    pub factor: f64,
}

/// What to send, how often and for how long.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Seed of the arrivals: the same seed gives the same arrivals.
    pub seed: u64,
    /// Length in seconds.
    pub duration_s: f64,
    /// Requests a second.
    pub rate: f64,
    /// Weight of each pipeline.
    pub mix: BTreeMap<String, u32>,
    /// Weight of each customer.
    pub customers: BTreeMap<String, u32>,
    /// Bursts.
    #[serde(default)]
    pub bursts: Vec<Burst>,
}

impl Experiment {
    /// Reads an experiment file.
    ///
    /// # Errors
    /// Names the file, and the line and key that do not fit.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("reading experiment {}", path.display()))?;
        toml::from_str(&text).with_context(|| format!("parsing experiment {}", path.display()))
    }
}
