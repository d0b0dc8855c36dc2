//! A server whose replies never end, in place of a target, the store or another process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time;

/// Largest head of a request.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Bytes that are written at a time.
const WRITE_BYTES: usize = 16 * 1024;
/// Interval between the bytes of a slow reply.
const DRIP_INTERVAL: Duration = Duration::from_secs(1);
/// Objects in each page of [`Form::Pages`], and the size of their values.
const PAGE_OBJECTS: usize = 100;
const PAGE_VALUE_BYTES: usize = 10_000;
/// Header of an HTTP/2 frame with its length, type, flags and stream.
const H2_HEADER_BYTES: usize = 9;
/// Bytes that an HTTP/2 client sends before its frames.
const H2_PREFACE_BYTES: usize = 24;
/// Payload of an HTTP/2 frame; the largest size is 16 KB unless a peer allows more.
const H2_PAYLOAD_BYTES: usize = 16_000;

/// What a server sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// A reply over HTTP/1.1.
    Http(Http),
    /// Results of pieces, and a reply over HTTP/1.1 to the calls that free them.
    Release(Http),
    /// Frames of HTTP/2.
    H2(H2),
    /// Pages of a list, of which each says that there are more.
    Pages,
}

/// What a reply over HTTP/1.1 consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Http {
    /// Bytes that are no HTTP.
    NoHttp,
    /// A line of the head that never ends.
    HeadLine,
    /// Lines of the head, without the empty one.
    HeadLines,
    /// Replies with status 100.
    Interim,
    /// A body without a length.
    Body,
    /// Chunks of a body.
    Chunks,
    /// Chunks of one byte, each with an extension.
    SmallChunks,
    /// The extension of a chunk.
    ChunkExtension,
    /// Trailers.
    Trailers,
    /// A body with a length that is not reached.
    Length,
    /// The head, a byte a second.
    SlowHead,
    /// The body, a byte a second.
    SlowBody,
    /// A large part of a head, and then a byte a second.
    HeldHead(usize),
    /// A large part of a body, and then a byte a second.
    HeldBody(usize),
}

/// What a reply over HTTP/2 consists of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum H2 {
    /// Headers that go on in further frames.
    Headers,
    /// Pings.
    Pings,
    /// A frame with the largest length, and its payload.
    Length,
}

/// What is sent: a start, and a part that is repeated.
struct Script {
    start: Vec<u8>,
    part: Vec<u8>,
    is_slow: bool,
}

impl Http {
    /// Returns what is sent after a request with an ID.
    fn script(self, request: &str) -> Script {
        let ok = "HTTP/1.1 200 OK\r\n";
        let signed = format!("{ok}Attempt-Id: {request}\r\nReplica-Seal: s\r\n");
        let chunked = format!("{signed}Transfer-Encoding: chunked\r\n\r\n");
        let sized = format!("{signed}Content-Length: 1000000000000\r\n\r\n");
        let (start, part, is_slow) = match self {
            Self::NoHttp => (String::new(), "no answer ", false),
            Self::HeadLine => (format!("{ok}X: "), "x", false),
            Self::HeadLines => (ok.to_owned(), "X: y\r\n", false),
            Self::Interim => (String::new(), "HTTP/1.1 100 Continue\r\n\r\n", false),
            Self::Body => (format!("{signed}\r\n"), "data: x\n", false),
            Self::Chunks => (chunked, "8\r\ndata: x\n\r\n", false),
            Self::SmallChunks => (chunked, "1;e=x\r\nx\r\n", false),
            Self::ChunkExtension => (format!("{chunked}8;e="), "x", false),
            Self::Trailers => (format!("{chunked}0\r\n"), "X: y\r\n", false),
            Self::Length => (sized, "data: x\n", false),
            Self::SlowHead => (format!("{ok}X: "), "x", true),
            Self::SlowBody => (sized, "x", true),
            Self::HeldHead(bytes) => (format!("{ok}X: {}", "x".repeat(bytes)), "x", true),
            Self::HeldBody(bytes) => (format!("{sized}data: {}", "x".repeat(bytes)), "x", true),
        };
        Script { start: start.into(), part: part.into(), is_slow }
    }
}

struct State {
    form: Mutex<Form>,
    open: AtomicUsize,
    accepted: AtomicUsize,
    sent_bytes: AtomicUsize,
}

/// Decrements the number of open connections when it is dropped.
struct OpenGuard(Arc<State>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A running server; dropping it closes the listeners.
pub struct Server {
    addrs: Vec<SocketAddr>,
    state: Arc<State>,
    _tasks: JoinSet<()>,
}

impl Server {
    /// Starts a server that serves the connections of some listeners.
    ///
    /// # Panics
    /// When a listener cannot be registered with the runtime.
    pub fn spawn(listeners: impl IntoIterator<Item = std::net::TcpListener>, form: Form) -> Self {
        let state = Arc::new(State {
            form: Mutex::new(form),
            open: AtomicUsize::new(0),
            accepted: AtomicUsize::new(0),
            sent_bytes: AtomicUsize::new(0),
        });
        let (mut addrs, mut tasks) = (Vec::new(), JoinSet::new());
        for listener in listeners {
            listener.set_nonblocking(true).expect("the socket is set to non-blocking mode");
            let listener = TcpListener::from_std(listener)
                .expect("the listener is registered with the runtime");
            addrs.push(listener.local_addr().expect("a bound listener has an address"));
            tasks.spawn(accept_forever(listener, state.clone()));
        }
        Self { addrs, state, _tasks: tasks }
    }

    /// Returns the addresses of the server, in the order of its listeners.
    pub fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// Sets the form of the replies to further requests.
    pub fn set_form(&self, form: Form) {
        *self.state.form.lock() = form;
    }

    /// Returns the number of connections that are open.
    pub fn open_connections(&self) -> usize {
        self.state.open.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that were accepted.
    pub fn accepted(&self) -> usize {
        self.state.accepted.load(Ordering::SeqCst)
    }

    /// Returns the number of bytes that were written.
    pub fn sent_bytes(&self) -> usize {
        self.state.sent_bytes.load(Ordering::SeqCst)
    }
}

async fn accept_forever(listener: TcpListener, state: Arc<State>) {
    while let Ok((stream, _)) = listener.accept().await {
        state.accepted.fetch_add(1, Ordering::SeqCst);
        state.open.fetch_add(1, Ordering::SeqCst);
        let open = OpenGuard(state.clone());
        tokio::spawn(async move {
            // A caller that disconnects is not a failure of the server.
            drop(serve(stream, &open.0).await);
        });
    }
}

async fn serve(mut stream: TcpStream, state: &State) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let state_form = *state.form.lock();
    match state_form {
        Form::Pages => serve_pages(stream, state).await,
        Form::H2(form) => serve_h2(stream, state, form).await,
        Form::Http(form) | Form::Release(form) => {
            let Some((head, body)) = read_request(&mut stream).await? else { return Ok(()) };
            if matches!(state_form, Form::Release(_)) && head.starts_with("POST /stage-run ") {
                return send_results(stream, &body).await;
            }
            let request = header(&head, "attempt-id").unwrap_or_default();
            send(stream, state, form.script(&request)).await
        }
    }
}

/// Reads the head and the body of a request; returns `None` if the connection ends before.
async fn read_request(stream: &mut TcpStream) -> std::io::Result<Option<(String, Vec<u8>)>> {
    let mut buf = Vec::new();
    let end = loop {
        if let Some(at) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if buf.len() > MAX_HEAD_BYTES || stream.read_buf(&mut buf).await? == 0 {
            return Ok(None);
        }
    };
    let mut body = buf.split_off(end);
    let head = String::from_utf8_lossy(&buf).into_owned();
    let length = header(&head, "content-length").and_then(|length| length.parse().ok());
    while body.len() < length.unwrap_or(0) {
        if stream.read_buf(&mut body).await? == 0 {
            return Ok(None);
        }
    }
    Ok(Some((head, body)))
}

/// Sends a handle for each piece of a call, and closes the connection.
async fn send_results(mut stream: TcpStream, body: &[u8]) -> std::io::Result<()> {
    let call: Value = serde_json::from_slice(body).unwrap_or_default();
    let pieces = call["items"].as_array().map_or(0, Vec::len);
    let addr = stream.local_addr()?;
    let item = |_| json!({ "handle": format!("{addr}/{:016x}", rand::random::<u64>()) });
    let items: Vec<Value> = (0..pieces).map(item).collect();
    let reply = json!({ "items": items }).to_string();
    let head =
        format!("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: {}\r\n\r\n", reply.len());
    stream.write_all(format!("{head}{reply}").as_bytes()).await?;
    stream.shutdown().await
}

fn header(head: &str, name: &str) -> Option<String> {
    let mut headers = head.split("\r\n").filter_map(|line| line.split_once(':'));
    let (_, value) = headers.find(|(found, _)| found.eq_ignore_ascii_case(name))?;
    Some(value.trim().to_owned())
}

/// Sends a script until the caller closes the connection.
async fn send(stream: TcpStream, state: &State, script: Script) -> std::io::Result<()> {
    let Script { start, part, is_slow } = script;
    let (mut read, mut write) = stream.into_split();
    let count = |bytes: usize| state.sent_bytes.fetch_add(bytes, Ordering::Relaxed);
    let sending = async {
        write.write_all(&start).await?;
        count(start.len());
        let repeats = if is_slow { 1 } else { WRITE_BYTES.div_ceil(part.len()) };
        let parts = part.repeat(repeats);
        loop {
            if is_slow {
                time::sleep(DRIP_INTERVAL).await;
            }
            write.write_all(&parts).await?;
            count(parts.len());
        }
    };
    let closed = async {
        let mut buf = vec![0; WRITE_BYTES];
        while read.read(&mut buf).await? > 0 {}
        Ok(())
    };
    tokio::select! {
        sent = sending => sent,
        closed = closed => closed,
    }
}

/// Answers watches with an expired history, and each list with a page that says that there are more.
async fn serve_pages(mut stream: TcpStream, state: &State) -> std::io::Result<()> {
    for _ in 0.. {
        let Some((head, _)) = read_request(&mut stream).await? else { return Ok(()) };
        let (status, body) = if head.contains("watch=") {
            ("410 Gone", String::new())
        } else {
            let first = state.sent_bytes.load(Ordering::SeqCst);
            let item = |number: usize| {
                let metadata = json!({ "name": format!("{first:020}-{number:06}"), "revision": 1 });
                json!({ "metadata": metadata, "spec": "x".repeat(PAGE_VALUE_BYTES) })
            };
            let items: Vec<_> = (0..PAGE_OBJECTS).map(item).collect();
            let page = json!({ "items": items, "hasMore": true, "storeRevision": 1 });
            ("200 OK", page.to_string())
        };
        let reply = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        state.sent_bytes.fetch_add(reply.len(), Ordering::SeqCst);
        stream.write_all(reply.as_bytes()).await?;
    }
    Ok(())
}

fn h2_frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut frame = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    frame.extend([kind, flags]);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    frame
}

/// Waits for a request of an HTTP/2 client, and replies to it without end.
async fn serve_h2(mut stream: TcpStream, state: &State, form: H2) -> std::io::Result<()> {
    const DATA: u8 = 0;
    const HEADERS: u8 = 1;
    const SETTINGS: u8 = 4;
    const PING: u8 = 6;
    const CONTINUATION: u8 = 9;
    const ACK: u8 = 1;
    /// `:status` 200, an entry of the static table.
    const STATUS_OK: &[u8] = &[0x88];
    /// A literal field `x: y`.
    const FIELD: &[u8] = &[0, 1, b'x', 1, b'y'];
    stream.write_all(&h2_frame(SETTINGS, 0, 0, b"")).await?;
    stream.write_all(&h2_frame(SETTINGS, ACK, 0, b"")).await?;
    let mut buf = vec![0; H2_PREFACE_BYTES];
    stream.read_exact(&mut buf).await?;
    let id = loop {
        let mut head = [0; H2_HEADER_BYTES];
        stream.read_exact(&mut head).await?;
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
        buf.resize(length, 0);
        stream.read_exact(&mut buf).await?;
        if head[3] == HEADERS {
            break u32::from_be_bytes([head[5], head[6], head[7], head[8]]);
        }
    };
    let fields = FIELD.repeat(H2_PAYLOAD_BYTES / FIELD.len());
    let (start, part) = match form {
        H2::Headers => {
            (h2_frame(HEADERS, 0, id, STATUS_OK), h2_frame(CONTINUATION, 0, id, &fields))
        }
        H2::Pings => (Vec::new(), h2_frame(PING, 0, 0, &[0; 8])),
        H2::Length => {
            let head = [&[0xff, 0xff, 0xff, DATA, 0][..], &id.to_be_bytes()].concat();
            (head, vec![0; H2_PAYLOAD_BYTES])
        }
    };
    send(stream, state, Script { start, part, is_slow: false }).await
}
