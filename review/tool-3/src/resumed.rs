//! A stream whose replica was preempted is resumed at a slow replica, and both work on it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use marigold_objects::{Expect, Store as _};
use marigold_testbed::gateways::{API_KEY, GatewayCluster, ROUTE_HOST};
use marigold_testbed::process;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time;

use crate::support::{Context, Verdict};

const PATH: &str = "/model/stream/1";
/// Time for which the replica before may still work on a request that goes on at another one.
const OVERLAP: Duration = Duration::from_millis(400);
/// From the sheet: 17,020 tokens of a prompt at 112 a millisecond, and the time to the first token.
const READ: Duration = Duration::from_millis(152 + 31);
/// Five tokens, of which one takes 3.41 ms and more.
const EVENT: Duration = Duration::from_millis(40);
const EVENTS: u64 = 24;
/// Event after which the first replica preempts the request, and how long until it is read in again and goes on.
const PREEMPTED_AFTER: u64 = 5;
const PREEMPTED: Duration = Duration::from_millis(3_000);
/// `srv_slow`: the second replica works 4 times as long.
const SLOWDOWN: u32 = 4;
const SLOW_REPLICA: usize = 1;
const REQUESTS: usize = 8;

/// A run of a request at a replica.
#[derive(Clone, Debug)]
struct Run {
    request: String,
    replica: usize,
    after: u64,
    began: Instant,
    ended: Instant,
}

#[derive(Default)]
struct Runs(Mutex<Vec<Run>>);

impl Runs {
    fn begin(&self, run: Run) -> usize {
        let mut runs = self.0.lock().expect("no panic under the lock");
        runs.push(run);
        runs.len() - 1
    }

    fn end(&self, index: usize) {
        self.0.lock().expect("no panic under the lock")[index].ended = Instant::now();
    }

    fn of(&self, request: &str) -> Vec<Run> {
        let runs = self.0.lock().expect("no panic under the lock");
        runs.iter().filter(|run| run.request == request).cloned().collect()
    }
}

async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    while !buf.ends_with(b"\r\n\r\n") {
        if stream.read_buf(&mut buf).await.ok()? == 0 {
            return None;
        }
    }
    String::from_utf8(buf).ok()
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
}

/// Works for a time; returns false if the caller closes its channel meanwhile.
async fn work(stream: &mut TcpStream, duration: Duration) -> bool {
    let mut buf = [0; 1];
    tokio::select! {
        _ = stream.read(&mut buf) => false,
        () = time::sleep(duration) => true,
    }
}

/// Serves a stream; a run that is not a continuation is preempted once.
async fn serve(mut stream: TcpStream, replica: usize, slowdown: u32, runs: Arc<Runs>) {
    let Some(head) = read_head(&mut stream).await else { return };
    let request = header(&head, "attempt-id").unwrap_or_default().to_owned();
    let after = header(&head, "last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
    let now = Instant::now();
    let index =
        runs.begin(Run { request: request.clone(), replica, after, began: now, ended: now });
    run_stream(&mut stream, &request, after, slowdown).await;
    runs.end(index);
}

async fn run_stream(stream: &mut TcpStream, request: &str, after: u64, slowdown: u32) {
    let mut is_first = true;
    for id in after + 1..=EVENTS {
        let is_preempted = after == 0 && id == PREEMPTED_AFTER + 1;
        let duration = if is_first { READ + EVENT } else { EVENT } * slowdown;
        let duration = duration + if is_preempted { PREEMPTED } else { Duration::ZERO };
        if !work(stream, duration).await {
            return;
        }
        let mut text = String::new();
        if std::mem::take(&mut is_first) {
            text = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: {request}\r\n\
                 Replica-Seal: s\r\n\r\n"
            );
        }
        let event = format!("id: {id}\ndata: {id}\n\n");
        text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
        if stream.write_all(text.as_bytes()).await.is_err() {
            return;
        }
    }
    let _ = stream.write_all(b"0\r\n\r\n").await;
}

async fn spawn_replica(cluster: &GatewayCluster, number: usize, slowdown: u32, runs: &Arc<Runs>) {
    let listener = process::free_listener();
    listener.set_nonblocking(true).expect("the socket is set to non-blocking mode");
    let listener = TcpListener::from_std(listener).expect("the listener is registered");
    let addr = listener.local_addr().expect("a bound listener has an address");
    let runs = runs.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, number, slowdown, runs.clone()));
        }
    });
    let entry = json!({
        "service": "model", "address": addr, "zone": "north", "version": "v1", "slots": 8, "state": "ready",
        "coldRemainingMs": 0, "sequence": 1, "born": 1,
    });
    let name = format!("model-{number}");
    let put = cluster.platform.store.put("servers", &name, entry.to_string(), Expect::Any).await;
    put.expect("the in-memory store accepts a small object");
}

/// Sends a request and returns the ids of the events, and whether the stream was whole.
async fn call(addr: SocketAddr, request: &str) -> Option<(Vec<u64>, bool)> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let head = format!(
        "POST {PATH} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nAuthorization: Bearer {API_KEY}\r\nAttempt-Id: {request}\r\n\
         Deadline-Ms: 10000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    let mut reply = Vec::new();
    time::timeout(Duration::from_secs(12), stream.read_to_end(&mut reply)).await.ok()?.ok()?;
    let reply = String::from_utf8(reply).ok()?;
    let ids = reply.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    Some((ids, reply.starts_with("HTTP/1.1 200") && reply.ends_with("0\r\n\r\n")))
}

pub async fn run(cx: &Context) -> Verdict {
    let mut cluster = cx.start("review-resumed", 1, 1).await;
    let runs = Arc::new(Runs::default());
    for number in 0..2 {
        let slowdown = if cx.has_trouble && number == SLOW_REPLICA { SLOWDOWN } else { 1 };
        cx.note(&format!("replica {number} works {slowdown} times as long"));
        spawn_replica(&cluster, number, slowdown, &runs).await;
    }
    let route = json!({
        "name": "model", "host": ROUTE_HOST, "pathPrefix": "/model/", "kind": "streaming", "timeoutMs": 10000,
        "targetLatencyMs": 1700, "priority": 0, "service": "model", "maxAttempts": 2, "resumable": true, "gapAimMs": 400,
    });
    let change = |config: &mut serde_json::Value| {
        config["routes"].as_array_mut().expect("the routes are an array").push(route);
        let service = json!({ "name": "model", "maxConnections": 610 });
        config["services"].as_array_mut().expect("the services are an array").push(service);
    };
    cluster.configure_with(&[API_KEY], change).await;
    time::sleep(Duration::from_secs(6)).await;
    let (mut broken, mut resumed) = (0, 0);
    for number in 0..REQUESTS {
        let request = format!("stream-{number}");
        let sent = Instant::now();
        let Some((ids, is_whole)) = call(cluster.gateways[0].addr, &request).await else {
            cx.note(&format!("{request}: no answer"));
            return Verdict::CouldNotRun;
        };
        cx.note(&format!("{request}: {} events, whole {is_whole}", ids.len()));
        // Lets the replicas see the close.
        time::sleep(Duration::from_millis(200)).await;
        let of_request = runs.of(&request);
        for run in &of_request {
            cx.note(&format!(
                "{request}: ran at replica {} after event {}, from {} to {} ms after it was sent",
                run.replica,
                run.after,
                (run.began - sent).as_millis(),
                (run.ended - sent).as_millis(),
            ));
        }
        if let [before, next] = of_request.as_slice() {
            resumed += 1;
            let overlap = before.ended.saturating_duration_since(next.began);
            cx.note(&format!("{request}: both worked for {} ms", overlap.as_millis()));
            broken += usize::from(overlap > OVERLAP && before.replica != next.replica);
        }
    }
    cx.note(&format!("of {REQUESTS} requests {resumed} were resumed, {broken} worked on by both for over {OVERLAP:?}"));
    if broken > 0 {
        Verdict::Broken
    } else if resumed == 0 {
        Verdict::CouldNotRun
    } else {
        Verdict::Held
    }
}
