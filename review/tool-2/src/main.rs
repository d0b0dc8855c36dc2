//! Runs a case: `review-tool-2 CASE FOLDER`. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod client;
mod fraction;
mod gateway;
mod http;

mod lost_watchers;
mod record;
mod replica;
mod restored_entry;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use std::{env, fs, panic, process, thread};

use record::Record;

/// Time after which a case is given up.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

/// Folder for settings and logs; removed on drop unless `KEEP_LOGS` is set.
pub struct Scratch(PathBuf);

impl Scratch {
    fn folder() -> PathBuf {
        env::temp_dir().join(format!("review-tool-2-{}", process::id()))
    }

    fn create() -> Self {
        let folder = Self::folder();
        fs::create_dir_all(&folder).expect("a temporary folder can be made");
        Self(folder)
    }

    /// Returns its path.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = args.as_slice() else {
        eprintln!("usage: review-tool-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(folder));
    record.line(format!("case {case}, with the disruption: {has_trouble}"));
    let late = record.clone();
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        late.line("the case could not run: it takes too long");
        gateway::kill_all();
        let _ = fs::remove_dir_all(Scratch::folder());
        process::exit(2);
    });
    let ran = panic::catch_unwind(|| {
        store::check_form().expect("written objects are read");
        let scratch = Scratch::create();
        match case.as_str() {
            "fraction" => fraction::run(has_trouble, &record, &scratch),
            "restored-entry" => restored_entry::run(has_trouble, &record, &scratch),
            "lost-watchers" => lost_watchers::run(has_trouble, &record, &scratch),
            _ => Verdict::NotRun("no such case".to_owned()),
        }
    });
    let verdict = ran.unwrap_or_else(|_| Verdict::NotRun("the check itself failed".to_owned()));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
