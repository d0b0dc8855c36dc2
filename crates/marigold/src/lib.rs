//! Commands of the operators' command line, measurements, and the embedded demo.

pub mod client;
pub mod commands;
pub mod demo;
pub mod error;
pub mod measure;
pub mod table;
