//! Client of an entry's operators' API.

use std::time::Duration;

use anyhow::Context as _;
use marigold_core::head::{ItemChange, Items};
use marigold_core::ids::Revision;
use reqwest::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::error::{Error, Result};

/// Time for an answer.
const TIMEOUT: Duration = Duration::from_secs(15);

/// The configuration in force.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Its revision.
    pub revision: Revision,
    /// The preset in force.
    pub preset: String,
    /// Its items.
    pub items: Items,
}

/// A change that is in force.
#[derive(Clone, Debug, Deserialize)]
pub struct Accepted {
    /// Revision that it made.
    pub revision: Revision,
    /// Entries that confirmed it.
    pub confirmed: usize,
    /// All entries.
    pub entries: usize,
}

/// A client of one entry.
pub struct Client {
    base: String,
    token: String,
    operator: String,
    http: reqwest::Client,
}

impl Client {
    /// A client for the entry at a base URL.
    pub fn open(base: &str, token: &str, operator: &str) -> Client {
        Client {
            base: base.trim_end_matches('/').to_owned(),
            token: token.to_owned(),
            operator: operator.to_owned(),
            http: reqwest::Client::new(),
        }
    }

    /// Calls the operators' API.
    ///
    /// # Errors
    /// [`Error::Conflict`] and [`Error::Unknown`] as the entry says, [`Error::Other`] for all else.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<T> {
        let url = format!("{}/ops/v1/{path}", self.base);
        let req = self
            .http
            .request(method.clone(), &url)
            .bearer_auth(&self.token)
            .header("operator", &self.operator);
        let req = match body {
            Some(body) => req.json(body),
            None => req,
        };
        let sent = req.timeout(TIMEOUT).send().await;
        let response = match sent {
            Ok(response) => response,
            Err(err) if method == Method::GET || err.is_connect() => {
                return Err(Error::Other(
                    anyhow::Error::new(err).context(format!("calling {url}")),
                ));
            }
            Err(err) => return Err(Error::Unknown(err.to_string())),
        };
        let status = response.status();
        let text = response.text().await.with_context(|| format!("reading from {url}"))?;
        if status.is_success() {
            return Ok(serde_json::from_str(&text)
                .with_context(|| format!("parsing the answer of {url}"))?);
        }
        Err(refused(status.as_u16(), &text))
    }

    /// Reads the configuration in force.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn config(&self) -> Result<Config> {
        self.call(Method::GET, "config", None).await
    }

    /// Changes items; `base` is the revision that the changes were made from.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn apply(&self, base: Revision, changes: &[ItemChange]) -> Result<Accepted> {
        self.call(Method::POST, "apply", Some(&json!({ "base": base, "changes": changes }))).await
    }
}

fn refused(status: u16, text: &str) -> Error {
    let problem: Value = serde_json::from_str(text).unwrap_or_default();
    let detail = problem["detail"].as_str().unwrap_or(text).to_owned();
    match status {
        409 => Error::Conflict(detail),
        422 => Error::Invalid(detail.split("; ").map(str::to_owned).collect()),
        _ if problem["outcome"] == "unknown" => Error::Unknown(detail),
        _ => {
            let title = problem["title"].as_str().unwrap_or("refused");
            Error::Other(anyhow::anyhow!("{title} ({status}): {detail}"))
        }
    }
}
