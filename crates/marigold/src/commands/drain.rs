//! `marigold drain`: drains a target, or returns it to service.

use reqwest::Method;

use crate::client::Client;
use crate::commands::apply;
use crate::error::Result;

/// Drains a target, or returns it to service if `undo` is set.
///
/// # Errors
/// A target that is not declared, a conflict with another change, or a failed call to the entry.
pub async fn run(client: &Client, target: &str, undo: bool, as_json: bool) -> Result<()> {
    let method = if undo { Method::DELETE } else { Method::PUT };
    let accepted = client.call(method, &format!("drain/{target}"), None).await?;
    apply::print_accepted(&accepted, as_json);
    Ok(())
}
