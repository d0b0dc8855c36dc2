//! Result of a stage.

use std::time::Duration;

use marigold_core::ids::Name;
use marigold_core::outcome::{Answer, NotRunCause};

/// Time to wait before a retry, when there is no better estimate.
pub(super) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

pub(crate) struct StageDone {
    pub(crate) answer: Answer,
    pub(crate) text: String,
    pub(crate) target: Name,
    pub(crate) duration: Duration,
    pub(crate) replayed: bool,
}

pub(crate) enum FailureKind {
    /// No attempt ran.
    NotRun(NotRunCause),
    /// Refused before any attempt, because the deadline cannot be met.
    CannotMeetDeadline,
    /// Refused before any attempt, because the customer's share of the pool is used up.
    ShareExceeded,
    NoTarget,
    /// An attempt may have run.
    Unknown,
    /// The holder of the licence for the key's shard cannot be reached.
    NoHolder,
    /// The deadline passed during an attempt.
    DeadlinePassed,
    /// The idempotency key was used before with another body.
    KeyMismatch,
}

pub(crate) struct StageFailed {
    pub(crate) kind: FailureKind,
    /// Whether an attempt of this stage may have run.
    pub(crate) may_have_run: bool,
    pub(crate) peer: Name,
    pub(crate) detail: String,
    pub(crate) retry_after: Duration,
}

impl StageFailed {
    /// Creates the failure of a stage that is refused before any attempt.
    pub(crate) fn refused(kind: FailureKind, detail: &str) -> Self {
        Self {
            kind,
            may_have_run: false,
            peer: Name::new(),
            detail: detail.to_owned(),
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }

    /// Creates the failure for an attempt that did not run.
    pub(crate) fn not_run(cause: NotRunCause, retry_after: Duration, peer: &str) -> Self {
        Self {
            kind: FailureKind::NotRun(cause),
            may_have_run: false,
            peer: peer.to_owned(),
            detail: format!("the attempt did not run: {cause}"),
            retry_after: if retry_after.is_zero() { DEFAULT_RETRY_AFTER } else { retry_after },
        }
    }

    /// Creates the failure for an attempt that may have run.
    pub(crate) fn unknown(detail: String, peer: &str) -> Self {
        Self {
            kind: FailureKind::Unknown,
            may_have_run: true,
            peer: peer.to_owned(),
            detail,
            retry_after: DEFAULT_RETRY_AFTER,
        }
    }
}
