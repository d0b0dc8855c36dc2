//! Trait of the object service.

use std::time::Duration;

use crate::error::{Error, Result};
use crate::object::{Changes, Expect, Object, Version};

/// Client of the platform's object service.
pub trait Store: Send + Sync + 'static {
    /// Reads an object; returns `None` when it does not exist.
    fn get(&self, kind: &str, name: &str) -> impl Future<Output = Result<Option<Object>>> + Send;

    /// Writes an object if the condition holds, and returns the new version.
    fn put(
        &self,
        kind: &str,
        name: &str,
        value: String,
        expect: Expect,
    ) -> impl Future<Output = Result<Version>> + Send;

    /// Deletes an object if the condition holds; without a condition it succeeds if the object does not exist.
    fn delete(
        &self,
        kind: &str,
        name: &str,
        expect: Expect,
    ) -> impl Future<Output = Result<()>> + Send;

    /// Returns the objects of a kind that changed after version `after`; waits up to `wait` for the first change.
    ///
    /// If `after` is zero, returns all objects of the kind at once. After [`Error::HistoryExpired`] the caller has to
    /// start again from zero.
    fn watch(
        &self,
        kind: &str,
        after: Version,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes>> + Send;
}

/// Writes an object; when the answer is lost or reports a conflict, reads the object to find out whether the write
/// took effect.
///
/// `value` must differ from all values that other writers write.
///
/// # Errors
/// [`Error::Conflict`] when the condition did not hold or another write took effect instead, [`Error::Unavailable`]
/// when the outcome is unknown, and any other error of [`Store::put`].
pub async fn put_verified<S: Store>(
    store: &S,
    kind: &str,
    name: &str,
    value: String,
    expect: Expect,
) -> Result<Version> {
    let result = store.put(kind, name, value.clone(), expect).await;
    let Err(err @ (Error::Unavailable { .. } | Error::Conflict { .. })) = result else {
        return result;
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
