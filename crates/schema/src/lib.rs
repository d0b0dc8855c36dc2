//! Settings, declarations and messages: types generated from the JSON Schemas in `schemas/`.
//!
//! `cargo xtask codegen` writes the modules anew; `cargo xtask codegen --check` fails when they are stale.

#[allow(missing_docs, dead_code, clippy::all)]
#[rustfmt::skip]
pub mod declarations;
#[allow(missing_docs, dead_code, clippy::all)]
#[rustfmt::skip]
pub mod messages;
#[allow(missing_docs, dead_code, clippy::all)]
#[rustfmt::skip]
pub mod settings;

/// JSON Schema of the declarations, for checks that name every mistake at once.
pub const DECLARATIONS_SCHEMA: &str = include_str!("../../../schemas/declarations.json");
/// JSON Schema of the process settings.
pub const SETTINGS_SCHEMA: &str = include_str!("../../../schemas/settings.json");
