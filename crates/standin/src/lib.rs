//! Stand-ins for external systems: the platform, model engines and plain services.
//!
//! Each counts what it ran, so that tests detect lost, duplicate and mixed-up results.

pub mod endless;
pub mod engine;
pub mod platform;
pub mod replica;
pub mod runs;
pub mod server;
pub mod service;
