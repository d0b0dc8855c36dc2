//! Calls to the target beside the agent.

use std::time::Duration;

use futures::StreamExt as _;
use marigold_core::outcome::{Answer, NotRunCause, Outcome};
use reqwest::Response;
use serde::Deserialize;

/// Time for opening a connection to the target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an unused connection to the target is closed.
const POOL_IDLE: Duration = Duration::from_secs(10);
/// Time for reading a target's load or model.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest call that may not be cut.
pub const MAX_CALL: Duration = Duration::from_secs(300);
/// Largest answer of a target, in bytes.
const MAX_ANSWER: usize = 4 * 1024 * 1024;

/// What is asked of a target.
#[derive(Clone, Debug)]
pub struct TargetCall {
    /// Path at the target.
    pub path: String,
    /// JSON text.
    pub body: String,
    /// Time after which the call is given up.
    pub timeout: Duration,
    /// Whether the call may run more than once.
    pub idempotent: bool,
}

/// How an order ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// The target carried it out.
    Done,
    /// The target has had an order with a later fencing number.
    Fenced,
    /// It cannot be told; the loaded model has to be read back.
    Unknown(String),
}

/// A target as the agent sees it.
pub trait Target: Send + Sync + 'static {
    /// Calls the target and waits for its whole answer.
    fn call(&self, call: &TargetCall) -> impl Future<Output = Outcome> + Send;

    /// Calls an engine and passes each token on as it comes.
    fn generate(
        &self,
        call: &TargetCall,
        on_token: impl FnMut(String) + Send,
    ) -> impl Future<Output = Outcome> + Send;

    /// Model that the target has loaded; empty before the first order.
    fn model(&self) -> impl Future<Output = Option<String>> + Send;

    /// Orders the target to load a model; waits until it has, for `bound` at the most.
    fn load_model(
        &self,
        model: &str,
        fencing: u64,
        bound: Duration,
    ) -> impl Future<Output = OrderEnd> + Send;

    /// Calls in progress and queued, as the target reports them.
    fn load(&self) -> impl Future<Output = Option<u32>> + Send;
}

/// A target that speaks HTTP.
pub struct HttpTarget {
    base: String,
    /// Uses connections again, for calls that may be repeated.
    pooled: reqwest::Client,
    /// Opens a connection for each call: on one that the target just closed, a call could not be told from one that ran.
    fresh: reqwest::Client,
}

#[derive(Deserialize)]
struct Line {
    #[serde(default)]
    text: String,
    #[serde(default)]
    done: bool,
}

#[derive(Deserialize)]
struct Loaded {
    model: String,
}

#[derive(Deserialize)]
struct LoadReport {
    running: u32,
    queued: u32,
}

impl HttpTarget {
    /// A target at a base URL.
    ///
    /// # Errors
    /// What `reqwest` says when the client cannot be set up.
    pub fn open(base: &str) -> reqwest::Result<Self> {
        let builder = || reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT);
        Ok(Self {
            base: base.trim_end_matches('/').to_owned(),
            pooled: builder().pool_idle_timeout(POOL_IDLE).build()?,
            fresh: builder().pool_max_idle_per_host(0).build()?,
        })
    }

    async fn send(&self, call: &TargetCall) -> Result<Response, Outcome> {
        let client = if call.idempotent { &self.pooled } else { &self.fresh };
        let url = format!("{}{}", self.base, call.path);
        let req = client.post(url).timeout(call.timeout).header("content-type", "application/json");
        req.body(call.body.clone()).send().await.map_err(|err| {
            if err.is_connect() {
                return Outcome::not_run(NotRunCause::TargetRefused);
            }
            Outcome::Unknown(format!("calling the target: {err}"))
        })
    }
}

fn broken(err: &reqwest::Error) -> Outcome {
    Outcome::Unknown(format!("reading the target's answer: {err}"))
}

impl Target for HttpTarget {
    async fn call(&self, call: &TargetCall) -> Outcome {
        let response = match self.send(call).await {
            Ok(response) => response,
            Err(outcome) => return outcome,
        };
        let status = response.status().as_u16();
        match response.text().await {
            Ok(body) if body.len() > MAX_ANSWER => {
                Outcome::Unknown("the target's answer is too large".to_owned())
            }
            Ok(body) => Outcome::Done(Answer { status, body, tokens: 0 }),
            Err(err) => broken(&err),
        }
    }

    async fn generate(
        &self,
        call: &TargetCall,
        mut on_token: impl FnMut(String) + Send,
    ) -> Outcome {
        let response = match self.send(call).await {
            Ok(response) => response,
            Err(outcome) => return outcome,
        };
        let status = response.status().as_u16();
        if status != 200 {
            return Outcome::Done(Answer { status, body: String::new(), tokens: 0 });
        }
        let mut chunks = response.bytes_stream();
        let mut buf = Vec::new();
        let mut tokens = 0;
        while let Some(chunk) = chunks.next().await {
            match chunk {
                Ok(chunk) => buf.extend_from_slice(&chunk),
                Err(err) => return broken(&err),
            }
            while let Some(end) = buf.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buf.drain(..=end).collect();
                match serde_json::from_slice::<Line>(&line) {
                    Ok(line) if line.done => {
                        return Outcome::Done(Answer { status, body: String::new(), tokens });
                    }
                    Ok(line) => {
                        tokens += 1;
                        on_token(line.text);
                    }
                    Err(err) => return Outcome::Unknown(format!("reading a token: {err}")),
                }
            }
            if buf.len() > MAX_ANSWER {
                return Outcome::Unknown("a line of the target's stream is too large".to_owned());
            }
        }
        Outcome::Unknown("the target's stream ended early".to_owned())
    }

    async fn model(&self) -> Option<String> {
        let req = self.pooled.get(format!("{}/v1/model", self.base)).timeout(READ_TIMEOUT);
        let loaded: Loaded = req.send().await.ok()?.json().await.ok()?;
        Some(loaded.model)
    }

    async fn load_model(&self, model: &str, fencing: u64, bound: Duration) -> OrderEnd {
        let order = serde_json::json!({ "fencing": fencing, "action": "load", "value": model });
        let req = self.fresh.post(format!("{}/v1/orders", self.base)).timeout(bound).json(&order);
        match req.send().await {
            Ok(response) if response.status().is_success() => OrderEnd::Done,
            Ok(response) if response.status().as_u16() == 409 => OrderEnd::Fenced,
            Ok(response) => OrderEnd::Unknown(format!("status {}", response.status())),
            Err(err) => OrderEnd::Unknown(err.to_string()),
        }
    }

    async fn load(&self) -> Option<u32> {
        let req = self.pooled.get(format!("{}/v1/load", self.base)).timeout(READ_TIMEOUT);
        let report: LoadReport = req.send().await.ok()?.json().await.ok()?;
        Some(report.running + report.queued)
    }
}
