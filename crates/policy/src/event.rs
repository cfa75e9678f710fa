//! Inputs, outputs and end states of the state machine of a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::id::RequestId;
use crate::routing::Choice;

/// Parameters of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Whether the request may safely run more than once.
    pub idempotent: bool,
    /// Time at which the caller gets an answer in any case.
    pub deadline: Duration,
    /// Maximum time for which the outcome of a dispatch is queried after its link was lost.
    pub outcome_timeout: Duration,
}

/// Tag on the frames of an answer that identifies the dispatch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Origin {
    /// Answered dispatch.
    pub id: RequestId,
    /// Number of queries for the outcome that the agent had received when it began the answer.
    pub epoch: u32,
}

/// Response of an agent to a query for the outcome of a dispatch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// The dispatch never started and never will.
    NeverStarted,
    /// The dispatch is queued or running; its answer follows on the link of the query.
    Running,
    /// The dispatch ran or is running, but its answer can no longer be delivered completely.
    AnswerLost,
    /// The record of the dispatch was dropped.
    Forgotten,
    /// The dispatch was meant for another boot of the agent.
    UnknownBoot,
}

/// Input to the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// Response to [`Action::Dispatch`]: the request is about to be sent to `choice` as `id`.
    ///
    /// It must not be sent if the resulting actions cancel `id`. If the link can't take the request and no byte of it
    /// was sent, [`Event::NotStarted`] with [`Code::LinkSilent`] follows.
    Dispatched {
        /// New identifier of this dispatch.
        id: RequestId,
        /// Chosen backend server.
        choice: Choice,
    },
    /// Response to [`Action::Dispatch`] if no backend server could be chosen.
    NotDispatched {
        /// Reason.
        code: Code,
        /// Expected wait until one can be chosen.
        retry_after: Duration,
    },
    /// The agent refused the dispatch and will never start it.
    NotStarted {
        /// Refused dispatch.
        id: RequestId,
        /// Reason.
        code: Code,
        /// Expected wait.
        retry_after: Duration,
    },
    /// Status and headers of the answer.
    Head {
        /// Answered dispatch.
        origin: Origin,
        /// Length of the body if declared by the headers; zero for an answer without a body, regardless of its headers.
        length_bytes: Option<u64>,
    },
    /// Part of the answer's body.
    Chunk {
        /// Answered dispatch.
        origin: Origin,
        /// Offset of the part in the body.
        offset_bytes: u64,
        /// Length of the part.
        length_bytes: u64,
    },
    /// End marker of the answer.
    End {
        /// Answered dispatch.
        origin: Origin,
        /// Length of the whole body.
        total_bytes: u64,
    },
    /// The backend server's answer was cut off.
    Broken {
        /// Answered dispatch.
        origin: Origin,
    },
    /// The link that carried the dispatch was lost.
    LinkLost {
        /// Dispatch on the link.
        id: RequestId,
    },
    /// Response to [`Action::QueryOutcome`].
    Outcome {
        /// Dispatch and epoch of the query.
        origin: Origin,
        /// Outcome reported by the agent.
        outcome: Outcome,
    },
    /// Time has passed; to be sent at or after [`Request::wake_at`](crate::request::Request::wake_at).
    Tick,
    /// The caller disconnected or cancelled the request.
    CallerCancelled,
}

/// Output of the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Choose a backend server that isn't in [`Request::excluded`](crate::request::Request::excluded), then send
    /// [`Event::Dispatched`] *before* sending the first byte of the request, or [`Event::NotDispatched`].
    Dispatch,
    /// Query the agent for the outcome of the dispatch, on a link other than the lost one.
    QueryOutcome {
        /// Dispatch and epoch of the query.
        origin: Origin,
        /// Backend server whose agent to query.
        choice: Choice,
    },
    /// Tell the agent that the answer is no longer needed.
    Cancel {
        /// Dispatch to cancel.
        id: RequestId,
        /// Backend server whose agent to notify.
        choice: Choice,
    },
    /// Send the status and headers to the caller.
    ForwardHead,
    /// Send the body part carried by the event to the caller.
    ForwardChunk,
    /// Report the end to the caller; the request ignores further events.
    Finish(End),
    /// Drop the content of the event, which was late or a duplicate, and count it.
    Drop,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole answer was forwarded.
    Answered,
    /// The request was not run and will not run.
    NotRun {
        /// Reason.
        code: Code,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Reason.
        code: Code,
        /// Part of an answer was forwarded; the caller's connection must be aborted to signal the truncation.
        answer_begun: bool,
        /// Delay after which the caller may retry.
        retry_after: Duration,
    },
}
