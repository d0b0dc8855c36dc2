//! What the system needs of the object service.

use std::time::Duration;

use crate::error::{Error, Result};
use crate::object::{Changes, Expect, Object, Version};

/// The platform's object service.
pub trait Store: Send + Sync + 'static {
    /// Reads an object; none when there is no object of this name.
    fn get(&self, kind: &str, name: &str) -> impl Future<Output = Result<Option<Object>>> + Send;

    /// Writes an object under a condition and gives its new version.
    fn put(
        &self,
        kind: &str,
        name: &str,
        value: String,
        expect: Expect,
    ) -> impl Future<Output = Result<Version>> + Send;

    /// Deletes an object, if it is there.
    fn delete(&self, kind: &str, name: &str) -> impl Future<Output = Result<()>> + Send;

    /// Objects of a kind that changed after a version; waits up to `wait` for the first change.
    ///
    /// After version zero these are all objects of the kind, at once. [`Error::HistoryExpired`] asks for that again.
    fn watch(
        &self,
        kind: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes>> + Send;
}

/// Writes an object and, when the answer is lost or tells of a conflict, reads back whether the write took effect.
///
/// `value` has to differ from what any other writer would write.
///
/// # Errors
/// [`Error::Conflict`] when another write took its place, [`Error::Unavailable`] when it cannot be told.
pub async fn put_verified<S: Store>(
    store: &S,
    kind: &str,
    name: &str,
    value: String,
    expect: Expect,
) -> Result<Version> {
    let written = store.put(kind, name, value.clone(), expect).await;
    let Err(err @ (Error::Unavailable { .. } | Error::Conflict { .. })) = written else {
        return written;
    };
    match store.get(kind, name).await? {
        Some(object) if object.value.as_ref() == Some(&value) => Ok(object.version),
        Some(object)
            if matches!(err, Error::Unavailable { .. })
                && Expect::Version(object.version) != expect =>
        {
            Err(Error::Conflict {
                step: "writing",
                object: format!("{kind}/{name}"),
                found: object.version,
            })
        }
        _ => Err(err),
    }
}
