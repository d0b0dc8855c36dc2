//! Bounded models of the core protocols, explored exhaustively. Those of licences and of adoption call the same state
//! machines as the processes; the others have state machines of their own.

pub mod adoption;
mod copy_on_write;
pub mod licence;
pub mod limits;
pub mod origins;
pub mod poison;
pub mod restore;
mod search;
pub mod stored_origins;
pub mod target_relay;

pub use search::Exploration;
