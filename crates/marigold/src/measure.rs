//! Measurements of `marigold-load`.

pub mod capacity;
pub mod overhead;
pub mod policy;
mod proc;
pub mod recovery;
mod slope;
pub mod tokens;
