//! Messages between the processes of a cell.

use std::time::Duration;

use chervilledge_cell::admission::Backlog;
use chervilledge_cell::job::{Job, JobId, JobState, TaskId};
use chervilledge_cell::urgency::Urgency;
use chervilledge_cell::worker::{End, Life, Refusal, RunReport, RunTraits, StartOrder, Worker};
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationNanoSeconds, serde_as};

use crate::rows::Effect;

/// Interval of signs of life on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a link is given up: three intervals and the time of a slow machine.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1_900);

/// What is presented where the platform distributes no secrets; its network keeps strangers off these ports.
pub const NO_SECRET: &str = "none";

/// Message from a placer to an agent.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToAgent {
    /// First message of a link.
    Hello {
        /// Term of the placer.
        term: u64,
    },
    /// Answer to [`FromAgent::Ask`].
    Grant {
        /// Reading of the agent's clock that came with the question.
        #[serde_as(as = "DurationNanoSeconds<u64>")]
        asked: Duration,
        /// Time from that reading for which the worker's lease may last.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        lease: Duration,
    },
    /// Whether the failure domain of the agent's worker is evacuated; a newer revision holds whoever tells of it.
    Evacuation {
        /// The domain.
        domain: Name,
        /// Revision of the request or of its removal.
        revision: u64,
        /// Nothing may start in the domain.
        is_requested: bool,
    },
    /// Start a run.
    Start {
        /// Life of the worker that is meant.
        life: Life,
        /// The order.
        order: StartOrder,
    },
    /// Stop a run, or make sure that it never starts.
    Stop {
        /// Life of the worker that is meant.
        life: Life,
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
    },
    /// Let the worker forget ends.
    Settle {
        /// Life of the worker that is meant.
        life: Life,
        /// Every end up to this number is durable.
        cursor: u64,
    },
    /// What runs are, for an agent that didn't start them.
    Describe(Vec<(TaskId, u64, RunTraits)>),
    /// Urgencies that have changed since the runs were started or described: task, number of the run, urgency.
    Urgencies(Vec<(TaskId, u64, Urgency)>),
    /// What all agents have learnt of pairs of images of which one serves on the worker.
    Effects(Vec<Effect>),
}

/// Message from an agent to a placer.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum FromAgent {
    /// Answer to [`ToAgent::Hello`], and again when the worker becomes known.
    Inventory {
        /// The worker, once it is known.
        worker: Option<Worker>,
        /// What runs.
        running: Vec<RunReport>,
        /// Runs that the look doesn't show and that may be there, or may still come.
        starting: Vec<(TaskId, u64)>,
        /// Ends that weren't settled.
        ends: Vec<End>,
        /// Without a worker: nothing runs there any more, for certain.
        is_empty: bool,
        /// Reading of the agent's clock, for the grant that the first starts need.
        #[serde_as(as = "DurationNanoSeconds<u64>")]
        asked: Duration,
    },
    /// The agent obeys a newer term.
    Superseded {
        /// That term.
        term: u64,
    },
    /// Asks for a grant.
    Ask {
        /// Reading of the agent's clock.
        #[serde_as(as = "DurationNanoSeconds<u64>")]
        asked: Duration,
    },
    /// The worker's state has changed.
    Worker(Worker),
    /// The worker's life is over; nothing runs there.
    Gone(Life),
    /// The worker took a run.
    Started {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
    },
    /// A run wasn't started and never will be.
    Refused {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
        /// Why.
        refusal: Refusal,
    },
    /// A run that was to be stopped isn't there and never will be.
    Absent {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
    },
    /// Runs have ended.
    Ends {
        /// Life of the worker.
        life: Life,
        /// The ends.
        ends: Vec<End>,
    },
    /// How far runs are; only those that changed.
    Running(Vec<RunReport>),
    /// What this agent has learnt of pairs of images.
    Effects(Vec<Effect>),
    /// What the tails of each image that serves on the worker leave for filling runs: the logarithm of a factor. Images
    /// without a figure are missing.
    Rooms(Vec<(Name, f64)>),
}

/// Message from one entry to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToEntry {
    /// Sign of life.
    Beat,
    /// Asks the placer for the state of a job.
    State {
        /// Number of the question on this link.
        question: u64,
        /// The job.
        job: JobId,
    },
    /// Tells the placer of a job that was stored.
    Submitted(Box<Job>),
    /// Tells the placer of a cancellation that was stored.
    Canceled(JobId),
    /// Asks a peer to store a job, since the store turns this entry away.
    Relay {
        /// Number of the question on this link.
        question: u64,
        /// The job; `None` when `cancel` is meant.
        job: Option<Box<Job>>,
        /// Job to cancel.
        cancel: Option<JobId>,
    },
}

/// Answer of an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum FromEntry {
    /// Sign of life, with the term under which the entry places, if it does.
    Beat {
        /// Term; `None` when the entry doesn't place.
        term: Option<u64>,
    },
    /// Answer to [`ToEntry::State`].
    State {
        /// Number of the question.
        question: u64,
        /// State; `None` when the placer doesn't know the job.
        state: Option<JobState>,
        /// The entry places; without it the answer means nothing.
        is_placer: bool,
        /// The job is stored, also where the placer may not tell its state.
        is_stored: bool,
    },
    /// What waits, told by the placer when it has changed.
    Pending {
        /// Accepted jobs of each queue of which no task has started.
        counts: Vec<(Name, usize)>,
        /// The work that a new job would find.
        backlog: Backlog,
    },
    /// Answer to [`ToEntry::Relay`].
    Relayed {
        /// Number of the question.
        question: u64,
        /// What became of it.
        stored: Stored,
    },
}

/// What became of a row that a caller's request asks for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Stored {
    /// It is durable.
    Done,
    /// It was not written and never will be.
    Refused,
    /// It may be written.
    Unknown,
}
