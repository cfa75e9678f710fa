//! Workers as their agents describe them.

use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::job::{Step, TaskId};
use crate::urgency::Urgency;

/// One life of a worker: after a restart under the same name, nothing of before runs.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Life {
    /// Name that the worker goes by.
    pub worker: Name,
    /// When it started, by its own wall clock, in milliseconds since 1970.
    pub born_unix_ms: u64,
}

/// A worker.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Worker {
    /// Which life this is.
    pub life: Life,
    /// Service that it belongs to.
    pub service: Name,
    /// Failure domain where it stands.
    pub failure_domain: Name,
    /// What it can hold.
    pub resources: Resources,
    /// Kind of machine.
    pub kind: Option<Name>,
    /// Rack where it stands.
    pub rack: Option<Name>,
    /// It is about to leave; the time that it stays at least.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "leaves_in_ms")]
    pub leaves_in: Option<Duration>,
}

impl Worker {
    /// Whether the worker has a label; its kind and its rack are labels.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        [&self.kind, &self.rack].into_iter().flatten().any(|own| &**own == label)
    }
}

/// A run on a worker, as the worker reports it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunReport {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run; grows with each start of the task.
    pub run: u64,
    /// Newest checkpoint; empty when there is none.
    pub checkpoint: Name,
    /// How far the run is, 0 to 100; of a lasting task, whether it is at work.
    pub percent: u32,
    /// Tail latency in milliseconds of a serving task, else the processor time in use in thousandths of a core.
    pub measured: u64,
    /// Pace that the run was told, in percent; the worker doesn't say, its agent does.
    pub pace_percent: u32,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndKind {
    /// The task is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited too long for the other members of its gang.
    Alone,
}

/// An end of a run that the worker keeps until it is told to forget it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct End {
    /// Position in the worker's list, rising by 1 from 1 in each life.
    pub number: u64,
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// How it ended.
    pub kind: EndKind,
    /// Checkpoint that is left; empty when there is none.
    pub checkpoint: Name,
}

/// Order to start a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StartOrder {
    /// Task to run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Text of the job.
    pub spec: Name,
    /// Checkpoint to begin from; empty when there is none.
    pub checkpoint: Name,
    /// What an agent must know to set the pace of runs.
    pub traits: RunTraits,
}

/// What an agent must know of a run to set its pace.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RunTraits {
    /// The run takes what others leave unused.
    pub is_filling: bool,
    /// Latency target of a serving task.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "latency_target_ms")]
    pub latency_target: Option<Duration>,
    /// Image of the task.
    pub image: Option<Name>,
    /// Processor time that the task asks for.
    pub processor_millicores: u64,
    /// Its urgency among the filling runs of the worker.
    pub urgency: Urgency,
}

impl RunTraits {
    /// Traits of a run of a step.
    #[must_use]
    pub fn of(step: &Step, urgency: Urgency) -> Self {
        Self {
            is_filling: step.filling,
            latency_target: step.latency_target,
            image: step.image.clone(),
            processor_millicores: step.resources.processor_millicores,
            urgency,
        }
    }
}

/// Why a run wasn't started.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Refusal {
    /// The worker has seen a newer term.
    Fenced,
    /// The order came after the end of its lease.
    Late,
    /// The worker has no room.
    Room,
    /// The worker leaves.
    Leaving,
    /// The worker says that it can't serve.
    Unhealthy,
    /// The worker doesn't take orders of this form.
    Invalid,
}
