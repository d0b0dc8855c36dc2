//! Links between the system's processes: HTTP/2 streams that carry `bincode` messages.
//!
//! One connection carries all calls between two processes. A link is closed as soon as a reply on it times out, so
//! that no call waits for the TCP timeout of the kernel.

pub mod client;
pub mod codec;
pub mod error;
mod meter;
pub mod peer;
pub mod security;
pub mod server;

pub use error::{Error, Result, Step};
pub use meter::Traffic;
