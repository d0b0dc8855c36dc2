//! The gateway: accepts callers' requests, runs their stages, and forwards the requests directly to targets.
//!
//! The protocol spoken with callers, targets and the store is an implementation of [`dialect::Dialect`]. No other
//! module depends on its names and formats.

mod attempts;
mod broker;
mod chain;
pub mod dialect;
mod discovery;
pub mod gateway;
mod head_timeout;
mod http_server;
mod members;
mod metrics;
mod paces;
mod peers;
mod places;
mod ports;
mod relay;
mod request;
mod response;
mod shared;
pub mod upstream;
