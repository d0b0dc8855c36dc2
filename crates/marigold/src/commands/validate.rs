//! `marigold validate`: checks a folder of declarations.

use std::path::Path;

use marigold_core::check;
use marigold_schema::declarations::Declarations;

use crate::error::{Error, Result};

/// Reads the declarations of a folder and checks them.
///
/// # Errors
/// [`Error::Invalid`] with every error found.
pub fn read(folder: &Path) -> Result<Declarations> {
    check::check_folder(folder).map_err(|diagnostics| {
        Error::Invalid(diagnostics.iter().map(ToString::to_string).collect())
    })
}

/// Checks the declarations of a folder and prints the number of each kind.
///
/// # Errors
/// [`Error::Invalid`] with every error found.
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
