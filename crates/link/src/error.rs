//! Errors of links, with the step and the peer at which they arose.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Result of this crate.
pub type Result<T> = std::result::Result<T, Error>;

/// What was being done when an error arose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Opening the TCP connection.
    Connect,
    /// Negotiating TLS or HTTP/2.
    Handshake,
    /// Sending a request.
    Send,
    /// Reading a reply.
    Receive,
    /// Listening on an address.
    Bind,
    /// Reading key files.
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

/// What went wrong.
#[derive(Debug, thiserror::Error)]
pub enum Cause {
    /// The operating system refused.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// HTTP/2 failed.
    #[error(transparent)]
    H2(#[from] h2::Error),
    /// TLS failed.
    #[error(transparent)]
    Tls(#[from] tokio_rustls::rustls::Error),
    /// A frame could not be read or written.
    #[error(transparent)]
    Codec(#[from] crate::codec::Error),
    /// Nothing came back in time.
    #[error("no sign of life within {0:?}")]
    Timeout(Duration),
    /// The link was closed.
    #[error("the link is closed")]
    Closed,
    /// The peer refused the request.
    #[error("the peer refused: {0}")]
    Refused(String),
    /// The reply was of another kind than the request asks for.
    #[error("the reply does not fit the request")]
    UnexpectedReply,
}

/// An error on a link.
#[derive(Debug, thiserror::Error)]
#[error("{step} {peer}: {cause}")]
pub struct Error {
    /// What was being done.
    pub step: Step,
    /// The other end.
    pub peer: SocketAddr,
    /// What went wrong.
    pub cause: Cause,
}

impl Error {
    /// Binds a step and a peer to a cause.
    pub fn at<C: Into<Cause>>(step: Step, peer: SocketAddr) -> impl FnOnce(C) -> Error {
        move |cause| Error { step, peer, cause: cause.into() }
    }

    /// Whether the request cannot have reached the peer.
    pub fn is_before_send(&self) -> bool {
        matches!(self.step, Step::Connect | Step::Handshake)
    }
}
