//! `marigold plan`: shows what `marigold apply` would change.

use std::path::Path;

use marigold_core::config;
use marigold_core::head::{self, ItemChange, Items};
use serde_json::json;

use crate::client::{Client, Config};
use crate::commands::validate;
use crate::error::Result;

/// Returns the configuration in force and the changes that turn it into the declarations of a folder.
///
/// # Errors
/// Errors in the declarations, or a failed call to the entry.
pub async fn changes(client: &Client, folder: &Path) -> Result<(Config, Vec<ItemChange>)> {
    let declarations = validate::read(folder)?;
    let config = client.config().await?;
    let current: Items = config
        .items
        .iter()
        .filter(|(key, _)| config::is_declared(key))
        .map(|(k, v)| (k.clone(), v.clone()))
        .collect();
    let changes = head::diff(&current, &config::to_items(&declarations));
    Ok((config, changes))
}

/// Prints the changes that `marigold apply` would make.
///
/// # Errors
/// As [`changes`].
pub async fn run(client: &Client, folder: &Path, as_json: bool) -> Result<()> {
    let (config, changes) = changes(client, folder).await?;
    if as_json {
        println!("{}", json!({ "base": config.revision, "changes": changes }));
        return Ok(());
    }
    println!("{} changes to revision {}", changes.len(), config.revision);
    for (key, value) in &changes {
        match (config.items.get(key), value) {
            (None, Some(new)) => println!("+ {key} {new}"),
            (Some(old), Some(new)) => println!("~ {key}\n    - {old}\n    + {new}"),
            (_, None) => println!("- {key}"),
        }
    }
    Ok(())
}
