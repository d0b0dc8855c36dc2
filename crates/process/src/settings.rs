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

/// Parses a rate on the command line; an empty text is none.
///
/// # Errors
/// When the text is no positive number.
pub fn parse_rate(text: String) -> Result<Option<f64>, String> {
    if text.is_empty() {
        return Ok(None);
    }
    let rate = text.parse().ok().filter(|rate: &f64| rate.is_finite() && *rate > 0.0);
    rate.map(Some).ok_or_else(|| format!("`{text}` is no positive number"))
}

/// Parses an option that overrides a share in the settings, zero or more; it is `None` if the text is empty.
///
/// # Errors
/// When the text is no such number.
pub fn parse_share(text: String) -> Result<Option<f64>, String> {
    if text.is_empty() {
        return Ok(None);
    }
    let share = text.parse().ok().filter(|share: &f64| share.is_finite() && *share >= 0.0);
    share.map(Some).ok_or_else(|| format!("`{text}` is neither zero nor a positive number"))
}
