//! Load generator: sends open-loop arrivals to running entries, and simulates the routing and admission policy
//! in virtual time.

pub mod arrivals;
pub mod drive;
pub mod experiment;
pub mod plot;
pub mod report;
pub mod simulation;
