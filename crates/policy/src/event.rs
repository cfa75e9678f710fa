//! Inputs, outputs and ends of the state machine of a request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::code::Code;
use crate::id::RequestId;
use crate::routing::Choice;

/// Bounds of one request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Spec {
    /// Running it twice does no harm.
    pub idempotent: bool,
    /// Time at which the caller is answered, whatever the state.
    pub deadline: Duration,
    /// Longest time for which the outcome of a dispatch is asked after its link was lost.
    pub outcome_timeout: Duration,
}

/// Mark of a frame that belongs to the answer of a dispatch.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Origin {
    /// Dispatch that is answered.
    pub id: RequestId,
    /// Number of questions about the outcome that the agent had seen when it began the answer.
    pub epoch: u32,
}

/// What an agent tells of a dispatch that it is asked about.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Outcome {
    /// It never started and never will.
    NeverStarted,
    /// It is queued or running, and its answer will follow on the link of the question.
    Running,
    /// It has run, or runs, and its answer can't be given whole any more.
    AnswerLost,
    /// The record of it was dropped.
    Forgotten,
    /// It was meant for another start of the agent.
    UnknownBoot,
}

/// Input to the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// The answer to [`Action::Dispatch`]: the request is about to be handed to `choice` as `id`.
    ///
    /// It isn't to be handed over if the actions cancel `id`. If the link then can't take the request and no byte of
    /// it was handed over, [`Event::NotStarted`] with [`Code::LinkSilent`] follows.
    Dispatched {
        /// New identifier of this dispatch.
        id: RequestId,
        /// Where it goes.
        choice: Choice,
    },
    /// The answer to [`Action::Dispatch`] when no backend server could be chosen.
    NotDispatched {
        /// Why.
        code: Code,
        /// Expected wait until one can be chosen.
        retry_after: Duration,
    },
    /// The agent refused the dispatch and will never start it.
    NotStarted {
        /// Refused dispatch.
        id: RequestId,
        /// Why.
        code: Code,
        /// Expected wait.
        retry_after: Duration,
    },
    /// Status and headers of the answer.
    Head {
        /// Answered dispatch.
        origin: Origin,
        /// Length of the body that follows, if the headers declare it; zero for an answer that has no body, whatever
        /// its headers say.
        length_bytes: Option<u64>,
    },
    /// Part of the answer's body.
    Chunk {
        /// Answered dispatch.
        origin: Origin,
        /// Place of the part in the body.
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
    /// The backend server's answer broke off.
    Broken {
        /// Answered dispatch.
        origin: Origin,
    },
    /// The link that carried the dispatch is gone.
    LinkLost {
        /// Dispatch on the link.
        id: RequestId,
    },
    /// The answer to [`Action::QueryOutcome`].
    Outcome {
        /// Dispatch and epoch that were asked about.
        origin: Origin,
        /// What the agent told.
        outcome: Outcome,
    },
    /// Time passed; to be given at [`Request::wake_at`](crate::request::Request::wake_at) or later.
    Tick,
    /// The caller went away.
    CallerCancelled,
}

/// Output of the state machine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Choose a backend server that isn't in [`Request::excluded`](crate::request::Request::excluded), then give [`Event::Dispatched`] *before* the
    /// first byte is handed over, or [`Event::NotDispatched`].
    Dispatch,
    /// Ask the agent about the dispatch, on a link other than the lost one.
    QueryOutcome {
        /// Dispatch and epoch of the question.
        origin: Origin,
        /// Whom to ask.
        choice: Choice,
    },
    /// Tell the agent that the answer is no longer wanted.
    Cancel {
        /// Dispatch to cancel.
        id: RequestId,
        /// Whom to tell.
        choice: Choice,
    },
    /// Send status and headers to the caller.
    ForwardHead,
    /// Send the part that the event carried to the caller.
    ForwardChunk,
    /// Tell the caller the end; the request takes no further events.
    Finish(End),
    /// The event was late or a duplicate; drop its content and count it.
    Drop,
}

/// The three ends of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The whole answer was forwarded.
    Answered,
    /// The request was not run and will not run.
    NotRun {
        /// Why.
        code: Code,
        /// When the caller may try again.
        retry_after: Duration,
    },
    /// The request may have run.
    Unknown {
        /// Why.
        code: Code,
        /// Part of an answer was forwarded: the caller's connection is to be aborted, so that it sees the break.
        answer_begun: bool,
        /// When the caller may try again.
        retry_after: Duration,
    },
}
