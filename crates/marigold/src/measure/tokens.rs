//! CPU time of an entry and an agent per streamed token.

use std::time::{Duration, Instant};

use marigold_testbed::cluster::Cluster;
use marigold_testbed::plan::{Binaries, Plan};
use serde_json::json;
use tokio::task::JoinSet;

use super::proc;

/// Options of the benchmark.
pub struct Options {
    /// Folder with the binaries.
    pub binaries: std::path::PathBuf,
    /// Number of concurrent streams.
    pub streams: usize,
    /// Duration of the measurement.
    pub duration: Duration,
}

/// Runs concurrent streams through one entry and prints the tokens per second and the CPU time per token.
///
/// # Errors
/// Returns an error if the resource usage of a process cannot be read.
pub async fn run(options: &Options) -> anyhow::Result<()> {
    let binaries = Binaries::in_folder(&options.binaries);
    let mut plan = Plan::streams(1);
    plan.pools.retain(|pool| pool.kind == "engine");
    (plan.pools[0].targets, plan.pools[0].duration_ms) = (8, 1.0);
    plan.pools[0].extra_toml = "concurrency = 64";
    plan.pipelines = "[pipeline.tell]\ndeadline_ms = 60000\nmax_tokens = 256\nstages = [{ name = \"generate\", pool = \"assistants\" }]\n";
    let mut cluster = Cluster::start(binaries, &plan, "tokens").await;
    let entry_pid = cluster.process("entry-0").id();
    let agent_pid = cluster.process("agent-assistants-0").id();
    let (entry_before, agent_before, started) =
        (proc::usage(entry_pid)?, proc::usage(agent_pid)?, Instant::now());
    let mut running = JoinSet::new();
    for stream in 0..options.streams {
        let (client, duration) = (cluster.entries[0].clone(), options.duration);
        running.spawn(async move {
            let (mut tokens, mut failed) = (0, 0);
            while started.elapsed() < duration {
                let response = client.run("tell", &json!({ "stream": stream }), None, None).await;
                tokens += response.body["tokens"].as_u64().unwrap_or(0);
                failed += u64::from(!response.is_success());
            }
            (tokens, failed)
        });
    }
    let (tokens, failed) = running
        .join_all()
        .await
        .into_iter()
        .fold((0, 0), |(t, f), (tokens, failed)| (t + tokens, f + failed));
    let elapsed = started.elapsed().as_secs_f64();
    let cpu = |before: proc::Usage, pid| -> anyhow::Result<f64> {
        Ok((proc::usage(pid)?.cpu - before.cpu).as_secs_f64())
    };
    let (entry_cpu, agent_cpu) = (cpu(entry_before, entry_pid)?, cpu(agent_before, agent_pid)?);
    println!(
        "{} streams, 8 engines: {:.0} tokens/s, {failed} failed; entry {:.2} cores, {:.1} us a token; agent {:.1} us a token",
        options.streams,
        tokens as f64 / elapsed,
        entry_cpu / elapsed,
        1e6 * entry_cpu / tokens.max(1) as f64,
        8e6 * agent_cpu / tokens.max(1) as f64
    );
    println!("entry: {:.1} MB resident", proc::usage(entry_pid)?.resident_bytes as f64 / 1e6);
    Ok(())
}
