//! Command line of the gateway's program.

use std::path::PathBuf;

use anyhow::Context as _;
use marigold_process::settings;
use marigold_schema::settings::GatewaySettings;

use crate::settings::Settings;

/// Serves callers on the platform
#[derive(Clone, Debug, bpaf::Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Writes a second that the store takes; like the following options, overrides the setting of this name unless empty
    #[bpaf(argument::<String>("RATE"), parse(settings::rate_parser("--store-writes-per-s")), fallback(None))]
    store_writes_per_s: Option<f64>,
    /// Time within which the evacuation of a data centre has to be in force, in milliseconds
    #[bpaf(argument::<String>("MS"), parse(settings::rate_parser("--evacuation-ms")), fallback(None))]
    evacuation_ms: Option<f64>,
    /// Memory that the process may use, in megabytes
    #[bpaf(argument::<String>("MB"), parse(settings::rate_parser("--memory-mb")), fallback(None))]
    memory_mb: Option<f64>,
    /// Number of file descriptors that the process may open
    #[bpaf(argument::<String>("COUNT"), parse(settings::rate_parser("--max-open-files")), fallback(None))]
    max_open_files: Option<f64>,
    /// Hedged requests as a share of those that may be repeated; zero disables hedging
    #[bpaf(argument::<String>("SHARE"), parse(settings::share_parser("--hedge-ratio")), fallback(None))]
    hedge_ratio: Option<f64>,
    /// Settings file in TOML
    #[bpaf(positional("SETTINGS"))]
    settings: PathBuf,
}

impl Options {
    /// Reads the settings file and applies the other options.
    ///
    /// # Errors
    /// When the file cannot be read or parsed, or a setting has no meaning; the error names it.
    pub fn read_settings(&self) -> anyhow::Result<Settings> {
        let settings: GatewaySettings = settings::read(&self.settings)?;
        let settings = GatewaySettings {
            store_writes_per_s: self.store_writes_per_s.unwrap_or(settings.store_writes_per_s),
            evacuation_ms: self.evacuation_ms.or(settings.evacuation_ms),
            memory_mb: self.memory_mb.unwrap_or(settings.memory_mb),
            max_open_files: self.max_open_files.unwrap_or(settings.max_open_files),
            hedge_ratio: self.hedge_ratio.unwrap_or(settings.hedge_ratio),
            ..settings
        };
        Settings::try_from(settings)
            .with_context(|| format!("checking settings {}", self.settings.display()))
    }
}
