//! Errors of the object service.

use crate::object::Version;

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a call to the object service gave no result.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The object's version is not the expected one.
    #[error("{step} {object}: the version is {found}, not the expected one")]
    Conflict {
        /// What was being done.
        step: &'static str,
        /// Kind and name of the object.
        object: String,
        /// Version in the store; zero when there is no object.
        found: Version,
    },
    /// The service did not answer, or said that it cannot; a write may have taken effect.
    #[error("{step} {object}: the platform's object service is unavailable: {reason}")]
    Unavailable {
        /// What was being done.
        step: &'static str,
        /// Kind and name of the object.
        object: String,
        /// What the service or the connection said.
        reason: String,
    },
    /// The service no longer has the changes since the version that a watch began with; all has to be read.
    #[error("watching {kind}: the history since version {after} is gone")]
    HistoryExpired {
        /// Kind of the objects.
        kind: String,
        /// Version with which the watch began.
        after: Version,
    },
    /// The value is larger than the service takes.
    #[error("{step} {object}: {bytes} bytes are above the limit of {limit}")]
    TooLarge {
        /// What was being done.
        step: &'static str,
        /// Kind and name of the object.
        object: String,
        /// Size of the value.
        bytes: usize,
        /// Largest size taken.
        limit: usize,
    },
}
