//! Interface to the store: rows with revisions, conditional transactions and change feeds.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use chervilledge_cell::configuration::Configuration;
use chervilledge_cell::job::JobId;
use chervilledge_policy::id::Name;

use crate::rows;

/// Future of a call.
pub type CallFuture<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// Table of the cell.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Table {
    /// Rows of the placer, agents and entries.
    Cell,
    /// Accepted jobs and their cancellations.
    Jobs,
    /// Durable progress of jobs.
    Progress,
}

impl Table {
    /// Name of the table in the store.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Cell => "cell",
            Self::Jobs => "jobs",
            Self::Progress => "progress",
        }
    }
}

/// Largest content of a row, in bytes: the platform takes 65,536 (`row_bytes`), which this fills in Base64.
pub const ROW_BYTES_MAX: usize = 48 << 10;

/// Number of partitions of the jobs table. A partition processes its transactions one after another, and only a few a
/// second when the store is slow.
const JOB_PARTITIONS: u64 = 16;

/// Partition of a table. A transaction may only contain rows of one partition.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Partition(pub u8);

impl Table {
    /// Partition of a row. Jobs are spread by their identifier; all rows of the placer share one partition.
    #[must_use]
    pub fn partition(self, key: &str) -> Partition {
        match (self, rows::parse_job_key(key)) {
            (Self::Jobs, Some(rows::JobKey::Job(id) | rows::JobKey::Cancel(id))) => job_partition(id),
            _ => Partition(0),
        }
    }

    /// All partitions of the table.
    pub fn partitions(self) -> impl Iterator<Item = Partition> {
        let count = match self {
            Self::Jobs => JOB_PARTITIONS,
            Self::Cell | Self::Progress => 1,
        };
        (0..count).map(|number| Partition(u8::try_from(number).unwrap_or(0)))
    }
}

/// Partition of a job's rows.
#[must_use]
pub fn job_partition(id: JobId) -> Partition {
    Partition(u8::try_from(id.0 % JOB_PARTITIONS).unwrap_or(0))
}

/// A stored row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Row {
    /// Key within the table.
    pub key: Name,
    /// Content; `None` in a feed for a row that was deleted.
    pub value: Option<Vec<u8>>,
    /// Revision of the store at which the row was last written.
    pub revision: u64,
}

/// Precondition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: Name,
    /// Revision that the row must have; 0 if it must not exist.
    pub revision: u64,
}

/// Change of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: Name,
    /// New content; `None` deletes the row.
    pub value: Option<Vec<u8>>,
}

/// Changes that take effect together if every condition holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Changes.
    pub changes: Vec<Change>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It took effect at this revision.
    Done(u64),
    /// A condition didn't hold; contains the current rows of the conditions, by table name and key.
    Conflict(Vec<(Name, Row)>),
    /// The store refused the call; the transaction didn't and won't take effect.
    Refused,
    /// Nothing listens at the store's address; the transaction didn't and won't take effect.
    NotThere,
    /// No response; the transaction may have taken effect, or may still do so while its conditions hold.
    Unknown,
    /// The connection broke; the transaction may have taken effect, as with `Unknown`.
    Broken,
}

/// Why a read failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// No response came in time.
    Silent,
    /// No connection could be opened in time.
    Unreachable,
    /// Nothing listens at the store's address, or the connection broke.
    Broken,
    /// The store refused the call.
    Refused,
    /// The feed no longer has all changes since that revision.
    HistoryLost,
    /// The response can't be decoded.
    Malformed,
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Silent => "no answer in time",
            Self::Unreachable => "store unreachable",
            Self::Broken => "connection refused or broken",
            Self::Refused => "refused by the store",
            Self::HistoryLost => "history lost",
            Self::Malformed => "answer malformed",
        })
    }
}

impl std::error::Error for ReadError {}

/// Counts the bytes of a response as they arrive, which tells a slow link from a lost call.
///
/// Clones share the counter.
#[derive(Clone, Debug, Default)]
pub struct ReceivedBytes(Arc<AtomicU64>);

impl ReceivedBytes {
    /// Adds received bytes.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Number of bytes received.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Part of a table requested by one read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// The table.
    pub table: Table,
    /// Partition of the table.
    pub partition: Partition,
    /// Smallest key.
    pub from: Name,
    /// Maximum number of rows.
    pub rows_max: u32,
}

/// Rows as of one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rows {
    /// Rows, ascending by key in a read and by revision in a feed.
    pub rows: Vec<Row>,
    /// Newest revision of the store at that time; in a feed, the revision from which to go on.
    pub revision: u64,
    /// Whether there are more rows after the last one.
    pub has_more: bool,
}

/// Requests to evacuate failure domains.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    /// Whether every request as of the update's revision is listed, so that an unlisted domain has none.
    pub is_whole: bool,
    /// Domain, revision of the request's row or of its removal, and whether evacuation is requested.
    pub domains: Vec<(Name, u64, bool)>,
}

/// Update of the operator's rows.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationUpdate {
    /// Newest configuration, if there is a new one that can be decoded.
    pub configuration: Option<Configuration>,
    /// Requests to evacuate failure domains, and their removals.
    pub evacuations: Evacuations,
    /// Revision from which to continue.
    pub revision: u64,
}

/// Asynchronous call to the store or to a worker, with its arguments.
pub type Call<A, T> = Box<dyn Fn(A) -> CallFuture<T> + Send + Sync>;

/// Calls provided by the store.
pub struct Store {
    /// Commits a transaction in one attempt.
    pub commit: Call<Transaction, Outcome>,
    /// Reads a page of a table.
    pub read: Call<(Page, ReceivedBytes), Result<Rows, ReadError>>,
    /// Reads one row.
    pub read_one: Call<(Table, Name), Result<Option<Row>, ReadError>>,
    /// Waits for changes of a table after a revision, for a limited time.
    pub watch: Call<(Table, u64, Duration, ReceivedBytes), Result<Rows, ReadError>>,
    /// Waits for operator rows written after a revision, for a limited time; returns the revision from which to
    /// continue. Revision 0 reads the current state.
    pub watch_configuration: Call<(u64, Duration, ReceivedBytes), Result<ConfigurationUpdate, ReadError>>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}

/// Shared handle to the store.
pub type Handle = Arc<Store>;
