//! Objects, versions and VMs.

use serde::{Deserialize, Serialize};

/// Version of an object; each write to the store increments one counter for all objects, and zero means no object.
pub type Version = u64;

/// Maximum size of an object's value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Named value with the version of its last write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Name, unique among the objects of the same kind.
    pub name: String,
    /// Version of the last write.
    pub version: Version,
    /// Value as text; `None` after a deletion.
    pub value: Option<String>,
}

/// Changed objects of a kind, and the version of the store that they reflect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// Version up to which the changes are complete.
    pub version: Version,
    /// Changed objects.
    pub objects: Vec<Object>,
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
