//! Decision logic of the serving system, without I/O: functions take inputs and the time, and return actions.
//!
//! Time is passed in as [`Uptime`](ids::Uptime), so that tests, the model checker and the processes run the same
//! code.

pub mod admission;
pub mod attempts;
pub mod burn;
pub mod caller_retry;
pub mod check;
pub mod config;
pub mod connection_reuse;
pub mod cost;
pub mod deadline;
pub mod digest;
pub mod duration_estimate;
pub mod evacuation;
pub mod events;
pub mod fanout;
pub mod freshness;
pub mod head;
pub mod hedge;
pub mod ids;
pub mod ledger;
pub mod licence;
pub mod load_reports;
pub mod memory_budget;
pub mod outcome;
pub mod ownership;
pub mod placement;
pub mod poison;
pub mod rendezvous;
pub mod reported_load;
pub mod response_time;
pub mod result_memory;
pub mod retry;
pub mod router;
pub mod routes;
pub mod sent;
pub mod shares;
pub mod stage_plan;
pub mod stage_queue;
pub mod stop;
pub mod store_service;
pub mod stream_origin;
pub mod target_hold;
pub mod target_limit;
pub mod targets;
pub mod view;
pub mod write_pace;
