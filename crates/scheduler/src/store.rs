//! The store as the scheduler needs it: rows with revisions, conditional transactions and a feed of changes.

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

/// A table of the cell.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Table {
    /// Placer, agents and entries of the cell.
    Cell,
    /// Jobs as they were accepted, and their cancellations.
    Jobs,
    /// What is durable of the progress of jobs.
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

/// Partitions of the table of jobs: a partition carries one transaction after another, and in a slow hour a few a second.
const JOB_PARTITIONS: u64 = 16;

/// Partition of a table. A transaction holds rows of one partition only.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Partition(pub u8);

impl Table {
    /// Partition of a row: jobs are spread by their identifier, everything of the placer lies together.
    #[must_use]
    pub fn partition(self, key: &str) -> Partition {
        match (self, rows::parse_job_key(key)) {
            (Self::Jobs, Some(rows::JobKey::Job(id) | rows::JobKey::Cancel(id))) => job_partition(id),
            _ => Partition(0),
        }
    }

    /// Every partition of the table.
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
    /// Content; `None` for a row that was removed, in a feed.
    pub value: Option<Vec<u8>>,
    /// Revision of the store at which the row was last written.
    pub revision: u64,
}

/// Condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: Name,
    /// Revision that the row must have; 0 when it must not exist.
    pub revision: u64,
}

/// Change of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// Table of the row.
    pub table: Table,
    /// Key of the row.
    pub key: Name,
    /// New content; `None` removes the row.
    pub value: Option<Vec<u8>>,
}

/// Changes that take effect together, if every condition holds.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Changes.
    pub changes: Vec<Change>,
}

/// What became of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It took effect, at this revision.
    Done(u64),
    /// A condition didn't hold; the rows of the conditions as they are, by table name and key.
    Conflict(Vec<(Name, Row)>),
    /// The store turned the call away; it didn't and won't take effect.
    Refused,
    /// Nothing listens at the store's address; it didn't and won't take effect.
    NotThere,
    /// There was no answer; it may have taken effect or may still do so while its conditions hold.
    Unknown,
    /// The connection broke; the same.
    Broken,
}

/// Why rows couldn't be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// No answer came in time.
    Silent,
    /// No connection could be opened in time.
    Unreachable,
    /// Nothing listens at the store's address, or the connection broke.
    Broken,
    /// The store turned the call away.
    Refused,
    /// The feed's history before the revision is gone.
    HistoryLost,
    /// The answer can't be understood.
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

/// Counts the bytes of an answer while they come, so that whoever waits can tell a narrow link from a lost call.
///
/// Clones count together.
#[derive(Clone, Debug, Default)]
pub struct ReceivedBytes(Arc<AtomicU64>);

impl ReceivedBytes {
    /// Counts bytes that have come.
    pub fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes that have come.
    #[must_use]
    pub fn bytes(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

/// Part of a table that one read asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Page {
    /// The table.
    pub table: Table,
    /// Partition of the table.
    pub partition: Partition,
    /// Least key.
    pub from: Name,
    /// Most rows.
    pub rows_max: u32,
}

/// Rows as of one revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Rows {
    /// The rows, ascending by key in a read, by revision in a feed.
    pub rows: Vec<Row>,
    /// Newest revision of the store at that moment.
    pub revision: u64,
    /// There are more rows behind the last one.
    pub has_more: bool,
}

/// Requests to evacuate failure domains.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Evacuations {
    /// Every request as of the revision to go on from is named: a domain that isn't has none.
    pub is_whole: bool,
    /// Domain, revision of the row or of its removal, and whether it is requested.
    pub domains: Vec<(Name, u64, bool)>,
}

/// What a watch of the configuration gives.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigurationUpdate {
    /// The newest configuration, if there is a new one that can be understood.
    pub configuration: Option<Configuration>,
    /// Requests to evacuate failure domains, and their removals.
    pub evacuations: Evacuations,
    /// Revision to go on from.
    pub revision: u64,
}

/// A call to the store or to a worker, with its arguments.
pub type Call<A, T> = Box<dyn Fn(A) -> CallFuture<T> + Send + Sync>;

/// Calls to the store.
pub struct Store {
    /// Commits a transaction in one attempt.
    pub commit: Call<Transaction, Outcome>,
    /// Reads a page of a table.
    pub read: Call<(Page, ReceivedBytes), Result<Rows, ReadError>>,
    /// Reads one row.
    pub read_one: Call<(Table, Name), Result<Option<Row>, ReadError>>,
    /// Waits for changes of a table after a revision, at most for some time.
    pub watch: Call<(Table, u64, Duration, ReceivedBytes), Result<Rows, ReadError>>,
    /// Waits for a configuration that was written after a revision, at most for some time; gives the revision to go on
    /// from. A revision of 0 reads what there is.
    pub watch_configuration: Call<(u64, Duration, ReceivedBytes), Result<ConfigurationUpdate, ReadError>>,
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store").finish_non_exhaustive()
    }
}

/// Handle on the store.
pub type Handle = Arc<Store>;
