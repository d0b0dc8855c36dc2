//! What is spoken with callers, targets and the store, in the project's own words.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use marigold_core::routes::Routing;
use marigold_core::targets::Target;

/// Result of this module.
pub type Result<T> = std::result::Result<T, ParseError>;

/// Something that cannot be read; the text names what and why.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ParseError(pub String);

/// What a caller's request says in its headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// Id of the caller's attempt.
    pub request: String,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// The caller's key.
    pub api_key: Option<String>,
    /// Id of the last event that the caller has of a stream.
    pub last_event: Option<u64>,
    /// Ids of the parts of the prompt, in order; the last belongs to the request or its session alone.
    pub prompt_parts: Vec<String>,
    /// Number of pieces of each stage.
    pub pieces: Vec<u32>,
    /// Key of the pieces.
    pub piece_key: Option<String>,
}

impl CallerHead {
    /// Id of the last part of the prompt that is shared with other requests.
    pub fn shared_prompt_part(&self) -> Option<&str> {
        let shared = self.prompt_parts.len().saturating_sub(2);
        self.prompt_parts.get(shared).map(String::as_str)
    }
}

/// What the system says of a request that it passes on.
#[derive(Clone, Debug, Default)]
pub struct Forward {
    /// Time left of the deadline.
    pub time_left: Duration,
    /// Id of the target that is meant.
    pub target: String,
    /// Name of the caller's customer.
    pub customer: Option<String>,
    /// Urgency at the target, from 0, which is first, to 9.
    pub urgency: Option<u8>,
    /// Handles of the results of the last stages.
    pub inputs: Vec<String>,
    /// Id of the event after which a stream goes on.
    pub resume_after: Option<u64>,
}

/// What a target says in the headers of a reply.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplyHead {
    /// Id of the attempt that the reply answers.
    pub request: Option<String>,
    /// Whether the reply carries the target's signature.
    pub is_signed: bool,
    /// Whether the target says that the request did not run.
    pub not_run: bool,
}

/// One piece of a stage in a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Id of the caller's attempt.
    pub request: String,
    /// Index of the stage on its route.
    pub stage: u32,
    /// Number of the piece.
    pub piece: u32,
    /// Time left of the request's deadline.
    pub time_left: Duration,
    /// Key of the pieces, for a stage without inputs.
    pub key: Option<String>,
    /// Handles of the results that the stage needs.
    pub inputs: Vec<String>,
}

/// Why a target gave no result for a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceError {
    /// The deadline had passed.
    Late,
    /// An input no longer exists.
    InputGone,
    /// The target has no memory left for results.
    OutOfMemory,
    /// The target failed.
    Failed,
}

/// Handle of a piece's result, or why there is none.
pub type PieceResult = std::result::Result<String, PieceError>;

/// Translation between the outside and the project's own types; it decides nothing and keeps nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Kind of the object that holds the configuration.
    const CONFIG_KIND: &'static str;
    /// Name of that object.
    const CONFIG_NAME: &'static str;
    /// Kind of the objects that list the targets.
    const TARGET_KIND: &'static str;
    /// Path of the question whether a gateway takes callers.
    const READY_PATH: &'static str;
    /// Path of a call with pieces.
    const STAGE_PATH: &'static str;
    /// Path of a call that frees results.
    const RELEASE_PATH: &'static str;

    /// Reads the headers of a caller's request.
    ///
    /// # Errors
    /// [`ParseError`] names the header that is missing or cannot be read.
    fn read_caller(headers: &HeaderMap) -> Result<CallerHead>;

    /// Turns the end-to-end headers of a caller's request into those for a target: what only the system may set is
    /// taken out, and what it says of the request is put in.
    fn forward_headers(headers: &mut HeaderMap, head: &CallerHead, forward: &Forward);

    /// Reads the headers of a target's reply.
    fn read_reply(status: StatusCode, headers: &HeaderMap) -> ReplyHead;

    /// Sets the headers of the system's own calls to the target with an id.
    fn call_headers(headers: &mut HeaderMap, target: &str);

    /// Body of a call with pieces.
    fn stage_call(pieces: &[Piece]) -> Bytes;

    /// Results of a call with `pieces` pieces.
    ///
    /// # Errors
    /// [`ParseError`] when the body is not the reply to such a call.
    fn stage_results(body: &[u8], pieces: usize) -> Result<Vec<PieceResult>>;

    /// Body of a call that frees results.
    fn release_call(handles: &[String]) -> Bytes;

    /// Address of the target that keeps a result.
    fn result_addr(handle: &str) -> Option<std::net::SocketAddr>;

    /// Reads a configuration.
    ///
    /// # Errors
    /// [`ParseError`] names the field that does not fit.
    fn parse_routing(text: &str) -> Result<Routing>;

    /// Reads an entry of the list of targets.
    ///
    /// # Errors
    /// [`ParseError`] for an entry that names no target to use.
    fn parse_target(id: &str, text: &str) -> Result<Target>;
}
