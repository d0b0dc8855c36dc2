//! DRAIN: a write of a replica whose answer is lost is done seconds later, when the replica has started again under its id and
//! leaves.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client;
use crate::gateway::Gateway;
use crate::record::Record;
use crate::replica::{Behavior, Replica};
use crate::store::Store;
use crate::{Scratch, Verdict};

/// `drainTimeoutMs` and `heartbeatMs` of the deployment.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
const HEARTBEAT_MS: u64 = 1_200;
/// Times since the write whose answer is lost, in milliseconds: the second start of the replica writes its entry, it reports that
/// it is draining, and the write is done. Answers are lost for a moment only, and the store counts as stable 3,000 ms later.
const STARTED_MS: u64 = 1_000;
const DRAINING_MS: u64 = 3_540;
const DONE_MS: u64 = DRAINING_MS + 2 * HEARTBEAT_MS + 10;
/// Until when requests are sent.
const END_MS: u64 = 9_000;
/// Starts of the replica in Unix milliseconds.
const FIRST_START: u64 = 1_790_000_000_000;
const SECOND_START: u64 = 1_790_000_060_000;

/// Runs the case.
pub fn run(has_trouble: bool, record: &Record, scratch: &Scratch) -> Verdict {
    let store = Store::default();
    store.put("config", "main", crate::lost_watchers::CONFIG);
    let behavior = Behavior::Whole { work: Duration::from_millis(20) };
    let replicas: Vec<Replica> =
        (0..3).map(|number| Replica::start(&format!("i-{number}"), behavior, record)).collect();
    for (replica, zone) in replicas.iter().zip(["braila-a", "braila-b", "galati-c"]) {
        replica.register(&store, "cantar", zone, 6);
    }
    let places = [("front-braila-a-1", "braila-a"), ("front-braila-b-1", "braila-b")];
    let gateways: Vec<Gateway> = places
        .into_iter()
        .enumerate()
        .map(|(port, (name, zone))| Gateway::start(name, zone, store.listen(port), scratch.path()))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::NotRun("a gateway did not become ready".to_owned());
    }
    record.line("all gateways are ready");
    let stop = Arc::new(AtomicBool::new(false));
    let requesters: Vec<_> = gateways
        .iter()
        .map(|gateway| {
            let (name, addr) = (gateway.name.clone(), gateway.callers);
            let (stop, record) = (stop.clone(), record.clone());
            thread::spawn(move || {
                for number in 0_u32.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{name}-{number}");
                    let headers = "Deadline-Ms: 2500\r\n";
                    let answer = client::send(addr, "GET", "/look/1", &id, headers, "");
                    record.line(format!(
                        "requester of {id} gets {:?} {:?}",
                        answer.status, answer.error
                    ));
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let replica = &replicas[0];
    let entry = |state: &str, born: u64, sequence: u64| {
        format!(
            "{{\"service\":\"cantar\",\"address\":\"{}\",\"zone\":\"braila-a\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}",
            replica.addr
        )
    };
    let lost =
        record.line(format!("the first start of {} writes its entry; no answer", replica.id));
    let wait = |ms: u64| {
        let until = lost + Duration::from_millis(ms);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    };
    wait(STARTED_MS);
    store.put("servers", &replica.id, &entry("ready", SECOND_START, 1));
    record.line(format!("{} has started again, born {SECOND_START}: ready", replica.id));
    wait(DRAINING_MS);
    store.put("servers", &replica.id, &entry("draining", SECOND_START, 4));
    let confirmed = record.line(format!("the store confirms that {} is draining", replica.id));
    for beat in 1..=2 {
        wait(DRAINING_MS + beat * HEARTBEAT_MS);
        store.put("servers", &replica.id, &entry("draining", SECOND_START, 4 + beat));
    }
    if has_trouble {
        wait(DONE_MS);
        store.put("servers", &replica.id, &entry("ready", FIRST_START, 9));
        record.line(format!("the write without an answer is done, born {FIRST_START}: ready"));
    }
    wait(DRAINING_MS + 3 * HEARTBEAT_MS);
    store.put("servers", &replica.id, &entry("draining", SECOND_START, 7));
    record.line(format!("{} writes its entry: draining", replica.id));
    wait(END_MS);
    stop.store(true, Ordering::Relaxed);
    for requester in requesters {
        if requester.join().is_err() {
            return Verdict::NotRun("a requester failed".to_owned());
        }
    }
    let runs = replica.runs();
    let is_late = |at: Instant| at.saturating_duration_since(confirmed) > DRAIN_TIMEOUT;
    let late = runs.iter().filter(|run| is_late(run.arrived)).count();
    let others: usize = replicas[1..].iter().map(|replica| replica.runs().len()).sum();
    record.line(format!("requests at the other replicas: {others}"));
    if others < 100 {
        return Verdict::NotRun("too few requests were served".to_owned());
    }
    let last = runs.iter().map(|run| run.arrived.saturating_duration_since(confirmed)).max();
    record.line(format!("last request at {} after the confirmation: {last:?}", replica.id));
    record.line(format!("requests at it later than {DRAIN_TIMEOUT:?}: {late}"));
    if late == 0 { Verdict::Held } else { Verdict::Broken }
}
