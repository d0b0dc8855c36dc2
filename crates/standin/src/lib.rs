//! Small stand-ins for the systems outside: the platform, model engines and plain services.
//!
//! Each counts what it ran, so that lost, doubled and crossed results show.

pub mod engine;
pub mod platform;
pub mod replica;
pub mod runs;
pub mod server;
pub mod service;
