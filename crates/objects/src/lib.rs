//! Interface to the platform's object service: versioned objects, conditional writes and watches.

pub mod error;
pub mod json_parts;
pub mod memory;
pub mod object;
pub mod recent;
pub mod store;

pub use error::{Error, Result};
pub use object::{Changes, Expect, Object, Unreadable, VM_KIND, Version, Vm, VmState};
pub use recent::RecentChanges;
pub use store::{Store, put_verified};
