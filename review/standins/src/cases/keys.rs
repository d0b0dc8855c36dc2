//! The only tenant loses all its keys.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::caller::{self, Call};
use crate::config::{KEYS, STOCK, TICKET, config};
use crate::replica::Options;
use crate::setup::{Setup, ZONES};

/// A key that no configuration ever held.
const FOREIGN_KEY: &str = "nobody0000000000held";
/// `revokeMs` of the settings.
const REVOKE_TIME: Duration = Duration::from_millis(5_000);
const MARGIN: Duration = Duration::from_millis(1_000);

pub fn run(folder: &Path, is_disturbed: bool) -> io::Result<bool> {
    let routes = [TICKET, STOCK];
    let replicas = ["app-0", "app-1"].iter().zip(ZONES);
    let replicas = replicas.map(|(id, zone)| Options::new(id, "cantar", zone)).collect();
    let setup = Setup::start(folder, &config(1, &routes, &KEYS), replicas, 2)?;
    let record = &setup.record;
    for (number, key) in KEYS.iter().enumerate() {
        for (gateway, process) in setup.gateways.iter().enumerate() {
            let id = format!("before-{number}-{gateway}");
            let exchange =
                caller::exchange(Call::new(&id, process.addr, "/ticket/1", Some(key)), record);
            if exchange.answer.status != Some(200) {
                return Err(io::Error::other("a request with a valid key is not served"));
            }
        }
    }
    if is_disturbed {
        setup.store.put("config", "main", &config(2, &routes, &KEYS[1..]));
        record.line("operator: version 2, one key is taken away");
        thread::sleep(Duration::from_millis(500));
        setup.store.put("config", "main", &config(3, &routes, &[]));
        record.line("operator: version 3, the tenant has no key any more");
    }
    thread::sleep(REVOKE_TIME + MARGIN);
    for (gateway, process) in setup.gateways.iter().enumerate() {
        for path in ["/ticket/1", "/stock/1"] {
            let word = path.trim_matches(|letter: char| !letter.is_ascii_alphabetic());
            for (number, key) in KEYS.iter().enumerate() {
                let id = format!("revoked-{word}-{number}-{gateway}");
                caller::exchange(Call::new(&id, process.addr, path, Some(key)), record);
            }
            let id = format!("foreign-{word}-{gateway}");
            caller::exchange(Call::new(&id, process.addr, path, Some(FOREIGN_KEY)), record);
            let id = format!("keyless-{word}-{gateway}");
            caller::exchange(Call::new(&id, process.addr, path, None), record);
        }
    }
    let runs = setup.runs();
    let count = |start: &str| runs.iter().filter(|run| run.id().starts_with(start)).count();
    let (revoked, foreign, keyless) = (count("revoked"), count("foreign"), count("keyless"));
    record.tell(&format!(
        "run later than revokeMs: {revoked} of 8 with a key that the tenant had, {foreign} of 4 with a key that no \
         configuration held, {keyless} of 4 without a key"
    ));
    let is_broken = foreign + keyless > 0 || (is_disturbed && revoked > 0);
    if !is_disturbed && revoked != 8 {
        return Err(io::Error::other("requests with a valid key are not served"));
    }
    Ok(!is_broken)
}
