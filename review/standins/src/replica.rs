//! A replica of a service: answers requests, sends streams of events, and writes its entry to the store.

use std::io::{self, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Request};
use crate::record::Record;
use crate::store::Store;

/// Interval at which a replica writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Interval at which a replica that works finds out whether the channel of its request was closed.
const CLOSE_CHECK: Duration = Duration::from_millis(5);

/// How a replica works.
#[derive(Clone, Debug)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    /// Duration of a request that is no stream.
    pub work: Duration,
    /// Number of events of a stream.
    pub events: u64,
    /// Time from one event to the next.
    pub event_gap: Duration,
    /// Time for which the prompt of a stream is read, before its first event.
    pub prompt_time: Duration,
    /// Number of events of a run after which it is preempted while memory is short.
    pub preempted_after: u64,
    /// Time until a preempted run has been read in again.
    pub preempted_for: Duration,
}

impl Options {
    pub fn new(id: &str, service: &str, zone: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            work: Duration::from_millis(30),
            events: 20,
            event_gap: Duration::from_millis(100),
            prompt_time: Duration::from_millis(200),
            preempted_after: 3,
            preempted_for: Duration::from_millis(2_000),
        }
    }
}

/// A request that a replica ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// When the replica began to work on it.
    pub at: Instant,
    pub request: Request,
    /// When the replica made the events of a stream.
    pub events: Vec<Instant>,
    /// When it stopped to work on the request.
    pub ended_at: Option<Instant>,
    /// Whether it came to its end.
    pub is_whole: bool,
}

impl Run {
    pub fn id(&self) -> &str {
        self.request.header("attempt-id").unwrap_or_default()
    }
}

pub struct Replica {
    pub addr: SocketAddr,
    options: Options,
    record: Arc<Record>,
    runs: Mutex<Vec<Run>>,
    /// Whether memory is short, so that runs are preempted.
    is_short: AtomicBool,
}

impl Replica {
    /// Starts a replica on a free port, which writes its entry at once and then with each heartbeat.
    pub fn spawn(
        options: Options,
        store: &Arc<Store>,
        record: &Arc<Record>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let addr = listener.local_addr()?;
        let replica = Arc::new(Self {
            addr,
            options,
            record: record.clone(),
            runs: Mutex::default(),
            is_short: AtomicBool::new(false),
        });
        let server = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = server.clone();
                // A caller that leaves ends the exchange.
                thread::spawn(move || drop(replica.serve(stream)));
            }
        });
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        replica.write_entry(store, born, 1);
        let (writer, store) = (replica.clone(), store.clone());
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(HEARTBEAT);
                writer.write_entry(&store, born, sequence);
            }
        });
        Ok(replica)
    }

    fn write_entry(&self, store: &Store, born: u128, sequence: u64) {
        let Options { id, service, zone, .. } = &self.options;
        let addr = self.addr;
        let spec = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":128,"state":"ready","coldRemainingMs":0,"sequence":{sequence},"born":{born}}}"#
        );
        store.put("servers", id, &spec);
    }

    /// Returns the requests that the replica ran.
    pub fn runs(&self) -> Vec<Run> {
        self.runs.lock().unwrap().clone()
    }

    /// Sets whether memory is short.
    pub fn set_short(&self, is_short: bool) {
        self.is_short.store(is_short, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = http::Reader::new(stream.try_clone()?);
        while let Some(req) = reader.request()? {
            if req.header("expect-instance").is_some_and(|id| id != self.options.id) {
                let headers = [("Instance-Id", self.options.id.as_str())];
                http::respond(&mut stream, 421, &headers, b"")?;
                continue;
            }
            let id = req.header("attempt-id").unwrap_or_default().to_owned();
            if id.is_empty() {
                http::respond(&mut stream, 400, &[("Not-Executed", "1")], b"")?;
                continue;
            }
            let run = Run {
                at: Instant::now(),
                request: req.clone(),
                events: Vec::new(),
                ended_at: None,
                is_whole: false,
            };
            let index = {
                let mut runs = self.runs.lock().unwrap();
                runs.push(run);
                runs.len() - 1
            };
            let after = req.header("last-event-id").unwrap_or("-");
            let tenant = req.header("tenant").unwrap_or("-");
            self.record.line(&format!(
                "{} runs {id} {} tenant={tenant} last-event-id={after}",
                self.options.id, req.path
            ));
            let result = if req.path.contains("/stream/") {
                self.stream(&mut stream, &req, &id, index)
            } else {
                thread::sleep(self.options.work);
                let seal = format!("{}.{id}", self.options.id);
                let headers = [("Attempt-Id", id.as_str()), ("Replica-Seal", seal.as_str())];
                http::respond(&mut stream, 200, &headers, format!("answer to {id}").as_bytes())
            };
            let end = if result.is_ok() { "ends" } else { "drops" };
            self.record.line(&format!("{} {end} {id}", self.options.id));
            let mut runs = self.runs.lock().unwrap();
            runs[index].ended_at = Some(Instant::now());
            runs[index].is_whole = result.is_ok();
            drop(runs);
            result?;
        }
        Ok(())
    }

    /// Works for some time; ends early when the channel is closed.
    fn work(&self, stream: &TcpStream, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        loop {
            if is_closed(stream)? {
                return Err(io::Error::other("the channel is closed"));
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(CLOSE_CHECK));
        }
    }

    /// Sends the events of a stream; the head goes out with the first one.
    fn stream(
        &self,
        stream: &mut TcpStream,
        req: &Request,
        id: &str,
        index: usize,
    ) -> io::Result<()> {
        let options = &self.options;
        let first = req.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0) + 1;
        let seal = format!("{}.{id}", options.id);
        let mut out = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Attempt-Id: {id}\r\nReplica-Seal: {seal}\r\n\r\n"
        );
        self.work(stream, options.prompt_time)?;
        for (made, event) in (first..=options.events).enumerate() {
            if made as u64 == options.preempted_after && self.is_short.load(Ordering::SeqCst) {
                let replica = &options.id;
                self.record.line(&format!("{replica} preempts {id} before event {event}"));
                self.work(stream, options.preempted_for)?;
                self.record.line(&format!("{replica} has read {id} in again"));
            }
            self.work(stream, options.event_gap)?;
            self.runs.lock().unwrap()[index].events.push(Instant::now());
            self.record.line(&format!("{} makes event {event} of {id}", options.id));
            let text = format!("id: {event}\ndata: {event} of {}\n\n", options.events);
            out.push_str(&format!("{:x}\r\n{text}\r\n", text.len()));
            stream.write_all(out.as_bytes())?;
            out.clear();
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Returns whether the other end has closed the channel.
fn is_closed(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    Ok(match peeked {
        Ok(len) => len == 0,
        Err(err) => err.kind() != io::ErrorKind::WouldBlock,
    })
}
