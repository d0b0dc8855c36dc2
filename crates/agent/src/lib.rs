//! The process beside each target: the only door to it, and home to idempotency keys.

pub mod agent;
mod calls;
mod feed;
mod licences;
mod load;
mod orders;
mod state;
pub mod target;
