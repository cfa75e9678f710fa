//! Rows of jobs and tasks, and the state transitions of a task.
//!
//! A task changes state only by a conditional write of its row, and [`apply`] is the only function that computes the
//! new row. Each transition names the epoch that it expects. Every end of a claim increments the epoch, so that an
//! epoch has at most one claim, on one worker, and anything that carries an older epoch is refused.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::capacity::Resources;
use crate::code::Code;
use crate::id::{BootId, Name};

/// Fencing token of a task or of a shard; it never decreases.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Epoch(pub u64);

impl Epoch {
    /// Returns the epoch after this one.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

/// Identifies a task across the system.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct TaskId {
    /// Identifier of the job.
    pub job: Name,
    /// Position among the tasks of the job.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.job, self.index)
    }
}

/// Priority of a job, which determines the order in which tasks start.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Started within a bounded time.
    Urgent,
    /// Started after urgent work.
    Normal,
    /// Started when nothing else waits, or after waiting long enough.
    Background,
}

impl Priority {
    /// Every priority, the most urgent first.
    pub const ALL: [Self; 3] = [Self::Urgent, Self::Normal, Self::Background];
}

/// Effect of executing the same task more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Effects {
    /// Repeated execution is harmless.
    Idempotent,
    /// Effects are conditional on the epoch, so that only one epoch's effects apply.
    Fenced,
    /// Effects can be neither repeated nor fenced; the task runs again only if it is known where it stopped.
    AtMostOnce,
}

/// Row of a job: tasks that were submitted together.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRow {
    /// Identifier of the job.
    pub id: Name,
    /// Key chosen by the submitter; submissions with the same key are the same job.
    pub submit_key: Name,
    /// Team whose quota the job uses.
    pub team: Name,
    /// Priority of the job's tasks.
    pub priority: Priority,
    /// Kind of the work; interference and usage are estimated per kind.
    pub kind: Name,
    /// Declared resources of each task.
    pub declared: Resources,
    /// Declared run time of each task.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "run_time_ms")]
    pub run_time: Duration,
    /// Effect of executing a task more than once.
    pub effects: Effects,
    /// Number of tasks; their indices are `0..task_count`.
    pub task_count: u32,
    /// Number of failed attempts after which a task fails.
    pub attempts_max: u32,
}

impl JobRow {
    /// Creates the row of one of the job's tasks, in the queued state.
    #[must_use]
    pub fn task(&self, index: u32) -> TaskRow {
        TaskRow {
            id: TaskId { job: Name::clone(&self.id), index },
            epoch: Epoch(1),
            state: TaskState::Queued,
            checkpoint: None,
            effects: self.effects,
            attempts: Vec::new(),
            attempts_max: self.attempts_max,
        }
    }
}

/// Key of a checkpoint in the object store.
///
/// The key includes the epoch, so that a holder whose epoch has ended can't overwrite a newer checkpoint.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct CheckpointKey {
    /// Task whose progress is saved.
    pub task: TaskId,
    /// Epoch under which the checkpoint was written.
    pub epoch: Epoch,
    /// Strictly increasing within an epoch.
    pub sequence: u32,
}

impl fmt::Display for CheckpointKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "checkpoints/{}/{:016x}/{:08x}", self.task, self.epoch.0, self.sequence)
    }
}

/// Assignment of a task to a worker for one epoch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Claim {
    /// Only worker that may run this epoch.
    pub worker: Name,
    /// Only boot of the worker's agent that may start this epoch.
    ///
    /// A later boot doesn't know whether the epoch has already ended there: it continues what it finds running and
    /// starts nothing. A claim that it doesn't find running is ended by [`Change::Expire`].
    pub agent: BootId,
    /// Boot of the entry whose lease covers the claim.
    pub entry: BootId,
}

/// State of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waits for a worker.
    Queued,
    /// Assigned to a worker; not known to have started.
    Claimed(Claim),
    /// Started on the worker.
    Running(Claim),
    /// Completed.
    Done,
    /// Cancelled before it completed.
    Cancelled,
    /// Failed permanently, with the reason.
    Failed(Code),
    /// Exceeds every known worker; queued again when capacity grows.
    Unschedulable(Code),
}

impl TaskState {
    /// Returns whether no transition leads out of the state.
    #[must_use]
    pub const fn is_final(&self) -> bool {
        matches!(self, Self::Done | Self::Cancelled | Self::Failed(_))
    }

    /// Returns the claim under which the task may be running.
    #[must_use]
    pub const fn claim(&self) -> Option<&Claim> {
        match self {
            Self::Claimed(claim) | Self::Running(claim) => Some(claim),
            _ => None,
        }
    }
}

/// Failed attempt.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Attempt {
    /// Epoch of the attempt.
    pub epoch: Epoch,
    /// Worker of the attempt.
    pub worker: Name,
    /// Reason of the failure.
    pub code: Code,
}

/// Row of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskRow {
    /// Identifier of the task.
    pub id: TaskId,
    /// Epoch of the current or next claim. Never decreases, and increases at every end of a claim.
    pub epoch: Epoch,
    /// State of the task.
    pub state: TaskState,
    /// Latest recorded checkpoint. Its epoch is at most `epoch`.
    pub checkpoint: Option<CheckpointKey>,
    /// Effect of executing a task more than once.
    pub effects: Effects,
    /// Failed attempts. Never longer than `attempts_max`.
    pub attempts: Vec<Attempt>,
    /// Number of failed attempts after which the task fails.
    pub attempts_max: u32,
}

/// Change of a task's row, with the epoch that it applies to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transition {
    /// Epoch that the row must have.
    pub epoch: Epoch,
    /// Change to apply.
    pub change: Change,
}

/// Kind of a transition.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// Assigns a queued task to a worker.
    Claim(Claim),
    /// Records that the agent has started the task.
    Start,
    /// Moves a claim to another entry's lease; worker and epoch stay the same.
    Adopt(BootId),
    /// Ends a claim that the agent refused and will never start.
    Decline,
    /// Records a checkpoint.
    Checkpoint(CheckpointKey),
    /// Records the completion.
    Complete,
    /// Records that an earlier epoch completed before its claim ended.
    ///
    /// A claim expires when its agent is away for longer than a lease, although the worker may have completed the task
    /// within that lease.
    CompleteLate(Epoch),
    /// Queues a task that was stopped by the scheduler, to resume from the given or last recorded checkpoint.
    Evict(Option<CheckpointKey>),
    /// Records a failed attempt, and queues the task again or fails it.
    Fail(Code),
    /// Ends a claim whose lease has ended; how far the task got is unknown.
    Expire,
    /// Cancels the task.
    Cancel,
    /// Marks a queued task that exceeds every known worker as unschedulable.
    Reject(Code),
    /// Queues an unschedulable task again.
    Reconsider,
}

/// Reason why a transition was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The row has another epoch.
    StaleEpoch {
        /// Epoch of the row.
        current: Epoch,
    },
    /// The task has already ended.
    Ended,
    /// The state doesn't allow the change.
    WrongState,
    /// The checkpoint belongs to another task or epoch, or is older than the recorded one.
    WrongCheckpoint,
}

impl Refusal {
    /// Result code of the refusal.
    #[must_use]
    pub const fn code(self) -> Code {
        match self {
            Self::StaleEpoch { .. } => Code::StaleEpoch,
            Self::Ended | Self::WrongState | Self::WrongCheckpoint => Code::WrongTaskState,
        }
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::StaleEpoch { current } => write!(f, "the task is at epoch {}", current.0),
            Self::Ended => f.write_str("the task has ended"),
            Self::WrongState => f.write_str("the state of the task doesn't allow the change"),
            Self::WrongCheckpoint => f.write_str("the checkpoint doesn't belong to this epoch of the task"),
        }
    }
}

impl std::error::Error for Refusal {}

/// Returns the row after a transition.
///
/// # Errors
///
/// Refuses a transition for another epoch, from a final state, or that the state doesn't allow.
pub fn apply(row: &TaskRow, transition: Transition) -> Result<TaskRow, Refusal> {
    if transition.epoch != row.epoch {
        return Err(Refusal::StaleEpoch { current: row.epoch });
    }
    if row.state.is_final() {
        return Err(Refusal::Ended);
    }
    match transition.change {
        Change::Claim(claim) => from_queued(row, TaskState::Claimed(claim)),
        Change::Reject(code) => from_queued(row, TaskState::Unschedulable(code)),
        Change::Reconsider => reconsider(row),
        Change::Start => start(row),
        Change::Adopt(entry) => adopt(row, entry),
        Change::Decline => decline(row),
        Change::Checkpoint(key) => checkpoint(row, key),
        Change::Complete => end_claim(row, TaskState::Done),
        Change::CompleteLate(epoch) => complete_late(row, epoch),
        Change::Evict(key) => evict(row, key),
        Change::Fail(code) => fail(row, code),
        Change::Expire => expire(row),
        Change::Cancel => Ok(TaskRow { epoch: row.epoch.next(), state: TaskState::Cancelled, ..row.clone() }),
    }
}

fn from_queued(row: &TaskRow, state: TaskState) -> Result<TaskRow, Refusal> {
    if row.state != TaskState::Queued {
        return Err(Refusal::WrongState);
    }
    Ok(TaskRow { state, ..row.clone() })
}

fn reconsider(row: &TaskRow) -> Result<TaskRow, Refusal> {
    if !matches!(row.state, TaskState::Unschedulable(_)) {
        return Err(Refusal::WrongState);
    }
    Ok(TaskRow { state: TaskState::Queued, ..row.clone() })
}

fn start(row: &TaskRow) -> Result<TaskRow, Refusal> {
    let TaskState::Claimed(claim) = &row.state else {
        return Err(Refusal::WrongState);
    };
    Ok(TaskRow { state: TaskState::Running(claim.clone()), ..row.clone() })
}

fn adopt(row: &TaskRow, entry: BootId) -> Result<TaskRow, Refusal> {
    let mut next = row.clone();
    match &mut next.state {
        TaskState::Claimed(claim) | TaskState::Running(claim) => claim.entry = entry,
        _ => return Err(Refusal::WrongState),
    }
    Ok(next)
}

fn decline(row: &TaskRow) -> Result<TaskRow, Refusal> {
    if !matches!(row.state, TaskState::Claimed(_)) {
        return Err(Refusal::WrongState);
    }
    end_claim(row, TaskState::Queued)
}

fn checkpoint(row: &TaskRow, key: CheckpointKey) -> Result<TaskRow, Refusal> {
    if row.state.claim().is_none() {
        return Err(Refusal::WrongState);
    }
    check_checkpoint(row, &key)?;
    Ok(TaskRow { checkpoint: Some(key), ..row.clone() })
}

fn evict(row: &TaskRow, key: Option<CheckpointKey>) -> Result<TaskRow, Refusal> {
    let mut next = end_claim(row, TaskState::Queued)?;
    if let Some(key) = key {
        check_checkpoint(row, &key)?;
        next.checkpoint = Some(key);
    } else if row.effects == Effects::AtMostOnce {
        next.state = TaskState::Failed(Code::TaskOutcomeUnknown);
    }
    Ok(next)
}

fn fail(row: &TaskRow, code: Code) -> Result<TaskRow, Refusal> {
    let claim = row.state.claim().ok_or(Refusal::WrongState)?;
    let attempt = Attempt { epoch: row.epoch, worker: Name::clone(&claim.worker), code };
    let mut next = end_claim(row, TaskState::Queued)?;
    next.attempts.push(attempt);
    if next.attempts.len() >= row.attempts_max as usize {
        next.state = TaskState::Failed(Code::FailedEverywhere);
    } else if row.effects == Effects::AtMostOnce {
        next.state = TaskState::Failed(Code::TaskOutcomeUnknown);
    }
    Ok(next)
}

fn expire(row: &TaskRow) -> Result<TaskRow, Refusal> {
    let state = match row.effects {
        Effects::Idempotent | Effects::Fenced => TaskState::Queued,
        Effects::AtMostOnce => TaskState::Failed(Code::TaskOutcomeUnknown),
    };
    end_claim(row, state)
}

fn complete_late(row: &TaskRow, completed: Epoch) -> Result<TaskRow, Refusal> {
    if completed >= row.epoch {
        return Err(Refusal::WrongState);
    }
    Ok(TaskRow { epoch: row.epoch.next(), state: TaskState::Done, ..row.clone() })
}

/// Ends the claim and increments the epoch.
fn end_claim(row: &TaskRow, state: TaskState) -> Result<TaskRow, Refusal> {
    if row.state.claim().is_none() {
        return Err(Refusal::WrongState);
    }
    Ok(TaskRow { epoch: row.epoch.next(), state, ..row.clone() })
}

fn check_checkpoint(row: &TaskRow, key: &CheckpointKey) -> Result<(), Refusal> {
    let newer = row.checkpoint.as_ref().is_none_or(|old| (old.epoch, old.sequence) <= (key.epoch, key.sequence));
    if key.task == row.id && key.epoch == row.epoch && newer { Ok(()) } else { Err(Refusal::WrongCheckpoint) }
}
