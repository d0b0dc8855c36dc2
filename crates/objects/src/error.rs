//! Errors of the object service.

use crate::object::Version;

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of a call to the object service.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The object's version is not the expected one.
    #[error("{step} {object}: the version is {found}, not the expected one")]
    Conflict {
        /// Operation that failed.
        step: &'static str,
        /// Kind and name of the object.
        object: String,
        /// Version in the store; zero when the object does not exist.
        found: Version,
    },
    /// The service did not answer or reported that it is unavailable; a write may have taken effect.
    #[error("{step} {object}: the platform's object service is unavailable: {reason}")]
    Unavailable {
        /// Operation that failed.
        step: &'static str,
        /// Kind and name of the object.
        object: String,
        /// Error that the service or the connection reported.
        reason: String,
    },
    /// The service refused the call because there are too many; nothing was done.
    #[error("{step} {object}: the platform's object service has too many calls")]
    TooManyCalls {
        /// Operation that failed.
        step: &'static str,
        /// Kind and name of the object.
        object: String,
    },
    /// The service has discarded the changes since the version at which a watch starts, or was restored from an older copy
    /// since; all objects of the kind have to be read again.
    #[error("watching {kind}: the history since version {after} was discarded")]
    HistoryExpired {
        /// Kind of the objects.
        kind: String,
        /// Version after which changes were requested.
        after: Version,
    },
    /// The value is larger than the service accepts.
    #[error("{step} {object}: {bytes} bytes are above the limit of {limit}")]
    TooLarge {
        /// Operation that failed.
        step: &'static str,
        /// Kind and name of the object.
        object: String,
        /// Size of the value, in bytes.
        bytes: usize,
        /// Maximum size of a value, in bytes.
        limit: usize,
    },
}
