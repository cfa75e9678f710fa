//! Changes to a task's row, and the outcomes of their writes.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::code::Code;
use chervilledge_policy::lease::RenewalRequest;
use chervilledge_policy::task::{self, Change, TaskState, Transition};
use chervilledge_store::client::{Client, Resolution};
use chervilledge_store::error::{Outcome, Reason};
use chervilledge_store::group::Group;
use chervilledge_store::table::{Row, Write};

use crate::entry::batch::explain::EventKind;
use crate::entry::batch::rows::TaskRecord;

/// Maximum pause between two reads of a row whose write has an unknown outcome.
const REREAD_PAUSE_MAX: Duration = Duration::from_secs(1);

/// Pending change to a task's row.
#[derive(Clone, Debug)]
pub struct Step {
    /// The change.
    pub change: Change,
    /// Progress to record with the change.
    pub progress: Option<Duration>,
    /// Handover request to record with the change.
    pub cover: Option<RenewalRequest>,
    /// Reason that `explain` reports.
    pub code: Option<Code>,
}

impl Step {
    /// Creates a step with only a change.
    #[must_use]
    pub const fn new(change: Change) -> Self {
        Self { change, progress: None, cover: None, code: None }
    }
}

/// Result of a write of a task's row.
#[derive(Debug)]
pub enum WriteResult {
    /// The write took effect; new version of the row.
    Done(u64),
    /// Another write came first, or the outcome couldn't be determined; current row.
    CurrentRow(Option<Row>),
    /// The write didn't take effect and may be retried.
    Retry,
}

/// Returns whether a change ends the claim.
#[must_use]
pub const fn ends_claim(change: &Change) -> bool {
    matches!(
        change,
        Change::Complete
            | Change::CompleteLate(_)
            | Change::Evict(_)
            | Change::Fail(_)
            | Change::Expire
            | Change::Cancel
            | Change::Decline
    )
}

/// Returns the record that results from a step, or `None` if the row doesn't allow the step.
#[must_use]
pub fn next_record(record: &TaskRecord, step: &Step) -> Option<TaskRecord> {
    let transition = Transition { epoch: record.row.epoch, change: step.change.clone() };
    let row = task::apply(&record.row, transition).ok()?;
    let mut next = TaskRecord { row, progress_ms: record.progress_ms, cover: record.cover };
    match &step.change {
        Change::Claim(_) => next.cover = None,
        Change::Adopt(_) => next.cover = Some(step.cover.filter(|cover| record.is_newer(*cover))?),
        Change::Checkpoint(_) | Change::Evict(_) => next.progress_ms = step.progress.unwrap_or(record.progress_ms),
        _ => {}
    }
    Some(next)
}

/// Returns the event and the reason code that `explain` reports for a change.
#[must_use]
pub fn explanation(change: &Change, code: Option<Code>, record: &TaskRecord) -> (Option<EventKind>, Option<Code>) {
    let what = match change {
        Change::Claim(_) => EventKind::Claimed,
        Change::Start => EventKind::Started,
        Change::Adopt(_) => return (Some(EventKind::HandedOver), Some(Code::LeaseHandedOver)),
        Change::Decline => EventKind::Refused,
        Change::Checkpoint(_) => EventKind::Checkpointed,
        Change::Complete | Change::CompleteLate(_) => EventKind::Completed,
        Change::Evict(_) => EventKind::Evicted,
        Change::Fail(code) => {
            let code = if let TaskState::Failed(code) = record.row.state { code } else { *code };
            return (Some(EventKind::Failed), Some(code));
        }
        Change::Expire => return (Some(EventKind::Expired), Some(code.unwrap_or(Code::LeaseEnded))),
        Change::Cancel => return (Some(EventKind::Cancelled), Some(Code::Cancelled)),
        Change::Reject(code) => return (Some(EventKind::Unschedulable), Some(*code)),
        Change::Reconsider => EventKind::Queued,
    };
    (Some(what), code)
}

/// Writes a row by group commit, and determines the outcome.
pub async fn write_row(platform: &Client, commits: &Group, write: Write) -> WriteResult {
    let key = Arc::clone(&write.key);
    let submitted = commits.submit(vec![write]).await;
    let outcome = match (submitted.outcome, submitted.write_id) {
        (Outcome::Unknown, Some(write_id)) => match platform.resolve(write_id, &key).await {
            Resolution::Done(version) => Outcome::Done(vec![version]),
            Resolution::NotDone => Outcome::NotDone(Reason::Fenced),
            Resolution::Forgotten => Outcome::Unknown,
        },
        (outcome, _) => outcome,
    };
    match outcome {
        Outcome::Done(versions) => versions.first().map_or(WriteResult::Retry, |version| WriteResult::Done(*version)),
        Outcome::NotDone(Reason::Conflict(conflict)) => WriteResult::CurrentRow(conflict.current),
        Outcome::NotDone(_) => WriteResult::Retry,
        Outcome::Unknown => loop {
            if let Ok(row) = platform.read_one(Arc::clone(&key)).await {
                break WriteResult::CurrentRow(row);
            }
            tokio::time::sleep(REREAD_PAUSE_MAX.mul_f64(rand::random_range(0.5..1.0))).await;
        },
    }
}
