//! Support for tests that run the binaries as separate processes on loopback.

pub mod client;
pub mod cluster;
pub mod gateways;
pub mod plan;
pub mod process;
pub mod relay;
