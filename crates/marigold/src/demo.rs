//! The embedded demo: a whole deployment in one process, its own mix sent to it, and what came of it.

mod cluster;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context as _;
use marigold_core::cost::{Accounts, Line};
use marigold_load::drive::{Driver, Outcome, Sample};
use marigold_load::experiment::Experiment;
use marigold_load::{arrivals, report};
use marigold_schema::declarations::Declarations;
use serde_json::json;

use crate::commands::cost::{self, Group};
use crate::commands::validate;
use cluster::Cluster;

/// Requests between two lines of progress.
const PROGRESS_EVERY: usize = 200;

/// What the demo runs.
pub struct Options {
    /// Folder of the deployment.
    pub folder: PathBuf,
    /// Load in place of the deployment's own.
    pub load: Option<PathBuf>,
    /// File for the report as JSON.
    pub report: Option<PathBuf>,
}

/// Promises that did not hold.
#[derive(Debug, Default)]
struct Broken(Vec<String>);

/// Starts the deployment, sends its load, and prints attainment and cost.
///
/// # Errors
/// A deployment that does not start, or a promise that did not hold.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let declarations = validate::read(&options.folder).map_err(|err| anyhow::anyhow!("{err}"))?;
    let load = options.load.clone().unwrap_or_else(|| options.folder.join("load/ordinary.toml"));
    let experiment = Experiment::read(&load)?;
    println!("starting {} targets and {} entries", declarations.target.len(), cluster::ENTRIES);
    let cluster = Cluster::spawn(&declarations).await?;
    let arrivals = arrivals::generate(&experiment);
    println!("sending {} requests in {} s", arrivals.len(), experiment.duration_s);
    let customers = declarations.customer.keys();
    let driver = Driver {
        entries: cluster.entry_urls(),
        tokens: customers.map(|name| (name.clone(), format!("demo-{name}"))).collect(),
        with_idempotency_keys: true,
    };
    let mut ended = 0;
    let samples = driver
        .run(arrivals, |_| {
            ended += 1;
            if ended % PROGRESS_EVERY == 0 {
                println!("  {ended} answered");
            }
        })
        .await;
    finish(options, &declarations, &cluster, &samples).await
}

async fn finish(
    options: &Options,
    declarations: &Declarations,
    cluster: &Cluster,
    samples: &[Sample],
) -> anyhow::Result<()> {
    let deadline = |name: &str| {
        let declared =
            declarations.pipeline.get(name).map_or(0, |pipeline| pipeline.deadline_ms.get());
        Duration::from_millis(declared)
    };
    let report = report::summarise(samples, deadline);
    println!("\n{}", report.to_text());
    // The totals of each entry are written when it leaves.
    cluster.drain().await;
    let lines: Vec<Line> = cluster.cost_lines().await?;
    let mut book = Accounts::default();
    book.add_lines(&lines);
    println!("cost by customer");
    cost::print(&book, Group::Customer);
    println!("\ncost by stage");
    cost::print(&book, Group::Stage);
    let broken = check(declarations, cluster, samples);
    if let Some(path) = &options.report {
        let text = json!({ "report": report, "cost": lines, "broken": broken.0 });
        write_report(path, &text.to_string())?;
    }
    anyhow::ensure!(broken.0.is_empty(), "promises broken:\n  {}", broken.0.join("\n  "));
    println!("\nevery request had one whole answer of its own; no non-idempotent call ran twice");
    Ok(())
}

fn write_report(path: &Path, text: &str) -> anyhow::Result<()> {
    std::fs::write(path, text).with_context(|| format!("writing {}", path.display()))
}

/// Compares what callers were told with what the stand-ins ran.
fn check(declarations: &Declarations, cluster: &Cluster, samples: &[Sample]) -> Broken {
    let mut broken = Broken::default();
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for (operation, count) in cluster.service_runs() {
        *runs.entry(operation).or_default() += count;
    }
    for sample in samples {
        let ran = runs.get(&sample.operation).copied().unwrap_or(0);
        let (pipeline, operation) = (&sample.arrival.pipeline, &sample.operation);
        if sample.outcome != Outcome::Done {
            broken.0.push(format!(
                "{pipeline} {operation} ended {:?}: {}",
                sample.outcome, sample.detail
            ));
        }
        if sample.outcome == Outcome::NotRun && ran > 0 {
            broken.0.push(format!("{pipeline} {operation} was called not run and ran {ran} times"));
        }
        if !is_idempotent(declarations, pipeline) && ran > 1 {
            broken.0.push(format!("{pipeline} {operation} ran {ran} times"));
        }
    }
    broken
}

fn is_idempotent(declarations: &Declarations, pipeline: &str) -> bool {
    let stages = declarations
        .pipeline
        .get(pipeline)
        .map(|pipeline| pipeline.stages.as_slice())
        .unwrap_or_default();
    stages.iter().all(|stage| {
        let pool = declarations.pool.get(&stage.pool).is_none_or(|pool| pool.idempotent);
        stage.idempotent.unwrap_or(pool)
    })
}
