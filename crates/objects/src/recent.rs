//! Recent changes of the objects of one kind, from which other processes can be brought up to date.

use std::collections::VecDeque;
use std::time::Duration;

use crate::object::{Changes, Object, Version};

/// Maximum number of changed objects that are kept; whoever is further behind reads the store.
const MAX_OBJECTS: usize = 1_024;

/// A group of changes that was read together.
#[derive(Debug)]
struct Batch<T> {
    version: Version,
    objects: Vec<Object<T>>,
}

/// Version of the objects that a process has, the time at which it was known to be the newest, and the changes that led to
/// it. Times are since any fixed moment.
#[derive(Debug)]
pub struct RecentChanges<T> {
    version: Version,
    verified_at: Duration,
    /// Version after which all changes are kept.
    complete_after: Version,
    batches: VecDeque<Batch<T>>,
    object_count: usize,
}

impl<T> Default for RecentChanges<T> {
    fn default() -> Self {
        Self {
            version: Version::default(),
            verified_at: Duration::ZERO,
            complete_after: Version::default(),
            batches: VecDeque::new(),
            object_count: 0,
        }
    }
}

impl<T: Clone> RecentChanges<T> {
    /// Returns the version of the objects; none before they were read.
    pub fn version(&self) -> Version {
        self.version
    }

    /// Returns the time since the version was known to be the newest, or `None` before the objects were read.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        (!self.version.is_none()).then(|| now.saturating_sub(self.verified_at))
    }

    /// Records a full list of the objects, which was current at `at`. Returns false, and changes nothing, if a later version
    /// has become known since.
    pub fn replace(&mut self, version: Version, at: Duration) -> bool {
        let is_outdated =
            version.era == self.version.era && version < self.version && at < self.verified_at;
        if is_outdated {
            return false;
        }
        *self = Self { version, verified_at: at, complete_after: version, ..Self::default() };
        true
    }

    /// Adds the changes after the version `after`, which were current at `at`. Returns false, and adds nothing, if the
    /// objects have another version by now: the changes were read from another process meanwhile.
    pub fn extend(&mut self, after: Version, changes: &Changes<T>, at: Duration) -> bool {
        if self.version.is_none() || after != self.version || changes.version < after {
            return false;
        }
        self.version = changes.version;
        self.verify(changes.version, at);
        if !changes.objects.is_empty() {
            self.object_count += changes.objects.len();
            let objects = changes.objects.clone();
            self.batches.push_back(Batch { version: changes.version, objects });
        }
        while self.object_count > MAX_OBJECTS {
            let Some(batch) = self.batches.pop_front() else { break };
            self.object_count -= batch.objects.len();
            self.complete_after = batch.version;
        }
        true
    }

    /// Records that a version was the newest at `at`; returns whether it is the one of the objects.
    pub fn verify(&mut self, version: Version, at: Duration) -> bool {
        let is_own = !version.is_none() && version == self.version;
        if is_own {
            self.verified_at = self.verified_at.max(at);
        }
        is_own
    }

    /// Returns the changes after a version, or `None` if some of them are not kept or the version is not known here.
    pub fn since(&self, after: Version) -> Option<Changes<T>> {
        let is_known = after.era == self.version.era
            && !after.is_none()
            && (self.complete_after..=self.version).contains(&after);
        if !is_known {
            return None;
        }
        let newer = self.batches.iter().filter(|batch| batch.version > after);
        let objects = newer.flat_map(|batch| batch.objects.iter().cloned()).collect();
        Some(Changes { version: self.version, objects, unreadable: Vec::new() })
    }
}
