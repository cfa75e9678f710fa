//! Why a process can't start.

use std::fmt;
use std::io;

use chervilledge_operator::secret;
use ractor::SpawnErr;

/// Reason why an entry or an agent can't start.
#[derive(Debug)]
pub enum Error {
    /// A listener can't be bound.
    Bind(io::Error),
    /// A secret can't be taken.
    Secret(secret::Error),
    /// An actor can't be started.
    Spawn(SpawnErr),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(error) => write!(f, "listener can't be bound: {error}"),
            Self::Secret(error) => write!(f, "secret can't be taken: {error}"),
            Self::Spawn(error) => write!(f, "actor can't be started: {error}"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        Self::Bind(error)
    }
}

impl From<secret::Error> for Error {
    fn from(error: secret::Error) -> Self {
        Self::Secret(error)
    }
}

impl From<SpawnErr> for Error {
    fn from(error: SpawnErr) -> Self {
        Self::Spawn(error)
    }
}
