//! Ledger of a worker's stand-in: what it ran, and when.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as};

/// One event on a worker.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Event {
    /// Reading of the machine's monotonic clock.
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    #[serde(rename = "at_us")]
    pub at: Duration,
    /// Worker that recorded the event.
    pub worker: Name,
    /// What happened.
    #[serde(flatten)]
    pub what: What,
}

/// Why a task was suspended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Suspension {
    /// It was asked for.
    Command,
    /// The lease ended.
    LeaseEnd,
}

/// What happened on a worker.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "event")]
pub enum What {
    /// The backend server began to execute a request.
    RequestStarted {
        /// Header `x-request-id`.
        request_id: Name,
        /// Header `idempotency-key`.
        idempotency_key: Option<Name>,
        /// Path and query, by which a caller can mark a request.
        path: Name,
    },
    /// The backend server ended a request.
    RequestEnded {
        /// Header `x-request-id`.
        request_id: Name,
        /// Status of the answer, or `None` when the connection was lost before it was ready.
        status: Option<u16>,
    },
    /// A task began to execute.
    TaskStarted {
        /// Task.
        task: Name,
        /// Epoch of its lease.
        epoch: u64,
        /// Kind of the task.
        kind: Name,
        /// Progress that it started from.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "progress_ms")]
        progress: Duration,
    },
    /// The start of a task failed on command.
    TaskStartFailed {
        /// Task.
        task: Name,
        /// Epoch of its lease.
        epoch: u64,
    },
    /// A task stopped executing, and can go on from memory.
    TaskSuspended {
        /// Task.
        task: Name,
        /// Epoch of its lease.
        epoch: u64,
        /// Why it was suspended.
        reason: Suspension,
    },
    /// A suspended task executes again.
    TaskResumed {
        /// Task.
        task: Name,
        /// Epoch of its lease.
        epoch: u64,
    },
    /// The share of a task changed.
    TaskThrottled {
        /// Task.
        task: Name,
        /// Epoch of its lease.
        epoch: u64,
        /// New share of its full speed; nothing executes at zero.
        share_percent: u8,
    },
    /// A task was stopped for good on this worker.
    TaskStopped {
        /// Task.
        task: Name,
        /// Epoch of its lease.
        epoch: u64,
        /// Progress at the stop.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "progress_ms")]
        progress: Duration,
    },
    /// The effect of a task on the world, which must happen once.
    TaskEffect {
        /// Task.
        task: Name,
        /// Epoch of its lease.
        epoch: u64,
    },
    /// A task executed to its end.
    TaskCompleted {
        /// Task.
        task: Name,
        /// Epoch of its lease.
        epoch: u64,
    },
    /// More requests in progress than slots.
    OverSlots {
        /// Requests in progress.
        in_progress: u32,
    },
    /// More connections than allowed.
    OverConnections {
        /// Open connections that carried requests.
        open: u32,
    },
    /// More resources in use than the worker has.
    OverResources {
        /// Resources of all tasks held.
        held: Resources,
    },
}

/// Events of one worker, in the order in which they were recorded.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    worker: Name,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Ledger {
    pub(crate) fn new(worker: Name) -> Self {
        Self { worker, events: Arc::default() }
    }

    pub(crate) fn record(&self, at: Duration, what: What) {
        let event = Event { at, worker: Name::clone(&self.worker), what };
        self.events.lock().unwrap_or_else(PoisonError::into_inner).push(event);
    }

    /// Events after the first `count`.
    pub(crate) fn after(&self, count: usize) -> Vec<Event> {
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        events.get(count..).unwrap_or_default().to_vec()
    }
}
