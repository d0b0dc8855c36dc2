//! Benchmarks and simulations that `marigold-load` runs.

pub mod capacity;
mod linear_fit;
pub mod overhead;
pub mod policy;
mod proc;
pub mod recovery;
pub mod tokens;
