//! Interface between the gateway and the external protocol: the headers, bodies and stored objects that it
//! exchanges with callers, targets and the store.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use marigold_core::reported_load::ReportedLoad;
use marigold_core::routes::Routing;
use marigold_core::targets::Target;

/// Result of parsing external input.
pub type Result<T> = std::result::Result<T, ParseError>;

/// Invalid input; the text names the header, field or body and the reason.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ParseError(pub String);

/// Parsed headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Id of the caller's attempt.
    pub request: String,
    /// Time that the caller waits for the response.
    pub timeout: Option<Duration>,
    /// API key that identifies the caller's customer.
    pub api_key: Option<String>,
    /// Id of the last event of a stream that the caller received.
    pub last_event: Option<u64>,
    /// Id of the caller's attempt that brought the first event of the stream that this attempt takes up.
    pub resumes: Option<String>,
    /// Ids of the parts of the prompt, in order; the last part belongs to this request or session only.
    pub prompt_parts: Vec<String>,
    /// Number of pieces of each stage, in the order of the stages.
    pub pieces: Vec<u32>,
    /// Key of the pieces of stages without inputs.
    pub piece_key: Option<String>,
}

impl CallerHead {
    /// Returns the id of the last part of the prompt that other requests may share.
    pub fn shared_prompt_part(&self) -> Option<&str> {
        let shared = self.prompt_parts.len().saturating_sub(2);
        self.prompt_parts.get(shared).map(String::as_str)
    }
}

/// Values of the headers that the gateway sets on a request forwarded to a target.
#[derive(Clone, Debug, Default)]
pub struct Forward {
    /// Time until the deadline.
    pub time_left: Duration,
    /// Id of the target that the request is addressed to.
    pub target: String,
    /// Name of the caller's customer.
    pub customer: Option<String>,
    /// Urgency at the target, from 0 (served first) to 9.
    pub urgency: Option<u8>,
    /// Handles of the results of the last stages.
    pub inputs: Vec<String>,
    /// Id of the event after which a stream resumes.
    pub resume_after: Option<u64>,
}

/// What a target's reply says about the rate of requests that the target takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitStatement {
    /// It names no limit.
    #[default]
    Unlimited,
    /// It names a limit, in requests a second from all gateways together; finite and not negative.
    PerSecond(f64),
    /// It names a limit that cannot be read, or the reply is not from the target that was called.
    Unknown,
}

/// Parsed headers of a target's reply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplyHead {
    /// Id of the attempt that the reply answers.
    pub request: Option<String>,
    /// Whether the reply carries the target's signature.
    pub is_signed: bool,
    /// Whether the reply proves that the request it names did not run.
    pub not_run: bool,
    /// What the reply says about the target's limit.
    pub limit: LimitStatement,
    /// Whether the target says that it leaves.
    pub is_leaving: bool,
    /// Time for which the target wants no requests; set in refusals only.
    pub pause: Option<Duration>,
    /// Load that the target reports.
    pub load: Option<ReportedLoad>,
}

impl ReplyHead {
    /// Returns whether this is a target's reply to the given request. A reply that names no request may be the one to an
    /// earlier request, also if it is a refusal.
    pub fn is_reply_to(&self, request: &str) -> bool {
        (self.is_signed || self.not_run) && self.request.as_deref() == Some(request)
    }
}

/// A unit of batched work: one part of a stage, sent to a target in a call together with other pieces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Id of the caller's attempt.
    pub request: String,
    /// Index of the stage in its route.
    pub stage: u32,
    /// Index of the piece within its stage.
    pub piece: u32,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Key of the pieces; set for a stage without inputs.
    pub key: Option<String>,
    /// Handles of the results that the stage depends on.
    pub inputs: Vec<String>,
}

/// Reason why a target returned no result for a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceError {
    /// The request's deadline has passed.
    Late,
    /// The target has removed an input.
    InputGone,
    /// The target has no free memory for results.
    OutOfMemory,
    /// The target failed.
    Failed,
}

/// Handle of a piece's result, or the reason why there is none.
pub type PieceResult = std::result::Result<String, PieceError>;

/// Converts between the external protocol and the gateway's types. Implementations hold no state and make no
/// decisions.
pub trait Dialect: Send + Sync + 'static {
    /// Kind of the stored object that holds the configuration.
    const CONFIG_KIND: &'static str;
    /// Name of the stored object that holds the configuration.
    const CONFIG_NAME: &'static str;
    /// Kind of the stored objects that describe the targets, one each.
    const TARGET_KIND: &'static str;
    /// Kind of the stored objects whose names are the data centres that are evacuated.
    const EVACUATION_KIND: &'static str;
    /// Path of the readiness check, which reports whether a gateway accepts callers.
    const READY_PATH: &'static str;
    /// Path of a call that runs pieces on a target.
    const STAGE_PATH: &'static str;
    /// Path of a call that frees results on a target.
    const RELEASE_PATH: &'static str;

    /// Parses the headers of a caller's request.
    ///
    /// # Errors
    /// [`ParseError`] if a header is missing, repeated or invalid; its text names the header.
    fn read_caller(headers: &HeaderMap) -> Result<CallerHead>;

    /// Converts the end-to-end headers of a caller's request into those for a target: removes the headers that only
    /// the gateway may set, then sets the values of `head` and `forward`.
    fn forward_headers(headers: &mut HeaderMap, head: &CallerHead, forward: &Forward);

    /// Parses the headers of a target's reply.
    fn read_reply(status: StatusCode, headers: &HeaderMap) -> ReplyHead;

    /// Sets the headers of the gateway's own calls to the target with the id `target`.
    fn call_headers(headers: &mut HeaderMap, target: &str);

    /// Returns the body of a call that runs `pieces`.
    fn stage_call(pieces: &[Piece]) -> Bytes;

    /// Parses the reply to a call of `pieces` pieces into one result for each piece, in the order of the call.
    ///
    /// # Errors
    /// [`ParseError`] if the body is not a valid reply or has another number of results.
    fn stage_results(body: &[u8], pieces: usize) -> Result<Vec<PieceResult>>;

    /// Returns the body of a call that frees results.
    fn release_call(handles: &[String]) -> Bytes;

    /// Returns the address of the target that holds a result, or `None` if the handle is invalid.
    fn result_addr(handle: &str) -> Option<std::net::SocketAddr>;

    /// Parses a configuration.
    ///
    /// # Errors
    /// [`ParseError`] if the configuration is invalid; its text names the route, service, limit or JSON position.
    fn parse_routing(text: &str) -> Result<Routing>;

    /// Parses the stored object of the target with the id `id`.
    ///
    /// # Errors
    /// [`ParseError`] if the object does not describe a usable target.
    fn parse_target(id: &str, text: &str) -> Result<Target>;
}
