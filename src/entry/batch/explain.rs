//! What happened to tasks, and why: the newest events of the tasks that were touched last.

use std::collections::VecDeque;
use std::time::Duration;

use chervilledge_policy::code::Code;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use chervilledge_policy::task::{Epoch, TaskId};
use serde::Serialize;
use serde_with::{DurationMilliSeconds, serde_as};

/// Tasks that are remembered.
const TASKS_MAX: usize = 4_096;

/// Events that are remembered of each.
const EVENTS_MAX: usize = 24;

/// What happened to a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum What {
    /// It waits for a worker.
    Queued,
    /// No worker had room.
    NotPlaced,
    /// It was claimed for a worker.
    Claimed,
    /// The start was sent to the agent.
    StartSent,
    /// The agent has started it.
    Started,
    /// Progress was kept.
    Checkpointed,
    /// Another entry's lease covers the claim.
    HandedOver,
    /// The agent has refused the claim.
    Refused,
    /// It completed.
    Completed,
    /// It failed.
    Failed,
    /// It was evicted.
    Evicted,
    /// The lease of its claim ended.
    Expired,
    /// It was cancelled.
    Cancelled,
    /// No known worker can ever hold it.
    Unschedulable,
    /// A write lost against another one.
    WriteLost,
}

/// One event.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct Event {
    /// Time since the event, when the answer was made.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub age_ms: Duration,
    /// What happened.
    pub what: What,
    /// Epoch of the task.
    pub epoch: Epoch,
    /// Worker that was concerned.
    pub worker: Option<Name>,
    /// Reason.
    pub code: Option<u16>,
    /// Reason in words.
    pub text: Option<&'static str>,
}

#[derive(Clone, Debug)]
struct Kept {
    at: Duration,
    what: What,
    epoch: Epoch,
    worker: Option<Name>,
    code: Option<Code>,
}

/// Events of tasks. Never more than [`TASKS_MAX`] tasks with [`EVENTS_MAX`] events each.
#[derive(Debug, Default)]
pub struct History {
    events: Map<TaskId, VecDeque<Kept>>,
    order: VecDeque<TaskId>,
}

impl History {
    /// Notes an event.
    pub fn note(
        &mut self,
        at: Duration,
        task: &TaskId,
        epoch: Epoch,
        what: What,
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
        let repeats = |kept: &&mut Kept| kept.what == what && kept.epoch == epoch && kept.worker.as_ref() == worker;
        if let Some(last) = events.back_mut().filter(repeats) {
            last.at = at;
            last.code = code;
            return;
        }
        if events.len() == EVENTS_MAX {
            events.pop_front();
        }
        events.push_back(Kept { at, what, epoch, worker: worker.cloned(), code });
    }

    /// Events of a task in the order in which they happened.
    #[must_use]
    pub fn of(&self, task: &TaskId, now: Duration) -> Vec<Event> {
        let events = self.events.get(task).into_iter().flatten();
        events
            .map(|kept| Event {
                age_ms: now.saturating_sub(kept.at),
                what: kept.what,
                epoch: kept.epoch,
                worker: kept.worker.clone(),
                code: kept.code.map(Code::number),
                text: kept.code.map(Code::text),
            })
            .collect()
    }
}
