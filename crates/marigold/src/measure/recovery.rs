//! Recovery from failures: time until all entries serve again, and the load on the platform meanwhile.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use marigold_testbed::cluster::Cluster;
use marigold_testbed::plan::{Binaries, Plan};
use serde_json::{Value, json};

use crate::table;

/// Options of the benchmark.
pub struct Options {
    /// Folder with the binaries.
    pub binaries: std::path::PathBuf,
    /// Number of entries in the cluster.
    pub entries: usize,
    /// Number of targets in the idempotent pool; the non-idempotent pool has a fifth of that.
    pub targets: usize,
    /// Duration of the platform's outage.
    pub outage: Duration,
}

/// Returns the number of reads and writes on the platform so far, and its largest number of calls in a second.
async fn platform_call_counts(cluster: &Cluster) -> anyhow::Result<(u64, u64)> {
    let counts: Value =
        reqwest::get(format!("http://{}/counts", cluster.platform)).await?.json().await?;
    let sum = counts["reads"].as_u64().unwrap_or(0) + counts["writes"].as_u64().unwrap_or(0);
    Ok((sum, counts["peak_per_s"].as_u64().unwrap_or(0)))
}

/// Returns the incarnations of the agents by target, as reported by each entry.
async fn incarnations(cluster: &Cluster) -> Vec<BTreeMap<String, u64>> {
    let mut by_entry = Vec::new();
    for entry in &cluster.entries {
        let status = entry.call_operator_api(reqwest::Method::GET, "status", None).await;
        let targets = status.body["targets"].as_array().cloned().unwrap_or_default();
        let incarnations = targets.iter().filter_map(|target| {
            Some((target["target"].as_str()?.to_owned(), target["incarnation"].as_u64()?))
        });
        by_entry.push(incarnations.collect());
    }
    by_entry
}

/// Waits until every entry is ready and reports the new incarnation of each restarted agent; returns a table row.
///
/// `restarted` holds the incarnations before the restart by target.
async fn measure_recovery(
    cluster: &Cluster,
    failure: &str,
    restarted: &BTreeMap<String, u64>,
    calls_before: u64,
) -> anyhow::Result<Vec<String>> {
    let started = Instant::now();
    loop {
        let is_outdated = |incarnations: &BTreeMap<String, u64>| {
            restarted
                .iter()
                .any(|(target, old)| incarnations.get(target).is_none_or(|new| new == old))
        };
        if !incarnations(cluster).await.iter().any(is_outdated) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    cluster.wait_ready().await;
    let elapsed = started.elapsed();
    // Calls to the platform that follow within 5 s are counted as part of the recovery.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let (calls, peak) = platform_call_counts(cluster).await?;
    Ok(vec![
        failure.to_owned(),
        format!("{:.2}", elapsed.as_secs_f64()),
        (calls - calls_before).to_string(),
        peak.to_string(),
    ])
}

/// Runs the benchmark and prints its results.
///
/// # Errors
/// Returns an error if the call counts of the platform cannot be read.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let binaries = Binaries::in_folder(&options.binaries);
    let mut plan = Plan::small();
    plan.entries = options.entries;
    plan.shared_targets = true;
    plan.pools.retain(|pool| matches!(pool.name, "encoders" | "receipts"));
    for pool in &mut plan.pools {
        pool.targets = if pool.name == "receipts" { options.targets / 5 } else { options.targets };
    }
    plan.pipelines = r#"
        [pipeline.embed]
        deadline_ms = 2000
        stages = [{ name = "encode", pool = "encoders" }]
        [pipeline.record-receipt]
        deadline_ms = 5000
        stages = [{ name = "record", pool = "receipts", path = "/v1/record" }]
    "#;
    let mut rows = Vec::new();
    let mut cluster = Cluster::start(binaries, &plan, "recovery").await;
    rows.push(vec![
        "start of all".to_owned(),
        "-".to_owned(),
        platform_call_counts(&cluster).await?.0.to_string(),
        platform_call_counts(&cluster).await?.1.to_string(),
    ]);

    let (before, _) = platform_call_counts(&cluster).await?;
    let agents: Vec<String> =
        cluster.processes.keys().filter(|name| name.starts_with("agent-")).cloned().collect();
    let old_incarnations = incarnations(&cluster).await.into_iter().next_back().unwrap_or_default();
    let mut restarted = BTreeMap::new();
    for name in agents.iter().step_by(10) {
        cluster.process(name).kill();
        cluster.restart(name);
        let target = name.trim_start_matches("agent-");
        restarted.insert(target.to_owned(), old_incarnations.get(target).copied().unwrap_or(0));
    }
    cluster.process("entry-0").kill();
    cluster.restart("entry-0");
    let failure = "a tenth of the agents and an entry killed at once";
    rows.push(measure_recovery(&cluster, failure, &restarted, before).await?);

    let (before, _) = platform_call_counts(&cluster).await?;
    for i in 0..options.entries {
        let name = format!("entry-{i}");
        cluster.process(&name).kill();
        cluster.restart(&name);
    }
    rows.push(
        measure_recovery(&cluster, "all entries killed at once", &BTreeMap::new(), before).await?,
    );

    cluster.set_faults(cluster.platform, &json!({ "down": true })).await;
    tokio::time::sleep(options.outage).await;
    let (before, _) = platform_call_counts(&cluster).await?;
    cluster.set_faults(cluster.platform, &json!({})).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let failure = "platform back after its outage, 10 s on";
    rows.push(measure_recovery(&cluster, failure, &BTreeMap::new(), before).await?);

    println!(
        "{} entries, {} agents, platform outage of {:?}\n",
        options.entries,
        agents.len(),
        options.outage
    );
    table::print(
        &["failure", "s until all serve", "platform calls", "most in a second so far"],
        &rows,
    );
    Ok(())
}
