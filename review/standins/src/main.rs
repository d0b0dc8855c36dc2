//! Stand-ins of the callers, the replicas and the platform, and the cases that the folders of `review` describe.
//!
//! `review-cases CASE FOLDER` runs a case in the root of the repository and writes `record.txt` into the folder. It exits with
//! 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run. With `TROUBLE=0` in the environment
//! nothing is disturbed.

mod caller;
mod cases;
mod config;
mod gateway;
mod http;
mod json;
mod record;
mod replica;
mod setup;
mod store;

use std::path::Path;
use std::process::ExitCode;
use std::time::Duration;
use std::{env, thread};

/// Time after which a case that hangs is given up.
const TIME_LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let [case, folder] = args.as_slice() else {
        eprintln!("review-cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_disturbed = env::var("TROUBLE").map_or(true, |value| value != "0");
    let (case, folder) = (case.clone(), folder.clone());
    // The case runs in a thread, whose end frees all that it has started.
    let runner = thread::spawn(move || cases::run(&case, Path::new(&folder), is_disturbed));
    let started = std::time::Instant::now();
    while !runner.is_finished() {
        if started.elapsed() > TIME_LIMIT {
            eprintln!("the case took too long");
            gateway::kill_all();
            return ExitCode::from(2);
        }
        thread::sleep(Duration::from_millis(20));
    }
    match runner.join() {
        Ok(Ok(true)) => ExitCode::from(0),
        Ok(Ok(false)) => ExitCode::from(1),
        Ok(Err(err)) => {
            eprintln!("the case could not run: {err}");
            gateway::kill_all();
            ExitCode::from(2)
        }
        Err(_) => {
            gateway::kill_all();
            ExitCode::from(2)
        }
    }
}
