//! Load driver: sends arrivals to running entries and checks that each response is complete and belongs to its
//! request.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use marigold_core::digest;
use rand::Rng as _;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::arrivals::Arrival;

/// Time after which a request without a response counts as lost; longer than the longest deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(70);

/// Outcome of a request as observed by the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A complete response to the input of the request.
    Done,
    /// A response that is incomplete or belongs to another input.
    Wrong,
    /// The entry reported that nothing was executed.
    NotRun,
    /// The entry reported an error, and the request may have been executed.
    Unknown,
    /// No readable response: the connection failed or the request timed out.
    Lost,
}

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The request.
    pub arrival: Arrival,
    /// Operation identifier in the input, by which the stand-ins count executions.
    pub operation: String,
    /// Outcome of the request.
    pub outcome: Outcome,
    /// Time from the planned arrival to the response, which corrects for coordinated omission.
    pub latency: Duration,
    /// Number of tokens in the response.
    pub tokens: u64,
    /// Error detail, or the result when the outcome is [`Outcome::Wrong`]; empty on success.
    pub detail: String,
}

/// Entries that receive the requests, and the credentials to send them with.
#[derive(Clone)]
pub struct Driver {
    /// Base URLs of the entries, used round robin.
    pub entries: Vec<String>,
    /// Bearer tokens by customer.
    pub tokens: BTreeMap<String, String>,
    /// Whether requests carry an idempotency key.
    pub with_idempotency_keys: bool,
}

impl Driver {
    /// Sends all arrivals at their planned times and returns their samples in order of completion.
    ///
    /// `on_sample` is called for each sample.
    pub async fn run(
        &self,
        arrivals: Vec<Arrival>,
        mut on_sample: impl FnMut(&Sample),
    ) -> Vec<Sample> {
        let http = reqwest::Client::builder()
            .pool_max_idle_per_host(256)
            .build()
            .expect("the HTTP client is set up");
        let run_id = format!("{:08x}", rand::rng().next_u32());
        let driver = Arc::new(self.clone());
        let started = Instant::now();
        let mut running = JoinSet::new();
        let mut samples = Vec::with_capacity(arrivals.len());
        for arrival in arrivals {
            tokio::time::sleep_until((started + arrival.at).into()).await;
            let (driver, http, run_id) = (driver.clone(), http.clone(), run_id.clone());
            running.spawn(async move { driver.send(&http, arrival, &run_id, started).await });
            while let Some(Ok(sample)) = running.try_join_next() {
                on_sample(&sample);
                samples.push(sample);
            }
        }
        while let Some(Ok(sample)) = running.join_next().await {
            on_sample(&sample);
            samples.push(sample);
        }
        samples
    }

    async fn send(
        &self,
        http: &reqwest::Client,
        arrival: Arrival,
        run_id: &str,
        started: Instant,
    ) -> Sample {
        let operation = format!("{run_id}-{}", arrival.serial);
        let input = json!({ "operation": operation, "text": format!("{} for {}", arrival.pipeline, arrival.customer) });
        let entry = &self.entries[arrival.serial % self.entries.len()];
        let token = self.tokens.get(&arrival.customer).map_or("", String::as_str);
        let req = http
            .post(format!("{entry}/v1/run/{}", arrival.pipeline))
            .bearer_auth(token)
            .json(&input);
        let req = if self.with_idempotency_keys {
            req.header("idempotency-key", &operation)
        } else {
            req
        };
        let (outcome, tokens, detail) = match req.timeout(REQUEST_TIMEOUT).send().await {
            Err(err) => (Outcome::Lost, 0, err.to_string()),
            Ok(response) => {
                let status = response.status().as_u16();
                match response.json::<Value>().await {
                    Ok(body) => check_response(status, &body, &input),
                    Err(err) => (Outcome::Lost, 0, err.to_string()),
                }
            }
        };
        let latency = started.elapsed().saturating_sub(arrival.at);
        Sample { arrival, operation, outcome, latency, tokens, detail }
    }
}

/// Classifies a response and returns its outcome, its number of tokens and a detail.
fn check_response(status: u16, body: &Value, input: &Value) -> (Outcome, u64, String) {
    if status != 200 {
        let outcome = if body["outcome"] == "not_run" { Outcome::NotRun } else { Outcome::Unknown };
        return (outcome, 0, format!("{status} {}: {}", body["title"], body["detail"]));
    }
    let tokens = body["tokens"].as_u64().unwrap_or(0);
    let digest = digest::body(&input.to_string());
    let is_expected = match &body["result"] {
        Value::String(text) => {
            let expected: Vec<String> = (0..tokens).map(|i| format!("{digest}.{i}")).collect();
            tokens > 0 && *text == expected.join(" ")
        }
        result => {
            result["input_digest"] == digest.as_str() && result["operation"] == input["operation"]
        }
    };
    if is_expected {
        (Outcome::Done, tokens, String::new())
    } else {
        (Outcome::Wrong, tokens, body["result"].to_string())
    }
}
