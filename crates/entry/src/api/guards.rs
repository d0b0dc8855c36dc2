//! What is read of a request's headers and body.

use std::time::Duration;

use marigold_core::digest;
use rocket::data::{Data, ToByteUnit as _};
use rocket::request::{FromRequest, Outcome, Request};
use serde_json::Value;

use super::problem::Problem;
use crate::state::Shared;

/// Largest body of a request, in bytes.
const MAX_BODY: u64 = 1024 * 1024;
/// Longest idempotency key.
const MAX_KEY: usize = 255;
/// Longest bearer token.
const MAX_TOKEN: usize = 512;

/// Headers that matter, unchecked.
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
    /// The bearer token.
    pub(crate) fn token(&self) -> Result<&str, Problem> {
        let token = self.authorization.and_then(|value| value.strip_prefix("Bearer "));
        let token = token.filter(|token| !token.is_empty() && token.len() <= MAX_TOKEN);
        token.ok_or_else(|| {
            Problem::refused(401, "Unauthorized", "a bearer token is needed in `Authorization`")
        })
    }

    /// Checks the operators' token.
    pub(crate) fn check_operator(&self, shared: &Shared) -> Result<(), Problem> {
        let hash = digest::sha256_hex(self.token()?);
        if digest::same_hash(&hash, &shared.settings.operator_token_sha256) {
            return Ok(());
        }
        Err(Problem::refused(403, "Forbidden", "the token is not the operators'"))
    }

    /// Name of the operator, as it says.
    pub(crate) fn operator(&self) -> &str {
        self.operator.filter(|name| name.len() <= MAX_KEY).unwrap_or("operator")
    }

    /// The idempotency key.
    pub(crate) fn key(&self) -> Result<Option<String>, Problem> {
        let Some(key) = self.key else { return Ok(None) };
        let fits = !key.is_empty()
            && key.len() <= MAX_KEY
            && key.bytes().all(|byte| byte.is_ascii_graphic());
        if fits {
            return Ok(Some(key.to_owned()));
        }
        let detail = format!("`Idempotency-Key` takes 1 to {MAX_KEY} visible ASCII characters");
        Err(Problem::refused(400, "Bad idempotency key", detail))
    }

    /// The deadline, from now.
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

    /// Whether the caller wants tokens as they come.
    pub(crate) fn wants_stream(&self) -> bool {
        self.accept.is_some_and(|accept| accept.contains("text/event-stream"))
    }
}

/// Reads a JSON body within the limit.
pub(crate) async fn read_json(data: Data<'_>) -> Result<Value, Problem> {
    let read = data.open(MAX_BODY.bytes()).into_string().await;
    let text = read.map_err(|err| {
        Problem::refused(400, "Bad body", format!("the body cannot be read: {err}"))
    })?;
    if !text.is_complete() {
        return Err(Problem::refused(
            413,
            "Body too large",
            format!("a body may have {MAX_BODY} bytes"),
        ));
    }
    serde_json::from_str(&text)
        .map_err(|err| Problem::refused(400, "Bad body", format!("the body is no JSON: {err}")))
}
