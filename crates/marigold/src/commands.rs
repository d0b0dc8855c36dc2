//! Commands of `marigold`, one per module.

pub mod apply;
pub mod burn;
pub mod cost;
pub mod drain;
pub mod plan;
pub mod preset;
pub mod status;
pub mod validate;
