//! Load generator: sends open-loop arrivals to running entries, simulates the routing and admission policy in virtual time,
//! and accounts for what gateways' logs tell.

pub mod account;
pub mod arrivals;
pub mod drive;
pub mod experiment;
pub mod plot;
pub mod report;
pub mod simulation;
