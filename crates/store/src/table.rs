//! Rows, conditional writes and the messages of the table service.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use chervilledge_policy::id::{BootId, ParseIdError};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use serde_with::{DeserializeFromStr, SerializeDisplay};

/// Path of [`Read`].
pub const READ_PATH: &str = "/table/read";
/// Path of [`Scan`].
pub const SCAN_PATH: &str = "/table/scan";
/// Path of [`Commit`].
pub const COMMIT_PATH: &str = "/table/commit";

/// Identifies one transaction; never reused.
#[derive(Clone, Copy, Debug, DeserializeFromStr, Eq, Hash, Ord, PartialEq, PartialOrd, SerializeDisplay)]
pub struct WriteId {
    /// Boot identifier of the process that issued the identifier.
    pub boot: BootId,
    /// Strictly increasing within one boot of the process.
    pub sequence: u64,
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:x}", self.boot, self.sequence)
    }
}

impl FromStr for WriteId {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (boot, sequence) = text.split_once('-').ok_or(ParseIdError::MissingSeparator)?;
        Ok(Self { boot: boot.parse()?, sequence: u64::from_str_radix(sequence, 16)? })
    }
}

/// One stored row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Row {
    /// Key of the row; rows are ordered by its bytes.
    pub key: Arc<str>,
    /// Number of the transaction that wrote the row; grows with every transaction of the table.
    pub version: u64,
    /// Transaction that wrote this version.
    pub write_id: WriteId,
    /// Content; never null.
    pub value: Value,
}

/// Condition on the stored row under which a write takes effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The row doesn't exist.
    Absent,
    /// The row has exactly this version.
    Version(u64),
    /// No condition.
    Any,
}

impl Expect {
    /// Returns whether a row, by its version, meets the condition.
    #[must_use]
    pub fn holds(self, version: Option<u64>) -> bool {
        match self {
            Self::Absent => version.is_none(),
            Self::Version(expected) => version == Some(expected),
            Self::Any => true,
        }
    }
}

/// One conditional write of a transaction.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Write {
    /// Key of the row.
    pub key: Arc<str>,
    /// Condition on the stored row.
    pub expect: Expect,
    /// New content; `None` deletes the row.
    pub value: Option<Value>,
}

impl Write {
    /// Creates a write that puts a value.
    pub fn put(key: impl Into<Arc<str>>, expect: Expect, value: Value) -> Self {
        Self { key: key.into(), expect, value: Some(value) }
    }

    /// Creates a write that deletes the row.
    pub fn delete(key: impl Into<Arc<str>>, expect: Expect) -> Self {
        Self { key: key.into(), expect, value: None }
    }
}

/// Body of a read by keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Read {
    /// Keys of the rows; rows that don't exist are left out of the answer.
    pub keys: Vec<Arc<str>>,
}

/// Body of a range read, in the order of keys.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Scan {
    /// Only rows whose key starts with this.
    pub prefix: Arc<str>,
    /// Only rows whose key is greater.
    pub after: Option<Arc<str>>,
    /// Maximum number of rows to return.
    pub limit: usize,
}

/// Answer to [`Read`] and [`Scan`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Rows {
    /// Rows found.
    pub rows: Vec<Row>,
}

/// Body of a transaction; all writes take effect or none does.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Commit {
    /// Identifies the transaction.
    pub write_id: WriteId,
    /// Writes, at most one to a key.
    pub writes: Vec<Write>,
}

/// Answer to a [`Commit`] that took effect.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Committed {
    /// New version of each row, in the order of the writes.
    pub versions: Vec<u64>,
}

/// Answer to a [`Commit`] whose condition on one row doesn't hold; nothing was written.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Conflict {
    /// Key of the first row whose condition doesn't hold.
    pub key: Arc<str>,
    /// The row as stored, or `None` when it doesn't exist.
    pub current: Option<Row>,
    /// Further rows whose condition doesn't hold, as far as the platform reports them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub others: Vec<Conflict>,
}

impl Conflict {
    /// Iterates over every row of the answer whose condition doesn't hold.
    pub fn all(&self) -> impl Iterator<Item = &Self> {
        std::iter::once(self).chain(&self.others)
    }
}
