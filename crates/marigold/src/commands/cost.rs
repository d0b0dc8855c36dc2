//! `marigold cost`: shows the cost of attempts, grouped by a part of the account.

use marigold_core::cost::{Account, Accounts, Line, Total};
use reqwest::Method;

use crate::client::Client;
use crate::error::Result;
use crate::table;

/// Part of the account by which costs are grouped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// Customer.
    Customer,
    /// Pipeline.
    Pipeline,
    /// Stage of a pipeline.
    Stage,
    /// Target.
    Target,
    /// Category of the outcome of the attempts.
    Worth,
}

impl std::str::FromStr for Group {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        match text {
            "customer" => Ok(Group::Customer),
            "pipeline" => Ok(Group::Pipeline),
            "stage" => Ok(Group::Stage),
            "target" => Ok(Group::Target),
            "worth" => Ok(Group::Worth),
            _ => Err(format!(
                "`{text}` is no group; accepted: customer, pipeline, stage, target, worth"
            )),
        }
    }
}

fn group_key(group: Group, account: &Account) -> String {
    match group {
        Group::Customer => account.customer.clone(),
        Group::Pipeline => account.pipeline.clone(),
        Group::Stage => format!("{}/{}", account.pipeline, account.stage),
        Group::Target => account.target.clone(),
        Group::Worth => format!("{:?}", account.worth).to_lowercase(),
    }
}

fn row(name: &str, total: &Total) -> Vec<String> {
    let price = format!("{:.6}", total.micros as f64 / 1e6);
    vec![name.to_owned(), total.attempts.to_string(), total.tokens.to_string(), price]
}

/// Prints the totals of the groups and the total of all accounts.
pub fn print(accounts: &Accounts, group: Group) {
    let mut rows: Vec<Vec<String>> =
        accounts.by(|account| group_key(group, account)).iter().map(|(k, t)| row(k, t)).collect();
    rows.push(row("total", &accounts.sum()));
    table::print(&["", "attempts", "tokens", "cost"], &rows);
}

/// Prints the costs of all entries, for all customers or one.
///
/// # Errors
/// A failed call to the entry.
pub async fn run(
    client: &Client,
    group: Group,
    customer: Option<&str>,
    as_json: bool,
) -> Result<()> {
    let mut lines: Vec<Line> = client.call(Method::GET, "cost", None).await?;
    lines.retain(|line| customer.is_none_or(|name| line.account.customer == name));
    if as_json {
        println!("{}", serde_json::to_string(&lines).map_err(anyhow::Error::new)?);
        return Ok(());
    }
    let mut accounts = Accounts::default();
    accounts.add_lines(&lines);
    print(&accounts, group);
    Ok(())
}
