//! Bounded models of the core protocols. They call the same state machines as the processes, and are explored
//! exhaustively.

pub mod adoption;
mod copy_on_write;
pub mod licence;
pub mod limits;
pub mod origins;
pub mod restore;
mod search;
