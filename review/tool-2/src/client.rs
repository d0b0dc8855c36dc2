//! Requesters.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http;

/// `Host` of all routes.
pub const HOST: &str = "yard.example";
/// Key of the only tenant.
pub const KEY: &str = "9dnn2ctnfzs989anu6ws";

/// End of a request, as its requester sees it.
#[derive(Clone, Debug)]
pub struct Answer {
    /// None if the channel ended without a head.
    pub status: Option<u16>,
    pub body: String,
    /// Whether the body came to its end.
    pub is_complete: bool,
    pub error: Option<String>,
}

/// A channel to a gateway.
pub struct Channel {
    reader: BufReader<TcpStream>,
    writer: TcpStream,
}

impl Channel {
    /// Opens a channel within a second.
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(15)))?;
        Ok(Self { writer: stream.try_clone()?, reader: BufReader::new(stream) })
    }

    /// Sends a request and reads its answer.
    pub fn exchange(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        headers: &str,
        body: &str,
    ) -> Answer {
        let mut answer =
            Answer { status: None, body: String::new(), is_complete: false, error: None };
        let length = if method == "POST" {
            format!("Content-Length: {}\r\n", body.len())
        } else {
            String::new()
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nAuthorization: Bearer {KEY}\r\n{headers}{length}\r\n{body}"
        );
        if let Err(err) = self.read(&text, &mut answer) {
            answer.error = Some(err.to_string());
        }
        answer
    }

    fn read(&mut self, text: &str, answer: &mut Answer) -> io::Result<()> {
        self.writer.write_all(text.as_bytes())?;
        let head = http::read_head(&mut self.reader)?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        answer.status = Some(head.status());
        if head.get("transfer-encoding").is_none() {
            let body = http::read_body(&mut self.reader, &head)?;
            answer.body = String::from_utf8_lossy(&body).into_owned();
        } else {
            loop {
                let chunk = http::read_chunk(&mut self.reader)?;
                if chunk.is_empty() {
                    break;
                }
                answer.body.push_str(&String::from_utf8_lossy(&chunk));
            }
        }
        answer.is_complete = true;
        Ok(())
    }
}

/// Sends a request on a channel of its own.
pub fn send(
    addr: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    headers: &str,
    body: &str,
) -> Answer {
    match Channel::open(addr) {
        Ok(mut channel) => channel.exchange(method, path, id, headers, body),
        Err(err) => {
            let error = Some(format!("no channel: {err}"));
            Answer { status: None, body: String::new(), is_complete: false, error }
        }
    }
}
