//! Scaling of the control path: traffic, CPU time and memory by number of links, entries, customers and
//! changes.

use std::time::{Duration, Instant};

use anyhow::Context as _;
use marigold_testbed::cluster::Cluster;
use marigold_testbed::plan::{Binaries, Plan};
use reqwest::Method;
use serde_json::{Value, json};

use super::{linear_fit, proc};
use crate::table;

/// Time between the start of a cluster and its measurement, so that start-up work is not measured.
const SETTLING_TIME: Duration = Duration::from_secs(3);

/// Resource usage of one process at one size of the cluster.
#[derive(Clone, Copy, Debug)]
struct DataPoint {
    x: f64,
    bytes_per_s: f64,
    cpu_share: f64,
    resident_bytes: f64,
}

/// Options of the benchmark.
pub struct Options {
    /// Folder with the binaries.
    pub binaries: std::path::PathBuf,
    /// Duration of each measurement.
    pub duration: Duration,
}

fn plan(entries: usize, targets: usize, customers: usize) -> Plan {
    let mut plan = Plan::small();
    plan.entries = entries;
    plan.pools.retain(|pool| pool.name == "encoders");
    plan.pools[0].targets = targets;
    plan.pipelines = "[pipeline.embed]\ndeadline_ms = 2000\nstages = [{ name = \"encode\", pool = \"encoders\" }]\n";
    plan.extra_customers = customers;
    plan.shared_targets = true;
    plan
}

/// Returns the bytes that the first entry has sent and received on its links.
async fn link_bytes(cluster: &Cluster) -> f64 {
    let status = cluster.entries[0].call_operator_api(Method::GET, "status", None).await;
    let bytes = status.body["link_bytes"].as_array().cloned().unwrap_or_default();
    bytes.iter().filter_map(Value::as_f64).sum()
}

/// Measures the resource usage of the first entry, with no requests to serve.
async fn measure_entry(
    cluster: &mut Cluster,
    x: f64,
    duration: Duration,
) -> anyhow::Result<DataPoint> {
    let pid = cluster.process("entry-0").id();
    let (before, bytes_before, started) =
        (proc::usage(pid)?, link_bytes(cluster).await, Instant::now());
    tokio::time::sleep(duration).await;
    let (after, bytes_after) = (proc::usage(pid)?, link_bytes(cluster).await);
    let elapsed = started.elapsed().as_secs_f64();
    Ok(DataPoint {
        x,
        bytes_per_s: (bytes_after - bytes_before) / elapsed,
        cpu_share: (after.cpu - before.cpu).as_secs_f64() / elapsed,
        resident_bytes: after.resident_bytes as f64,
    })
}

fn print(title: &str, unit: &str, points: &[DataPoint]) {
    println!("\n## {title}\n");
    let rows: Vec<Vec<String>> = points
        .iter()
        .map(|point| {
            vec![
                format!("{}", point.x),
                format!("{:.0}", point.bytes_per_s),
                format!("{:.3}", 100.0 * point.cpu_share),
                format!("{:.2}", point.resident_bytes / 1e6),
            ]
        })
        .collect();
    table::print(&[unit, "B/s", "% of a core", "MB"], &rows);
    let series = |value: fn(&DataPoint) -> f64| {
        linear_fit::fit(&points.iter().map(|p| (p.x, value(p))).collect::<Vec<_>>())
    };
    let fits = [
        ("bytes/s", series(|point| point.bytes_per_s)),
        ("% of a core", series(|point| 100.0 * point.cpu_share)),
        ("KB resident", series(|point| point.resident_bytes / 1e3)),
    ];
    for (name, fit) in fits {
        println!(
            "{name}: {:.4} + {:.5} each ({unit}); residual {:.4}",
            fit.intercept, fit.slope, fit.max_residual
        );
    }
}

/// Runs all measurements and prints them.
///
/// # Errors
/// Returns an error if the resource usage of a process or the call counts of the platform cannot be read.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let duration = options.duration;
    let mut points = Vec::new();
    for targets in [2, 10, 40, 120] {
        let mut cluster = Cluster::start(
            Binaries::in_folder(&options.binaries),
            &plan(1, targets, 0),
            &format!("cap-targets-{targets}"),
        )
        .await;
        tokio::time::sleep(SETTLING_TIME).await;
        points.push(measure_entry(&mut cluster, targets as f64, duration).await?);
    }
    print("Entry, by links to agents", "links", &points);

    let (mut points_by_peers, mut points_by_entries) = (Vec::new(), Vec::new());
    for entries in [1, 2, 4, 8] {
        let mut cluster = Cluster::start(
            Binaries::in_folder(&options.binaries),
            &plan(entries, 2, 0),
            &format!("cap-entries-{entries}"),
        )
        .await;
        tokio::time::sleep(SETTLING_TIME).await;
        let pid = cluster.process("agent-encoders-0").id();
        let (before, started) = (proc::usage(pid)?, Instant::now());
        points_by_peers.push(measure_entry(&mut cluster, entries as f64 - 1.0, duration).await?);
        let after = proc::usage(pid)?;
        let cpu_share = (after.cpu - before.cpu).as_secs_f64() / started.elapsed().as_secs_f64();
        points_by_entries.push(DataPoint {
            x: entries as f64,
            bytes_per_s: 0.0,
            cpu_share,
            resident_bytes: after.resident_bytes as f64,
        });
    }
    print("Entry, by peers", "peers", &points_by_peers);
    print("Agent, by entries that link to it", "entries", &points_by_entries);

    let mut points = Vec::new();
    for customers in [5, 50, 500, 4_700] {
        let mut cluster = Cluster::start(
            Binaries::in_folder(&options.binaries),
            &plan(1, 2, customers),
            &format!("cap-customers-{customers}"),
        )
        .await;
        tokio::time::sleep(SETTLING_TIME).await;
        points.push(measure_entry(&mut cluster, customers as f64, duration).await?);
    }
    print("Entry, by customers", "customers", &points);
    measure_changes(options).await
}

/// Measures an entry while customers are changed through another one, at several rates.
async fn measure_changes(options: &Options) -> anyhow::Result<()> {
    let mut cluster =
        Cluster::start(Binaries::in_folder(&options.binaries), &plan(3, 2, 4_700), "cap-changes")
            .await;
    tokio::time::sleep(SETTLING_TIME).await;
    let (mut points, mut max_latency) = (Vec::new(), Duration::ZERO);
    for rate in [0.0, 1.0, 4.0, 16.0] {
        let change_task =
            tokio::spawn(change_customers(cluster.entries[1].clone(), rate, options.duration));
        points.push(measure_entry(&mut cluster, rate, options.duration).await?);
        max_latency = max_latency.max(change_task.await.context("changing customers")?);
    }
    print(
        "Entry that is pushed to, by changes a second (4,700 customers, 3 entries)",
        "changes/s",
        &points,
    );
    println!("slowest change until confirmed by all entries: {max_latency:.1?}");
    let counts: Value =
        reqwest::get(format!("http://{}/counts", cluster.platform)).await?.json().await?;
    println!("platform calls over the run: {counts}");
    Ok(())
}

/// Changes customers at a rate in changes per second and returns the longest time until a change was confirmed.
async fn change_customers(
    entry: marigold_testbed::client::EntryClient,
    rate: f64,
    duration: Duration,
) -> Duration {
    let (started, mut max_latency, mut count) = (Instant::now(), Duration::ZERO, 0);
    if rate == 0.0 {
        return max_latency;
    }
    while started.elapsed() < duration {
        let token_sha256 = format!("{:064x}", 0xabc_0000 + count);
        let value = json!({ "token_sha256": token_sha256, "weight": 1 }).to_string();
        let body = json!({ "base": 1_000_000_000_u64, "changes": [[format!("customer/stall-{}", count % 4_700), value]] });
        let sent = Instant::now();
        let response = entry.call_operator_api(Method::POST, "apply", Some(&body)).await;
        if response.status == 200 {
            max_latency = max_latency.max(sent.elapsed());
        } else {
            println!("change refused: {}", response.body);
        }
        count += 1;
        let next = Duration::from_secs_f64(f64::from(count) / rate);
        tokio::time::sleep(next.saturating_sub(started.elapsed())).await;
    }
    max_latency
}
