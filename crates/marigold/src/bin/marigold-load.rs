//! `marigold-load`: load generator, benchmarks and simulations.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use anyhow::Context as _;
use bpaf::Bpaf;
use marigold::measure::{capacity, overhead, policy, recovery, tokens};
use marigold_load::account::Account;
use marigold_load::drive::Driver;
use marigold_load::experiment::Experiment;
use marigold_load::{arrivals, plot, report};

/// Generates load, and runs benchmarks and simulations
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
        /// Deadline for the reported attainment, in milliseconds
        #[bpaf(argument("MS"), fallback(6_000), display_fallback)]
        deadline_ms: u64,
        /// Write the report to this file as JSON
        #[bpaf(argument("FILE"), optional)]
        report: Option<PathBuf>,
        /// Write a chart of the 99th percentiles of the latency to this file as SVG
        #[bpaf(argument("FILE"), optional)]
        svg: Option<PathBuf>,
        /// Experiment file
        #[bpaf(positional("EXPERIMENT"))]
        experiment: PathBuf,
    },
    /// Account for the logs of gateways: who waited or was refused, and how full the calls to stage pools were
    #[bpaf(command)]
    Account {
        /// Length of a window, in seconds
        #[bpaf(argument("S"), fallback(4.0), display_fallback)]
        window_s: f64,
        /// Write a chart of the answered requests by route and window to this file as SVG
        #[bpaf(argument("FILE"), optional)]
        svg: Option<PathBuf>,
        /// Log with one JSON entry a line
        #[bpaf(positional("LOG"))]
        log: PathBuf,
    },
    /// Compare the policy with its baselines in virtual time
    #[bpaf(command)]
    Policy,
    /// Measure the latency that entry and agent add
    #[bpaf(command)]
    Overhead {
        /// Rate in requests per second
        #[bpaf(argument("RATE"), fallback(500.0), display_fallback)]
        rate: f64,
        /// Time for which each path is measured, in seconds
        #[bpaf(argument("S"), fallback(10), display_fallback)]
        length_s: u64,
        /// Folder with the binaries
        #[bpaf(argument("FOLDER"), fallback("target/release".into()))]
        binaries: PathBuf,
    },
    /// Measure the CPU time per streamed token
    #[bpaf(command)]
    Tokens {
        /// Number of concurrent streams
        #[bpaf(argument("N"), fallback(256), display_fallback)]
        streams: usize,
        /// Duration of the measurement in seconds
        #[bpaf(argument("S"), fallback(8), display_fallback)]
        length_s: u64,
        /// Folder with the binaries
        #[bpaf(argument("FOLDER"), fallback("target/release".into()))]
        binaries: PathBuf,
    },
    /// Measure the time of recovery from failures, and the load on the platform meanwhile
    #[bpaf(command)]
    Recovery {
        /// Number of entries
        #[bpaf(argument("N"), fallback(3), display_fallback)]
        entries: usize,
        /// Number of targets in the idempotent pool; the non-idempotent pool has a fifth of that
        #[bpaf(argument("N"), fallback(100), display_fallback)]
        targets: usize,
        /// Duration of the platform's outage in seconds
        #[bpaf(argument("S"), fallback(60), display_fallback)]
        outage_s: u64,
        /// Folder with the binaries
        #[bpaf(argument("FOLDER"), fallback("target/release".into()))]
        binaries: PathBuf,
    },
    /// Measure how traffic, CPU time and memory of the control path scale
    #[bpaf(command)]
    Capacity {
        /// Duration of each measurement in seconds
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
        Options::Account { window_s, svg, log } => {
            let window = Duration::try_from_secs_f64(window_s)
                .with_context(|| format!("window of {window_s} s"))?;
            let file = File::open(&log).with_context(|| format!("opening {}", log.display()))?;
            let account = Account::read(BufReader::new(file), window)
                .with_context(|| format!("reading {}", log.display()))?;
            print!("{}", account.to_text());
            if let Some(path) = svg {
                let shares = account.answered_shares();
                let text = plot::bar_chart("Answered requests by route and time", "%", &shares);
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
