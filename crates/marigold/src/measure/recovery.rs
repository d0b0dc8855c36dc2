//! Recovery: how long until all serve again after losses, and how hard the platform is called then.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use marigold_testbed::cluster::Cluster;
use marigold_testbed::plan::{Binaries, Plan};
use serde_json::{Value, json};

use crate::table;

/// Options of the measurement.
pub struct Options {
    /// Folder with the binaries.
    pub binaries: std::path::PathBuf,
    /// Entries of the bed.
    pub entries: usize,
    /// Targets of the idempotent pool; the pool with keys has a fifth of that.
    pub targets: usize,
    /// Length of the platform's outage.
    pub outage: Duration,
}

/// Reads and writes of the platform so far, and the most in one second.
async fn counts(bed: &Cluster) -> anyhow::Result<(u64, u64)> {
    let counts: Value =
        reqwest::get(format!("http://{}/counts", bed.platform)).await?.json().await?;
    let sum = counts["reads"].as_u64().unwrap_or(0) + counts["writes"].as_u64().unwrap_or(0);
    Ok((sum, counts["peak_per_s"].as_u64().unwrap_or(0)))
}

/// Incarnations of the targets' agents, as each entry knows them.
async fn incarnations(bed: &Cluster) -> Vec<BTreeMap<String, u64>> {
    let mut by_entry = Vec::new();
    for entry in &bed.entries {
        let status = entry.call_operator_api(reqwest::Method::GET, "status", None).await;
        let lines = status.body["targets"].as_array().cloned().unwrap_or_default();
        let known = lines.iter().filter_map(|line| {
            Some((line["target"].as_str()?.to_owned(), line["incarnation"].as_u64()?))
        });
        by_entry.push(known.collect());
    }
    by_entry
}

/// Waits until every entry serves and knows the new agent of each restarted target; gives a row.
async fn measure(
    bed: &Cluster,
    failure: &str,
    restarted: &BTreeMap<String, u64>,
    calls_before: u64,
) -> anyhow::Result<Vec<String>> {
    let started = Instant::now();
    loop {
        let is_old = |known: &BTreeMap<String, u64>| {
            restarted.iter().any(|(target, old)| known.get(target).is_none_or(|new| new == old))
        };
        if !incarnations(bed).await.iter().any(is_old) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    bed.wait_ready().await;
    let took = started.elapsed();
    // Late calls belong to the recovery too.
    tokio::time::sleep(Duration::from_secs(5)).await;
    let (calls, peak) = counts(bed).await?;
    Ok(vec![
        failure.to_owned(),
        format!("{:.2}", took.as_secs_f64()),
        (calls - calls_before).to_string(),
        peak.to_string(),
    ])
}

/// Runs the measurement.
///
/// # Errors
/// A platform that cannot be asked.
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
    let mut bed = Cluster::start(binaries, &plan, "recovery").await;
    rows.push(vec![
        "start of all".to_owned(),
        "-".to_owned(),
        counts(&bed).await?.0.to_string(),
        counts(&bed).await?.1.to_string(),
    ]);

    let (before, _) = counts(&bed).await?;
    let agents: Vec<String> =
        bed.processes.keys().filter(|name| name.starts_with("agent-")).cloned().collect();
    let known = incarnations(&bed).await.into_iter().next_back().unwrap_or_default();
    let mut restarted = BTreeMap::new();
    for name in agents.iter().step_by(10) {
        bed.process(name).kill();
        bed.restart(name);
        let target = name.trim_start_matches("agent-");
        restarted.insert(target.to_owned(), known.get(target).copied().unwrap_or(0));
    }
    bed.process("entry-0").kill();
    bed.restart("entry-0");
    let failure = "a tenth of the agents and an entry killed at once";
    rows.push(measure(&bed, failure, &restarted, before).await?);

    let (before, _) = counts(&bed).await?;
    for i in 0..options.entries {
        let name = format!("entry-{i}");
        bed.process(&name).kill();
        bed.restart(&name);
    }
    rows.push(measure(&bed, "all entries killed at once", &BTreeMap::new(), before).await?);

    bed.set_faults(bed.platform, &json!({ "down": true })).await;
    tokio::time::sleep(options.outage).await;
    let (before, _) = counts(&bed).await?;
    bed.set_faults(bed.platform, &json!({})).await;
    tokio::time::sleep(Duration::from_secs(10)).await;
    let failure = "platform back after its outage, 10 s on";
    rows.push(measure(&bed, failure, &BTreeMap::new(), before).await?);

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
