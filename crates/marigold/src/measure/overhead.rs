//! Latency that entry and agent add to a call, and the CPU time and memory they use for it.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use marigold_testbed::cluster::Cluster;
use marigold_testbed::plan::{Binaries, CUSTOMER_TOKEN, Plan};
use serde_json::json;
use tokio::task::JoinSet;

use super::proc;

/// Time for which one path is measured before the other one has its turn.
const TURN_DURATION: Duration = Duration::from_secs(1);

/// Options of the benchmark.
pub struct Options {
    /// Folder with the binaries.
    pub binaries: std::path::PathBuf,
    /// Rate in requests per second.
    pub rate: f64,
    /// Time for which each path is measured, in whole turns of one second.
    pub duration: Duration,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid")
}

/// Sends POST requests at a fixed rate and returns their latencies in microseconds and the number of failures.
///
/// Latencies count from the planned sending times, which corrects for coordinated omission.
async fn send_at_rate(url: &str, rate: f64, duration: Duration) -> (Histogram<u64>, u64) {
    let http = reqwest::Client::builder()
        .pool_max_idle_per_host(512)
        .build()
        .expect("the HTTP client is set up");
    let started = Instant::now();
    let mut running = JoinSet::new();
    let count = (rate * duration.as_secs_f64()) as u64;
    for i in 0..count {
        let planned = started + Duration::from_secs_f64(i as f64 / rate);
        tokio::time::sleep_until(planned.into()).await;
        let req = http
            .post(url)
            .bearer_auth(CUSTOMER_TOKEN)
            .json(&json!({ "operation": format!("o{i}"), "request": "r" }));
        running.spawn(async move {
            let is_success = match req.send().await {
                Ok(response) => response.status() == 200 && response.bytes().await.is_ok(),
                Err(_) => false,
            };
            (is_success, planned.elapsed())
        });
    }
    let (mut latencies, mut failures) = (histogram(), 0);
    while let Some(Ok((is_success, latency))) = running.join_next().await {
        if is_success {
            latencies.saturating_record(latency.as_micros() as u64);
        } else {
            failures += 1;
        }
    }
    (latencies, failures)
}

fn print(name: &str, (latencies, failures): &(Histogram<u64>, u64)) {
    let millis = |quantile| latencies.value_at_quantile(quantile) as f64 / 1e3;
    println!(
        "{name:<28} {:>7} answered {failures:>4} failed  p50 {:.2} ms  p99 {:.2} ms  max {:.2} ms",
        latencies.len(),
        millis(0.5),
        millis(0.99),
        millis(1.0)
    );
}

/// Runs the benchmark and prints its results.
///
/// # Errors
/// Returns an error if the resource usage of a process cannot be read.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let binaries = Binaries::in_folder(&options.binaries);
    let mut plan = Plan::small();
    plan.entries = 1;
    plan.pools.retain(|pool| pool.name == "encoders");
    plan.pools[0].duration_ms = 1.0;
    plan.pools[0].extra_toml = "concurrency = 256";
    plan.pipelines = "[pipeline.embed]\ndeadline_ms = 2000\nstages = [{ name = \"encode\", pool = \"encoders\" }]\n";
    let mut cluster = Cluster::start(binaries, &plan, "overhead").await;
    let (entry, agent) =
        (cluster.process("entry-0").id(), cluster.process("agent-encoders-0").id());
    let idle = (proc::usage(entry)?, proc::usage(agent)?);
    let direct_url = format!("http://{}/v1/call", cluster.targets[0].target_addr);
    let routed_url = format!("{}/v1/run/embed", cluster.entries[0].base());
    let (mut direct, mut routed) = ((histogram(), 0), (histogram(), 0));
    // Short alternating turns, so that changes in the load of the host affect both paths alike.
    for _ in 0..options.duration.as_secs().max(1) {
        for (url, total) in [(&direct_url, &mut direct), (&routed_url, &mut routed)] {
            let (latencies, failures) = send_at_rate(url, options.rate, TURN_DURATION).await;
            total.0.add(&latencies)?;
            total.1 += failures;
        }
    }
    print("direct to the stand-in", &direct);
    print("through entry and agent", &routed);
    let added = |quantile| {
        (routed.0.value_at_quantile(quantile) as f64 - direct.0.value_at_quantile(quantile) as f64)
            / 1e3
    };
    println!(
        "added: p50 {:.2} ms, p99 {:.2} ms at {} requests/s",
        added(0.5),
        added(0.99),
        options.rate
    );
    let loaded = (proc::usage(entry)?, proc::usage(agent)?);
    for (name, idle, loaded) in [("entry", idle.0, loaded.0), ("agent", idle.1, loaded.1)] {
        let cpu = (loaded.cpu - idle.cpu).as_secs_f64();
        println!(
            "{name}: {:.1} MB idle, {:.1} MB after the load, {:.2} s of processor time ({:.0} us a request)",
            idle.resident_bytes as f64 / 1e6,
            loaded.resident_bytes as f64 / 1e6,
            cpu,
            1e6 * cpu / routed.0.len().max(1) as f64
        );
    }
    Ok(())
}
