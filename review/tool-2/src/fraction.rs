//! Fault: the platform changes a bound in the settings to a fraction, and the machines are stopped and started in turn.

use std::thread;
use std::time::Duration;

use crate::client;
use crate::gateway::Gateway;
use crate::record::Record;
use crate::replica::{Behavior, Replica};
use crate::store::Store;
use crate::{Scratch, Verdict};

/// Time from the end of a process to the start of the next one.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Ends of a process by itself after which it counts as faulty.
const MAX_ENDS: u32 = 3;

/// Runs the case.
pub fn run(has_trouble: bool, record: &Record, scratch: &Scratch) -> Verdict {
    let store = Store::default();
    store.put("config", "main", crate::lost_watchers::CONFIG);
    let behavior = Behavior::Whole { work: Duration::from_millis(20) };
    let replica = Replica::start("i-0", behavior, record);
    replica.register(&store, "cantar", "braila-a", 6);
    let places = [("front-braila-a-1", "braila-a"), ("front-braila-b-1", "braila-b")];
    let mut gateways: Vec<Gateway> = places
        .into_iter()
        .enumerate()
        .map(|(port, (name, zone))| Gateway::start(name, zone, store.listen(port), scratch.path()))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::NotRun("a gateway did not become ready".to_owned());
    }
    record.line("all gateways are ready");
    let value = if has_trouble { "7.5" } else { "7" };
    for gateway in &mut gateways {
        gateway.change_settings("bounds.gracePeriodS", value);
        gateway.signal("HUP");
        record.line(format!("{}: gracePeriodS is {value} now, and SIGHUP is sent", gateway.name));
    }
    thread::sleep(Duration::from_secs(4));
    let mut faulty = 0;
    for gateway in &mut gateways {
        gateway.signal("TERM");
        record.line(format!("{} gets SIGTERM", gateway.name));
        if !gateway.wait_end(Duration::from_secs(9)) {
            return Verdict::NotRun("a gateway did not end after SIGTERM".to_owned());
        }
        let mut ends = 0;
        while ends < MAX_ENDS {
            thread::sleep(RESTART_DELAY);
            gateway.restart();
            record.line(format!("{} is started", gateway.name));
            if !gateway.wait_end(Duration::from_secs(5)) {
                break;
            }
            ends += 1;
            record.line(format!("{} ends by itself: {}", gateway.name, gateway.last_log_line()));
        }
        faulty += u32::from(ends == MAX_ENDS);
    }
    let mut served = 0;
    for (number, gateway) in gateways.iter().enumerate() {
        let id = format!("a{number:04}");
        let answer =
            client::send(gateway.callers, "GET", "/look/1", &id, "Deadline-Ms: 2500\r\n", "");
        record.line(format!("requester of {id} gets {:?} {:?}", answer.status, answer.error));
        served += u32::from(answer.status == Some(200));
    }
    record.line(format!(
        "gateways that do not start: {faulty} of {}; requests served: {served}",
        gateways.len()
    ));
    match (faulty, served) {
        (0, 2) => Verdict::Held,
        (0, _) => Verdict::NotRun("requests were not served".to_owned()),
        _ => Verdict::Broken,
    }
}
