//! `marigold preset`: shows or changes the preset in force.

use marigold_core::config;
use reqwest::Method;
use serde_json::json;

use crate::client::Client;
use crate::commands::apply;
use crate::error::{Error, Result};

/// Prints the preset in force.
///
/// # Errors
/// A failed call to the entry.
pub async fn show(client: &Client, as_json: bool) -> Result<()> {
    let config = client.config().await?;
    if as_json {
        println!("{}", json!({ "preset": config.preset, "revision": config.revision }));
    } else {
        println!("{} (revision {})", config.preset, config.revision);
    }
    Ok(())
}

/// Puts a preset in force.
///
/// # Errors
/// An unknown name, a conflict with another change, or a failed call to the entry.
pub async fn choose(client: &Client, name: &str, as_json: bool) -> Result<()> {
    if !config::PRESETS.contains(&name) {
        let accepted = config::PRESETS.join(", ");
        return Err(Error::Invalid(vec![format!(
            "preset `{name}` is not known; accepted: {accepted}"
        )]));
    }
    let base = client.config().await?.revision;
    let accepted = client.call(Method::PUT, &format!("preset/{name}?base={base}"), None).await?;
    apply::print_accepted(&accepted, as_json);
    Ok(())
}
