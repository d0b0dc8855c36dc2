//! HTTP client of an entry, for callers and operators.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::{Client, Method};
use serde_json::{Value, json};

use crate::plan::{CUSTOMER_TOKEN, OPERATOR_TOKEN};

/// Response of an entry.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status; zero when no response was received.
    pub status: u16,
    /// Body as JSON, or as a JSON string when it is not valid JSON; the error text when no response was received.
    pub body: Value,
}

impl Response {
    /// Returns whether the status is 200.
    pub fn is_success(&self) -> bool {
        self.status == 200
    }

    /// Returns the field `outcome` of problem details, or `none` when there is no such field.
    pub fn outcome(&self) -> &str {
        self.body.get("outcome").and_then(Value::as_str).unwrap_or("none")
    }
}

/// HTTP client of one entry.
#[derive(Clone)]
pub struct EntryClient {
    base: String,
    http: Client,
}

impl EntryClient {
    /// Creates a client for the entry at an address.
    pub fn new(addr: SocketAddr) -> Self {
        let http =
            Client::builder().pool_max_idle_per_host(64).build().expect("the HTTP client is built");
        Self { base: format!("http://{addr}"), http }
    }

    /// Returns the base URL of the entry.
    pub fn base(&self) -> &str {
        &self.base
    }

    async fn send(&self, req: reqwest::RequestBuilder) -> Response {
        match req.timeout(Duration::from_secs(30)).send().await {
            Ok(response) => {
                let status = response.status().as_u16();
                let text = response.text().await.unwrap_or_default();
                let body = serde_json::from_str(&text).unwrap_or(Value::from(text));
                Response { status, body }
            }
            Err(err) => Response { status: 0, body: Value::from(err.to_string()) },
        }
    }

    /// Runs a pipeline, with an optional idempotency key and deadline.
    pub async fn run(
        &self,
        pipeline: &str,
        input: &Value,
        key: Option<&str>,
        deadline_ms: Option<u64>,
    ) -> Response {
        let req = self
            .http
            .post(format!("{}/v1/run/{pipeline}", self.base))
            .bearer_auth(CUSTOMER_TOKEN)
            .json(input);
        let req = match key {
            Some(key) => req.header("idempotency-key", key),
            None => req,
        };
        let req = match deadline_ms {
            Some(deadline_ms) => req.header("deadline-ms", deadline_ms.to_string()),
            None => req,
        };
        self.send(req).await
    }

    /// Runs an operation of a non-idempotent pipeline.
    pub async fn record(&self, pipeline: &str, operation: &str, key: Option<&str>) -> Response {
        self.run(pipeline, &json!({ "operation": operation }), key, None).await
    }

    /// Runs a pipeline as a stream and returns the name and the data of each event.
    pub async fn stream(&self, pipeline: &str, input: &Value) -> Vec<(String, Value)> {
        let req =
            self.http.post(format!("{}/v1/run/{pipeline}", self.base)).bearer_auth(CUSTOMER_TOKEN);
        let response = self.send(req.header("accept", "text/event-stream").json(input)).await;
        parse_events(response.body.as_str().unwrap_or_default())
    }

    /// Sends a request to the operator API.
    pub async fn call_operator_api(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Response {
        let req = self
            .http
            .request(method, format!("{}/ops/v1/{path}", self.base))
            .bearer_auth(OPERATOR_TOKEN);
        let req = match body {
            Some(body) => req.json(body),
            None => req,
        };
        self.send(req).await
    }

    /// Sends a GET request without a token.
    pub async fn get(&self, path: &str) -> Response {
        self.send(self.http.get(format!("{}{path}", self.base))).await
    }
}

fn parse_events(text: &str) -> Vec<(String, Value)> {
    let events = text.split("\n\n").filter_map(|block| {
        let field =
            |name: &str| block.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
        let data = field("data:")?;
        let value = serde_json::from_str(data).unwrap_or(Value::from(data));
        Some((field("event:").unwrap_or_default().to_owned(), value))
    });
    events.collect()
}
