//! Conditions of writes to the in-memory object service.

use marigold_objects::memory::MemoryStore;
use marigold_objects::{Error, Expect, Store as _};

/// A gateway that is gone may come back and write its object while another one is about to delete it.
#[tokio::test]
async fn delete_of_another_version_is_a_conflict() {
    let store = MemoryStore::default();
    let first = store.put("k", "a", "1".to_owned(), Expect::Absent).await.unwrap();
    let second = store.put("k", "a", "2".to_owned(), Expect::Version(first)).await.unwrap();
    let err = store.delete("k", "a", Expect::Version(first)).await.unwrap_err();
    assert!(matches!(err, Error::Conflict { found, .. } if found == second), "{err}");
    store.delete("k", "a", Expect::Version(second)).await.unwrap();
    assert_eq!(store.get("k", "a").await.unwrap(), None);
    store.delete("k", "a", Expect::Any).await.unwrap();
}
