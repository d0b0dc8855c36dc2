//! ORDER: the store comes back from an older copy, which has the entry of a replica from before it started again under its id
//! with another software version.

use std::collections::BTreeSet;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Answer};
use crate::gateway::Gateway;
use crate::record::Record;
use crate::replica::{Behavior, Replica};
use crate::store::Store;
use crate::{Scratch, Verdict};

/// Number of streams that may hold events of two versions.
const MAX_MIXED: usize = 2;
/// `heartbeatMs` of the deployment.
const HEARTBEAT_MS: u64 = 1_200;
/// Times since the copy of the store was made, in milliseconds: the replica starts again, streams begin, the store is away and
/// comes back from the copy, and another replica crashes.
const STARTED_MS: u64 = 1_250;
const AWAY_MS: u64 = 4_500;
const STREAMS_MS: u64 = 4_900;
const RESTORED_MS: u64 = 5_000;
const CRASH_MS: u64 = 5_750;
const STREAMS: usize = 60;
const INTERVAL: Duration = Duration::from_millis(10);
/// Starts of the replica in Unix milliseconds.
const FIRST_START: u64 = 1_790_000_000_000;
const SECOND_START: u64 = 1_790_000_060_000;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-digest","host":"yard.example","pathPrefix":"/digest/","kind":"streaming",
"timeoutMs":10000,"targetLatencyMs":1700,"priority":0,"service":"model-pool","maxAttempts":2,"public":false,"sticky":true,
"resumable":true,"gapAimMs":400}],"services":[{"name":"model-pool","healthPath":"/healthz","maxConnections":610,"protocol":"h1",
"tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"mill","apiKeys":["9dnn2ctnfzs989anu6ws"]}]}"#;

/// Sends a stream and returns its answer.
fn stream(
    gateway: &Gateway,
    number: usize,
    record: &Record,
) -> thread::JoinHandle<(String, Answer)> {
    let (addr, record) = (gateway.callers, record.clone());
    thread::spawn(move || {
        thread::sleep(INTERVAL * number as u32);
        let id = format!("a{number:04}");
        let headers = format!(
            "Deadline-Ms: 10000\r\nModel: m\r\nToken-Count: 1460,80\r\nPrompt-Prefix: {number:08x}:800,f{number:07x}:250\r\n"
        );
        record.line(format!("requester sends {id}"));
        let answer = client::send(addr, "POST", "/digest/1", &id, &headers, "prompt");
        record.line(format!(
            "requester of {id} gets {:?}, {} events, complete: {}, {:?}",
            answer.status,
            answer.body.matches("data:").count(),
            answer.is_complete,
            answer.error
        ));
        (id, answer)
    })
}

/// Runs the case.
pub fn run(has_trouble: bool, record: &Record, scratch: &Scratch) -> Verdict {
    let store = Store::default();
    store.put("config", "main", CONFIG);
    let gap = Duration::from_millis(100);
    let behavior = Behavior::Stream { events: 20, gap };
    let replicas: Vec<Replica> =
        (0..3).map(|number| Replica::start(&format!("i-{number}"), behavior, record)).collect();
    for (replica, zone) in replicas.iter().zip(["braila-a", "braila-b", "galati-c"]) {
        replica.register(&store, "model-pool", zone, 128);
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
    thread::sleep(Duration::from_secs(4));
    let replica = &replicas[0];
    let write = |version: &str, born: u64, sequence: u64| {
        let entry = format!(
            "{{\"service\":\"model-pool\",\"address\":\"{}\",\"zone\":\"braila-a\",\"version\":\"{version}\",\"slots\":128,\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}",
            replica.addr
        );
        store.put("servers", &replica.id, &entry);
        record.line(format!("entry of {}: version {version}, born {born}", replica.id));
    };
    let copy = store.copy();
    let copied =
        record.line(format!("the store is copied; {} is v1, born {FIRST_START}", replica.id));
    let wait = |ms: u64| {
        let until = copied + Duration::from_millis(ms);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    };
    wait(STARTED_MS);
    replica.set_version("v2");
    // The entry changes when more than `sequence` changes, so the next writes change nothing.
    write("v2", SECOND_START, 1);
    if has_trouble {
        wait(AWAY_MS);
        store.leave();
        record.line("the store is away");
    }
    wait(STREAMS_MS);
    let requesters: Vec<_> =
        (0..STREAMS).map(|number| stream(&gateways[number % 2], number, record)).collect();
    if has_trouble {
        wait(RESTORED_MS);
        store.restore(copy);
        record.line("the store is back, from the copy");
    }
    wait(CRASH_MS);
    replicas[1].crash();
    record.line(format!("{} crashes", replicas[1].id));
    // The first write of the replica after the return.
    wait(STARTED_MS + 4 * HEARTBEAT_MS);
    write("v2", SECOND_START, 5);
    let (mut complete, mut mixed) = (0, 0);
    for requester in requesters {
        let (id, answer) = requester.join().expect("a requester ends");
        let lines = answer.body.lines().filter(|line| line.starts_with("data:"));
        let versions: BTreeSet<&str> = lines.filter_map(|line| line.rsplit(' ').next()).collect();
        if versions.len() > 1 {
            record.line(format!(
                "{id} holds events of {versions:?}, complete: {}",
                answer.is_complete
            ));
        }
        complete += usize::from(answer.is_complete);
        mixed += usize::from(versions.len() > 1);
    }
    record.line(format!("complete streams: {complete} of {STREAMS}"));
    record.line(format!("streams with events of two software versions: {mixed}"));
    if complete < STREAMS / 2 {
        return Verdict::NotRun("too few streams were served".to_owned());
    }
    if mixed > MAX_MIXED { Verdict::Broken } else { Verdict::Held }
}
