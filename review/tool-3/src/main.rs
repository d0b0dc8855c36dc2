//! Runs one case of the third review against gateways as separate processes.
//!
//! Usage: `review-3 CASE GATEWAY RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod crowd;
mod odd_entry;
mod slow_reader;
mod support;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use tokio::time;

const MAX_DURATION: Duration = Duration::from_secs(100);

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, gateway, record] = args.as_slice() else {
        eprintln!("usage: review-3 CASE GATEWAY RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let cx = support::Context::new(PathBuf::from(gateway), PathBuf::from(record), has_trouble);
    // Ends the processes of a case that hangs.
    let ended = time::timeout(MAX_DURATION, async {
        match case.as_str() {
            "crowd" => Some(crowd::run(&cx).await),
            "odd-entry" => Some(odd_entry::run(&cx).await),
            "slow-reader" => Some(slow_reader::run(&cx).await),
            _ => None,
        }
    });
    let verdict = match ended.await {
        Ok(Some(verdict)) => verdict,
        Ok(None) => {
            eprintln!("no case `{case}`");
            return ExitCode::from(2);
        }
        Err(_) => {
            cx.note("the case has not ended in time");
            support::Verdict::CouldNotRun
        }
    };
    cx.note(&format!("verdict: {verdict:?}"));
    ExitCode::from(match verdict {
        support::Verdict::Held => 0,
        support::Verdict::Broken => 1,
        support::Verdict::CouldNotRun => 2,
    })
}
