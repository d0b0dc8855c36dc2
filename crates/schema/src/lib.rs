//! Types of settings, declarations and messages, generated from the JSON Schemas in `schemas/`.
//!
//! `cargo xtask codegen` regenerates the modules; `cargo xtask codegen --check` fails when they are out of date.

#[allow(missing_docs, dead_code, clippy::all)]
#[rustfmt::skip]
pub mod declarations;
#[allow(missing_docs, dead_code, clippy::all)]
#[rustfmt::skip]
pub mod messages;
#[allow(missing_docs, dead_code, clippy::all)]
#[rustfmt::skip]
pub mod settings;

/// JSON Schema of the declarations, for a validation that reports all errors at once.
pub const DECLARATIONS_SCHEMA: &str = include_str!("../../../schemas/declarations.json");
/// JSON Schema of the process settings.
pub const SETTINGS_SCHEMA: &str = include_str!("../../../schemas/settings.json");
