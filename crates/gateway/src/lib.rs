//! The gateway: accepts callers' requests, runs their stages, and forwards the requests directly to targets.
//!
//! The protocol spoken with callers, targets and the store is an implementation of [`dialect::Dialect`]. No other
//! module depends on its names and formats.

mod announcements;
mod attempts;
mod batcher;
mod connections;
mod crashes;
pub mod dialect;
mod discovery;
mod evacuations;
pub mod gateway;
mod head_timeout;
mod hedging;
mod http_server;
mod in_progress;
mod learned_durations;
mod limits;
mod load_reports;
mod members;
mod memory;
mod metrics;
mod odd_objects;
pub mod options;
mod origins;
mod peers;
mod poison;
mod ports;
mod relay;
pub mod reply_memory;
mod request;
mod response;
pub mod run;
pub mod settings;
mod shared;
mod stage_connections;
mod stage_runner;
mod stop;
mod target_relay;
mod targets;
pub mod upstream;
