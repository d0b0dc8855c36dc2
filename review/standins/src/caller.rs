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
    pub path: String,
    pub host: &'static str,
    pub key: String,
    pub deadline: Duration,
    /// Headers beside those that each request has.
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
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
    let key = format!("Bearer {}", call.key);
    let mut headers = vec![
        ("Host", call.host),
        ("Attempt-Id", call.id.as_str()),
        ("Deadline-Ms", deadline.as_str()),
        ("Authorization", key.as_str()),
    ];
    headers.extend(call.headers.iter().map(|(name, value)| (*name, value.as_str())));
    let sent_at = Instant::now();
    record.line(&format!("sent {} key={} to {}", call.id, call.key, call.gateway));
    let (addr, timeout) = (call.gateway, call.deadline);
    let answer = http::exchange(addr, "POST", &call.path, &headers, &call.body, timeout);
    let ended_at = Instant::now();
    let status = answer.status.map_or("none".to_owned(), |status| status.to_string());
    let end = if answer.is_complete { "whole".to_owned() } else { answer.error.clone() };
    record.line(&format!("answered {} status={status} {end}", call.id));
    Exchange { call, sent_at, ended_at, answer }
}
