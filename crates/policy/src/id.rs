//! Names and identifiers that are sent between processes.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::sync::Arc;

use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Immutable name, shared between the structures that mention it.
pub type Name = Arc<str>;

/// Identifies one boot (process lifetime), so that a restarted process is never mistaken for its predecessor.
#[derive(Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay)]
pub struct BootId(pub u64);

/// Identifies one dispatch of a request; never reused.
#[derive(Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay)]
pub struct RequestId {
    /// Boot of the entry that issued the identifier.
    pub entry: BootId,
    /// Strictly increasing within one boot of the entry.
    pub sequence: u64,
}

/// Error from parsing the text form of an identifier.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ParseIdError {
    /// The separator between boot and sequence is missing.
    MissingSeparator,
    /// A part isn't a hexadecimal number.
    Number(ParseIntError),
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingSeparator => f.write_str("identifier has no '-' separator"),
            Self::Number(error) => write!(f, "identifier has a part that isn't hexadecimal: {error}"),
        }
    }
}

impl std::error::Error for ParseIdError {}

impl From<ParseIntError> for ParseIdError {
    fn from(error: ParseIntError) -> Self {
        Self::Number(error)
    }
}

impl fmt::Display for BootId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for BootId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(u64::from_str_radix(text, 16)?))
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.entry, self.sequence)
    }
}

impl FromStr for RequestId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (entry, sequence) = text.split_once('-').ok_or(ParseIdError::MissingSeparator)?;
        Ok(Self { entry: entry.parse()?, sequence: u64::from_str_radix(sequence, 16)? })
    }
}
