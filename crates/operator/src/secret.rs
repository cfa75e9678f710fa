//! Shared secrets of operators and links.

use std::fmt;
use std::fs;
use std::path::PathBuf;

use serde::Deserialize;
use subtle::{Choice, ConstantTimeEq};

/// Shortest secret that is taken.
pub const SECRET_MIN_BYTES: usize = 16;
/// Longest secret that is taken.
pub const SECRET_MAX_BYTES: usize = 1024;

/// Where settings keep a secret.
#[derive(Clone, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Source {
    /// The secret itself.
    Value(String),
    /// File that holds the secret; white space around it doesn't count.
    File(PathBuf),
}

impl fmt::Debug for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Value(_) => f.write_str("Value(redacted)"),
            Self::File(path) => f.debug_tuple("File").field(path).finish(),
        }
    }
}

/// Reason why secrets can't be taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// No secret is given.
    Empty,
    /// A secret is too short, too long, or holds white space or other characters that no header carries.
    Malformed {
        /// Position in the list of secrets.
        index: usize,
    },
    /// The file of a secret can't be read.
    File {
        /// File that was named.
        path: PathBuf,
        /// What the system answered.
        fault: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => f.write_str("no secret is given"),
            Self::Malformed { index } => {
                write!(f, "secret {index} must have {SECRET_MIN_BYTES} to {SECRET_MAX_BYTES} visible ASCII characters")
            }
            Self::File { path, fault } => write!(f, "secret file {}: {fault}", path.display()),
        }
    }
}

impl std::error::Error for Error {}

/// Secrets that are valid at the same time, so that one can be replaced without an interruption.
#[derive(Clone)]
pub struct Secrets {
    /// Never empty; the first one is presented to peers.
    values: Vec<String>,
}

impl Secrets {
    /// Takes secrets; the first one is presented to peers, all of them are accepted.
    ///
    /// # Errors
    ///
    /// The list is empty or a secret is malformed.
    pub fn new(values: Vec<String>) -> Result<Self, Error> {
        if values.is_empty() {
            return Err(Error::Empty);
        }
        if let Some(index) = values.iter().position(|value| !is_well_formed(value)) {
            return Err(Error::Malformed { index });
        }
        Ok(Self { values })
    }

    /// Reads secrets from where the settings keep them.
    ///
    /// # Errors
    ///
    /// The list is empty, a file can't be read or a secret is malformed.
    pub fn open(sources: &[Source]) -> Result<Self, Error> {
        let values: Result<Vec<String>, Error> = sources.iter().map(read).collect();
        Self::new(values?)
    }

    /// Secret to present to a peer.
    #[must_use]
    pub fn presented(&self) -> &str {
        self.values.first().map_or("", String::as_str)
    }

    /// Tells whether a peer's secret is valid.
    ///
    /// The time taken depends on the lengths alone, and every valid secret is compared.
    #[must_use]
    pub fn accepts(&self, candidate: &[u8]) -> bool {
        let matched = |value: &String| value.as_bytes().ct_eq(candidate);
        self.values.iter().map(matched).fold(Choice::from(0), |any, one| any | one).into()
    }

    /// Tells whether the value of an `Authorization` header carries a valid secret.
    #[must_use]
    pub fn accepts_bearer(&self, header: &[u8]) -> bool {
        let Some((scheme, candidate)) = header.split_at_checked(BEARER.len()) else { return false };
        scheme.eq_ignore_ascii_case(BEARER) && self.accepts(candidate)
    }
}

/// Scheme of the `Authorization` header, with the space after it.
const BEARER: &[u8] = b"Bearer ";

impl fmt::Debug for Secrets {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secrets({} redacted)", self.values.len())
    }
}

fn is_well_formed(value: &str) -> bool {
    let lengths = SECRET_MIN_BYTES..=SECRET_MAX_BYTES;
    lengths.contains(&value.len()) && value.bytes().all(|byte| byte.is_ascii_graphic())
}

fn read(source: &Source) -> Result<String, Error> {
    match source {
        Source::Value(value) => Ok(value.clone()),
        Source::File(path) => fs::read_to_string(path)
            .map(|text| text.trim().to_owned())
            .map_err(|error| Error::File { path: path.clone(), fault: error.to_string() }),
    }
}
