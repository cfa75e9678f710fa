//! Changes of a task's row: what is written, and what became of the write.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::code::Code;
use chervilledge_policy::lease::RenewalRequest;
use chervilledge_policy::task::{self, Change, TaskState, Transition};
use chervilledge_store::client::{Client, Resolution};
use chervilledge_store::error::{Outcome, Reason};
use chervilledge_store::group::Group;
use chervilledge_store::table::{Row, Write};

use crate::entry::batch::explain::What;
use crate::entry::batch::rows::TaskRecord;

/// Longest pause between two reads of a row whose write has an unknown outcome.
const REREAD_PAUSE: Duration = Duration::from_secs(1);

/// Change to be written.
#[derive(Clone, Debug)]
pub struct Step {
    /// The change.
    pub change: Change,
    /// Progress that goes with it.
    pub progress: Option<Duration>,
    /// Handover that goes with it.
    pub cover: Option<RenewalRequest>,
    /// Reason, to explain it.
    pub code: Option<Code>,
}

impl Step {
    /// Makes a step that is nothing but a change.
    #[must_use]
    pub const fn of(change: Change) -> Self {
        Self { change, progress: None, cover: None, code: None }
    }
}

/// Result of a write of a task's row.
#[derive(Debug)]
pub enum Written {
    /// The write took effect; version of the row.
    Done(u64),
    /// Another write came first, or the outcome wasn't found out; this is the row.
    Row(Option<Row>),
    /// The write didn't take effect and may be tried again.
    Retry,
}

/// Tells whether a change ends the claim.
#[must_use]
pub const fn ends(change: &Change) -> bool {
    matches!(
        change,
        Change::Complete | Change::Evict(_) | Change::Fail(_) | Change::Expire | Change::Cancel | Change::Decline
    )
}

/// Row that follows a step, unless the row doesn't allow it.
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

/// How a step is explained.
#[must_use]
pub fn explain(change: &Change, code: Option<Code>, record: &TaskRecord) -> (Option<What>, Option<Code>) {
    let what = match change {
        Change::Claim(_) => What::Claimed,
        Change::Start => What::Started,
        Change::Adopt(_) => return (Some(What::HandedOver), Some(Code::LeaseHandedOver)),
        Change::Decline => What::Refused,
        Change::Checkpoint(_) => What::Checkpointed,
        Change::Complete => What::Completed,
        Change::Evict(_) => What::Evicted,
        Change::Fail(code) => {
            let code = if let TaskState::Failed(code) = record.row.state { code } else { *code };
            return (Some(What::Failed), Some(code));
        }
        Change::Expire => return (Some(What::Expired), Some(code.unwrap_or(Code::LeaseEnded))),
        Change::Cancel => return (Some(What::Cancelled), Some(Code::Cancelled)),
        Change::Reject(code) => return (Some(What::Unschedulable), Some(*code)),
        Change::Reconsider => What::Queued,
    };
    (Some(what), code)
}

/// Writes a row along with those of other tasks, and finds out what became of it.
pub async fn put(platform: &Client, commits: &Group, write: Write) -> Written {
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
        Outcome::Done(versions) => versions.first().map_or(Written::Retry, |version| Written::Done(*version)),
        Outcome::NotDone(Reason::Conflict(conflict)) => Written::Row(conflict.current),
        Outcome::NotDone(_) => Written::Retry,
        Outcome::Unknown => loop {
            if let Ok(row) = platform.read_one(Arc::clone(&key)).await {
                break Written::Row(row);
            }
            tokio::time::sleep(REREAD_PAUSE.mul_f64(rand::random_range(0.5..1.0))).await;
        },
    }
}
