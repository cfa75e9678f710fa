//! Newest events of recent tasks, with reasons, for `explain`; the task added first is dropped first.

use std::collections::VecDeque;
use std::time::Duration;

use chervilledge_policy::code::Code;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use chervilledge_policy::task::{Epoch, TaskId};
use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// Maximum number of tasks whose events are kept.
const TASKS_MAX: usize = 4_096;

/// Maximum number of events kept per task.
const EVENTS_MAX: usize = 24;

/// Kind of a task event.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// The task is queued.
    Queued,
    /// The task couldn't be placed on a worker.
    NotPlaced,
    /// The task was claimed for a worker.
    Claimed,
    /// The start command was sent to the agent.
    StartSent,
    /// The agent started the task.
    Started,
    /// A checkpoint was recorded.
    Checkpointed,
    /// The claim was handed over to another entry's lease.
    HandedOver,
    /// The agent refused the claim.
    Refused,
    /// The task completed.
    Completed,
    /// The task failed.
    Failed,
    /// The task was evicted.
    Evicted,
    /// The lease of its claim ended.
    Expired,
    /// The task was cancelled.
    Cancelled,
    /// No known worker is large enough for the task.
    Unschedulable,
    /// A write failed on a version conflict.
    WriteLost,
}

/// Task event as reported by `explain`.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Age of the event when the response was built.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age_ms: Duration,
    /// Kind of the event.
    pub what: EventKind,
    /// Epoch of the task.
    pub epoch: Epoch,
    /// Worker involved, if any.
    pub worker: Option<Name>,
    /// Result code, if any.
    pub code: Option<u16>,
    /// Text of the result code.
    pub text: Option<&'static str>,
}

#[derive(Clone, Debug)]
struct StoredEvent {
    at: Duration,
    what: EventKind,
    epoch: Epoch,
    worker: Option<Name>,
    code: Option<Code>,
}

/// Task events, bounded to [`TASKS_MAX`] tasks with [`EVENTS_MAX`] events each.
#[derive(Debug, Default)]
pub struct History {
    events: Map<TaskId, VecDeque<StoredEvent>>,
    order: VecDeque<TaskId>,
}

impl History {
    /// Adds an event, or updates the last one if it is the same apart from time and code.
    pub fn add(
        &mut self,
        at: Duration,
        task: &TaskId,
        epoch: Epoch,
        what: EventKind,
        worker: Option<&Name>,
        code: Option<Code>,
    ) {
        if !self.events.contains_key(task) {
            self.order.push_back(task.clone());
            if self.order.len() > TASKS_MAX
                && let Some(oldest) = self.order.pop_front()
            {
                self.events.remove(&oldest);
            }
        }
        let events = self.events.entry(task.clone()).or_default();
        let is_repeat = |stored: &&mut StoredEvent| {
            stored.what == what && stored.epoch == epoch && stored.worker.as_ref() == worker
        };
        if let Some(last) = events.back_mut().filter(is_repeat) {
            last.at = at;
            last.code = code;
            return;
        }
        if events.len() == EVENTS_MAX {
            events.pop_front();
        }
        events.push_back(StoredEvent { at, what, epoch, worker: worker.cloned(), code });
    }

    /// Returns the events of a task, oldest first.
    #[must_use]
    pub fn events_of(&self, task: &TaskId, now: Duration) -> Vec<Event> {
        let events = self.events.get(task).into_iter().flatten();
        events
            .map(|stored| Event {
                age_ms: now.saturating_sub(stored.at),
                what: stored.what,
                epoch: stored.epoch,
                worker: stored.worker.clone(),
                code: stored.code.map(Code::number),
                text: stored.code.map(Code::text),
            })
            .collect()
    }
}
