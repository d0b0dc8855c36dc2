//! `marigold burn`: shows the burn rates of the error budgets.

use std::path::Path;

use anyhow::Context as _;
use marigold_core::burn::Line;
use marigold_load::plot;
use reqwest::Method;

use crate::client::Client;
use crate::error::Result;
use crate::table;

fn row(line: &Line) -> Vec<String> {
    let rates = line.windows.iter().map(|window| format!("{:.2}", window.rate));
    let total = line.windows.last().map_or(0, |window| window.good + window.bad);
    let cause =
        line.causes.first().map_or(String::new(), |(cause, count)| format!("{cause} ({count})"));
    let mut cells = vec![line.pipeline.clone(), line.customer.clone(), total.to_string()];
    cells.extend(rates);
    cells.push(format!("{:.1}%", 100.0 * line.budget_left));
    cells.push(if line.page { "page" } else { "" }.to_owned());
    cells.push(cause);
    cells
}

/// Prints the burn rates; writes a chart of the rates over 5 minutes to `svg` if it is given.
///
/// # Errors
/// A failed call to the entry, or a file that cannot be written.
pub async fn run(client: &Client, svg: Option<&Path>, as_json: bool) -> Result<()> {
    let lines: Vec<Line> = client.call(Method::GET, "burn", None).await?;
    if let Some(path) = svg {
        let values: Vec<(String, f64)> = lines
            .iter()
            .map(|line| (format!("{} / {}", line.pipeline, line.customer), line.windows[0].rate))
            .collect();
        std::fs::write(path, plot::bar_chart("Burn rate over 5 minutes", "x", &values))
            .with_context(|| format!("writing {}", path.display()))?;
    }
    if as_json {
        println!("{}", serde_json::to_string(&lines).map_err(anyhow::Error::new)?);
        return Ok(());
    }
    let rows: Vec<Vec<String>> = lines.iter().map(row).collect();
    let headings = [
        "pipeline",
        "customer",
        "requests",
        "burn 5m",
        "burn 1h",
        "burn 6h",
        "budget left",
        "",
        "top cause",
    ];
    table::print(&headings, &rows);
    Ok(())
}
