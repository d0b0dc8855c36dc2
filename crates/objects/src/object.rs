//! Objects, versions and VMs.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Version of an object, or of the whole store.
///
/// Each write increments the revision, one counter for all objects. A store that was restored from an older copy goes back
/// in its revisions and gives them out again, so versions are ordered by the era first. The default means no object.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Number of times that the store was restored from an older copy.
    pub era: u64,
    /// Number of writes.
    pub revision: u64,
}

impl Version {
    /// Returns whether this is the version of an object that does not exist.
    pub fn is_none(self) -> bool {
        self == Self::default()
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

/// Maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Named value with the version of its last write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object<T = String> {
    /// Name, unique among the objects of the same kind.
    pub name: String,
    /// Version of the last write.
    pub version: Version,
    /// Value, as text in the store; `None` after a deletion.
    pub value: Option<T>,
}

/// Object that cannot be read; another program may have written it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unreadable {
    /// Name, if that can be read.
    pub name: Option<String>,
    /// Version of the last write; none if it cannot be read.
    pub version: Version,
    /// What cannot be read.
    pub reason: String,
}

/// Changed objects of a kind, and the version of the store that they reflect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes<T = String> {
    /// Version up to which the changes are complete.
    pub version: Version,
    /// Changed objects.
    pub objects: Vec<Object<T>>,
    /// Changed objects that cannot be read.
    pub unreadable: Vec<Unreadable>,
}

impl<T> Changes<T> {
    /// Converts the values with `parse`. An object for which it returns `None` is treated as deleted, and so is one that
    /// cannot be read.
    pub fn parse<U>(self, parse: impl Fn(&Object<T>) -> Option<U>) -> Changes<U> {
        let convert = |object: Object<T>| {
            let value = parse(&object);
            Object { name: object.name, version: object.version, value }
        };
        let as_deleted = |unreadable: Unreadable| {
            let Unreadable { name, version, .. } = unreadable;
            name.map(|name| Object { name, version, value: None })
        };
        let deleted = self.unreadable.into_iter().filter_map(as_deleted);
        let mut objects: Vec<Object<U>> = self.objects.into_iter().map(convert).collect();
        objects.extend(deleted);
        // An object may have changed more than once.
        objects.sort_by_key(|object| object.version);
        Changes { version: self.version, objects, unreadable: Vec::new() }
    }
}

/// Condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Expect {
    /// The write succeeds in any case.
    Any,
    /// The object must not exist.
    Absent,
    /// The object must have exactly this version.
    Version(Version),
}

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM is running.
    Live,
    /// The VM is about to be stopped.
    Leaving,
}

/// Kind of the objects that list the VMs, as [`Vm`] in JSON.
pub const VM_KIND: &str = "vms";

/// A VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name of the entry or the target on the VM.
    pub name: String,
    /// IP address and port of the system's process on the VM.
    pub address: String,
    /// State of the VM.
    pub state: VmState,
}
