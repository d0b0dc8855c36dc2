//! The gateway: takes callers' requests, has their stages run, and passes them to targets that it calls directly.
//!
//! What is spoken with callers, targets and the store is a [`dialect::Dialect`]; nothing here depends on its words.

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
