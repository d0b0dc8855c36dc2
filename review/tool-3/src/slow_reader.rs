//! A requester that reads its answer slowly, on a channel that it has used before.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use marigold_objects::{Expect, Store as _};
use marigold_testbed::gateways::{API_KEY, GatewayCluster, ROUTE_HOST};
use marigold_testbed::process;
use serde_json::json;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;
use tokio::time;

use crate::support::{Context, Verdict};

const REQUESTERS: usize = 8;
/// Answers that may be missing by the rule.
const ALLOWED: usize = 3;
/// `quick-hint` of the sheet: up to 100 events, of 60 bytes on average, and the deadline.
const EVENTS: usize = 100;
const EVENT_BYTES: usize = 60;
const EVENT_INTERVAL: Duration = Duration::from_millis(25);
const DEADLINE: Duration = Duration::from_millis(12_000);
/// Receive buffer of a requester. A slow one does not read for a while after so many bytes of its stream.
const RECEIVE_BUFFER: u32 = 4_096;
const READ_BEFORE_PAUSE: usize = 1_000;
const PAUSE: Duration = Duration::from_millis(6_000);

/// Requests whose streams a replica has sent to their end, and received by the gateway.
type Sent = Arc<Mutex<Vec<String>>>;

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut lines = head.lines().filter_map(|line| line.split_once(':'));
    lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
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

/// Serves a stream at a replica.
async fn serve(mut stream: TcpStream, sent: Sent) -> Option<()> {
    let head = read_head(&mut stream).await?;
    let request = header(&head, "attempt-id")?.to_owned();
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: {request}\r\n\
         Replica-Seal: s\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.ok()?;
    for id in 1..=EVENTS {
        time::sleep(EVENT_INTERVAL).await;
        let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(EVENT_BYTES));
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).await.ok()?;
    }
    stream.write_all(b"0\r\n\r\n").await.ok()?;
    sent.lock().expect("no panic under the lock").push(request);
    Some(())
}

async fn spawn_replica(cluster: &GatewayCluster, sent: &Sent) {
    let listener = process::free_listener();
    listener.set_nonblocking(true).expect("the socket is set to non-blocking mode");
    let listener = TcpListener::from_std(listener).expect("the listener is registered");
    let addr = listener.local_addr().expect("a bound listener has an address");
    let sent = sent.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, sent.clone()));
        }
    });
    let entry = json!({
        "service": "model", "address": addr, "zone": "north", "version": "v1", "slots": 64, "state": "ready",
        "coldRemainingMs": 0, "sequence": 1, "born": 1,
    });
    let put =
        cluster.platform.store.put("servers", "model-0", entry.to_string(), Expect::Any).await;
    put.expect("the in-memory store accepts a small object");
}

fn request(path: &str, id: &str) -> String {
    let deadline = DEADLINE.as_millis();
    format!(
        "POST {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\nAuthorization: Bearer {API_KEY}\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline}\r\nContent-Length: 0\r\n\r\n"
    )
}

/// Outcome of a requester: bytes of its stream, whether it was whole, and how it ended.
struct Outcome {
    id: String,
    bytes: usize,
    is_whole: bool,
    end: String,
    took: Duration,
}

/// Uses a channel for a short request, then for a stream, which is read slowly if `is_slow` is set.
async fn call(addr: SocketAddr, id: String, is_slow: bool) -> Option<Outcome> {
    let socket = TcpSocket::new_v4().ok()?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER).ok()?;
    let mut stream = socket.connect(addr).await.ok()?;
    let first = format!("{id}-first");
    stream.write_all(request("/write/", &first).as_bytes()).await.ok()?;
    let mut reply = Vec::new();
    // The project's stand-in answers with the request line and the id.
    while !reply.ends_with(first.as_bytes()) || !reply.starts_with(b"HTTP/1.1 200") {
        if stream.read_buf(&mut reply).await.ok()? == 0 {
            return None;
        }
    }
    let started = Instant::now();
    stream.write_all(request("/model/stream/", &id).as_bytes()).await.ok()?;
    let mut reply: Vec<u8> = Vec::new();
    let mut buf = [0; 256];
    let mut may_pause = is_slow;
    let read = async {
        loop {
            match stream.read(&mut buf).await {
                Ok(0) => return "end of the channel".to_owned(),
                Ok(size) => reply.extend_from_slice(&buf[..size]),
                Err(err) => return err.to_string(),
            }
            if reply.ends_with(b"\r\n0\r\n\r\n") {
                return "end of the answer".to_owned();
            }
            if may_pause && reply.len() >= READ_BEFORE_PAUSE {
                may_pause = false;
                time::sleep(PAUSE).await;
            }
        }
    };
    let end = time::timeout(DEADLINE, read).await.unwrap_or_else(|_| "deadline".to_owned());
    let is_whole = reply.ends_with(b"\r\n0\r\n\r\n");
    Some(Outcome { id, bytes: reply.len(), is_whole, end, took: started.elapsed() })
}

pub async fn run(cx: &Context) -> Verdict {
    let mut cluster = cx.start("review-slow-reader", 1, 1).await;
    let sent = Sent::default();
    spawn_replica(&cluster, &sent).await;
    let route = json!({
        "name": "model", "host": ROUTE_HOST, "pathPrefix": "/model/", "kind": "streaming", "timeoutMs": DEADLINE.as_millis() as u64,
        "targetLatencyMs": 2200, "priority": 0, "service": "model", "maxAttempts": 2, "resumable": true, "gapAimMs": 400,
    });
    let change = |config: &mut serde_json::Value| {
        config["routes"].as_array_mut().expect("the routes are an array").push(route);
        let service = json!({ "name": "model", "maxConnections": 610 });
        config["services"].as_array_mut().expect("the services are an array").push(service);
    };
    cluster.configure_with(&[API_KEY], change).await;
    // The machine is in touch.
    time::sleep(Duration::from_secs(6)).await;
    let addr = cluster.gateways[0].addr;
    let mut calls = JoinSet::new();
    for number in 0..REQUESTERS {
        calls.spawn(call(addr, format!("stream-{number}"), cx.has_trouble));
    }
    let (mut whole, mut cut) = (0, 0);
    for outcome in calls.join_all().await {
        let Some(Outcome { id, bytes, is_whole, end, took }) = outcome else {
            cx.note("a channel could not be used");
            return Verdict::CouldNotRun;
        };
        let is_sent = sent.lock().expect("no panic under the lock").contains(&id);
        cx.note(&format!(
            "{id}: {bytes} bytes, whole {is_whole}, ended after {} ms by: {end}; the replica sent all of it: {is_sent}",
            took.as_millis()
        ));
        whole += usize::from(is_whole);
        cut += usize::from(!is_whole && is_sent && end != "deadline");
    }
    cx.note(&format!(
        "of {REQUESTERS} answers {whole} were whole; {cut} were cut off by the gateway before the deadline, {ALLOWED} are allowed"
    ));
    if cut > ALLOWED {
        Verdict::Broken
    } else if whole + cut < REQUESTERS {
        Verdict::CouldNotRun
    } else {
        Verdict::Held
    }
}
