//! Calls to the worker beside an agent.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use chervilledge_cell::job::TaskId;
use chervilledge_cell::worker::{End, Life, Refusal, RunReport, StartOrder};
use chervilledge_policy::id::Name;

use crate::store::Call;

/// Whom a call is meant for, and under which term.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Where the worker takes calls.
    pub address: SocketAddr,
    /// Name of the worker.
    pub worker: Name,
    /// Term of the placer; the worker refuses a lower one than it has seen.
    pub term: u64,
}

/// Result of an order to start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run is there.
    Running {
        /// The worker's clock, in milliseconds, if it says.
        clock_ms: Option<u64>,
    },
    /// The run was refused and isn't there.
    Refused(Refusal),
    /// The worker has seen this run end or be stopped, or a later one.
    Outdated,
    /// No answer; the order may still be carried out.
    Unknown,
    /// The worker that was meant isn't there any more.
    OtherLife,
}

/// Result of an order to stop or to set the pace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// It was taken.
    Taken,
    /// The worker has seen a newer term.
    Fenced,
    /// No answer, or one that says nothing.
    Unknown,
}

/// What a worker says of its runs.
#[derive(Clone, Debug, PartialEq)]
pub struct PollResponse {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Life of the worker, as far as it says.
    pub born_unix_ms: Option<u64>,
    /// What runs.
    pub running: Vec<RunReport>,
    /// Ends that it was not told to forget.
    pub ends: Vec<End>,
}

/// Why there was no look.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollError {
    /// The worker has seen a newer term.
    Fenced,
    /// Nothing listens at the address.
    NotThere,
    /// Another worker answers at the address.
    OtherLife,
    /// No answer that can be used.
    Unknown,
}

/// What a look asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollRequest {
    /// Ends up to this number may be forgotten.
    pub cursor: u64,
    /// New end of the lease on the worker's clock; `None` leaves it.
    pub lease_end_ms: Option<u64>,
    /// Time that the answer may wait for an end.
    pub wait: Duration,
}

/// Calls to a worker, each in one attempt with a timeout of its own.
pub struct Calls {
    /// Starts a run under a lease that ends at the given time of the worker's clock.
    pub start: Call<(Target, StartOrder, u64), StartOutcome>,
    /// Stops a run.
    pub stop: Call<(Target, TaskId, u64), OrderOutcome>,
    /// Sets the pace of a run, in percent.
    pub pace: Call<(Target, TaskId, u64, u32), OrderOutcome>,
    /// Renews the lease and looks at what runs.
    pub poll: Call<(Target, PollRequest), Result<PollResponse, PollError>>,
}

impl fmt::Debug for Calls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Calls").finish_non_exhaustive()
    }
}

/// What a worker reports of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The worker.
    pub worker: chervilledge_cell::worker::Worker,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Grows with each report of a life.
    pub sequence: u64,
    /// The worker's clock, in milliseconds, if it says.
    pub clock_ms: Option<u64>,
}

impl Report {
    /// Life of the worker.
    #[must_use]
    pub const fn life(&self) -> &Life {
        &self.worker.life
    }
}
