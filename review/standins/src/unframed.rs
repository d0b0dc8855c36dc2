//! A replica as a process of its own, whose answers have no length and end with their channel.

use std::io::{self, BufRead as _, BufReader, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Number of parts in which an answer is written.
const PARTS: usize = 4;
/// Work for each part.
const PART_TIME: Duration = Duration::from_millis(60);

/// Returns a part of the answer to a request.
fn part(id: &str, number: usize) -> String {
    format!("part {number} of {PARTS} of the answer to {id} {}\n", "x".repeat(150))
}

/// Returns the whole answer to a request.
pub fn whole(id: &str) -> String {
    (1..=PARTS).map(|number| part(id, number)).collect()
}

/// Serves as the replica `id`: tells its address and the requests that it runs on standard output, until standard input ends.
pub fn serve(id: &str) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    println!("{}", listener.local_addr()?);
    thread::spawn(|| {
        let mut line = String::new();
        while io::stdin().read_line(&mut line).is_ok_and(|len| len > 0) {}
        std::process::exit(0);
    });
    for stream in listener.incoming().flatten() {
        let id = id.to_owned();
        // A caller that leaves ends the exchange.
        thread::spawn(move || drop(answer(stream, &id)));
    }
    Ok(())
}

fn answer(mut stream: TcpStream, replica: &str) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let Some(req) = http::Reader::new(stream.try_clone()?).request()? else { return Ok(()) };
    if req.header("expect-instance").is_some_and(|id| id != replica) {
        let headers = [("Instance-Id", replica), ("Connection", "close")];
        return http::respond(&mut stream, 421, &headers, b"");
    }
    let id = req.header("attempt-id").unwrap_or_default();
    println!("{replica} runs {id}");
    let head = format!(
        "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nReplica-Seal: {replica}.{id}\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in 1..=PARTS {
        thread::sleep(PART_TIME);
        stream.write_all(part(id, number).as_bytes())?;
    }
    println!("{replica} has answered {id}");
    Ok(())
}

/// A running replica.
pub struct Process {
    pub id: String,
    child: Child,
}

impl Process {
    /// Starts a replica of a service and writes its entry to the store.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        store: &Store,
        record: &Arc<Record>,
    ) -> io::Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["replica", id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let stdout = child.stdout.take().ok_or_else(|| io::Error::other("no output"))?;
        let mut lines = BufReader::new(stdout).lines();
        let addr = lines.next().ok_or_else(|| io::Error::other("the replica ended"))??;
        let addr: SocketAddr = addr.parse().map_err(io::Error::other)?;
        let spec = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"v1","slots":6,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1785000000000}}"#
        );
        store.put("servers", id, &spec);
        let record = record.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                record.line(&line);
            }
        });
        Ok(Self { id: id.to_owned(), child })
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
