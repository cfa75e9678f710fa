//! Messages between the processes of a cell.

use std::time::Duration;

use chervilledge_cell::admission::Backlog;
use chervilledge_cell::job::{Job, JobId, JobState, TaskId};
use chervilledge_cell::urgency::Urgency;
use chervilledge_cell::worker::{CrashReport, End, Life, Refusal, RunReport, RunTraits, StartOrder, Worker};
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationNanoSeconds, serde_as};

use crate::rows::Effect;

/// Interval of heartbeats on a link.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Silence after which a link is closed: three heartbeat intervals, plus the delay of a slow machine.
pub const LINK_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Time without a link after which the row of an unreachable agent is deleted; its leases have ended by then.
pub const AGENT_ROW_RETENTION: Duration = Duration::from_secs(6);

/// Link secret used where the platform distributes none; its network blocks outside access to these ports.
pub const NO_SECRET: &str = "none";

/// Message from a placer to an agent.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToAgent {
    /// First message on a link.
    Hello {
        /// Term of the placer.
        term: u64,
        /// Version of the placer; versions before 0.4.0 don't tell it.
        #[serde(default)]
        version: Option<Name>,
    },
    /// Reply to [`FromAgent::Ask`].
    Grant {
        /// Reading of the agent's clock from the request.
        #[serde_as(as = "DurationNanoSeconds<u64>")]
        asked: Duration,
        /// Duration from that reading for which the worker's lease may last.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        lease: Duration,
    },
    /// Evacuation state of the failure domain of the agent's worker; the newest revision applies, whichever placer sent
    /// it.
    Evacuation {
        /// The domain.
        domain: Name,
        /// Revision of the request or of its removal.
        revision: u64,
        /// Nothing may start in the domain.
        is_requested: bool,
    },
    /// Order to start a run.
    Start {
        /// Incarnation of the worker that is meant.
        life: Life,
        /// The order.
        order: StartOrder,
    },
    /// Order to stop a run, or to ensure that it never starts.
    Stop {
        /// Incarnation of the worker that is meant.
        life: Life,
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
    },
    /// Lets the worker forget ends.
    Settle {
        /// Incarnation of the worker that is meant.
        life: Life,
        /// All ends up to this number are durable.
        cursor: u64,
    },
    /// Lets the agent forget a crash that it has reported; the crash is durable.
    SettleCrash(Life),
    /// Traits of runs, for an agent that didn't start them.
    Describe(Vec<(TaskId, u64, RunTraits)>),
    /// Urgencies that have changed since the runs were started or described: task, run number, urgency.
    Urgencies(Vec<(TaskId, u64, Urgency)>),
    /// Effects measured by all agents for pairs of images of which one serves on the worker.
    Effects(Vec<Effect>),
}

/// Message from an agent to a placer.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum FromAgent {
    /// Reply to [`ToAgent::Hello`]; sent again when the worker becomes known.
    Inventory {
        /// The worker, once it is known.
        worker: Option<Worker>,
        /// Runs that are running.
        running: Vec<RunReport>,
        /// Runs missing from the poll that may be on the worker, or may still start.
        starting: Vec<(TaskId, u64)>,
        /// Ends that aren't settled.
        ends: Vec<End>,
        /// Without a worker: nothing can be running there any more.
        is_empty: bool,
        /// Reading of the agent's clock, for the grant that the first starts need.
        #[serde_as(as = "DurationNanoSeconds<u64>")]
        asked: Duration,
        /// Version of the agent; versions before 0.2.0 don't tell it.
        #[serde(default)]
        version: Option<Name>,
        /// Crashes of the worker that aren't settled; versions before 0.4.0 report none.
        #[serde(default)]
        crashes: Vec<CrashReport>,
        /// Whether runs that aren't listed may have ended on the worker. The whole inventory follows once the ends that
        /// are listed are settled. Versions before 0.5.0 don't tell.
        #[serde(default)]
        is_partial: bool,
        /// Time for which runs may go on without a grant, under a lease that was meant for a former life of the worker.
        /// Versions before 0.8.0 don't tell.
        #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
        #[serde(default, rename = "foreign_lease_ms")]
        foreign_lease: Option<Duration>,
    },
    /// The agent obeys a newer term.
    Superseded {
        /// That term.
        term: u64,
    },
    /// Requests a grant.
    Ask {
        /// Reading of the agent's clock.
        #[serde_as(as = "DurationNanoSeconds<u64>")]
        asked: Duration,
        /// Time after which the agent stops, if it was asked to. Versions before 0.6.0 don't tell.
        #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
        #[serde(default, rename = "stops_in_ms")]
        stops_in: Option<Duration>,
    },
    /// The worker's state has changed.
    Worker(Worker),
    /// The worker's incarnation has ended; nothing runs there.
    Gone(Life),
    /// The worker's incarnation has ended in a crash; sent before [`Self::Gone`] or the inventory that shows the end.
    /// Only for versions from 0.4.0 on.
    Crashed(CrashReport),
    /// The worker acknowledged a start.
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
        /// Reason.
        refusal: Refusal,
    },
    /// A run that was to be stopped isn't on the worker and never will be.
    Absent {
        /// Task of the run.
        task: TaskId,
        /// Number of the run.
        run: u64,
    },
    /// Runs have ended.
    Ends {
        /// Incarnation of the worker.
        life: Life,
        /// The ends.
        ends: Vec<End>,
    },
    /// Progress of the runs whose progress has changed.
    Running(Vec<RunReport>),
    /// Effects measured by this agent for pairs of images.
    Effects(Vec<Effect>),
    /// Latency headroom that each image serving on the worker leaves for filling runs, as the logarithm of a factor.
    /// Images without a measurement are omitted.
    Rooms(Vec<(Name, f64)>),
}

/// Message from one entry to another.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToEntry {
    /// Heartbeat.
    Beat,
    /// Requests the state of a job from the placer.
    State {
        /// Request number on this link.
        question: u64,
        /// The job.
        job: JobId,
    },
    /// Notifies the placer of a job that was stored.
    Submitted(Box<Job>),
    /// Notifies the placer of a cancellation that was stored.
    Canceled(JobId),
    /// Asks a peer to store a row, since the store refuses this entry.
    Relay {
        /// Request number on this link.
        question: u64,
        /// Job to store; `None` when `cancel` is set.
        job: Option<Box<Job>>,
        /// Job to cancel.
        cancel: Option<JobId>,
    },
    /// Asks a witness to renew the placer's term, since the store doesn't answer. Only for versions from 0.3.0 on.
    RenewTerm {
        /// Request number on this link.
        question: u64,
        /// Term of the placer.
        term: u64,
    },
    /// Asks a witness when it last renewed an earlier term; it renews none from then on. Only for versions from 0.3.0 on.
    EndTerms {
        /// Request number on this link.
        question: u64,
        /// Term of the new placer.
        term: u64,
    },
}

/// Message from an entry to the one that opened the link.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum FromEntry {
    /// Heartbeat, with the term under which the entry places, if it does.
    Beat {
        /// Term; `None` when the entry doesn't place.
        term: Option<u64>,
        /// Whether the entry stops and claims the cell no more. Versions before 0.6.0 don't tell.
        #[serde(default)]
        is_stopping: bool,
    },
    /// Reply to [`ToEntry::State`].
    State {
        /// Request number.
        question: u64,
        /// State; `None` when the placer doesn't know the job.
        state: Option<JobState>,
        /// Whether the entry places; if not, the reply has no meaning.
        is_placer: bool,
        /// The job is stored, even if the placer has no authority to tell its state.
        is_stored: bool,
    },
    /// Waiting work, sent by the placer when it has changed.
    Pending {
        /// Number of accepted jobs per queue of which no task has started.
        counts: Vec<(Name, usize)>,
        /// Backlog ahead of a new job.
        backlog: Backlog,
    },
    /// Reply to [`ToEntry::Relay`].
    Relayed {
        /// Request number.
        question: u64,
        /// Outcome.
        stored: StoreOutcome,
    },
    /// Reply to [`ToEntry::RenewTerm`].
    TermRenewed {
        /// Request number.
        question: u64,
        /// Whether the term is renewed; not if a newer one is known.
        is_renewed: bool,
    },
    /// Reply to [`ToEntry::EndTerms`].
    TermsEnded {
        /// Request number.
        question: u64,
        /// Time since a term may last have been renewed.
        #[serde_as(as = "DurationMilliSeconds<u64>")]
        #[serde(rename = "renewed_ms_ago")]
        renewed_ago: Duration,
    },
}

/// Outcome of storing a row for a caller.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StoreOutcome {
    /// The row is durable.
    Done,
    /// The row wasn't written and never will be.
    Refused,
    /// The row may have been written.
    Unknown,
}
