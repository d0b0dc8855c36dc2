//! Error responses as problem details (RFC 9457).

use std::io::Cursor;
use std::time::Duration;

use rocket::catch;
use rocket::http::{ContentType, Status};
use rocket::request::Request;
use rocket::response::{self, Responder, Response};
use serde::Serialize;
use serde_json::json;

/// Whether stages of a failed request may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Outcome {
    /// No stage ran, and none will.
    NotRun,
    /// A stage may have run.
    Unknown,
}

/// Error response to a request.
#[derive(Debug)]
pub(crate) struct Problem {
    pub(crate) status: u16,
    pub(crate) title: String,
    pub(crate) detail: String,
    pub(crate) outcome: Outcome,
    /// Outcome of this attempt alone, for a request with an idempotency key.
    pub(crate) this_try: Option<Outcome>,
    /// Whether a non-idempotent stage may have run.
    pub(crate) effects: bool,
    pub(crate) request: String,
    pub(crate) stage: String,
    pub(crate) peer: String,
    pub(crate) retry_after: Option<Duration>,
}

impl Problem {
    /// Returns a refusal of a request of which no stage ran.
    pub(crate) fn refused(status: u16, title: &str, detail: impl Into<String>) -> Self {
        Self {
            status,
            title: title.to_owned(),
            detail: detail.into(),
            outcome: Outcome::NotRun,
            this_try: None,
            effects: false,
            request: String::new(),
            stage: String::new(),
            peer: String::new(),
            retry_after: None,
        }
    }

    /// Returns a refusal that the caller may retry after `retry_after`.
    pub(crate) fn refused_with_retry(
        status: u16,
        title: &str,
        detail: impl Into<String>,
        retry_after: Duration,
    ) -> Self {
        Self { retry_after: Some(retry_after), ..Problem::refused(status, title, detail) }
    }

    pub(crate) fn internal(detail: &str) -> Self {
        Self { outcome: Outcome::Unknown, ..Problem::refused(500, "Internal error", detail) }
    }

    pub(crate) fn caller_disconnected() -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Problem::refused(499, "The caller went away", "the stream was closed")
        }
    }

    pub(crate) fn outcome_label(&self) -> &'static str {
        match self.outcome {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
        }
    }

    /// Returns whether the error counts against the service-level objective: server errors, and refusals because a
    /// customer's share is in use (429).
    pub(crate) fn counts_against_objective(&self) -> bool {
        self.status >= 500 || self.status == 429
    }

    pub(crate) fn cause_label(&self) -> String {
        if self.stage.is_empty() {
            self.title.clone()
        } else {
            format!("{}: {}", self.stage, self.title)
        }
    }

    /// Returns the problem as JSON text.
    pub(crate) fn to_json(&self) -> String {
        let retry_after_ms = self.retry_after.map(|wait| wait.as_millis() as u64);
        let mut body = json!({
            "type": "about:blank",
            "status": self.status,
            "title": self.title,
            "detail": self.detail,
            "outcome": self.outcome,
            "effects": self.effects,
        });
        let optional = [
            ("this_try", self.this_try.map(|outcome| json!(outcome))),
            ("request", (!self.request.is_empty()).then(|| json!(self.request))),
            ("stage", (!self.stage.is_empty()).then(|| json!(self.stage))),
            ("peer", (!self.peer.is_empty()).then(|| json!(self.peer))),
            ("retry_after_ms", retry_after_ms.map(|wait| json!(wait))),
        ];
        for (name, value) in optional {
            if let Some(value) = value {
                body[name] = value;
            }
        }
        body.to_string()
    }
}

impl<'r> Responder<'r, 'static> for Problem {
    fn respond_to(self, _: &'r Request<'_>) -> response::Result<'static> {
        let body = self.to_json();
        let mut response = Response::build();
        response
            .status(Status::new(self.status))
            .header(ContentType::new("application", "problem+json"));
        if let Some(wait) = self.retry_after {
            response.raw_header("retry-after", wait.as_secs_f64().ceil().max(1.0).to_string());
        }
        response.sized_body(body.len(), Cursor::new(body)).ok()
    }
}

/// Returns the problem for a request that matches no route or that `rocket` rejects.
#[catch(default)]
pub(crate) fn catch(status: Status, req: &Request<'_>) -> Problem {
    let detail = format!("{} {}", req.method(), req.uri().path());
    Problem::refused(status.code, status.reason_lossy(), detail)
}
