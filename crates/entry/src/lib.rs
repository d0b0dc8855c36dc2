//! The entry: serves callers and operators over HTTP, and runs the stages of pipelines on targets within a deadline.

mod api;
mod attempt;
pub mod billing;
mod config_push;
mod config_sync;
pub mod entry;
mod keyed_call;
mod metrics;
mod peers;
mod pipeline;
mod stage;
mod state;
mod targets;
