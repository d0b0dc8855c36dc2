//! The gateway: takes callers' requests, has their stages run, and passes them to targets that it calls directly.
//!
//! What is spoken with callers, targets and the store is a [`dialect::Dialect`]; nothing here depends on its words.

mod attempts;
mod batcher;
mod callers;
pub mod dialect;
mod discovery;
pub mod gateway;
mod head_watch;
mod http_server;
mod learned_durations;
mod members;
mod metrics;
mod peers;
mod relay;
mod request;
mod response;
mod shared;
mod stage_runner;
mod targets;
pub mod upstream;
