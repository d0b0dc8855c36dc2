//! Commands of `marigold`, one module each.

pub mod apply;
pub mod burn;
pub mod cost;
pub mod drain;
pub mod plan;
pub mod preset;
pub mod status;
pub mod validate;
