//! How a stage ends.

use std::time::Duration;

use marigold_core::ids::Name;
use marigold_core::outcome::{Answer, NotRunCause};

/// When to come back after a refusal without a better estimate.
pub(super) const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// A stage that gave its answer.
pub(crate) struct StageDone {
    pub(crate) answer: Answer,
    pub(crate) text: String,
    pub(crate) target: Name,
    pub(crate) duration: Duration,
    pub(crate) replayed: bool,
}

/// Why a stage gave no answer.
pub(crate) enum FailureKind {
    /// No attempt ran.
    NotRun(NotRunCause),
    /// Refused before any attempt, because the deadline cannot be met.
    TooLate,
    /// Refused before any attempt, because the customer has used up its share.
    Share,
    /// No target can take the stage.
    NoTarget,
    /// An attempt may have run.
    Unknown,
    /// The key's home cannot be heard.
    NoHome,
    /// The deadline passed while an attempt was in progress.
    Deadline,
    /// The key was used with another body.
    KeyMismatch,
}

/// A stage without an answer.
pub(crate) struct StageFailed {
    pub(crate) kind: FailureKind,
    /// Whether an attempt of this stage may have run.
    pub(crate) may_have_run: bool,
    pub(crate) peer: Name,
    pub(crate) detail: String,
    pub(crate) retry_after: Duration,
}

impl StageFailed {
    /// A stage that was refused before any attempt.
    pub(crate) fn refused(kind: FailureKind, detail: &str) -> Self {
        Self {
            kind,
            may_have_run: false,
            peer: Name::new(),
            detail: detail.to_owned(),
            retry_after: DEFAULT_RETRY,
        }
    }
    /// An attempt that did not run.
    pub(crate) fn not_run(cause: NotRunCause, retry_after: Duration, peer: &str) -> Self {
        Self {
            kind: FailureKind::NotRun(cause),
            may_have_run: false,
            peer: peer.to_owned(),
            detail: format!("the attempt did not run: {cause}"),
            retry_after: if retry_after.is_zero() { DEFAULT_RETRY } else { retry_after },
        }
    }

    /// An attempt that may have run.
    pub(crate) fn unknown(detail: String, peer: &str) -> Self {
        Self {
            kind: FailureKind::Unknown,
            may_have_run: true,
            peer: peer.to_owned(),
            detail,
            retry_after: DEFAULT_RETRY,
        }
    }
}
