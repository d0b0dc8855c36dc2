//! Reading of settings files.

use std::path::Path;

use anyhow::{Context as _, anyhow};
use serde::de::DeserializeOwned;

/// Reads a settings file in TOML.
///
/// # Errors
/// When the file cannot be read or parsed; the error is one line that names the file, and the line and the key that are invalid.
pub fn read<T: DeserializeOwned>(path: &Path) -> anyhow::Result<T> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("reading settings {}", path.display()))?;
    toml::from_str(&text)
        .map_err(|err| anyhow!(describe(&text, &err)))
        .with_context(|| format!("parsing settings {}", path.display()))
}

/// Describes an error in one line: the line of the text that it is about, if it is one, and what is wrong with it.
fn describe(text: &str, err: &toml::de::Error) -> String {
    let message = err.message().replace('\n', ", ");
    // The place of a missing key is that of another one.
    let span = err.span().filter(|_| !message.starts_with("missing field"));
    let line = span.and_then(|span| {
        let (before, rest) = (text.get(..span.start)?, text.get(span.start..)?);
        let start = before.rfind('\n').map_or(0, |end| end + 1);
        let end = rest.find('\n').map_or(text.len(), |len| before.len() + len);
        Some((before.matches('\n').count() + 1, text[start..end].trim()))
    });
    match line {
        Some((number, line)) => format!("line {number}, `{line:.200}`: {message}"),
        None => message,
    }
}

/// Returns a parser of an option with a rate; an empty text is none, and the error names the option.
pub fn rate_parser(option: &'static str) -> impl Fn(String) -> Result<Option<f64>, String> {
    move |text| parse_number(&text, |rate| rate > 0.0, option, "no positive number")
}

/// Returns a parser of an option that overrides a share in the settings, zero or more; an empty text is none, and the error names
/// the option.
pub fn share_parser(option: &'static str) -> impl Fn(String) -> Result<Option<f64>, String> {
    move |text| {
        parse_number(&text, |share| share >= 0.0, option, "neither zero nor a positive number")
    }
}

fn parse_number(
    text: &str,
    is_in_range: impl Fn(f64) -> bool,
    option: &str,
    problem: &str,
) -> Result<Option<f64>, String> {
    if text.is_empty() {
        return Ok(None);
    }
    let number =
        text.parse().ok().filter(|number: &f64| number.is_finite() && is_in_range(*number));
    number.map(Some).ok_or_else(|| format!("option `{option}`: `{text}` is {problem}"))
}
