//! Client of the operators' API of an entry.

use std::time::Duration;

use anyhow::Context as _;
use marigold_core::head::{ItemChange, Items};
use marigold_core::ids::Revision;
use reqwest::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::error::{Error, Result};

const REQUEST_TIMEOUT: Duration = Duration::from_secs(15);

/// The configuration in force.
#[derive(Clone, Debug, Deserialize)]
pub struct Config {
    /// Revision of the configuration.
    pub revision: Revision,
    /// The preset in force.
    pub preset: String,
    /// Items of the configuration.
    pub items: Items,
}

/// An accepted change.
#[derive(Clone, Debug, Deserialize)]
pub struct Accepted {
    /// Revision that the change created.
    pub revision: Revision,
    /// Number of entries that confirmed the revision.
    pub confirmed: usize,
    /// Number of all entries.
    pub entries: usize,
}

/// A client of the operators' API of one entry.
pub struct Client {
    base_url: String,
    token: String,
    operator: String,
    http: reqwest::Client,
}

impl Client {
    /// Returns a client for the entry at a base URL; `operator` is the name recorded with changes.
    pub fn new(base_url: &str, token: &str, operator: &str) -> Client {
        Client {
            base_url: base_url.trim_end_matches('/').to_owned(),
            token: token.to_owned(),
            operator: operator.to_owned(),
            http: reqwest::Client::new(),
        }
    }

    /// Calls a path of the operators' API and parses the response.
    ///
    /// # Errors
    /// [`Error::Invalid`], [`Error::Conflict`] or [`Error::Unknown`] as the entry reports; [`Error::Unknown`] also when a
    /// change was sent and no response arrived; [`Error::Other`] in all other cases.
    pub async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<T> {
        let url = format!("{}/ops/v1/{path}", self.base_url);
        let req = self
            .http
            .request(method.clone(), &url)
            .bearer_auth(&self.token)
            .header("operator", &self.operator);
        let req = match body {
            Some(body) => req.json(body),
            None => req,
        };
        let result = req.timeout(REQUEST_TIMEOUT).send().await;
        let response = match result {
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
        Err(to_error(status.as_u16(), &text))
    }

    /// Returns the configuration in force.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn config(&self) -> Result<Config> {
        self.call(Method::GET, "config", None).await
    }

    /// Submits changes of items; `base` is the revision on which the changes are based.
    ///
    /// # Errors
    /// As [`Client::call`].
    pub async fn apply(&self, base: Revision, changes: &[ItemChange]) -> Result<Accepted> {
        self.call(Method::POST, "apply", Some(&json!({ "base": base, "changes": changes }))).await
    }
}

fn to_error(status: u16, text: &str) -> Error {
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
