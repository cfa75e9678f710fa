//! Results of writes and errors of reads.

use std::fmt;
use std::time::Duration;

use chervilledge_policy::code::Code;

use crate::table::Conflict;

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The write took effect; new version of each row, in the order of the writes.
    Done(Vec<u64>),
    /// The write didn't take effect and never will.
    NotDone(Reason),
    /// The write may have taken effect, or may still do so.
    Unknown,
}

impl Outcome {
    /// Result code, unless the write took effect.
    #[must_use]
    pub fn code(&self) -> Option<Code> {
        match self {
            Self::Done(_) => None,
            Self::NotDone(reason) => Some(reason.code()),
            Self::Unknown => Some(Code::WriteUnknown),
        }
    }
}

/// Proof that a write didn't take effect.
#[derive(Clone, Debug, PartialEq)]
pub enum Reason {
    /// A condition didn't hold.
    Conflict(Conflict),
    /// The platform refused the call because of its load.
    Refused {
        /// Time to wait before the next call.
        retry_after: Duration,
    },
    /// The call was never sent.
    NeverSent,
    /// The call can't be encoded, or the platform rejected it as invalid.
    Invalid(String),
    /// A later commit fenced the write, so that it can't take effect.
    Fenced,
}

impl Reason {
    /// Result code of the reason.
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Self::Conflict(_) | Self::Fenced => Code::WriteConflict,
            Self::Invalid(_) => Code::PlatformInvalid,
            Self::NeverSent | Self::Refused { .. } => Code::PlatformUnavailable,
        }
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Conflict(conflict) => write!(f, "condition on row {:?} doesn't hold", conflict.key),
            Self::Refused { retry_after } => write!(f, "refused by the platform, retry after {retry_after:?}"),
            Self::NeverSent => f.write_str("never sent to the platform"),
            Self::Invalid(text) => write!(f, "invalid call: {text}"),
            Self::Fenced => f.write_str("fenced by a later commit"),
        }
    }
}

/// Failure of a read or of an idempotent call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection to the platform, or the connection was lost.
    Unreachable,
    /// No answer within the call's timeout.
    TimedOut,
    /// The platform refused the call because of its load.
    Refused {
        /// Time to wait before the next call.
        retry_after: Duration,
    },
    /// The request can't be encoded, the answer can't be decoded, or its status is unexpected.
    Malformed(String),
}

impl Error {
    /// Result code of the error.
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Self::Malformed(_) => Code::PlatformInvalid,
            Self::Refused { .. } | Self::TimedOut | Self::Unreachable => Code::PlatformUnavailable,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => f.write_str("platform can't be reached"),
            Self::TimedOut => f.write_str("platform didn't answer in time"),
            Self::Refused { retry_after } => write!(f, "platform refused the call, retry after {retry_after:?}"),
            Self::Malformed(text) => write!(f, "answer of the platform can't be understood: {text}"),
        }
    }
}

impl std::error::Error for Error {}
