//! Table rows of batch scheduling.
//!
//! | key | content |
//! |---|---|
//! | `jobs/JOB` | [`JobRecord`], written at submission and by cancellations |
//! | `queue/SHARD/JOB` | marker of unfinished tasks of the job in the shard; a rewrite makes the owner reload them |
//! | `tasks/SHARD/JOB/INDEX` | [`TaskRecord`]; a task without a row is queued at its first epoch |
//! | `shards/SHARD` | owner of the shard |
//! | `leases/LEASE` | [`LeaseRecord`] of one entry |

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_link::task::TaskTraits;
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::lease::{GroupRow, RenewalRequest, Terms};
use chervilledge_policy::shard::shard_of;
use chervilledge_policy::task::{JobRow, TaskId, TaskRow, TaskState};
use chervilledge_store::table::Row;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Key prefix of jobs' rows.
pub const JOBS_PREFIX: &str = "jobs/";

/// Key prefix of shards' rows.
pub const SHARDS_PREFIX: &str = "shards/";

/// Key prefix of leases' rows.
pub const LEASES_PREFIX: &str = "leases/";

/// Row of a job.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRecord {
    /// The job.
    #[serde(flatten)]
    pub row: JobRow,
    /// Time between two checkpoints of a task.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub checkpoint_interval_ms: Duration,
    /// Tasks may be slowed down to protect request latency.
    pub may_throttle: bool,
    /// Tasks may be evicted to protect request latency.
    pub may_evict: bool,
    /// Every task is cancelled.
    #[serde(default)]
    pub cancelled: bool,
    /// Indices of tasks that are cancelled individually.
    #[serde(default)]
    pub cancelled_tasks: BTreeSet<u32>,
}

impl JobRecord {
    /// Returns whether a task is cancelled.
    #[must_use]
    pub fn is_cancelled(&self, index: u32) -> bool {
        self.cancelled || self.cancelled_tasks.contains(&index)
    }

    /// What agents may do to the job's tasks.
    #[must_use]
    pub const fn traits(&self) -> TaskTraits {
        TaskTraits {
            checkpoint_interval_ms: self.checkpoint_interval_ms,
            may_throttle: self.may_throttle,
            may_evict: self.may_evict,
        }
    }

    /// Initial record of a task that has no row yet.
    #[must_use]
    pub fn task(&self, index: u32) -> TaskRecord {
        TaskRecord { row: self.row.task(index), progress_ms: Duration::ZERO, cover: None }
    }

    /// Tasks of the job that belong to a shard.
    pub fn tasks_of(&self, shard: u32, shard_count: u32) -> impl Iterator<Item = TaskId> + '_ {
        let ids = (0..self.row.task_count).map(|index| TaskId { job: Name::clone(&self.row.id), index });
        ids.filter(move |task| shard_of(task, shard_count) == shard)
    }
}

/// Row of a task.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskRecord {
    /// The task.
    #[serde(flatten)]
    pub row: TaskRow,
    /// Progress saved by the newest checkpoint.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub progress_ms: Duration,
    /// Newest recorded handover request of the claim's agent.
    pub cover: Option<RenewalRequest>,
}

impl TaskRecord {
    /// Returns whether a handover request is newer than the recorded one.
    #[must_use]
    pub fn is_newer(&self, cover: RenewalRequest) -> bool {
        self.cover.is_none_or(|old| (old.agent, old.sequence) < (cover.agent, cover.sequence))
    }

    /// Returns whether the task's current claim is under the lease.
    #[must_use]
    pub fn is_claimed_by(&self, lease: BootId) -> bool {
        self.row.state.claim().is_some_and(|claim| claim.entry == lease)
    }

    /// Returns whether the task is in a final state.
    #[must_use]
    pub const fn is_final(&self) -> bool {
        self.row.state.is_final()
    }

    /// Returns whether the task is queued.
    #[must_use]
    pub fn is_queued(&self) -> bool {
        self.row.state == TaskState::Queued
    }
}

/// Row of one entry's lease.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LeaseRecord {
    /// The lease.
    #[serde(flatten)]
    pub row: GroupRow,
    /// Terms under which the entry grants renewals, and which other entries wait out before a takeover.
    pub terms: Terms,
    /// The entry is shutting down, so other entries take over its shards.
    #[serde(default)]
    pub is_retiring: bool,
    /// Number of each team's tasks under the lease.
    #[serde(default)]
    pub running: BTreeMap<Name, u32>,
    /// Resources of each team's tasks under the lease.
    #[serde(default)]
    pub used: BTreeMap<Name, Resources>,
}

/// Key of a job's row.
#[must_use]
pub fn job_key(job: &str) -> Arc<str> {
    Arc::from(format!("{JOBS_PREFIX}{job}"))
}

/// Key prefix of a shard's queue markers.
#[must_use]
pub fn queue_prefix(shard: u32) -> String {
    format!("queue/{shard:04}/")
}

/// Key of the queue marker of a job in a shard.
#[must_use]
pub fn queue_key(shard: u32, job: &str) -> Arc<str> {
    Arc::from(format!("queue/{shard:04}/{job}"))
}

/// Key prefix of the rows of a job's tasks in one shard.
#[must_use]
pub fn tasks_prefix(shard: u32, job: &str) -> String {
    format!("tasks/{shard:04}/{job}/")
}

/// Key of a task's row.
#[must_use]
pub fn task_key(task: &TaskId, shard_count: u32) -> Arc<str> {
    let shard = shard_of(task, shard_count);
    Arc::from(format!("tasks/{shard:04}/{}/{:08}", task.job, task.index))
}

/// Key of a shard's row.
#[must_use]
pub fn shard_key(shard: u32) -> Arc<str> {
    Arc::from(format!("{SHARDS_PREFIX}{shard:04}"))
}

/// Key of a lease's row.
#[must_use]
pub fn lease_key(lease: BootId) -> Arc<str> {
    Arc::from(format!("{LEASES_PREFIX}{lease}"))
}

/// Decodes a row; logs an error and returns `None` if it is malformed.
#[must_use]
pub fn decode_row<T: DeserializeOwned>(row: &Row) -> Option<T> {
    match T::deserialize(&row.value) {
        Ok(content) => Some(content),
        Err(error) => {
            log::error!(event = "row_malformed", key = &*row.key, error:% = error; "");
            None
        }
    }
}
