//! Tasks that an agent's worker holds.

use std::time::Duration;

use chervilledge_link::task::{ClaimId, End, TaskStart, TaskTraits};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::lease::RenewalRequest;
use chervilledge_policy::task::{Epoch, TaskId};
use chervilledge_worker::runtime::{Status, TaskState};

/// Where a task stands between agent and worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// The start was sent; the worker obeys it before this time or never.
    Starting(Duration),
    /// The outcome of the start is unknown; the same bound holds.
    StartUnknown(Duration),
    /// The worker holds the task.
    Held,
    /// The task is to be stopped; this is to be reported.
    Stopping(End),
}

/// Handover that waits for its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Handover {
    /// Lease of the entry that was asked.
    pub lease: BootId,
    /// Number of the handover.
    pub cover: RenewalRequest,
    /// When it was asked for.
    pub asked: Duration,
}

/// Task that the worker holds, or may hold.
#[derive(Clone, Debug)]
pub struct Task {
    /// Epoch of the claim.
    pub epoch: Epoch,
    /// Kind of the task.
    pub kind: Name,
    /// Resources reserved.
    pub resources: Resources,
    /// Where the task stands.
    pub stage: Stage,
    /// Lease that covers the claim; none after a handover was asked for, until it is answered.
    pub lease: Option<BootId>,
    /// Handover that waits for its answer.
    pub handover: Option<Handover>,
    /// State as the worker last told.
    pub state: TaskState,
    /// Share of full speed as the worker last told.
    pub share_percent: u8,
    /// Progress as the worker last told.
    pub progress: Duration,
    /// Progress that was last reported as kept.
    pub kept: Duration,
    /// When the last checkpoint was asked for.
    pub checkpoint_asked: Duration,
    /// Time between two checkpoints.
    pub checkpoint_interval: Duration,
    /// The task may be slowed down.
    pub may_throttle: bool,
    /// The task may be evicted.
    pub may_evict: bool,
}

impl Task {
    /// Task that is about to be started.
    #[must_use]
    pub fn starting(start: &TaskStart, now: Duration, until: Duration) -> Self {
        Self {
            epoch: start.claim.epoch,
            kind: Name::clone(&start.kind),
            resources: start.resources,
            stage: Stage::Starting(until),
            lease: Some(start.lease),
            handover: None,
            state: TaskState::Running,
            share_percent: 100,
            progress: start.progress_ms,
            kept: start.progress_ms,
            checkpoint_asked: now,
            checkpoint_interval: start.traits.checkpoint_interval_ms,
            may_throttle: start.traits.may_throttle,
            may_evict: start.traits.may_evict,
        }
    }

    /// Task that the worker held when stock was taken.
    #[must_use]
    pub fn found(status: &Status, now: Duration, checkpoint_interval: Duration) -> Self {
        Self {
            epoch: Epoch(status.epoch),
            kind: Name::clone(&status.kind),
            resources: status.resources,
            stage: Stage::Held,
            lease: None,
            handover: None,
            state: status.state,
            share_percent: status.share_percent,
            progress: status.progress_ms,
            kept: Duration::ZERO,
            checkpoint_asked: now,
            checkpoint_interval,
            may_throttle: false,
            may_evict: false,
        }
    }

    /// Takes in what the agent may do to the task.
    pub const fn allow(&mut self, traits: &TaskTraits) {
        self.checkpoint_interval = traits.checkpoint_interval_ms;
        self.may_throttle = traits.may_throttle;
        self.may_evict = traits.may_evict;
    }

    /// Takes in what the worker tells.
    pub fn observe(&mut self, status: &Status) {
        self.state = status.state;
        self.share_percent = status.share_percent;
        self.progress = status.progress_ms;
    }
}

/// Identifier of a task as the worker knows it.
#[must_use]
pub fn parse_task(name: &str) -> Option<TaskId> {
    let (job, index) = name.rsplit_once('/')?;
    Some(TaskId { job: Name::from(job), index: index.parse().ok()? })
}

/// Claim of a task that the worker lists.
#[must_use]
pub fn claim_of(status: &Status) -> Option<ClaimId> {
    Some(ClaimId { task: parse_task(&status.task)?, epoch: Epoch(status.epoch) })
}
