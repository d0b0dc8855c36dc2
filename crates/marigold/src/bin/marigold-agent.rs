//! `marigold-agent`: runs beside one target and forwards calls to it.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context as _;
use bpaf::Bpaf;
use marigold_agent::agent::Agent;
use marigold_process::{logs, settings, signals::Signals};

/// Runs beside one target and mediates all calls to it
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file in TOML
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> ExitCode {
    match run(options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("marigold-agent: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: Options) -> anyhow::Result<()> {
    logs::init(logs::SERVER_LEVELS);
    let settings = settings::read(&options.settings)?;
    let mut signals = Signals::open().context("listening for signals")?;
    let agent = Agent::bind(settings).await?;
    signals.wait_for_stop().await;
    tokio::select! {
        () = agent.drain() => Ok(()),
        () = signals.wait_for_stop() => anyhow::bail!("stopped at once by a second signal; calls cut: {}", agent.in_flight()),
    }
}
