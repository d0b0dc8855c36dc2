//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{self, Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// Headers in their order, with names in lower case.
pub type Headers = Vec<(String, String)>;

/// A request that a server has read.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

pub fn find<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
}

/// Reads messages from one connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buf: Vec::new() }
    }

    /// Reads more bytes; returns false at the end of the stream.
    fn fill(&mut self) -> io::Result<bool> {
        let mut chunk = [0; 16 * 1024];
        let len = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(len > 0)
    }

    /// Reads a head: its first line and the headers. `None` at the end of the stream.
    fn head(&mut self) -> io::Result<Option<(String, Headers)>> {
        let end = loop {
            if let Some(end) = self.buf.windows(4).position(|window| window == b"\r\n\r\n") {
                break end;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
        self.buf.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some((first, headers)))
    }

    /// Reads a request with a body of a stated length.
    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.head()? else { return Ok(None) };
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let length = find(&headers, "content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.buf.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        let body = self.buf.drain(..length).collect();
        Ok(Some(Request { method, path, headers, body }))
    }

    /// Reads a body in chunks and appends it to `body`; returns whether its end has come.
    fn chunks(&mut self, body: &mut Vec<u8>) -> io::Result<bool> {
        loop {
            let Some(end) = self.buf.windows(2).position(|window| window == b"\r\n") else {
                if !self.fill()? {
                    return Ok(false);
                }
                continue;
            };
            let text = String::from_utf8_lossy(&self.buf[..end]).into_owned();
            let Ok(size) = usize::from_str_radix(text.trim(), 16) else { return Ok(false) };
            while self.buf.len() < end + 2 + size + 2 {
                if !self.fill()? {
                    return Ok(false);
                }
            }
            body.extend_from_slice(&self.buf[end + 2..end + 2 + size]);
            self.buf.drain(..end + 2 + size + 2);
            if size == 0 {
                return Ok(true);
            }
        }
    }
}

/// What a client got for a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// `None` if the connection ended without a head.
    pub status: Option<u16>,
    pub headers: Headers,
    pub body: Vec<u8>,
    /// Whether the body has come to its end.
    pub is_complete: bool,
    /// Why the exchange ended early.
    pub error: String,
}

/// Where a request is sent.
#[derive(Clone, Copy, Debug)]
pub struct Destination {
    pub addr: SocketAddr,
    /// Time from the opening of the connection to the request.
    pub pause: Duration,
}

/// A request to send.
#[derive(Clone, Copy, Debug)]
pub struct Message<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub headers: &'a [(&'a str, &'a str)],
    pub body: &'a [u8],
}

/// Sends a request on a connection of its own, and reads the answer until `timeout` has passed. Calls `on_send` when the
/// request is about to be sent.
pub fn exchange(
    to: Destination,
    message: &Message<'_>,
    timeout: Duration,
    on_send: impl FnOnce(),
) -> Answer {
    let mut answer = Answer::default();
    if let Err(err) = read_answer(to, message, timeout, on_send, &mut answer) {
        answer.error = err.to_string();
    }
    answer
}

fn read_answer(
    to: Destination,
    message: &Message<'_>,
    timeout: Duration,
    on_send: impl FnOnce(),
    answer: &mut Answer,
) -> io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&to.addr, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    std::thread::sleep(to.pause);
    let deadline = Instant::now() + timeout;
    let mut text = format!("{} {} HTTP/1.1\r\n", message.method, message.path);
    for (name, value) in message.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", message.body.len()));
    on_send();
    stream.write_all(&[text.as_bytes(), message.body].concat())?;
    let left = deadline.saturating_duration_since(Instant::now());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut reader = Reader::new(stream);
    let Some((first, headers)) = reader.head()? else {
        return Err(io::Error::other("closed without an answer"));
    };
    answer.status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    answer.headers = headers;
    if find(&answer.headers, "transfer-encoding").is_some() {
        answer.is_complete = reader.chunks(&mut answer.body)?;
        if !answer.is_complete {
            answer.error = "closed before the end of the body".to_owned();
        }
        return Ok(());
    }
    let length = find(&answer.headers, "content-length").and_then(|text| text.parse().ok());
    let length: usize = length.unwrap_or(0);
    while reader.buf.len() < length {
        if !reader.fill()? {
            return Err(io::Error::other("closed before the end of the body"));
        }
    }
    answer.body = reader.buf.drain(..length).collect();
    answer.is_complete = true;
    Ok(())
}

/// Writes an answer with a body of a stated length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    stream.write_all(&[text.as_bytes(), body].concat())
}
