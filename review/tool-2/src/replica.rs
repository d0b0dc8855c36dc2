//! Stand-ins of replicas.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::record::Record;
use crate::store::Store;

/// How a replica answers.
#[derive(Clone, Copy, Debug)]
pub enum Behavior {
    /// A whole answer after some work.
    Whole { work: Duration },
    /// A stream of events with a gap between two.
    Stream { events: u64, gap: Duration },
}

/// What a replica did with a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub arrived: Instant,
}

/// A running replica.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub addr: SocketAddr,
    behavior: Behavior,
    runs: Arc<Mutex<Vec<Run>>>,
    /// Version of its software, which is in each event.
    version: Arc<Mutex<String>>,
    has_crashed: Arc<AtomicBool>,
    record: Record,
}

impl Replica {
    /// Starts a replica, which runs until the process ends.
    pub fn start(id: &str, behavior: Behavior, record: &Record) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let addr = listener.local_addr().expect("the listener has an address");
        let replica = Self {
            id: id.to_owned(),
            addr,
            behavior,
            runs: Arc::default(),
            version: Arc::new(Mutex::new("v1".to_owned())),
            has_crashed: Arc::default(),
            record: record.clone(),
        };
        let running = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if running.has_crashed.load(Ordering::Relaxed) {
                    return;
                }
                let replica = running.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Writes the entry of the replica.
    pub fn register(&self, store: &Store, service: &str, zone: &str, slots: u32) {
        let spec = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":{slots},\
             \"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1790000000000}}",
            self.addr
        );
        store.put("servers", &self.id, &spec);
    }

    /// Sets the version of its software, for the runs that begin from now on.
    pub fn set_version(&self, version: &str) {
        *self.version.lock().unwrap() = version.to_owned();
    }

    /// Ends all work and all channels, and takes no new ones.
    pub fn crash(&self) {
        self.has_crashed.store(true, Ordering::Relaxed);
        // Ends the listener, which waits for a channel.
        let _ = TcpStream::connect(self.addr);
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    fn serve(&self, stream: TcpStream) -> Option<()> {
        stream.set_nodelay(true).ok()?;
        let mut writer = stream.try_clone().ok()?;
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            http::read_body(&mut reader, &head).ok()?;
            let id = head.get("attempt-id").unwrap_or_default().to_owned();
            if head.get("expect-instance").is_some_and(|expected| expected != self.id) {
                let headers = [("Attempt-Id", id.as_str()), ("Not-Executed", "1")];
                http::respond(&mut writer, "421 Misdirected Request", &headers, "").ok()?;
                continue;
            }
            let arrived = self.record.line(format!(
                "replica {} is reached by {id}: {} {}",
                self.id,
                head.word(0),
                head.word(1)
            ));
            self.runs.lock().unwrap().push(Run { arrived });
            let result = self.run(&head, &id, &mut writer);
            if result.is_err() {
                self.record
                    .line(format!("replica {}: the channel of {id} was closed at work", self.id));
                return None;
            }
            self.record.line(format!("replica {}: the run of {id} is done", self.id));
        }
        Some(())
    }

    fn run(&self, head: &Head, id: &str, writer: &mut TcpStream) -> io::Result<()> {
        let seal = format!("seal-{}", self.id);
        match self.behavior {
            Behavior::Whole { work } => {
                thread::sleep(work);
                let headers = [("Attempt-Id", id), ("Replica-Seal", seal.as_str())];
                http::respond(writer, "200 OK", &headers, &format!("done {id}"))
            }
            Behavior::Stream { events, gap } => {
                let last =
                    head.get("last-event-id").and_then(|last| last.parse().ok()).unwrap_or(0);
                let version = self.version.lock().unwrap().clone();
                self.wait(writer, gap)?;
                let text = format!(
                    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nReplica-Seal: {seal}\r\n\
                     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                writer.write_all(text.as_bytes())?;
                for event in last + 1..=events {
                    let text = format!("id: {event}\ndata: word {event} of {id} by {version}\n\n");
                    write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
                    if event == events {
                        break;
                    }
                    self.wait(writer, gap)?;
                }
                writer.write_all(b"0\r\n\r\n")
            }
        }
    }

    /// Works for some time, and stops at once when the channel is closed, as most replicas do, or at a crash.
    fn wait(&self, stream: &TcpStream, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        loop {
            if self.has_crashed.load(Ordering::Relaxed) {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            stream.set_read_timeout(Some(left.min(Duration::from_millis(20))))?;
            let peeked = stream.peek(&mut [0]);
            stream.set_read_timeout(None)?;
            match peeked {
                Ok(0) => return Err(io::ErrorKind::ConnectionAborted.into()),
                Ok(_) => thread::sleep(left.min(Duration::from_millis(20))),
                Err(err) => match err.kind() {
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut => {}
                    _ => return Err(err),
                },
            }
        }
    }
}
