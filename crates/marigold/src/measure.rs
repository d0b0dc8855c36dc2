//! Measurements of `marigold-load`.

pub mod capacity;
pub mod overhead;
pub mod policy;
mod proc;
mod slope;
