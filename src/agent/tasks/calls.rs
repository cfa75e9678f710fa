//! Calls to the worker's task runtime, one after the other, so that their results come in the order of the calls.

use std::time::Duration;

use chervilledge_link::task::ClaimId;
use chervilledge_policy::clock::Clock;
use chervilledge_worker::runtime::{Error, Lease, Refusal, Runtime, Start, Status};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use crate::clock;

/// One call.
#[derive(Clone, Debug)]
pub enum Call {
    /// Lists what the worker holds.
    List,
    /// Starts a task; `start.lease` is replaced by what is left until `until`.
    Start {
        /// Claim to be started.
        claim: ClaimId,
        /// Start as the worker takes it.
        start: Box<Start>,
        /// End of the lease on the agent's clock.
        until: Duration,
    },
    /// Commands one task.
    Order {
        /// Claim that is meant.
        claim: ClaimId,
        /// The command.
        order: Order,
    },
}

/// Command for one task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Order {
    /// Sets the end of the lease, on the agent's clock.
    Renew(Duration),
    /// Lets the task go on from memory.
    Resume,
    /// Keeps the task in memory without executing it.
    Suspend,
    /// Keeps the task's progress.
    Checkpoint,
    /// Sets the share of full speed, in percent.
    Throttle(u8),
    /// Ends the task on this worker.
    Stop,
    /// Forgets a task that has completed.
    Forget,
}

/// Result of a call.
#[derive(Clone, Debug)]
pub enum Called {
    /// Result of [`Call::List`].
    Listed(Result<Vec<Status>, Error>),
    /// Result of [`Call::Start`].
    Started(ClaimId, Result<(), Error>),
    /// Result of [`Call::Order`].
    Ordered(ClaimId, Order, Result<Status, Error>),
}

/// Queue of calls; the calls end when it is dropped.
#[derive(Debug)]
pub struct Calls {
    queue: mpsc::UnboundedSender<Call>,
    task: AbortHandle,
}

/// Starts to make calls; `called` takes their results in order.
pub fn spawn(runtime: Runtime, clock: Clock, called: impl Fn(Called) + Send + 'static) -> Calls {
    let (queue, mut calls) = mpsc::unbounded_channel();
    let task = tokio::spawn(async move {
        while let Some(call) = calls.recv().await {
            let result = make(&runtime, &clock, call).await;
            called(result);
        }
    });
    Calls { queue, task: task.abort_handle() }
}

impl Calls {
    /// Adds a call.
    pub fn push(&self, call: Call) {
        // The task that makes the calls ends with this handle only.
        drop(self.queue.send(call));
    }

    /// Adds a command for one task.
    pub fn order(&self, claim: &ClaimId, order: Order) {
        self.push(Call::Order { claim: claim.clone(), order });
    }
}

impl Drop for Calls {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn make(runtime: &Runtime, clock: &Clock, call: Call) -> Called {
    match call {
        Call::List => Called::Listed(runtime.list().await),
        Call::Start { claim, mut start, until } => {
            let result = match lease_left(clock, until) {
                Some(lease) => {
                    start.lease = lease;
                    runtime.start(&start).await
                }
                None => Err(Error::Refused(Refusal::LeaseEnded)),
            };
            Called::Started(claim, result)
        }
        Call::Order { claim, order } => {
            let result = command(runtime, clock, &claim, order).await;
            Called::Ordered(claim, order, result)
        }
    }
}

async fn command(runtime: &Runtime, clock: &Clock, claim: &ClaimId, order: Order) -> Result<Status, Error> {
    let (task, epoch) = (claim.task.to_string(), claim.epoch.0);
    match order {
        Order::Renew(until) => match lease_left(clock, until) {
            Some(lease) => runtime.renew(&task, epoch, lease).await,
            None => Err(Error::Refused(Refusal::LeaseEnded)),
        },
        Order::Resume => runtime.resume(&task, epoch).await,
        Order::Suspend => runtime.suspend(&task, epoch).await,
        Order::Checkpoint => runtime.checkpoint(&task, epoch).await,
        Order::Throttle(share_percent) => runtime.throttle(&task, epoch, share_percent).await,
        Order::Stop | Order::Forget => runtime.stop(&task, epoch).await,
    }
}

/// Form in which the worker enforces a lease that ends at `until`, unless it has ended.
fn lease_left(clock: &Clock, until: Duration) -> Option<Lease> {
    // Read first, so that a pause between the two readings shortens the lease.
    let monotonic = clock::monotonic_now();
    let left = until.checked_sub(clock.now()).filter(|left| !left.is_zero())?;
    Some(Lease { lease_end_ms_from_now: left, lease_end_monotonic_ms: monotonic + left })
}
