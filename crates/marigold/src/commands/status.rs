//! `marigold status`: shows the revision on each process, and the targets with their load.

use reqwest::Method;
use serde_json::Value;

use crate::client::Client;
use crate::error::Result;
use crate::table;

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        other => other.to_string(),
    }
}

fn rows(lines: &Value, columns: &[&str]) -> Vec<Vec<String>> {
    let lines = lines.as_array().map(Vec::as_slice).unwrap_or_default();
    lines.iter().map(|line| columns.iter().map(|column| cell(&line[*column])).collect()).collect()
}

/// Prints the status of the deployment as reported by the entry.
///
/// # Errors
/// A failed call to the entry.
pub async fn run(client: &Client, as_json: bool) -> Result<()> {
    let status: Value = client.call(Method::GET, "status", None).await?;
    if as_json {
        println!("{status}");
        return Ok(());
    }
    println!(
        "revision {}, preset {}, confirmed by the platform {} ms ago, {} requests in flight here\n",
        status["revision"],
        cell(&status["preset"]),
        status["confirmed_ms_ago"],
        status["in_flight"]
    );
    table::print(
        &["entry", "revision", "in force"],
        &rows(&status["entries"], &["address", "revision", "in_force"]),
    );
    println!();
    let columns = [
        "target",
        "pool",
        "data_centre",
        "usable",
        "leaving",
        "ejected",
        "load",
        "revision",
        "in_force",
        "licences",
    ];
    table::print(&columns, &rows(&status["targets"], &columns));
    Ok(())
}
