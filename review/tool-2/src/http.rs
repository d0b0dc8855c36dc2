//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` if the channel is closed before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            let is_begun = !head.first.is_empty();
            return if is_begun { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(None) };
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the next chunk of a chunked body; an empty one is the last.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    line.clear();
    reader.read_line(&mut line)?;
    if !line.ends_with('\n') {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(chunk)
}

/// Reads a body that has a length or comes in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    if head.get("transfer-encoding").is_some() {
        let mut body = Vec::new();
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = head.get("content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Writes a response with a body of known length.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    text.push_str(body);
    stream.write_all(text.as_bytes())
}
