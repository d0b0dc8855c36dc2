//! Client of the target beside the agent.

use std::time::Duration;

use futures::StreamExt as _;
use marigold_core::outcome::{Answer, NotRunCause, Outcome};
use reqwest::Response;
use serde::Deserialize;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which an idle pooled connection to the target is closed.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for reading a target's load or model.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest duration of a call to a target. A call that may run only once gets this timeout whatever its deadline,
/// because cutting it off leaves its outcome unknown.
pub const MAX_CALL_DURATION: Duration = Duration::from_secs(300);
/// Largest response body, or line of a streamed response, of a target.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;

/// A call to a target.
#[derive(Clone, Debug)]
pub struct TargetCall {
    /// Request path, appended to the target's base URL.
    pub path: String,
    /// Request body as JSON text.
    pub body: String,
    /// Time after which the call is abandoned.
    pub timeout: Duration,
    /// Whether the call may run more than once.
    pub idempotent: bool,
}

/// Outcome of an order to load a model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The target has loaded the model.
    Done,
    /// The target refused the order, because it has received one with a higher fencing token.
    Fenced,
    /// The order may or may not have been executed, for the given reason; the loaded model has to be read back.
    Unknown(String),
}

/// Operations of a target.
pub trait Target: Send + Sync + 'static {
    /// Calls the target and waits for its complete response.
    fn call(&self, call: &TargetCall) -> impl Future<Output = Outcome> + Send;

    /// Calls an engine and passes on each token as it arrives.
    fn generate(
        &self,
        call: &TargetCall,
        on_token: impl FnMut(String) + Send,
    ) -> impl Future<Output = Outcome> + Send;

    /// Returns the loaded model, empty if there is none, or nothing if the target does not respond.
    fn model(&self) -> impl Future<Output = Option<String>> + Send;

    /// Orders the target to load a model, and waits for at most `timeout` until it has.
    fn load_model(
        &self,
        model: &str,
        fencing: u64,
        timeout: Duration,
    ) -> impl Future<Output = OrderOutcome> + Send;

    /// Returns the number of calls in progress and queued at the target, or nothing if it does not respond.
    fn load(&self) -> impl Future<Output = Option<u32>> + Send;
}

/// A target with an HTTP interface.
pub struct HttpTarget {
    base: String,
    /// Reuses connections; for calls that may be repeated.
    pooled: reqwest::Client,
    /// Opens a connection for each call. On a reused connection that the target has just closed, a call that was
    /// not received could not be distinguished from one that ran.
    unpooled: reqwest::Client,
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
    /// Creates the client of the target at a base URL.
    ///
    /// # Errors
    /// The error of `reqwest` if the HTTP client cannot be created.
    pub fn open(base: &str) -> reqwest::Result<Self> {
        let builder = || reqwest::Client::builder().connect_timeout(CONNECT_TIMEOUT);
        Ok(Self {
            base: base.trim_end_matches('/').to_owned(),
            pooled: builder().pool_idle_timeout(POOL_IDLE_TIMEOUT).build()?,
            unpooled: builder().pool_max_idle_per_host(0).build()?,
        })
    }

    async fn send(&self, call: &TargetCall) -> Result<Response, Outcome> {
        let client = if call.idempotent { &self.pooled } else { &self.unpooled };
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

fn read_error(err: &reqwest::Error) -> Outcome {
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
            Ok(body) if body.len() > MAX_RESPONSE_BYTES => {
                Outcome::Unknown("the target's answer is too large".to_owned())
            }
            Ok(body) => Outcome::Done(Answer { status, body, tokens: 0 }),
            Err(err) => read_error(&err),
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
                Err(err) => return read_error(&err),
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
            if buf.len() > MAX_RESPONSE_BYTES {
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

    async fn load_model(&self, model: &str, fencing: u64, timeout: Duration) -> OrderOutcome {
        let order = serde_json::json!({ "fencing": fencing, "action": "load", "value": model });
        let req =
            self.unpooled.post(format!("{}/v1/orders", self.base)).timeout(timeout).json(&order);
        match req.send().await {
            Ok(response) if response.status().is_success() => OrderOutcome::Done,
            Ok(response) if response.status().as_u16() == 409 => OrderOutcome::Fenced,
            Ok(response) => OrderOutcome::Unknown(format!("status {}", response.status())),
            Err(err) => OrderOutcome::Unknown(err.to_string()),
        }
    }

    async fn load(&self) -> Option<u32> {
        let req = self.pooled.get(format!("{}/v1/load", self.base)).timeout(READ_TIMEOUT);
        let report: LoadReport = req.send().await.ok()?.json().await.ok()?;
        Some(report.running + report.queued)
    }
}
