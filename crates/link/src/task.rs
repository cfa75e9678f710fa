//! Messages about batch tasks.
//!
//! Reports that end a claim are resent until the entry settles them. Commands may be lost or duplicated, so each
//! carries the epoch that it applies to.

use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::lease::{RenewalRequest, Terms};
use chervilledge_policy::reservation::Refusal;
use chervilledge_policy::task::{Epoch, TaskId};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Identifies a claim of a task.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ClaimId {
    /// Identifier of the task.
    pub task: TaskId,
    /// Epoch of the claim.
    pub epoch: Epoch,
}

/// Command of an entry to an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskCommand {
    /// Announces the entry's lease and its terms; response to [`TaskReport::Joined`].
    Lease {
        /// Identifier of the lease.
        lease: BootId,
        /// Terms of the lease.
        terms: Terms,
    },
    /// The renewal requested by [`TaskReport::Ask`] has taken effect.
    Granted {
        /// Identifier of the lease.
        lease: BootId,
        /// Renewal request that is granted.
        ask: RenewalRequest,
    },
    /// Starts a claimed task.
    Start(Box<TaskStart>),
    /// Moves a claim to the entry's lease; response to [`TaskReport::Handover`].
    Cover {
        /// Claim.
        claim: ClaimId,
        /// Lease that covers the claim from then on.
        lease: BootId,
        /// Number of the handover that this responds to.
        cover: RenewalRequest,
        /// Permitted interventions on the task.
        traits: TaskTraits,
    },
    /// Asks the agent to report the claim as ended unless the worker holds it.
    Confirm {
        /// Claim.
        claim: ClaimId,
        /// Boot ID of the agent that the claim names.
        agent: BootId,
    },
    /// Stops a task; the response is [`TaskReport::Ended`].
    Stop(ClaimId),
    /// The end of a claim has been recorded.
    Settled(ClaimId),
}

/// Start of a batch task.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskStart {
    /// Claim to be started.
    pub claim: ClaimId,
    /// Kind of the task.
    pub kind: Name,
    /// Resources to reserve.
    pub resources: Resources,
    /// Declared run time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub run_ms: Duration,
    /// Progress to resume from.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub progress_ms: Duration,
    /// Permitted interventions on the task.
    pub traits: TaskTraits,
    /// Boot ID of the agent that the claim names.
    pub agent: BootId,
    /// Lease that covers the claim.
    pub lease: BootId,
    /// Latest renewal request that the entry has received; limits how late a delayed start may take effect.
    pub ask: RenewalRequest,
}

/// Checkpoint interval of a task, and the interventions that the agent may make.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TaskTraits {
    /// Time between two checkpoints.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub checkpoint_interval_ms: Duration,
    /// The task may be slowed down to protect request latency.
    pub may_throttle: bool,
    /// The task may be evicted to protect request latency.
    pub may_evict: bool,
}

/// Report of an agent to an entry.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum TaskReport {
    /// The agent has listed the tasks of its worker; first report on a link.
    Joined(WorkerState),
    /// Requests a lease renewal.
    Ask {
        /// Lease to be renewed.
        lease: BootId,
        /// Number of the renewal request.
        ask: RenewalRequest,
    },
    /// Worker state, sent on change.
    State(WorkerState),
    /// The task was started under this claim.
    Started(ClaimId),
    /// A checkpoint was saved.
    Checkpoint {
        /// Claim.
        claim: ClaimId,
        /// Run time saved in the checkpoint.
        progress_ms: u64,
    },
    /// Asks the entry to cover a claim whose current lease is about to expire.
    Handover {
        /// Claim.
        claim: ClaimId,
        /// Number of the handover; increases with each handover that the agent requests.
        cover: RenewalRequest,
    },
    /// The claim has ended on the worker and will never start there again.
    Ended {
        /// Claim.
        claim: ClaimId,
        /// How it ended.
        end: End,
    },
}

/// Worker state used for placement.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerState {
    /// Resources available for reservation.
    pub free: Resources,
    /// Measured resource usage, which lags behind actual usage.
    pub used: Resources,
    /// Ratio of the 99th percentile of request latency to its target, in thousandths.
    pub latency_permille: u32,
}

/// How a claim ended on a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum End {
    /// The task was never started under the claim.
    Refused(Refusal),
    /// The task was and will never be started under the claim: the start command arrived late or not at all.
    NeverStarted,
    /// The task completed.
    Completed,
    /// The task failed.
    Failed(Code),
    /// The task was checkpointed and stopped.
    Evicted {
        /// Reason of the eviction.
        code: Code,
        /// Run time saved in the checkpoint.
        progress_ms: u64,
    },
    /// The worker doesn't hold the task; whether it was started is unknown.
    Gone,
}
