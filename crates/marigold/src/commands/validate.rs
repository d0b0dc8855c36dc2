//! `marigold validate`: checks a folder of declarations.

use std::path::Path;

use marigold_core::check;
use marigold_schema::declarations::Declarations;

use crate::error::{Error, Result};

/// Reads a folder and names every mistake in it.
///
/// # Errors
/// [`Error::Invalid`].
pub fn read(folder: &Path) -> Result<Declarations> {
    check::check_folder(folder)
        .map_err(|mistakes| Error::Invalid(mistakes.iter().map(ToString::to_string).collect()))
}

/// Checks a folder and prints what is in it.
///
/// # Errors
/// [`Error::Invalid`].
pub fn run(folder: &Path) -> Result<()> {
    let declarations = read(folder)?;
    println!(
        "valid: {} pools, {} targets, {} pipelines, {} customers, 3 presets",
        declarations.pool.len(),
        declarations.target.len(),
        declarations.pipeline.len(),
        declarations.customer.len()
    );
    Ok(())
}
