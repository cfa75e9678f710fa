//! Access to the platform's table, as far as the configuration needs it.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;

use serde_json::Value;

/// Row of the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Version of the row; each write gives the row a version that it never had before.
    pub version: u64,
    /// Value.
    pub value: Value,
}

/// Write that takes effect only if the row is still as expected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; none if it must be absent.
    pub expected: Option<u64>,
    /// New value.
    pub value: Value,
}

/// The table can't be read now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unavailable;

impl fmt::Display for Unavailable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the table can't be read now")
    }
}

impl std::error::Error for Unavailable {}

/// Outcome of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Commit {
    /// All writes took effect.
    Done,
    /// A row wasn't as expected; nothing took effect.
    Conflict,
    /// The table refused or was never reached; nothing took effect and nothing will.
    Unavailable,
    /// The writes may have taken effect, or may do so later.
    Unknown,
}

type Pending<T> = Pin<Box<dyn Future<Output = T> + Send>>;
type ReadFn = Arc<dyn Fn(Vec<String>) -> Pending<Result<Vec<Option<Row>>, Unavailable>> + Send + Sync>;
type CommitFn = Arc<dyn Fn(Vec<Write>) -> Pending<Commit> + Send + Sync>;

/// Table of the platform.
#[derive(Clone)]
pub struct Store {
    read: ReadFn,
    commit: CommitFn,
}

impl Store {
    /// Makes a store of two functions.
    ///
    /// `read` gives the rows of the keys in their order; it may be stale. `commit` carries out all writes as one
    /// transaction or none of them; it must report [`Commit::Conflict`] and [`Commit::Unavailable`] only if the writes
    /// never take effect.
    pub fn new<R, RF, C, CF>(read: R, commit: C) -> Self
    where
        R: Fn(Vec<String>) -> RF + Send + Sync + 'static,
        RF: Future<Output = Result<Vec<Option<Row>>, Unavailable>> + Send + 'static,
        C: Fn(Vec<Write>) -> CF + Send + Sync + 'static,
        CF: Future<Output = Commit> + Send + 'static,
    {
        Self {
            read: Arc::new(move |keys| -> Pending<Result<Vec<Option<Row>>, Unavailable>> { Box::pin(read(keys)) }),
            commit: Arc::new(move |writes| -> Pending<Commit> { Box::pin(commit(writes)) }),
        }
    }

    pub(crate) async fn read(&self, keys: Vec<String>) -> Result<Vec<Option<Row>>, Unavailable> {
        (self.read)(keys).await
    }

    pub(crate) async fn commit(&self, writes: Vec<Write>) -> Commit {
        (self.commit)(writes).await
    }
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}
