//! Agent: the process beside each target. All calls to the target pass through it, and it holds licences for shards
//! of idempotency keys.

pub mod agent;
mod attempt_stream;
mod calls;
mod licences;
mod load;
mod orders;
mod state;
pub mod target;
