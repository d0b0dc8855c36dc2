//! Links between the system's processes: `h2` streams with `bincode` bodies.
//!
//! One connection carries all calls between two processes. A link on which nothing comes back within a bound is
//! dropped at once; nothing waits for the kernel's timeout.

pub mod client;
pub mod codec;
pub mod error;
mod meter;
pub mod peer;
pub mod security;
pub mod server;

pub use error::{Error, Result, Step};
pub use meter::Traffic;
