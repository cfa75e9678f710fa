//! Durable progress of a job.

use std::collections::{BTreeMap, BTreeSet};

use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};

use crate::crashes::CrashHistory;
use crate::job::TaskKey;

/// How a job ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// Every task is done.
    Completed,
    /// A task failed as often as it may.
    Failed,
    /// A caller cancelled it.
    Canceled,
}

/// Origin of a stored checkpoint.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpointed {
    /// Newest run that saved it or started from it; a late report about an earlier run doesn't replace it.
    pub run: u64,
    /// Progress of the task, in percent.
    pub percent: u32,
}

/// Content of a job's progress row: what a new placer can't get from agents.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    /// Tasks that are done.
    pub done: BTreeSet<TaskKey>,
    /// Numbers of the failed runs of tasks that aren't done.
    ///
    /// Stored as numbers instead of a count, since an unsettled end is reported again to the next placer.
    pub failures: BTreeMap<TaskKey, BTreeSet<u64>>,
    /// Crashes of workers under tasks that may have caused them and aren't done; of a limited number of tasks.
    #[serde(default)]
    pub crashes: BTreeMap<TaskKey, CrashHistory>,
    /// Newest stored checkpoint of tasks that aren't done.
    pub checkpoints: BTreeMap<TaskKey, Name>,
    /// Origin of these checkpoints.
    #[serde(default)]
    pub checkpointed: BTreeMap<TaskKey, Checkpointed>,
    /// Present once the job has ended.
    pub outcome: Option<Outcome>,
}
