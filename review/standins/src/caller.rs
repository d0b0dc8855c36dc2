//! Callers: each request goes to a gateway on a connection of its own.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::http::{self, Answer};
use crate::record::Record;

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub gateway: SocketAddr,
    pub method: &'static str,
    pub path: String,
    pub host: &'static str,
    /// Key of a tenant; none for requests without one.
    pub key: Option<String>,
    pub deadline: Duration,
    /// Headers beside those that each request has.
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    /// Time from the opening of the channel to the request.
    pub pause: Duration,
}

impl Call {
    pub fn new(id: &str, gateway: SocketAddr, path: &str, key: Option<&str>) -> Self {
        Self {
            id: id.to_owned(),
            gateway,
            method: "POST",
            path: path.to_owned(),
            host: crate::config::HOST,
            key: key.map(str::to_owned),
            deadline: Duration::from_millis(2_500),
            headers: Vec::new(),
            body: b"body".to_vec(),
            pause: Duration::ZERO,
        }
    }
}

/// A request with its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    pub call: Call,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub answer: Answer,
}

/// Requests in progress and those that have ended.
pub struct Callers {
    record: Arc<Record>,
    ended: Arc<Mutex<Vec<Exchange>>>,
    threads: Vec<JoinHandle<()>>,
}

impl Callers {
    pub fn new(record: &Arc<Record>) -> Self {
        Self { record: record.clone(), ended: Arc::default(), threads: Vec::new() }
    }

    /// Sends a request in the background.
    pub fn send(&mut self, call: Call) {
        let (record, ended) = (self.record.clone(), self.ended.clone());
        self.threads.push(thread::spawn(move || {
            let exchange = exchange(call, &record);
            ended.lock().unwrap().push(exchange);
        }));
    }

    /// Waits for all answers and returns them in the order in which the requests were sent.
    pub fn finish(self) -> Vec<Exchange> {
        for thread in self.threads {
            let _ = thread.join();
        }
        let mut ended = self.ended.lock().unwrap().clone();
        ended.sort_by_key(|exchange| exchange.sent_at);
        ended
    }
}

/// Sends a request and waits for its answer.
pub fn exchange(call: Call, record: &Record) -> Exchange {
    let deadline = call.deadline.as_millis().to_string();
    let key = call.key.as_ref().map(|key| format!("Bearer {key}"));
    let mut headers = vec![
        ("Host", call.host),
        ("Attempt-Id", call.id.as_str()),
        ("Deadline-Ms", deadline.as_str()),
    ];
    headers.extend(key.as_ref().map(|key| ("Authorization", key.as_str())));
    headers.extend(call.headers.iter().map(|(name, value)| (*name, value.as_str())));
    let mut sent_at = Instant::now();
    let on_send = || {
        sent_at = Instant::now();
        let key = call.key.as_deref().unwrap_or("-");
        record.line(&format!("sent {} {} key={key} to {}", call.id, call.path, call.gateway));
    };
    let to = http::Destination { addr: call.gateway, pause: call.pause };
    let message = http::Message {
        method: call.method,
        path: &call.path,
        headers: &headers,
        body: &call.body,
    };
    // A little longer than the deadline, so that an answer at the deadline is seen.
    let timeout = call.deadline + Duration::from_millis(500);
    let answer = http::exchange(to, &message, timeout, on_send);
    let ended_at = Instant::now();
    let status = answer.status.map_or("none".to_owned(), |status| status.to_string());
    let end = if answer.is_complete { "whole".to_owned() } else { answer.error.clone() };
    record.line(&format!("answered {} status={status} {end}", call.id));
    Exchange { call, sent_at, ended_at, answer }
}
