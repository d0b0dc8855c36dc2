//! Reading of settings files.

use std::path::Path;

use anyhow::Context as _;
use serde::de::DeserializeOwned;

/// Reads a settings file in TOML.
///
/// # Errors
/// When the file cannot be read or parsed; the error names the file, and the line and the key that are invalid.
pub fn read<T: DeserializeOwned>(path: &Path) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("reading settings {}", path.display()))?;
    toml::from_str(&text).with_context(|| format!("parsing settings {}", path.display()))
}
