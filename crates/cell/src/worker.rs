//! Workers and runs, as reported by agents.

use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::job::{Step, TaskId};
use crate::urgency::Urgency;

/// One life of a worker: after a restart under the same name, nothing from before the restart runs.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Life {
    /// Name of the worker.
    pub worker: Name,
    /// When it started, by its own wall clock, in milliseconds since 1970.
    pub born_unix_ms: u64,
}

/// A worker.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Worker {
    /// Life of the worker.
    pub life: Life,
    /// Service that it belongs to.
    pub service: Name,
    /// Failure domain that the worker is in.
    pub failure_domain: Name,
    /// Capacity of the worker.
    pub resources: Resources,
    /// Kind of machine.
    pub kind: Option<Name>,
    /// Rack that the worker is in.
    pub rack: Option<Name>,
    /// Time for which the worker will at least stay; set when it is about to leave.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(rename = "leaves_in_ms")]
    pub leaves_in: Option<Duration>,
    /// Time for which it will still be slow after its start.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default, rename = "cold_ms")]
    pub cold_for: Duration,
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
    /// Progress of the run, 0 to 100; for a lasting task, more than 0 while it works.
    pub percent: u32,
    /// Tail latency in milliseconds of a serving task, else the processor time in use in thousandths of a core.
    pub measured: u64,
    /// Pace of the run as last ordered, in percent; added by the agent, since the worker doesn't report it.
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

impl EndKind {
    /// Lower-case form, for logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Broken => "broken",
            Self::Alone => "alone",
        }
    }
}

/// End of a run; the worker keeps it until it is told to forget it.
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
    /// Checkpoint that remains; empty when there is none.
    pub checkpoint: Name,
}

/// Run that a worker had when it crashed.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashedRun {
    /// Task of the run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Time from the order to start until the first sign of the crash.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
    /// The run may not have been on the worker: its start got no answer, or it may have ended unseen. Versions before
    /// 0.6.0 don't tell.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_unconfirmed: bool,
}

/// Crash of a worker, as reported by its agent until the placer has made it durable.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CrashReport {
    /// Life of the worker that has ended.
    pub life: Life,
    /// Runs that the worker had, or may have had.
    pub runs: Vec<CrashedRun>,
}

/// Order to start a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StartOrder {
    /// Task to run.
    pub task: TaskId,
    /// Number of the run.
    pub run: u64,
    /// Opaque text of the job.
    pub spec: Name,
    /// Checkpoint to start from; empty when there is none.
    pub checkpoint: Name,
    /// Properties that determine the pace of the run.
    pub traits: RunTraits,
}

/// Properties of a run that an agent needs to set its pace.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct RunTraits {
    /// The run only uses processor time that others leave unused.
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
    /// The order arrived after the end of the worker's lease.
    Late,
    /// The worker has no room.
    Room,
    /// The worker is about to leave.
    Leaving,
    /// The worker reports that it is unhealthy.
    Unhealthy,
    /// The worker doesn't accept orders of this form.
    Invalid,
    /// The failure domain of the worker is evacuated.
    Evacuated,
}
