//! Parsing and checks of the headers and body of a request.

use std::time::Duration;

use marigold_core::digest;
use rocket::data::{Data, ToByteUnit as _};
use rocket::request::{FromRequest, Outcome, Request};
use serde_json::Value;

use super::problem::Problem;
use crate::state::Shared;

const MAX_BODY_BYTES: u64 = 1024 * 1024;
/// Longest idempotency key or operator name.
const MAX_KEY_BYTES: usize = 255;
const MAX_TOKEN_BYTES: usize = 512;

/// Headers that the entry reads, not validated yet.
pub(crate) struct Headers<'r> {
    authorization: Option<&'r str>,
    key: Option<&'r str>,
    deadline: Option<&'r str>,
    accept: Option<&'r str>,
    operator: Option<&'r str>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Headers<'r> {
    type Error = std::convert::Infallible;

    async fn from_request(req: &'r Request<'_>) -> Outcome<Self, Self::Error> {
        let headers = req.headers();
        Outcome::Success(Headers {
            authorization: headers.get_one("authorization"),
            key: headers.get_one("idempotency-key"),
            deadline: headers.get_one("deadline-ms"),
            accept: headers.get_one("accept"),
            operator: headers.get_one("operator"),
        })
    }
}

impl Headers<'_> {
    /// Returns the bearer token.
    ///
    /// # Errors
    /// A problem with status 401 when the header is missing or malformed.
    pub(crate) fn token(&self) -> Result<&str, Problem> {
        let token = self.authorization.and_then(|value| value.strip_prefix("Bearer "));
        let token = token.filter(|token| !token.is_empty() && token.len() <= MAX_TOKEN_BYTES);
        token.ok_or_else(|| {
            Problem::refused(401, "Unauthorized", "a bearer token is needed in `Authorization`")
        })
    }

    /// Checks that the bearer token is the one of the operators.
    pub(crate) fn check_operator(&self, shared: &Shared) -> Result<(), Problem> {
        let hash = digest::sha256_hex(self.token()?);
        if digest::same_hash(&hash, &shared.settings.operator_token_sha256) {
            return Ok(());
        }
        Err(Problem::refused(403, "Forbidden", "the token is not the operators'"))
    }

    /// Returns the name that the operator gives, or `operator`; it is not authenticated.
    pub(crate) fn operator(&self) -> &str {
        self.operator.filter(|name| name.len() <= MAX_KEY_BYTES).unwrap_or("operator")
    }

    /// Returns the idempotency key, if there is one.
    pub(crate) fn key(&self) -> Result<Option<String>, Problem> {
        let Some(key) = self.key else { return Ok(None) };
        let is_valid = !key.is_empty()
            && key.len() <= MAX_KEY_BYTES
            && key.bytes().all(|byte| byte.is_ascii_graphic());
        if is_valid {
            return Ok(Some(key.to_owned()));
        }
        let detail =
            format!("`Idempotency-Key` takes 1 to {MAX_KEY_BYTES} visible ASCII characters");
        Err(Problem::refused(400, "Bad idempotency key", detail))
    }

    /// Returns the time until the deadline: from the header, at most `cap`, or `default` without the header.
    pub(crate) fn deadline(&self, default: Duration, cap: Duration) -> Result<Duration, Problem> {
        let Some(text) = self.deadline else { return Ok(default) };
        match text.parse::<u64>() {
            Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis).min(cap)),
            _ => {
                let detail = format!(
                    "`Deadline-Ms` is `{text}`; accepted: a whole number of milliseconds above zero"
                );
                Err(Problem::refused(400, "Bad deadline", detail))
            }
        }
    }

    /// Returns whether the caller accepts a stream of events.
    pub(crate) fn wants_stream(&self) -> bool {
        self.accept.is_some_and(|accept| accept.contains("text/event-stream"))
    }
}

/// Reads a JSON body of at most [`MAX_BODY_BYTES`].
pub(crate) async fn read_json(data: Data<'_>) -> Result<Value, Problem> {
    let read = data.open(MAX_BODY_BYTES.bytes()).into_string().await;
    let text = read.map_err(|err| {
        Problem::refused(400, "Bad body", format!("the body cannot be read: {err}"))
    })?;
    if !text.is_complete() {
        return Err(Problem::refused(
            413,
            "Body too large",
            format!("a body may have {MAX_BODY_BYTES} bytes"),
        ));
    }
    serde_json::from_str(&text)
        .map_err(|err| Problem::refused(400, "Bad body", format!("the body is no JSON: {err}")))
}
