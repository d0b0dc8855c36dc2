//! `marigold-entry`: serves callers and operators.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context as _;
use bpaf::Bpaf;
use marigold_entry::entry::Entry;
use marigold_process::{logs, settings, signals::Signals};

/// Serves callers and operators
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file in TOML
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("marigold-entry: {err:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run(options: Options) -> anyhow::Result<()> {
    logs::init(logs::SERVER_LEVELS);
    let settings = settings::read(&options.settings)?;
    let mut signals = Signals::open().context("listening for signals")?;
    let entry = Entry::bind(settings).await?;
    signals.wait_for_stop().await;
    tokio::select! {
        () = entry.drain() => Ok(()),
        () = signals.wait_for_stop() => anyhow::bail!("stopped at once by a second signal; requests cut: {}", entry.in_flight()),
    }
}
