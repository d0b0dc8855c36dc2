//! In-memory object service, for tests and the stand-in.

use std::collections::BTreeMap;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;

use crate::error::{Error, Result};
use crate::object::{Changes, Expect, MAX_VALUE_BYTES, Object, Version};
use crate::store::Store;

#[derive(Clone, Default)]
struct Inner {
    version: Version,
    objects: BTreeMap<(String, String), Object>,
    /// Oldest version from which a watch can continue.
    history_since: Version,
}

/// Copy of all objects, from which a store can be restored.
#[derive(Clone)]
pub struct Backup(Inner);

/// Object service that keeps all objects in memory.
pub struct MemoryStore {
    inner: Mutex<Inner>,
    changed: watch::Sender<Version>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self { inner: Mutex::default(), changed: watch::channel(Version::default()).0 }
    }
}

impl MemoryStore {
    /// Discards the history, so that a watch from an older version fails with [`Error::HistoryExpired`].
    pub fn forget_history(&self) {
        let mut inner = self.inner.lock();
        inner.history_since = inner.version;
    }

    /// Returns a copy of all objects.
    pub fn backup(&self) -> Backup {
        Backup(self.inner.lock().clone())
    }

    /// Replaces all objects with those of a copy and raises the era; revisions after that of the copy are given out again.
    pub fn restore(&self, backup: Backup) {
        let mut inner = self.inner.lock();
        let era = inner.version.era + 1;
        *inner = backup.0;
        inner.version.era = era;
        for object in inner.objects.values_mut() {
            object.version.era = era;
        }
        inner.history_since.era = era;
        let version = inner.version;
        drop(inner);
        self.changed.send_replace(version);
    }

    /// Returns the current version of the store.
    pub fn version(&self) -> Version {
        self.inner.lock().version
    }

    fn changes(&self, kind: &str, after: Version) -> Changes {
        let inner = self.inner.lock();
        let of_kind = inner.objects.iter().filter(|((k, _), object)| {
            k == kind && object.version > after && (!after.is_none() || object.value.is_some())
        });
        Changes {
            version: inner.version,
            objects: of_kind.map(|(_, object)| object.clone()).collect(),
            unreadable: Vec::new(),
        }
    }

    fn write(
        &self,
        kind: &str,
        name: &str,
        value: Option<String>,
        expect: Expect,
    ) -> Result<Version> {
        let mut inner = self.inner.lock();
        let key = (kind.to_owned(), name.to_owned());
        let existing = inner.objects.get(&key).filter(|object| object.value.is_some());
        let found = existing.map_or(Version::default(), |object| object.version);
        let is_met = match expect {
            Expect::Any => true,
            Expect::Absent => found.is_none(),
            Expect::Version(version) => found == version,
        };
        if !is_met {
            return Err(Error::Conflict {
                step: "writing",
                object: format!("{kind}/{name}"),
                found,
            });
        }
        inner.version.revision += 1;
        let version = inner.version;
        inner.objects.insert(key, Object { name: name.to_owned(), version, value });
        drop(inner);
        self.changed.send_replace(version);
        Ok(version)
    }
}

impl Store for MemoryStore {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>> {
        let inner = self.inner.lock();
        let object = inner.objects.get(&(kind.to_owned(), name.to_owned()));
        Ok(object.filter(|object| object.value.is_some()).cloned())
    }

    async fn put(&self, kind: &str, name: &str, value: String, expect: Expect) -> Result<Version> {
        if value.len() > MAX_VALUE_BYTES {
            let object = format!("{kind}/{name}");
            return Err(Error::TooLarge {
                step: "writing",
                object,
                bytes: value.len(),
                limit: MAX_VALUE_BYTES,
            });
        }
        self.write(kind, name, Some(value), expect)
    }

    async fn delete(&self, kind: &str, name: &str, expect: Expect) -> Result<()> {
        self.write(kind, name, None, expect).map(drop)
    }

    async fn watch(&self, kind: &str, after: Version, wait: Duration) -> Result<Changes> {
        let has_history = |inner: &Inner| {
            after.era == inner.version.era && (inner.history_since..=inner.version).contains(&after)
        };
        if !after.is_none() && !has_history(&self.inner.lock()) {
            return Err(Error::HistoryExpired { kind: kind.to_owned(), after });
        }
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            changed.borrow_and_update();
            let changes = self.changes(kind, after);
            if after.is_none() || !changes.objects.is_empty() {
                return Ok(changes);
            }
            let notified = tokio::time::timeout_at(deadline, changed.changed()).await;
            if !matches!(notified, Ok(Ok(()))) {
                return Ok(self.changes(kind, after));
            }
        }
    }
}
