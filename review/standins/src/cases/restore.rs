//! The store comes back from an older copy while a gateway is restarted.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{self, Call};
use crate::config::{KEYS, STOCK, TICKET, config};
use crate::replica::Options;
use crate::setup::{Setup, ZONES};

/// `revokeMs` of the settings.
const REVOKE_TIME: Duration = Duration::from_millis(5_000);
/// Time for which the store is away before it comes back.
const AWAY_TIME: Duration = Duration::from_millis(500);
/// Time from the return of the store until the operator has written its configuration again.
const REWRITE_TIME: Duration = Duration::from_millis(1_000);
/// Time from the return of the store until the last request.
const OBSERVED_TIME: Duration = Duration::from_millis(5_000);

pub fn run(folder: &Path, is_disturbed: bool) -> io::Result<bool> {
    let routes = [TICKET, STOCK];
    let replicas = ["app-0", "app-1"].iter().zip(ZONES);
    let replicas = replicas.map(|(id, zone)| Options::new(id, "cantar", zone)).collect();
    let mut setup = Setup::start(folder, &config(1, &routes, &KEYS), replicas, 2)?;
    let record = setup.record.clone();
    thread::sleep(Duration::from_millis(1_000));
    let copy = setup.store.copy();
    let newest = config(2, &routes, &KEYS[..1]);
    let confirmed = setup.store.put("config", "main", &newest);
    record.line("operator: version 2 takes a key away");
    // A rolling restart stops the first gateway, which has no requests and ends by itself.
    thread::sleep(Duration::from_millis(2_000));
    setup.gateways[0].terminate();
    setup.gateways[0].wait_end()?;
    thread::sleep((REVOKE_TIME - AWAY_TIME).saturating_sub(confirmed.elapsed()));
    if is_disturbed {
        setup.store.set_away(true);
        record.line("store: away");
        thread::sleep(AWAY_TIME);
        let age = confirmed.elapsed().as_secs_f64();
        setup.store.restore(copy);
        record.line(&format!("store: back from a copy that is {age:.1} s old"));
    } else {
        thread::sleep(AWAY_TIME);
    }
    let back = Instant::now();
    setup.gateways[0].restart()?;
    let (mut sent, mut is_written) = (0, false);
    while back.elapsed() < OBSERVED_TIME {
        if !is_written && back.elapsed() >= REWRITE_TIME {
            setup.store.put("config", "main", &newest);
            record.line("operator: version 2 is written again");
            is_written = true;
        }
        for (number, process) in setup.gateways.iter().enumerate() {
            let id = format!("revoked-{sent}-front-{number}");
            let call = Call::new(&id, process.addr, "/ticket/1", Some(KEYS[1]));
            sent += usize::from(caller::exchange(call, &record).answer.status.is_some());
        }
        thread::sleep(Duration::from_millis(100));
    }
    let runs = setup.runs();
    let revoked: Vec<_> = runs.iter().filter(|run| run.id().starts_with("revoked")).collect();
    let seconds = |run: Option<&&crate::replica::Run>| {
        run.map_or("-".to_owned(), |run| format!("{:.1} s", (run.at - confirmed).as_secs_f64()))
    };
    record.tell(&format!(
        "run with the key that was taken away: {} of {sent} requests, from {} to {} after the confirmation",
        revoked.len(),
        seconds(revoked.first()),
        seconds(revoked.last())
    ));
    Ok(revoked.is_empty())
}
