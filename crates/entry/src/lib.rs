//! The callers' and operators' door: runs pipelines, picks targets and keeps the deadline.

mod api;
mod attempt;
mod billing;
mod config_sync;
pub mod entry;
mod keyed_call;
mod metrics;
mod peers;
mod pipeline;
mod spread;
mod stage;
mod state;
mod targets;
