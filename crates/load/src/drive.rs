//! Sends arrivals to real entries and checks that each gets its own whole answer.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use marigold_core::digest;
use rand::Rng as _;
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::arrivals::Arrival;

/// Time past the longest deadline after which a request counts as lost.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(70);

/// How a request ended, as the caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// A whole answer of its own.
    Done,
    /// An answer that is not its own or not whole.
    Wrong,
    /// Nothing ran.
    NotRun,
    /// It may have run.
    Unknown,
    /// No answer at all.
    Lost,
}

/// One request and its end.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The request.
    pub arrival: Arrival,
    /// Operation by which the stand-ins count it.
    pub operation: String,
    /// How it ended.
    pub outcome: Outcome,
    /// Time from the planned arrival, which corrects for coordinated omission.
    pub latency: Duration,
    /// Tokens in the answer.
    pub tokens: u64,
    /// What the caller was told when there was no answer.
    pub detail: String,
}

/// Where requests go and who sends them.
#[derive(Clone)]
pub struct Driver {
    /// Base URLs of the entries, used in turn.
    pub entries: Vec<String>,
    /// Bearer token by customer.
    pub tokens: BTreeMap<String, String>,
    /// Whether requests carry idempotency keys.
    pub with_idempotency_keys: bool,
}

impl Driver {
    /// Sends all arrivals at their times; `on_sample` sees each end.
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

fn check_response(status: u16, body: &Value, input: &Value) -> (Outcome, u64, String) {
    if status != 200 {
        let outcome = if body["outcome"] == "not_run" { Outcome::NotRun } else { Outcome::Unknown };
        return (outcome, 0, format!("{status} {}: {}", body["title"], body["detail"]));
    }
    let tokens = body["tokens"].as_u64().unwrap_or(0);
    let digest = digest::body(&input.to_string());
    let is_own = match &body["result"] {
        Value::String(text) => {
            let expected: Vec<String> = (0..tokens).map(|i| format!("{digest}.{i}")).collect();
            tokens > 0 && *text == expected.join(" ")
        }
        result => {
            result["input_digest"] == digest.as_str() && result["operation"] == input["operation"]
        }
    };
    if is_own {
        (Outcome::Done, tokens, String::new())
    } else {
        (Outcome::Wrong, tokens, body["result"].to_string())
    }
}
