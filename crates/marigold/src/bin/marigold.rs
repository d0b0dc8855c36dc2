//! `marigold`: the operators' command line.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use marigold::client::Client;
use marigold::commands::cost::Group;
use marigold::commands::{apply, burn, cost, drain, plan, preset, status, validate};
use marigold::error::Result;

/// Operates a marigoldridge deployment
///
/// Exit codes: 0 success, 1 error, 3 invalid declarations, 4 conflict with another change, 5 unknown whether the change
/// took effect.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    #[bpaf(external)]
    connection: Connection,
    /// Print JSON
    json: bool,
    #[bpaf(external)]
    command: Command,
}

#[derive(Debug, Clone, Bpaf)]
struct Connection {
    /// Base URL of an entry
    #[bpaf(env("MARIGOLD_ENTRY"), argument("URL"), fallback("http://127.0.0.1:7300".to_owned()), display_fallback)]
    entry: String,
    /// Bearer token of the operators
    #[bpaf(env("MARIGOLD_TOKEN"), argument("TOKEN"), fallback(String::new()))]
    token: String,
    /// Name of the operator, recorded with changes
    #[bpaf(env("USER"), argument("NAME"), fallback("operator".to_owned()))]
    operator: String,
}

#[derive(Debug, Clone, Bpaf)]
enum Command {
    /// Check a folder of declarations
    #[bpaf(command)]
    Validate {
        /// Folder with the declarations as TOML files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Show what apply would change
    #[bpaf(command)]
    Plan {
        /// Folder with the declarations as TOML files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Apply the declarations of a folder
    #[bpaf(command)]
    Apply {
        /// Folder with the declarations as TOML files
        #[bpaf(positional("FOLDER"))]
        folder: PathBuf,
    },
    /// Show or change the preset in force
    #[bpaf(command)]
    Preset(#[bpaf(external(preset_command))] PresetCommand),
    /// Show the revision on each process, and the targets with their load
    #[bpaf(command)]
    Status,
    /// Show the cost of attempts
    #[bpaf(command)]
    Cost {
        /// Group by customer, pipeline, stage, target or worth
        #[bpaf(long("by"), argument("GROUP"), fallback(Group::Stage))]
        by: Group,
        /// Show only the costs of this customer
        #[bpaf(argument("NAME"), optional)]
        customer: Option<String>,
    },
    /// Show the burn rates of the error budgets
    #[bpaf(command)]
    Burn {
        /// Write a chart of the burn rates to this file as SVG
        #[bpaf(argument("FILE"), optional)]
        svg: Option<PathBuf>,
    },
    /// Drain a target
    #[bpaf(command)]
    Drain {
        /// Return the target to service
        undo: bool,
        /// Name of the target
        #[bpaf(positional("TARGET"))]
        target: String,
    },
}

#[derive(Debug, Clone, Bpaf)]
enum PresetCommand {
    /// Show the preset in force
    #[bpaf(command)]
    Show,
    /// Put a preset in force
    #[bpaf(command)]
    Use {
        /// ordinary, peak or maintenance
        #[bpaf(positional("PRESET"))]
        name: String,
    },
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    match run(options().run()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("marigold: {err}");
            err.exit_code()
        }
    }
}

async fn run(options: Options) -> Result<()> {
    let Connection { entry, token, operator } = &options.connection;
    let client = Client::new(entry, token, operator);
    let as_json = options.json;
    match &options.command {
        Command::Validate { folder } => validate::run(folder),
        Command::Plan { folder } => plan::run(&client, folder, as_json).await,
        Command::Apply { folder } => apply::run(&client, folder, as_json).await,
        Command::Preset(PresetCommand::Show) => preset::show(&client, as_json).await,
        Command::Preset(PresetCommand::Use { name }) => {
            preset::choose(&client, name, as_json).await
        }
        Command::Status => status::run(&client, as_json).await,
        Command::Cost { by, customer } => {
            cost::run(&client, *by, customer.as_deref(), as_json).await
        }
        Command::Burn { svg } => burn::run(&client, svg.as_deref(), as_json).await,
        Command::Drain { undo, target } => drain::run(&client, target, *undo, as_json).await,
    }
}
