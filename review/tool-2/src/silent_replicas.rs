//! Replicas that are silent for a while in the middle of their streams: LOST beside a planned stop, and TWICE.

use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{self, Answer};
use crate::gateway::Gateway;
use crate::record::Record;
use crate::replica::{Behavior, Replica, Run};
use crate::store::Store;
use crate::{Scratch, Verdict};

/// `gracePeriodS` of the deployment.
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Number of streams beside the planned stop, and the interval between their starts: about the rate of the sheet in a burst.
const STREAMS: usize = 60;
const INTERVAL: Duration = Duration::from_millis(50);
/// Number of streams of the other check.
const FEW_STREAMS: usize = 8;
/// Silence of a replica. Requesters of this kind of request leave after a gap of four times the objective, 6.8 s.
const SILENCE: Duration = Duration::from_millis(1_900);
const EVENTS: u64 = 12;

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-digest","host":"yard.example","pathPrefix":"/digest/","kind":"streaming",
"timeoutMs":10000,"targetLatencyMs":1700,"priority":0,"service":"model-pool","maxAttempts":2,"public":false,"sticky":true,
"resumable":true,"gapAimMs":400}],"services":[{"name":"model-pool","healthPath":"/healthz","maxConnections":610,"protocol":"h1",
"tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"mill","apiKeys":["9dnn2ctnfzs989anu6ws"]}]}"#;

/// Time after which a replica may not work on a request any more that has gone on at another one.
const OVERLAP: Duration = Duration::from_millis(400);
/// Time for which a run that goes on reads its prompt again: 17,000 tokens at 112 in a millisecond, and a queue before it.
const READING: Duration = Duration::from_millis(900);

/// A running deployment.
struct Deployment {
    replicas: Vec<Replica>,
    gateways: Vec<Gateway>,
}

impl Deployment {
    /// Starts it; `None` if a gateway does not become ready.
    fn start(
        silence: Option<(u64, Duration)>,
        reading: Duration,
        record: &Record,
        scratch: &Scratch,
    ) -> Option<Self> {
        let store = Store::default();
        store.put("config", "main", CONFIG);
        let gap = Duration::from_millis(100);
        let behavior = Behavior::Stream { events: EVENTS, gap, silence, reading };
        let replicas: Vec<Replica> =
            (0..3).map(|number| Replica::start(&format!("i-{number}"), behavior, record)).collect();
        for (replica, zone) in replicas.iter().zip(["braila-a", "braila-b", "galati-c"]) {
            replica.register(&store, "model-pool", zone, 128);
        }
        let places = [("front-braila-a-1", "braila-a"), ("front-braila-b-1", "braila-b")];
        let start = |(port, (name, zone)): (usize, (&str, &str))| {
            Gateway::start(name, zone, store.listen(port), scratch.path())
        };
        let gateways: Vec<Gateway> = places.into_iter().enumerate().map(start).collect();
        if !gateways.iter().all(Gateway::wait_ready) {
            return None;
        }
        record.line("all gateways are ready");
        thread::sleep(Duration::from_secs(4));
        Some(Self { replicas, gateways })
    }

    /// Begins streams at the first gateway.
    fn send(&self, streams: usize, record: &Record) -> Vec<JoinHandle<(String, Answer)>> {
        let addr = self.gateways[0].callers;
        let requester = |number: usize| {
            let record = record.clone();
            thread::spawn(move || {
                thread::sleep(INTERVAL * number as u32);
                let id = format!("a{number:04}");
                let headers = format!(
                    "Deadline-Ms: 10000\r\nModel: m\r\nToken-Count: 1460,80\r\n\
                     Prompt-Prefix: 5c1e07a2:800,{number:08x}:250\r\n"
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
        };
        (0..streams).map(requester).collect()
    }

    /// Returns the runs of a request with their replicas, in the order of arrival.
    fn runs(&self, id: &str) -> Vec<(&str, Run)> {
        let of_replica = |replica: &'_ Replica| {
            let runs = replica.runs().into_iter().filter(|run| run.id == id);
            runs.collect::<Vec<Run>>()
        };
        let mut runs: Vec<(&str, Run)> = self
            .replicas
            .iter()
            .flat_map(|replica| {
                of_replica(replica).into_iter().map(|run| (replica.id.as_str(), run))
            })
            .collect();
        runs.sort_by_key(|(_, run)| run.arrived);
        runs
    }
}

/// LOST: a gateway gets SIGTERM while the streams run.
pub fn lost(has_trouble: bool, record: &Record, scratch: &Scratch) -> Verdict {
    let silence = has_trouble.then_some((4, SILENCE));
    let Some(deployment) = Deployment::start(silence, Duration::from_millis(100), record, scratch)
    else {
        return Verdict::NotRun("a gateway did not become ready".to_owned());
    };
    let requesters = deployment.send(STREAMS, record);
    thread::sleep(INTERVAL * STREAMS as u32 + Duration::from_millis(100));
    let stopped = &deployment.gateways[0];
    stopped.signal("TERM");
    let stop = record.line(format!("{} gets SIGTERM", stopped.name));
    let last_sixth = stop + GRACE_PERIOD.mul_f64(5.0 / 6.0);
    let mut cut = 0;
    for requester in requesters {
        let (id, answer) = requester.join().expect("a requester ends");
        let runs = deployment.runs(&id);
        if runs.is_empty() {
            return Verdict::NotRun(format!("{id} was not passed on"));
        }
        // Not counted: the channel ended before the signal, the replica was at work in the last sixth of the grace period, the
        // deadline or the route's timeout was reached, or the request was sent after the signal.
        let is_excused = answer.ended < stop
            || answer.ended >= last_sixth
            || answer.ended >= answer.sent + Duration::from_secs(10)
            || answer.sent > stop;
        let is_lost = !answer.is_complete && !is_excused;
        record.line(format!(
            "{id}: {} runs, {} events, complete: {}, ended {} ms after SIGTERM, lost: {is_lost}",
            runs.len(),
            answer.body.matches("data:").count(),
            answer.is_complete,
            answer.ended.saturating_duration_since(stop).as_millis()
        ));
        cut += usize::from(is_lost);
    }
    record.line(format!("channels that ended without a complete answer: {cut} of {STREAMS}"));
    if cut > 0 { Verdict::Broken } else { Verdict::Held }
}

/// TWICE: a request goes on at another replica while the one before still works on it.
pub fn twice(has_trouble: bool, record: &Record, scratch: &Scratch) -> Verdict {
    let silence = has_trouble.then_some((4, SILENCE));
    let Some(deployment) = Deployment::start(silence, READING, record, scratch) else {
        return Verdict::NotRun("a gateway did not become ready".to_owned());
    };
    let mut doubled = 0;
    for requester in deployment.send(FEW_STREAMS, record) {
        let (id, _) = requester.join().expect("a requester ends");
        // The replica sees the end of its channel a moment later.
        thread::sleep(Duration::from_millis(100));
        let runs = deployment.runs(&id);
        if runs.is_empty() {
            return Verdict::NotRun(format!("{id} was not passed on"));
        }
        for pair in runs.windows(2) {
            let [(before, first), (next, second)] = pair else { continue };
            let overlap = match first.ended {
                Some(ended) => ended.saturating_duration_since(second.arrived),
                None => Duration::MAX,
            };
            let is_doubled = before != next && overlap > OVERLAP;
            record.line(format!(
                "{id} goes on at {next}; {before} works on it for {overlap:?} more: broken: {is_doubled}"
            ));
            doubled += usize::from(is_doubled);
        }
    }
    record.line(format!("requests that two replicas worked on for over {OVERLAP:?}: {doubled}"));
    if doubled > 0 { Verdict::Broken } else { Verdict::Held }
}
