//! `marigold apply`: applies the declarations of a folder.

use std::path::Path;

use serde_json::json;

use crate::client::{Accepted, Client};
use crate::commands::plan;
use crate::error::Result;

/// Prints an accepted change.
pub fn print_accepted(accepted: &Accepted, as_json: bool) {
    if as_json {
        let Accepted { revision, confirmed, entries } = accepted;
        println!("{}", json!({ "revision": revision, "confirmed": confirmed, "entries": entries }));
        return;
    }
    let note = if accepted.confirmed * 2 > accepted.entries {
        ""
    } else {
        "; the others follow from the platform"
    };
    println!(
        "revision {} is in force; confirmed by {} of {} entries{note}",
        accepted.revision, accepted.confirmed, accepted.entries
    );
}

/// Applies the declarations of a folder.
///
/// # Errors
/// Errors in the declarations, a conflict with another change, or a failed call to the entry.
pub async fn run(client: &Client, folder: &Path, as_json: bool) -> Result<()> {
    let (config, changes) = plan::changes(client, folder).await?;
    if changes.is_empty() {
        let accepted = Accepted { revision: config.revision, confirmed: 1, entries: 1 };
        if as_json {
            print_accepted(&accepted, true);
        } else {
            println!("nothing to change; revision {} is in force", config.revision);
        }
        return Ok(());
    }
    let accepted = client.apply(config.revision, &changes).await?;
    print_accepted(&accepted, as_json);
    Ok(())
}
