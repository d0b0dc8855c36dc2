//! `marigold-demo`: runs a whole deployment in one process and sends it load.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use marigold::demo;
use marigold_process::logs;

/// Runs a whole deployment in one process, sends it load, and prints attainment and cost
///
/// Exits with 0 only if every request got one complete response of its own and no non-idempotent call ran twice.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Load file to use instead of the deployment's own
    #[bpaf(argument("FILE"), optional)]
    load: Option<PathBuf>,
    /// Send the load for this time instead of the load file's
    #[bpaf(argument::<f64>("SECONDS"), guard(|value| *value > 0.0 && value.is_finite(), "must be above zero"), optional)]
    duration: Option<f64>,
    /// Send this many requests per second instead of the load file's
    #[bpaf(argument::<f64>("RATE"), guard(|value| *value > 0.0 && value.is_finite(), "must be above zero"), optional)]
    rate: Option<f64>,
    /// Write the report to this file as JSON
    #[bpaf(argument("FILE"), optional)]
    report: Option<PathBuf>,
    /// Folder of the deployment
    #[bpaf(positional("FOLDER"))]
    folder: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    logs::init(logs::QUIET_LEVELS);
    let Options { folder, load, duration, rate, report } = options().run();
    let options = demo::Options { folder, load, duration_s: duration, rate, report };
    match demo::run(&options).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("marigold-demo: {err:#}");
            ExitCode::FAILURE
        }
    }
}
