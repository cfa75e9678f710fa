//! Link errors.

use std::fmt;
use std::io;

use chervilledge_caller::budget::Full;
use chervilledge_policy::code::Code;

/// Reason why a link couldn't be opened or was closed.
#[derive(Debug)]
pub enum Error {
    /// The peer closed the connection.
    Closed,
    /// A message can't be decoded.
    Decode(String),
    /// A message can't be encoded.
    Encode(String),
    /// The connection has to make room for others in the budget of the process.
    Full(Full),
    /// The connection failed.
    Io(io::Error),
    /// The peer refused the link.
    Refused(Code),
    /// No frame arrived from the peer within the timeout.
    Silent,
    /// The WebSocket layer failed.
    Socket(String),
    /// Opening the link timed out.
    TimedOut,
    /// The peer doesn't read what is sent to it.
    Unread,
}

impl Error {
    /// Returns the numeric result code for the error.
    #[must_use]
    pub const fn code(&self) -> Code {
        match self {
            Self::Decode(_) | Self::Encode(_) => Code::LinkFrame,
            Self::Refused(code) => *code,
            Self::Silent => Code::LinkSilent,
            Self::Closed | Self::Full(_) | Self::Io(_) | Self::Socket(_) | Self::TimedOut | Self::Unread => {
                Code::LinkClosed
            }
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Closed => f.write_str("link closed by the peer"),
            Self::Decode(error) => write!(f, "malformed message: {error}"),
            Self::Encode(error) => write!(f, "message can't be encoded: {error}"),
            Self::Full(error) => error.fmt(f),
            Self::Io(error) => write!(f, "connection failed: {error}"),
            Self::Refused(code) => write!(f, "link refused: {code}"),
            Self::Silent => f.write_str("no frame received from the peer within the timeout"),
            Self::Socket(error) => write!(f, "WebSocket failed: {error}"),
            Self::TimedOut => f.write_str("timed out opening the link"),
            Self::Unread => f.write_str("the peer doesn't read what is sent to it"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}
