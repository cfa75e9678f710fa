//! Errors of a link.

use std::fmt;
use std::io;

use chervilledge_policy::code::Code;

/// Reason why a link could not be opened or has ended.
#[derive(Debug)]
pub enum Error {
    /// The peer closed the connection.
    Closed,
    /// A message can't be decoded.
    Decode(String),
    /// A message can't be encoded.
    Encode(String),
    /// The connection failed.
    Io(io::Error),
    /// The peer refused the link.
    Refused(Code),
    /// The peer was silent past the bound.
    Silent,
    /// The WebSocket layer failed.
    Socket(String),
    /// The bound on opening a connection passed.
    TimedOut,
}

impl Error {
    /// Numbered code of the error.
    #[must_use]
    pub const fn code(&self) -> Code {
        match self {
            Self::Decode(_) | Self::Encode(_) => Code::LinkFrame,
            Self::Refused(code) => *code,
            Self::Silent => Code::LinkSilent,
            Self::Closed | Self::Io(_) | Self::Socket(_) | Self::TimedOut => Code::LinkClosed,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("link closed by the peer"),
            Self::Decode(error) => write!(f, "malformed message: {error}"),
            Self::Encode(error) => write!(f, "message can't be encoded: {error}"),
            Self::Io(error) => write!(f, "connection failed: {error}"),
            Self::Refused(code) => write!(f, "link refused: {code}"),
            Self::Silent => f.write_str("link silent past its bound"),
            Self::Socket(error) => write!(f, "WebSocket failed: {error}"),
            Self::TimedOut => f.write_str("link not open within its bound"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
