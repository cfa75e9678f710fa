//! What happened to recent requests and why, for `explain`.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::Duration;

use chervilledge_policy::code::Code;
use chervilledge_policy::id::{Name, RequestId};
use chervilledge_policy::request::Outcome;
use serde::Serialize;

use crate::sync::lock;

/// Requests that are kept; about 1 MB.
const TRACES_MAX: usize = 4_096;

/// Steps of one request that are kept.
const STEPS_MAX: usize = 32;

/// Step of a request.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "step")]
pub enum What {
    /// Handed over to a worker's agent.
    Dispatched {
        /// Identifier of the dispatch, which the backend server sees.
        dispatch: RequestId,
        /// Worker that was chosen.
        worker: Name,
    },
    /// No worker could be chosen.
    NotDispatched {
        /// Why.
        code: Code,
    },
    /// The agent refused the dispatch; it will never start.
    NotStarted {
        /// Identifier of the dispatch.
        dispatch: RequestId,
        /// Why.
        code: Code,
    },
    /// The link to the agent was lost.
    LinkLost {
        /// Identifier of the dispatch.
        dispatch: RequestId,
    },
    /// The agent told what became of the dispatch.
    Outcome {
        /// Identifier of the dispatch.
        dispatch: RequestId,
        /// What it told.
        outcome: Outcome,
    },
    /// The head of the answer came.
    Head {
        /// Identifier of the dispatch.
        dispatch: RequestId,
        /// HTTP status.
        status: u16,
    },
    /// The answer broke off.
    Broken {
        /// Identifier of the dispatch.
        dispatch: RequestId,
        /// Why.
        code: Code,
    },
    /// The caller went away.
    CallerGone,
    /// The whole answer was forwarded.
    Answered,
    /// Given up: the request was not run and never will be.
    NotRun {
        /// Why.
        code: Code,
    },
    /// Given up: the request may have been run.
    Unknown {
        /// Why.
        code: Code,
    },
}

/// Step with its time.
#[derive(Clone, Debug, Serialize)]
pub struct Step {
    /// Time since the request came, in microseconds.
    pub after_us: u64,
    /// What happened.
    #[serde(flatten)]
    pub what: What,
    /// Reason in words, where there is one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub reason: Option<&'static str>,
}

/// What happened to one request, in order.
#[derive(Clone, Debug, Serialize)]
pub struct Trace {
    /// Identifier that the caller was told.
    pub request: RequestId,
    /// Service of the request.
    pub service: Name,
    /// Time at which it came, on the entry's clock.
    #[serde(skip)]
    pub came: Duration,
    /// Steps in order, at most as many as are kept.
    pub steps: Vec<Step>,
    /// Steps that weren't kept.
    pub steps_left_out: u32,
}

impl Trace {
    /// Starts the trace of a request.
    #[must_use]
    pub fn new(request: RequestId, service: Name, came: Duration) -> Self {
        Self { request, service, came, steps: Vec::new(), steps_left_out: 0 }
    }

    /// Adds a step.
    pub fn add(&mut self, now: Duration, what: What) {
        if self.steps.len() >= STEPS_MAX {
            self.steps_left_out += 1;
            return;
        }
        let after_us = u64::try_from(now.saturating_sub(self.came).as_micros()).unwrap_or(u64::MAX);
        let reason = code(&what).map(Code::text);
        self.steps.push(Step { after_us, what, reason });
    }

    fn concerns(&self, id: RequestId) -> bool {
        self.request == id || self.steps.iter().any(|step| dispatch(&step.what) == Some(id))
    }
}

/// Recent requests that have ended.
#[derive(Debug, Default)]
pub struct Journal {
    traces: Mutex<VecDeque<Trace>>,
}

impl Journal {
    /// Keeps the trace of a request that has ended, in place of the oldest one.
    pub fn keep(&self, trace: Trace) {
        let mut traces = lock(&self.traces);
        if traces.len() >= TRACES_MAX {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// Finds the trace of a request by its identifier or by that of one of its dispatches.
    #[must_use]
    pub fn find(&self, id: RequestId) -> Option<Trace> {
        lock(&self.traces).iter().rev().find(|trace| trace.concerns(id)).cloned()
    }
}

fn code(what: &What) -> Option<Code> {
    match what {
        What::NotDispatched { code }
        | What::NotStarted { code, .. }
        | What::Broken { code, .. }
        | What::NotRun { code }
        | What::Unknown { code } => Some(*code),
        _ => None,
    }
}

fn dispatch(what: &What) -> Option<RequestId> {
    match what {
        What::Dispatched { dispatch, .. } | What::Head { dispatch, .. } => Some(*dispatch),
        _ => None,
    }
}
