//! What is durable of a job's progress.

use std::collections::{BTreeMap, BTreeSet};

use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};

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

/// Where a saved progress comes from.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Checkpointed {
    /// Newest run that saved it or began from it; an end of an earlier one that is told later doesn't replace it.
    pub run: u64,
    /// How far the task was.
    pub percent: u32,
}

/// Content of the row of a job's progress: what a new placer can't learn from agents.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Progress {
    /// Tasks that are done.
    pub done: BTreeSet<TaskKey>,
    /// Numbers of the failed runs of tasks that aren't done.
    ///
    /// Numbers and no count: an end that isn't settled yet is told again to the next placer.
    pub failures: BTreeMap<TaskKey, BTreeSet<u64>>,
    /// Saved progress of tasks that aren't done.
    pub checkpoints: BTreeMap<TaskKey, Name>,
    /// Where that comes from.
    #[serde(default)]
    pub checkpointed: BTreeMap<TaskKey, Checkpointed>,
    /// Present once the job has ended.
    pub outcome: Option<Outcome>,
}
