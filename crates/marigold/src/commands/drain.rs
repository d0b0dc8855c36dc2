//! `marigold drain`: takes a target out of use, or puts it back.

use reqwest::Method;

use crate::client::Client;
use crate::commands::apply;
use crate::error::Result;

/// Drains a target, or undoes that.
///
/// # Errors
/// A target that is not declared, a lost race, or the entry's word.
pub async fn run(client: &Client, target: &str, undo: bool, as_json: bool) -> Result<()> {
    let method = if undo { Method::DELETE } else { Method::PUT };
    let accepted = client.call(method, &format!("drain/{target}"), None).await?;
    apply::print_accepted(&accepted, as_json);
    Ok(())
}
