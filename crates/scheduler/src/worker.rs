//! Interface to the worker beside an agent.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use chervilledge_cell::job::TaskId;
use chervilledge_cell::worker::{End, Life, Refusal, RunReport, StartOrder};
use chervilledge_policy::id::Name;

use crate::store::Call;

/// Recipient of a call, and the term under which it is made.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Where the worker accepts calls.
    pub address: SocketAddr,
    /// Name of the worker.
    pub worker: Name,
    /// Term of the placer; the worker refuses terms lower than the highest it has seen.
    pub term: u64,
}

/// Outcome of an order to start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartOutcome {
    /// The run is on the worker.
    Running {
        /// The worker's clock in milliseconds, if included in the response.
        clock_ms: Option<u64>,
    },
    /// The run was refused and isn't on the worker.
    Refused(Refusal),
    /// The worker has already seen this run end or be stopped, or a later run of the task.
    Outdated,
    /// No response; the order may still be executed.
    Unknown,
    /// The worker that was meant is no longer there.
    OtherLife,
}

/// Outcome of an order to stop or to set the pace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The worker acknowledged the order.
    Taken,
    /// The worker has seen a newer term.
    Fenced,
    /// No response, or an inconclusive one.
    Unknown,
}

/// Runs and ends reported by a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct PollResponse {
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Start time that identifies the worker's incarnation, if included in the response.
    pub born_unix_ms: Option<u64>,
    /// Runs that are running.
    pub running: Vec<RunReport>,
    /// Ends that the worker hasn't been told to forget, the earliest ones.
    pub ends: Vec<End>,
    /// Whether there may be further ends. A run that is neither running nor listed may then have ended.
    pub has_more_ends: bool,
}

/// Why a poll failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollError {
    /// The worker has seen a newer term.
    Fenced,
    /// Nothing listens at the address.
    NotThere,
    /// Another worker answers at the address.
    OtherLife,
    /// No usable response.
    Unknown,
}

/// Parameters of a poll.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PollRequest {
    /// The worker may forget ends up to this number.
    pub cursor: u64,
    /// New end of the lease on the worker's clock; `None` leaves it unchanged.
    pub lease_end_ms: Option<u64>,
    /// How long the worker may hold the response back to wait for an end.
    pub wait: Duration,
}

/// Calls to a worker, each made in one attempt with a timeout of its own.
pub struct Calls {
    /// Starts a run under a lease that ends at the given time of the worker's clock.
    pub start: Call<(Target, StartOrder, u64), StartOutcome>,
    /// Stops a run.
    pub stop: Call<(Target, TaskId, u64), OrderOutcome>,
    /// Sets the pace of a run, in percent.
    pub pace: Call<(Target, TaskId, u64, u32), OrderOutcome>,
    /// Renews the lease and returns the worker's runs and ends.
    pub poll: Call<(Target, PollRequest), Result<PollResponse, PollError>>,
}

impl fmt::Debug for Calls {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Calls").finish_non_exhaustive()
    }
}

/// Report of a worker about itself.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// The worker.
    pub worker: chervilledge_cell::worker::Worker,
    /// Where the worker accepts calls.
    pub address: SocketAddr,
    /// Increases with each report of an incarnation.
    pub sequence: u64,
    /// The worker's clock in milliseconds, if included in the report.
    pub clock_ms: Option<u64>,
}

impl Report {
    /// Incarnation of the worker.
    #[must_use]
    pub const fn life(&self) -> &Life {
        &self.worker.life
    }
}
