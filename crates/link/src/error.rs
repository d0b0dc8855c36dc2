//! Errors of links, with the step that failed and the address of the peer.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// Step in which an error occurred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Opening the TCP connection.
    Connect,
    /// TLS or HTTP/2 handshake.
    Handshake,
    /// Sending a request.
    Send,
    /// Reading a reply.
    Receive,
    /// Listening on an address.
    Bind,
    /// Loading the key files.
    LoadKeys,
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Step::Connect => "connecting to",
            Step::Handshake => "negotiating with",
            Step::Send => "sending to",
            Step::Receive => "reading from",
            Step::Bind => "listening on",
            Step::LoadKeys => "reading keys for",
        })
    }
}

/// Cause of an error.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// An I/O operation failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// HTTP/2 reported an error.
    #[error(transparent)]
    H2(#[from] h2::Error),
    /// TLS reported an error.
    #[error(transparent)]
    Tls(#[from] tokio_rustls::rustls::Error),
    /// A frame could not be decoded or encoded.
    #[error(transparent)]
    Codec(#[from] crate::codec::Error),
    /// The peer did not respond within the timeout.
    #[error("no response within {0:?}")]
    Timeout(Duration),
    /// The link was closed.
    #[error("the link is closed")]
    Closed,
    /// The peer refused the request.
    #[error("the peer refused: {0}")]
    Refused(String),
    /// The reply is of another type than the request expects.
    #[error("the type of the reply does not match the request")]
    UnexpectedReply,
}

/// An error on a link.
#[derive(Debug, thiserror::Error)]
#[error("{step} {peer}: {cause}")]
pub struct Error {
    /// Step that failed.
    pub step: Step,
    /// Address of the peer, or the local address if the step involves no peer.
    pub peer: SocketAddr,
    /// Cause of the failure.
    pub cause: Cause,
}

impl Error {
    /// Returns a function that turns a cause into an [`Error`], for use with `map_err`.
    pub fn at<C: Into<Cause>>(step: Step, peer: SocketAddr) -> impl FnOnce(C) -> Error {
        move |cause| Error { step, peer, cause: cause.into() }
    }

    /// Returns whether the error occurred before anything was sent, so that the request cannot have reached the peer.
    pub fn is_before_send(&self) -> bool {
        matches!(self.step, Step::Connect | Step::Handshake)
    }
}
