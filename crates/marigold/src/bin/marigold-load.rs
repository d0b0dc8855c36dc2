//! `marigold-load`: load generator, benchmarks and simulations.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context as _;
use bpaf::Bpaf;
use marigold::measure::{capacity, overhead, policy, recovery, tokens};
use marigold_load::drive::Driver;
use marigold_load::experiment::Experiment;
use marigold_load::{arrivals, plot, report};

/// Load and experiments
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
enum Options {
    /// Send an experiment's load to running entries
    #[bpaf(command)]
    Drive {
        /// Base URL of an entry; may be given more than once
        #[bpaf(argument("URL"), some("name at least one entry"))]
        entry: Vec<String>,
        /// Bearer token of each customer is this text and the customer's name
        #[bpaf(argument("TEXT"), fallback("demo-".to_owned()), display_fallback)]
        token_prefix: String,
        /// Deadline that counts as met, in milliseconds
        #[bpaf(argument("MS"), fallback(6_000), display_fallback)]
        deadline_ms: u64,
        /// Write the report as JSON
        #[bpaf(argument("FILE"), optional)]
        report: Option<PathBuf>,
        /// Draw the 99th percentiles
        #[bpaf(argument("FILE"), optional)]
        svg: Option<PathBuf>,
        /// Experiment file
        #[bpaf(positional("EXPERIMENT"))]
        experiment: PathBuf,
    },
    /// Compare the policy with its baselines in virtual time
    #[bpaf(command)]
    Policy,
    /// Measure the latency that entry and agent add
    #[bpaf(command)]
    Overhead {
        /// Requests a second
        #[bpaf(argument("RATE"), fallback(500.0), display_fallback)]
        rate: f64,
        /// Length of each part in seconds
        #[bpaf(argument("S"), fallback(10), display_fallback)]
        length_s: u64,
        /// Folder with the binaries
        #[bpaf(argument("FOLDER"), fallback("target/release".into()))]
        binaries: PathBuf,
    },
    /// Measure what tokens cost
    #[bpaf(command)]
    Tokens {
        /// Streams at a time
        #[bpaf(argument("N"), fallback(256), display_fallback)]
        streams: usize,
        /// Length in seconds
        #[bpaf(argument("S"), fallback(8), display_fallback)]
        length_s: u64,
        /// Folder with the binaries
        #[bpaf(argument("FOLDER"), fallback("target/release".into()))]
        binaries: PathBuf,
    },
    /// Measure how long recovery takes, and how hard it calls the platform
    #[bpaf(command)]
    Recovery {
        /// Entries
        #[bpaf(argument("N"), fallback(3), display_fallback)]
        entries: usize,
        /// Targets of the larger pool
        #[bpaf(argument("N"), fallback(100), display_fallback)]
        targets: usize,
        /// Length of the platform's outage in seconds
        #[bpaf(argument("S"), fallback(60), display_fallback)]
        outage_s: u64,
        /// Folder with the binaries
        #[bpaf(argument("FOLDER"), fallback("target/release".into()))]
        binaries: PathBuf,
    },
    /// Measure the slopes of the control path
    #[bpaf(command)]
    Capacity {
        /// Length of each measurement in seconds
        #[bpaf(argument("S"), fallback(10), display_fallback)]
        length_s: u64,
        /// Folder with the binaries
        #[bpaf(argument("FOLDER"), fallback("target/release".into()))]
        binaries: PathBuf,
    },
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("marigold-load: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: Options) -> anyhow::Result<()> {
    match options {
        Options::Drive { entry, token_prefix, deadline_ms, report, svg, experiment } => {
            let experiment = Experiment::read(&experiment)?;
            let customers = experiment.customers.keys();
            let tokens: BTreeMap<String, String> =
                customers.map(|name| (name.clone(), format!("{token_prefix}{name}"))).collect();
            let driver = Driver { entries: entry, tokens, with_idempotency_keys: true };
            let samples = driver.run(arrivals::generate(&experiment), |_| {}).await;
            let summary = report::summarise(&samples, |_| Duration::from_millis(deadline_ms));
            print!("{}", summary.to_text());
            if let Some(path) = report {
                let text = serde_json::to_string(&summary)?;
                std::fs::write(&path, text)
                    .with_context(|| format!("writing {}", path.display()))?;
            }
            if let Some(path) = svg {
                let values: Vec<(String, f64)> = summary
                    .lines
                    .iter()
                    .map(|line| (line.pipeline.clone(), line.latency_ms[1]))
                    .collect();
                let text = plot::bar_chart("99th percentile of the latency", "ms", &values);
                std::fs::write(&path, text)
                    .with_context(|| format!("writing {}", path.display()))?;
            }
            Ok(())
        }
        Options::Policy => {
            policy::run();
            Ok(())
        }
        Options::Overhead { rate, length_s, binaries } => {
            overhead::run(&overhead::Options {
                binaries,
                rate,
                duration: Duration::from_secs(length_s),
            })
            .await
        }
        Options::Tokens { streams, length_s, binaries } => {
            let duration = Duration::from_secs(length_s);
            tokens::run(&tokens::Options { binaries, streams, duration }).await
        }
        Options::Recovery { entries, targets, outage_s, binaries } => {
            let outage = Duration::from_secs(outage_s);
            recovery::run(&recovery::Options { binaries, entries, targets, outage }).await
        }
        Options::Capacity { length_s, binaries } => {
            capacity::run(&capacity::Options { binaries, duration: Duration::from_secs(length_s) })
                .await
        }
    }
}
