//! Small specifications of the core protocols, explored exhaustively over the state machines that the processes run.

pub mod adoption;
pub mod licence;
mod search;
mod shared;
