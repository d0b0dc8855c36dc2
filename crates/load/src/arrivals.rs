//! Open-loop arrivals: a Poisson process with bursts, deterministic for a seed.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::experiment::Experiment;

/// A request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Planned sending time, relative to the start of the run.
    pub at: Duration,
    /// Serial number within the run; makes the operation of the request unique.
    pub serial: usize,
    /// Pipeline to run.
    pub pipeline: String,
    /// Customer in whose name the request is sent.
    pub customer: String,
}

/// Returns a uniformly distributed number in [0, 1).
pub fn uniform(rng: &mut impl Rng) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns an exponentially distributed time in seconds, for a rate in events per second.
pub fn exponential(rng: &mut impl Rng, rate: f64) -> f64 {
    -(1.0 - uniform(rng)).ln() / rate
}

/// Returns a random name, with probabilities in proportion to the weights.
fn pick_weighted<'a>(rng: &mut impl Rng, weights: &'a BTreeMap<String, u32>) -> &'a str {
    let total: u32 = weights.values().sum();
    let mut at = (uniform(rng) * f64::from(total)) as u32;
    for (name, weight) in weights {
        if at < *weight {
            return name;
        }
        at -= weight;
    }
    ""
}

/// Generates all arrivals of an experiment, in order of time.
pub fn generate(experiment: &Experiment) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(experiment.seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        let burst = experiment
            .bursts
            .iter()
            .find(|burst| at >= burst.at_s && at < burst.at_s + burst.for_s);
        let rate = experiment.rate * burst.map_or(1.0, |burst| burst.factor);
        at += exponential(&mut rng, rate);
        if at >= experiment.duration_s {
            return arrivals;
        }
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            serial: arrivals.len(),
            pipeline: pick_weighted(&mut rng, &experiment.mix).to_owned(),
            customer: pick_weighted(&mut rng, &experiment.customers).to_owned(),
        });
    }
}
