//! Whole events of a `text/event-stream`, so that a stream can go on from another target between two events.

use bytes::{Buf as _, Bytes, BytesMut};

/// Largest event that is kept while it is incomplete, in bytes; models' events are below one kilobyte.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An event larger than any target sends.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct TooLarge;

/// Splits a stream after whole events.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// A splitter for a stream that goes on after an event.
    pub fn resume(last_id: Option<u64>) -> Self {
        Self { buf: BytesMut::new(), last_id }
    }

    /// Takes in bytes and gives all whole events so far.
    ///
    /// # Errors
    /// [`TooLarge`]; the stream is of no further use then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLarge> {
        // An end of up to three bytes may straddle the old and the new bytes.
        let searched = self.buf.len().saturating_sub(2);
        self.buf.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.buf[searched..]).map(|end| searched + end) else {
            return if self.buf.len() > MAX_EVENT_BYTES { Err(TooLarge) } else { Ok(Bytes::new()) };
        };
        let whole = self.buf.split_to(end).freeze();
        self.last_id = last_id(&whole).or(self.last_id);
        Ok(whole)
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Bytes after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.buf.copy_to_bytes(self.buf.len())
    }
}

fn end_of_last_event(buf: &[u8]) -> Option<usize> {
    let ends_blank_line =
        |i: &usize| buf[..=*i].ends_with(b"\n\n") || buf[..=*i].ends_with(b"\n\r\n");
    (0..buf.len()).rev().find(ends_blank_line).map(|i| i + 1)
}

fn last_id(events: &[u8]) -> Option<u64> {
    let lines = events.rsplit(|byte| *byte == b'\n');
    let mut ids = lines.filter_map(|line| line.strip_prefix(b"id:"));
    ids.find_map(|id| std::str::from_utf8(id).ok()?.trim().parse().ok())
}
