//! DRAIN: the two gateways that read the list of replicas for all are lost, and a replica leaves whose entry is removed.

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

/// `drainTimeoutMs` of the deployment.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Calm before the disruption, after all gateways are ready. Longer than `contactMs`.
const CALM: Duration = Duration::from_secs(8);
/// Time from the loss to the removal of the entry.
const REMOVAL_DELAY: Duration = Duration::from_millis(150);
/// Time for which requests are sent after the removal, and for which the replica that leaves still serves.
const AFTER: Duration = Duration::from_secs(6);
/// Interval between the requests to one gateway.
const INTERVAL: Duration = Duration::from_millis(40);

/// Configuration with one idempotent route.
pub const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-look","host":"yard.example","pathPrefix":"/look/","kind":"idempotent",
"timeoutMs":2500,"targetLatencyMs":150,"priority":0,"service":"cantar","maxAttempts":2,"public":false,"sticky":false,
"resumable":false}],"services":[{"name":"cantar","healthPath":"/healthz","maxConnections":96,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"mill","apiKeys":["9dnn2ctnfzs989anu6ws"]}]}"#;

/// Runs the case.
pub fn run(has_trouble: bool, record: &Record, scratch: &Scratch) -> Verdict {
    let store = Store::default();
    store.put("config", "main", CONFIG);
    let zones = ["braila-a", "braila-a", "braila-b", "galati-c"];
    let behavior = Behavior::Whole { work: Duration::from_millis(20) };
    let replicas: Vec<Replica> =
        (0..3).map(|number| Replica::start(&format!("i-{number}"), behavior, record)).collect();
    for (replica, zone) in replicas.iter().zip(&zones[1..]) {
        replica.register(&store, "cantar", zone, 6);
    }
    let names = ["front-braila-a-1", "front-braila-a-2", "front-braila-b-1", "front-galati-c-1"];
    let mut gateways: Vec<Gateway> = names
        .iter()
        .zip(zones)
        .enumerate()
        .map(|(port, (name, zone))| Gateway::start(name, zone, store.listen(port), scratch.path()))
        .collect();
    if !gateways.iter().all(Gateway::wait_ready) {
        return Verdict::NotRun("a gateway did not become ready".to_owned());
    }
    record.line("all gateways are ready");
    let stops: Vec<Arc<AtomicBool>> = gateways.iter().map(|_| Arc::default()).collect();
    let requesters: Vec<_> = gateways
        .iter()
        .zip(&stops)
        .map(|(gateway, stop)| {
            let (name, addr) = (gateway.name.clone(), gateway.callers);
            let (stop, record) = (stop.clone(), record.clone());
            thread::spawn(move || {
                for number in 0_u32.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{name}-{number}");
                    let answer =
                        client::send(addr, "GET", "/look/1", &id, "Deadline-Ms: 2500\r\n", "");
                    record.line(format!(
                        "requester of {id} gets {:?} {:?}",
                        answer.status, answer.error
                    ));
                    thread::sleep(INTERVAL);
                }
            })
        })
        .collect();
    thread::sleep(CALM);
    let counts = store.watch_counts(gateways.len(), Instant::now() - Duration::from_secs(4));
    let mut order: Vec<usize> = (0..gateways.len()).collect();
    order.sort_by_key(|number| std::cmp::Reverse(counts[*number]));
    record.line(format!("watches of servers in the last 4 s by gateway: {counts:?}"));
    if has_trouble {
        for number in &order[..2] {
            stops[*number].store(true, Ordering::Relaxed);
        }
        for number in &order[..2] {
            gateways[*number].kill();
            record.line(format!("{} is killed, and lost for good", gateways[*number].name));
        }
        thread::sleep(REMOVAL_DELAY);
    }
    let leaving = &replicas[0];
    store.remove("servers", &leaving.id);
    let confirmed =
        record.line(format!("the store confirms that the entry of {} is removed", leaving.id));
    thread::sleep(AFTER);
    stops.iter().for_each(|stop| stop.store(true, Ordering::Relaxed));
    for requester in requesters {
        if requester.join().is_err() {
            return Verdict::NotRun("a requester failed".to_owned());
        }
    }
    let runs = leaving.runs();
    let after = runs.iter().map(|run| run.arrived.saturating_duration_since(confirmed));
    let late: Vec<Duration> = after.filter(|after| *after > DRAIN_TIMEOUT).collect();
    let others: usize = replicas[1..].iter().map(|replica| replica.runs().len()).sum();
    record.line(format!("requests at the other replicas: {others}"));
    if others < 100 {
        return Verdict::NotRun("too few requests were served".to_owned());
    }
    let last = runs.iter().map(|run| run.arrived.saturating_duration_since(confirmed)).max();
    record.line(format!("last request at {} after the confirmation: {last:?}", leaving.id));
    record.line(format!("requests at it later than {DRAIN_TIMEOUT:?}: {}", late.len()));
    if late.is_empty() { Verdict::Held } else { Verdict::Broken }
}
