//! Splits a `text/event-stream` at event boundaries, so that another target can continue it between two events.

use bytes::{Buf as _, Bytes, BytesMut};

/// Limit on the buffered part of an incomplete event. Events of models are below one kilobyte.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// An incomplete event exceeds the limit of the buffer.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
pub struct TooLarge;

/// Buffers a stream and returns it in complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buf: BytesMut,
    last_id: Option<u64>,
}

impl Splitter {
    /// Creates a splitter for a stream that continues after the event with id `last_id`.
    pub fn resume(last_id: Option<u64>) -> Self {
        Self { buf: BytesMut::new(), last_id }
    }

    /// Appends bytes and returns the events that are complete.
    ///
    /// # Errors
    /// Fails with [`TooLarge`] when an incomplete event exceeds the limit; the stream can't be continued then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, TooLarge> {
        // The terminator of an event has up to three bytes and may span the buffered and the new bytes.
        let searched = self.buf.len().saturating_sub(2);
        self.buf.extend_from_slice(bytes);
        let Some(end) = end_of_last_event(&self.buf[searched..]).map(|end| searched + end) else {
            return if self.buf.len() > MAX_EVENT_BYTES { Err(TooLarge) } else { Ok(Bytes::new()) };
        };
        let events = self.buf.split_to(end).freeze();
        self.last_id = last_id(&events).or(self.last_id);
        Ok(events)
    }

    /// Returns the size of the buffer for the part after the last complete event, in bytes.
    pub fn buffered(&self) -> usize {
        if self.buf.is_empty() { 0 } else { self.buf.capacity() }
    }

    /// Returns the id of the last complete event that has one.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Takes the bytes after the last complete event.
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
