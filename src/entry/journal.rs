//! Traces of recent requests, with reasons, for `explain`.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use chervilledge_policy::code::Code;
use chervilledge_policy::id::{Name, RequestId};
use chervilledge_policy::request::Outcome;
use serde::Serialize;

use crate::sync::lock;

/// Maximum number of traces kept; about 1 MB.
const TRACES_MAX: usize = 4_096;

/// Maximum number of steps kept per request.
const STEPS_MAX: usize = 32;

/// Kind of a step, with its details.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum StepKind {
    /// The request was dispatched to a worker's agent.
    Dispatched {
        /// Identifier of the dispatch, which the backend server sees.
        dispatch: RequestId,
        /// Worker that was chosen.
        worker: Name,
    },
    /// The request couldn't be dispatched.
    NotDispatched {
        /// Reason.
        code: Code,
    },
    /// The agent refused the dispatch; it will never start.
    NotStarted {
        /// Identifier of the dispatch.
        dispatch: RequestId,
        /// Reason.
        code: Code,
    },
    /// The link to the agent was lost.
    LinkLost {
        /// Identifier of the dispatch.
        dispatch: RequestId,
    },
    /// The agent reported the outcome of the dispatch.
    Outcome {
        /// Identifier of the dispatch.
        dispatch: RequestId,
        /// Reported outcome.
        outcome: Outcome,
    },
    /// The head of the answer arrived.
    Head {
        /// Identifier of the dispatch.
        dispatch: RequestId,
        /// HTTP status.
        status: u16,
    },
    /// The answer was aborted.
    Broken {
        /// Identifier of the dispatch.
        dispatch: RequestId,
        /// Reason.
        code: Code,
    },
    /// The caller disconnected.
    CallerGone,
    /// The answer was forwarded completely.
    Answered,
    /// The request ended without having run, and will never run.
    NotRun {
        /// Reason.
        code: Code,
    },
    /// The request ended, and may have run.
    Unknown {
        /// Reason.
        code: Code,
    },
}

/// Step of a request, with its time.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// Time since the request arrived, in microseconds.
    pub after_us: u64,
    /// Kind of the step.
    #[serde(flatten)]
    pub what: StepKind,
    /// Text of the result code, if there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<&'static str>,
}

/// Trace of one request.
#[derive(Clone, Debug, Serialize)]
pub struct Trace {
    /// Identifier that the caller was given.
    pub request: RequestId,
    /// Service of the request.
    pub service: Name,
    /// Arrival time on the entry's clock.
    #[serde(skip)]
    pub came: Duration,
    /// Steps in order, at most `STEPS_MAX`.
    pub steps: Vec<Step>,
    /// Number of steps that weren't kept.
    pub steps_left_out: u32,
}

impl Trace {
    /// Starts the trace of a request.
    #[must_use]
    pub fn new(request: RequestId, service: Name, came: Duration) -> Self {
        Self { request, service, came, steps: Vec::new(), steps_left_out: 0 }
    }

    /// Adds a step.
    pub fn add(&mut self, now: Duration, what: StepKind) {
        if self.steps.len() >= STEPS_MAX {
            self.steps_left_out += 1;
            return;
        }
        let after_us = u64::try_from(now.saturating_sub(self.came).as_micros()).unwrap_or(u64::MAX);
        let reason = code_of(&what).map(Code::text);
        self.steps.push(Step { after_us, what, reason });
    }

    fn mentions(&self, id: RequestId) -> bool {
        self.request == id || self.steps.iter().any(|step| dispatch_of(&step.what) == Some(id))
    }
}

/// Traces of recently ended requests.
#[derive(Debug, Default)]
pub struct Journal {
    traces: Mutex<VecDeque<Trace>>,
}

impl Journal {
    /// Stores the trace of an ended request, in place of the oldest one if the journal is full.
    pub fn store(&self, trace: Trace) {
        let mut traces = lock(&self.traces);
        if traces.len() >= TRACES_MAX {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// Finds the trace of a request by its identifier or by that of one of its dispatches.
    #[must_use]
    pub fn find(&self, id: RequestId) -> Option<Trace> {
        lock(&self.traces).iter().rev().find(|trace| trace.mentions(id)).cloned()
    }
}

fn code_of(what: &StepKind) -> Option<Code> {
    match what {
        StepKind::NotDispatched { code }
        | StepKind::NotStarted { code, .. }
        | StepKind::Broken { code, .. }
        | StepKind::NotRun { code }
        | StepKind::Unknown { code } => Some(*code),
        _ => None,
    }
}

fn dispatch_of(what: &StepKind) -> Option<RequestId> {
    match what {
        StepKind::Dispatched { dispatch, .. } | StepKind::Head { dispatch, .. } => Some(*dispatch),
        _ => None,
    }
}
