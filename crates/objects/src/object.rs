//! Objects, versions and VMs.

use serde::{Deserialize, Serialize};

/// Version of an object, raised across the whole store with each write; zero stands for no object.
pub type Version = u64;

/// Largest value of an object, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// One object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
    /// Name, unique in its kind.
    pub name: String,
    /// Version of the last write.
    pub version: Version,
    /// Value as text; none after a deletion.
    pub value: Option<String>,
}

/// Objects that changed, and the store's version as of then.
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
    /// Any version.
    Any,
    /// No object of this name.
    Absent,
    /// Exactly this version.
    Version(Version),
}

/// Whether a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
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
    /// Whether it runs.
    pub state: VmState,
}
