//! Codec for frames: a 4-byte big-endian length, followed by a `bincode` body.

use bytes::{Buf as _, Bytes, BytesMut};
use std::sync::Arc;

use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Maximum size of a frame's body, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
/// Memory for the incomplete messages of all streams of a process, in bytes.
const MAX_INCOMPLETE_BYTES: usize = 12 * 1024 * 1024;
/// Size up to which an incomplete message is kept in any case, in bytes.
const MIN_INCOMPLETE_BYTES: usize = 64 * 1024;
/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// Result of this module.
pub type Result<T> = std::result::Result<T, Error>;

/// Error of encoding or decoding a frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The body is larger than [`MAX_FRAME_BYTES`].
    #[error("a frame of {0} bytes is above the limit of {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The body cannot be decoded as a message of the expected type.
    #[error("the frame cannot be read: {0}")]
    Decode(#[from] bincode::error::DecodeError),
    /// The message cannot be encoded.
    #[error("the message cannot be written: {0}")]
    Encode(#[from] bincode::error::EncodeError),
    /// The incomplete messages of other streams leave too little memory.
    #[error("the messages in progress are too large")]
    NoMemory,
    /// The stream ended inside a frame.
    #[error("the stream ended inside a frame")]
    Truncated,
    /// The frame is longer than the message in it, by this number of bytes.
    #[error("{0} bytes follow the message inside its frame")]
    Trailing(usize),
}

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Encodes a message as one frame.
///
/// # Errors
/// [`Error::TooLarge`] or [`Error::Encode`].
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes> {
    let mut buf = vec![0; LENGTH_BYTES];
    let len = bincode::serde::encode_into_std_write(message, &mut buf, config())?;
    if len > MAX_FRAME_BYTES {
        return Err(Error::TooLarge(len));
    }
    buf[..LENGTH_BYTES].copy_from_slice(&(len as u32).to_be_bytes());
    Ok(buf.into())
}

/// Memory that the incomplete messages of a process share; clones are the same memory.
#[derive(Clone, Debug)]
pub struct MessageMemory(Arc<Semaphore>);

impl Default for MessageMemory {
    fn default() -> Self {
        Self(Arc::new(Semaphore::new(MAX_INCOMPLETE_BYTES)))
    }
}

/// Incremental decoder of the frames in a byte stream.
#[derive(Debug, Default)]
pub struct Decoder {
    buf: BytesMut,
    memory: MessageMemory,
    held: Option<OwnedSemaphorePermit>,
}

impl Decoder {
    /// Creates a decoder of one of the streams that share `memory`.
    pub fn new(memory: MessageMemory) -> Self {
        Self { buf: BytesMut::new(), memory, held: None }
    }

    /// Appends received bytes to the buffer.
    ///
    /// # Errors
    /// [`Error::NoMemory`].
    pub fn extend(&mut self, bytes: &[u8]) -> Result<()> {
        let size = self.buf.len() + bytes.len();
        let held = self.held.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let missing = size.saturating_sub(MIN_INCOMPLETE_BYTES + held);
        if missing > 0 {
            let missing = u32::try_from(missing).map_err(|_| Error::NoMemory)?;
            let more = self.memory.0.clone().try_acquire_many_owned(missing);
            let more = more.map_err(|_| Error::NoMemory)?;
            match &mut self.held {
                Some(held) => held.merge(more),
                None => self.held = Some(more),
            }
        }
        self.buf.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next message, or `None` if its frame is incomplete.
    ///
    /// # Errors
    /// [`Error::TooLarge`], [`Error::Decode`] or [`Error::Trailing`]; after an error the rest of the stream
    /// cannot be decoded.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let Some(header) = self.buf.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let len = u32::from_be_bytes(*header) as usize;
        if len > MAX_FRAME_BYTES {
            return Err(Error::TooLarge(len));
        }
        if self.buf.len() < LENGTH_BYTES + len {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let body = self.buf.split_to(len);
        if self.buf.is_empty() {
            self.buf = BytesMut::new();
        }
        // What is left is at most what came with the end of this message.
        let _held = self.held.take();
        let (message, read) = bincode::serde::decode_from_slice(&body, config())?;
        if read < len {
            return Err(Error::Trailing(len - read));
        }
        Ok(Some(message))
    }

    /// Checks that no incomplete frame is left at the end of the stream.
    ///
    /// # Errors
    /// [`Error::Truncated`].
    pub fn finish(&self) -> Result<()> {
        if self.buf.is_empty() { Ok(()) } else { Err(Error::Truncated) }
    }
}
