//! The embedded demo: runs a whole deployment in one process, sends it the load of an experiment, and reports attainment
//! and cost.

mod cluster;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use anyhow::Context as _;
use marigold_entry::billing::StoredCosts;
use marigold_load::drive::{Driver, Outcome, Sample};
use marigold_load::experiment::Experiment;
use marigold_load::{arrivals, report};
use marigold_schema::declarations::Declarations;
use serde_json::json;

use crate::commands::cost::{self, Group};
use crate::commands::validate;
use cluster::Cluster;

const REQUESTS_PER_PROGRESS_LINE: usize = 200;

/// Options of the demo.
pub struct Options {
    /// Folder of the deployment.
    pub folder: PathBuf,
    /// Load file to use instead of the deployment's `load/ordinary.toml`.
    pub load: Option<PathBuf>,
    /// Duration of the load in seconds, to use instead of the load file's.
    pub duration_s: Option<f64>,
    /// Requests per second, to use instead of the load file's.
    pub rate: Option<f64>,
    /// File to which the report is written as JSON.
    pub report: Option<PathBuf>,
}

/// Descriptions of violated guarantees.
#[derive(Debug, Default)]
struct Violations(Vec<String>);

/// Starts the deployment, sends the load, and prints attainment and cost.
///
/// # Errors
/// Invalid declarations, an unreadable load file, a deployment that does not start, a report that cannot be written, or
/// a violated guarantee.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let declarations = validate::read(&options.folder).map_err(|err| anyhow::anyhow!("{err}"))?;
    let load = options.load.clone().unwrap_or_else(|| options.folder.join("load/ordinary.toml"));
    let mut experiment = Experiment::read(&load)?;
    experiment.duration_s = options.duration_s.unwrap_or(experiment.duration_s);
    experiment.rate = options.rate.unwrap_or(experiment.rate);
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
    let mut completed = 0;
    let samples = driver
        .run(arrivals, |_| {
            completed += 1;
            if completed % REQUESTS_PER_PROGRESS_LINE == 0 {
                println!("  {completed} answered");
            }
        })
        .await;
    report_results(options, &declarations, &cluster, &samples).await
}

async fn report_results(
    options: &Options,
    declarations: &Declarations,
    cluster: &Cluster,
    samples: &[Sample],
) -> anyhow::Result<()> {
    let deadline = |name: &str| {
        let deadline_ms =
            declarations.pipeline.get(name).map_or(0, |pipeline| pipeline.deadline_ms.get());
        Duration::from_millis(deadline_ms)
    };
    let report = report::summarise(samples, deadline);
    println!("\n{}", report.to_text());
    // An entry writes its final totals to the platform when it drains.
    cluster.drain().await;
    let StoredCosts { accounts, unreadable } = cluster.read_costs().await?;
    println!("cost by customer");
    cost::print(&accounts, Group::Customer);
    println!("\ncost by stage");
    cost::print(&accounts, Group::Stage);
    let mut violations = find_violations(declarations, cluster, samples);
    violations.0.extend(unreadable.iter().map(ToString::to_string));
    let (charged, ran) = (accounts.sum().attempts, cluster.run_counts().values().sum::<u64>());
    if charged != ran {
        violations.0.push(format!("{charged} attempts are charged, the targets ran {ran}"));
    }
    if let Some(path) = &options.report {
        let text = json!({ "report": report, "cost": accounts.lines(), "broken": violations.0 });
        write_report(path, &text.to_string())?;
    }
    anyhow::ensure!(violations.0.is_empty(), "promises broken:\n  {}", violations.0.join("\n  "));
    println!("\nevery request had one whole answer of its own; no non-idempotent call ran twice");
    Ok(())
}

fn write_report(path: &Path, text: &str) -> anyhow::Result<()> {
    std::fs::write(path, text).with_context(|| format!("writing {}", path.display()))
}

/// Compares the outcomes reported to callers with the runs counted by the stand-ins.
fn find_violations(
    declarations: &Declarations,
    cluster: &Cluster,
    samples: &[Sample],
) -> Violations {
    let mut violations = Violations::default();
    let mut run_counts: BTreeMap<String, u64> = BTreeMap::new();
    for (operation, count) in cluster.run_counts() {
        *run_counts.entry(operation).or_default() += count;
    }
    for sample in samples {
        let runs = run_counts.get(&sample.operation).copied().unwrap_or(0);
        let (pipeline, operation) = (&sample.arrival.pipeline, &sample.operation);
        if sample.outcome != Outcome::Done {
            violations.0.push(format!(
                "{pipeline} {operation} ended {:?}: {}",
                sample.outcome, sample.detail
            ));
        }
        if sample.outcome == Outcome::NotRun && runs > 0 {
            violations
                .0
                .push(format!("{pipeline} {operation} was called not run and ran {runs} times"));
        }
        if !is_idempotent(declarations, pipeline) && runs > 1 {
            violations.0.push(format!("{pipeline} {operation} ran {runs} times"));
        }
    }
    violations
}

fn is_idempotent(declarations: &Declarations, pipeline: &str) -> bool {
    let stages = declarations
        .pipeline
        .get(pipeline)
        .map(|pipeline| pipeline.stages.as_slice())
        .unwrap_or_default();
    stages.iter().all(|stage| {
        let pool_default = declarations.pool.get(&stage.pool).is_none_or(|pool| pool.idempotent);
        stage.idempotent.unwrap_or(pool_default)
    })
}
