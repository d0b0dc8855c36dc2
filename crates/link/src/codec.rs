//! Codec for frames: a 4-byte big-endian length, followed by a `bincode` body.

use bytes::{Buf as _, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum size of a frame's body, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
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

/// Incremental decoder of the frames in a byte stream.
#[derive(Debug, Default)]
pub struct Decoder {
    buf: BytesMut,
}

impl Decoder {
    /// Appends received bytes to the buffer.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
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
