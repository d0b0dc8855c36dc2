//! The configuration grows by many routes, each with a rank of its own; a later version takes a key away.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::caller::{self, Call};
use crate::config::{KEYS, STOCK, TICKET, config};
use crate::replica::Options;
use crate::setup::{Setup, ZONES};

/// `revokeMs` and `configApplyMs` of the settings.
const REVOKE_TIME: Duration = Duration::from_millis(5_000);
const APPLY_TIME: Duration = Duration::from_millis(2_000);
const MARGIN: Duration = Duration::from_millis(1_000);
const ROUNDS: usize = 5;
/// Number of routes that are added.
const ADDED_ROUTES: usize = 350;

/// Returns a route with a rank of its own.
fn added_route(number: usize) -> String {
    let rank = number + 3;
    format!(
        r#"{{"name":"added-{number}","host":"pule25.example","pathPrefix":"/added-{number}/","kind":"idempotent","timeoutMs":2500,"targetLatencyMs":1000,"priority":{rank},"service":"cantar","maxAttempts":2,"public":false}}"#
    )
}

pub fn run(folder: &Path, is_disturbed: bool) -> io::Result<bool> {
    let replicas = ["app-0", "app-1"].iter().zip(ZONES);
    let replicas = replicas.map(|(id, zone)| Options::new(id, "cantar", zone)).collect();
    let added: Vec<String> = (0..ADDED_ROUTES).map(added_route).collect();
    let mut routes = vec![TICKET, STOCK];
    let setup = Setup::start(folder, &config(1, &routes, &KEYS), replicas, 2)?;
    let record = &setup.record;
    for process in &setup.gateways {
        let id = format!("before-{}", process.name);
        let call = Call::new(&id, process.addr, "/ticket/1", Some(KEYS[1]));
        if caller::exchange(call, record).answer.status != Some(200) {
            return Err(io::Error::other("a request with a valid key is not served"));
        }
    }
    if is_disturbed {
        routes.extend(added.iter().map(String::as_str));
        setup.store.put("config", "main", &config(2, &routes, &KEYS));
        record.line("operator: version 2 adds 350 routes");
        thread::sleep(APPLY_TIME + MARGIN);
        for process in &setup.gateways {
            let id = format!("added-{}", process.name);
            caller::exchange(Call::new(&id, process.addr, "/added-0/1", Some(KEYS[0])), record);
        }
    }
    setup.store.put("config", "main", &config(3, &routes, &KEYS[..1]));
    record.line("operator: version 3 takes a key away");
    thread::sleep(REVOKE_TIME + MARGIN);
    for round in 0..ROUNDS {
        for process in &setup.gateways {
            let id = format!("revoked-{round}-{}", process.name);
            caller::exchange(Call::new(&id, process.addr, "/ticket/1", Some(KEYS[1])), record);
        }
        thread::sleep(MARGIN);
    }
    let runs = setup.runs();
    let revoked = runs.iter().filter(|run| run.id().starts_with("revoked")).count();
    let sent = ROUNDS * setup.gateways.len();
    record.tell(&format!(
        "run with the key that was taken away, 6 s and more after the confirmation: {revoked} of {sent} requests"
    ));
    Ok(revoked == 0)
}
