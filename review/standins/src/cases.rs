//! The cases, each in a module of its own. A case returns whether the rule held.

mod keys;
mod rank;
mod restore;
mod silence;

use std::io;
use std::path::Path;

pub fn run(case: &str, folder: &Path, is_disturbed: bool) -> io::Result<bool> {
    match case {
        "keys" => keys::run(folder, is_disturbed),
        "silence" => silence::run(folder, is_disturbed),
        "rank" => rank::run(folder, is_disturbed),
        "restore" => restore::run(folder, is_disturbed),
        _ => Err(io::Error::other(format!("no case `{case}`"))),
    }
}
