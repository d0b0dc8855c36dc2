//! Load and experiments: open-loop arrivals against real processes, and the policy in virtual time.

pub mod arrivals;
pub mod drive;
pub mod experiment;
pub mod plot;
pub mod report;
pub mod simulation;
