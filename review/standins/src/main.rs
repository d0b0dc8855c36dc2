//! Cases of the review: `review-cases CASE ROOT RECORD`, with `TROUBLE=0` without the disruption.
//!
//! Exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.

mod caller;
mod cases;
mod gateway;
mod http;
mod json;
mod record;
mod replica;
mod store;
mod unframed;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What all cases need.
pub struct Setup {
    /// Root of the repository.
    pub root: PathBuf,
    /// Folder for settings and logs; removed at the end.
    pub folder: PathBuf,
    pub record: Arc<Record>,
    /// Whether the disruption happens.
    pub has_trouble: bool,
}

fn run() -> std::io::Result<bool> {
    let usage = || std::io::Error::other("usage: review-cases CASE ROOT RECORD");
    let args: Vec<String> = std::env::args().skip(1).collect();
    if let [mode, id] = args.as_slice()
        && mode == "replica"
    {
        unframed::serve(id)?;
        return Ok(false);
    }
    let [case, root, record] = args.as_slice() else { return Err(usage()) };
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let setup = Setup {
        root: PathBuf::from(root).canonicalize()?,
        folder: folder.clone(),
        record: Arc::new(Record::open(&PathBuf::from(record))?),
        has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    let result = match case.as_str() {
        "keys-all-revoked" => cases::keys_all_revoked(&setup),
        "key-after-restore" => cases::key_after_restore(&setup),
        "cut-answers" => cases::cut_answers(&setup),
        "silent-streams" => cases::silent_streams(&setup),
        _ => Err(usage()),
    };
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&folder);
    }
    result
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("the case could not run: {err}");
            ExitCode::from(2)
        }
    }
}
