//! Messages about batch tasks.
//!
//! Reports that end a claim are repeated until the entry has settled them. Commands may be lost and may come twice;
//! each names the epoch that it is meant for.

use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::lease::{RenewalRequest, Terms};
use chervilledge_policy::reservation::Refusal;
use chervilledge_policy::task::{Epoch, TaskId};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// One claim of a task.
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
    /// Names the lease that the entry holds, and its terms; answer to [`TaskReport::Joined`].
    Lease {
        /// Identifier of the lease.
        lease: BootId,
        /// Terms of the lease.
        terms: Terms,
    },
    /// The renewal that answers an ask has taken effect.
    Granted {
        /// Identifier of the lease.
        lease: BootId,
        /// Ask that is answered.
        ask: RenewalRequest,
    },
    /// Starts a claimed task.
    Start(Box<TaskStart>),
    /// Puts a claim under the entry's lease; answer to [`TaskReport::Handover`].
    Cover {
        /// Claim.
        claim: ClaimId,
        /// Lease that covers the claim from now on.
        lease: BootId,
        /// Handover that is answered.
        cover: RenewalRequest,
        /// What the agent may do to the task.
        traits: TaskTraits,
    },
    /// Asks for the end of a claim unless the worker holds it.
    Confirm {
        /// Claim.
        claim: ClaimId,
        /// Start of the agent that the claim names.
        agent: BootId,
    },
    /// Stops a task; answered by [`TaskReport::Ended`].
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
    /// What the agent may do to the task.
    pub traits: TaskTraits,
    /// Start of the agent that the claim names.
    pub agent: BootId,
    /// Lease that covers the claim.
    pub lease: BootId,
    /// Newest ask that the entry has received; bounds a start that is delayed.
    pub ask: RenewalRequest,
}

/// What an agent may do to a task.
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
    /// The agent has taken stock of its worker; first report on a link.
    Joined(WorkerState),
    /// Asks for a renewal.
    Ask {
        /// Lease to be renewed.
        lease: BootId,
        /// Number of the ask.
        ask: RenewalRequest,
    },
    /// State of the worker, after a change.
    State(WorkerState),
    /// The task was started under this claim.
    Started(ClaimId),
    /// Progress was kept.
    Checkpoint {
        /// Claim.
        claim: ClaimId,
        /// Progress kept, as run time.
        progress_ms: u64,
    },
    /// Asks the entry to cover a claim whose own lease is ending.
    Handover {
        /// Claim.
        claim: ClaimId,
        /// Number of the handover; rises with each that the agent asks for.
        cover: RenewalRequest,
    },
    /// The claim has ended on the worker, and never starts there again.
    Ended {
        /// Claim.
        claim: ClaimId,
        /// How it ended.
        end: End,
    },
}

/// State of a worker that placement depends on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerState {
    /// Resources that can still be reserved.
    pub free: Resources,
    /// Resources used, with the lag of the measurement.
    pub used: Resources,
    /// 99th percentile of request latency over its target, in thousandths.
    pub latency_permille: u32,
}

/// How a claim ended on a worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum End {
    /// The task was never started under the claim.
    Refused(Refusal),
    /// The task was never started under the claim, and never will be: the start was late or didn't come.
    NeverStarted,
    /// The task completed.
    Completed,
    /// The task failed.
    Failed(Code),
    /// The task was checkpointed and stopped.
    Evicted {
        /// Reason of the eviction.
        code: Code,
        /// Progress kept, as run time.
        progress_ms: u64,
    },
    /// Nothing of the task is on the worker; whether it was started isn't known.
    Gone,
}
