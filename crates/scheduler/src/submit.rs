//! Stores jobs and cancellations for callers, many in one transaction.
//!
//! Each row is written on a condition that makes repetition harmless, so an unanswered attempt is repeated at once. A
//! request is reported as refused only if none of its attempts is unanswered; if the outcome is unknown, that is
//! reported while the caller still has time to retry. While the store doesn't respond, requests are refused without
//! being sent, except for an occasional one; while it breaks connections, all are refused.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::job::{Job, JobId};
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use crate::message::StoreOutcome;
use crate::metrics;
use crate::outage::{self, StoreHealth};
use crate::repeat;
use crate::rows;
use crate::store::{Change, Condition, Handle, Outcome, Partition, Table, Transaction, job_partition};

/// Maximum number of rows in one transaction; below the store's limit on conditions and changes together.
const TRANSACTION_ROWS_MAX: usize = 45;
/// Size of the rows from which a transaction takes no further one, in bytes; with one more of the largest rows it stays
/// within the store's 1 MB in Base64.
const TRANSACTION_BYTES_MAX: usize = 512 << 10;
/// Maximum number of requests waiting for the next transaction; further ones are refused at once.
const QUEUE_CAPACITY: usize = 1_024;

/// Row to store.
#[derive(Clone, Debug)]
enum Write {
    /// Job and its encoded row.
    Job(JobId, Vec<u8>),
    Cancel(JobId),
}

impl Write {
    const fn row_bytes(&self) -> usize {
        match self {
            Self::Job(_, row) => row.len(),
            Self::Cancel(_) => 0,
        }
    }
}

#[derive(Debug)]
struct Request {
    write: Write,
    /// After this time nobody waits for the answer.
    deadline: Duration,
    answer: oneshot::Sender<StoreOutcome>,
}

/// Handle to the running writers, one per partition.
#[derive(Clone, Debug)]
pub struct Submitter {
    writers: Arc<Map<Partition, mpsc::Sender<Request>>>,
    health: StoreHealth,
    _prober: Arc<Prober>,
}

/// Stops the probes when dropped.
#[derive(Debug)]
struct Prober(JoinHandle<()>);

impl Drop for Prober {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Starts the writers of the only entry of a cell.
#[must_use]
pub fn spawn(store: &Handle, clock: &Clock) -> Submitter {
    spawn_with(store, clock, outage::open(clock, &metrics::open(), Arc::new(|| 1)))
}

/// Starts the writers, which share the store's health with the other parts of the entry.
#[must_use]
pub fn spawn_with(store: &Handle, clock: &Clock, health: StoreHealth) -> Submitter {
    let writer = |partition| {
        let (requests, queue) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(run_writer(Arc::clone(store), clock.clone(), health.clone(), queue));
        (partition, requests)
    };
    let writers = Arc::new(Table::Jobs.partitions().map(writer).collect());
    let (probed_store, prober_health) = (Arc::clone(store), health.clone());
    let task = tokio::spawn(async move { prober_health.run_probes(&probed_store).await });
    Submitter { writers, health, _prober: Arc::new(Prober(task)) }
}

impl Submitter {
    /// Health of the store.
    #[must_use]
    pub const fn health(&self) -> &StoreHealth {
        &self.health
    }

    /// Stores a job unless it is already stored. One that doesn't fit into a row is refused, since the store would refuse
    /// it together with the others of its transaction.
    pub async fn store_job(&self, job: Job, deadline: Duration) -> StoreOutcome {
        match rows::encode_job(&job) {
            Ok(row) => self.enqueue(job.id, Write::Job(job.id, row), deadline).await,
            Err(fault) => {
                log::warn!(event = "job_not_stored", job:% = job.id, error:% = fault; "");
                StoreOutcome::Refused
            }
        }
    }

    /// Stores the cancellation of a job.
    pub async fn store_cancel(&self, id: JobId, deadline: Duration) -> StoreOutcome {
        self.enqueue(id, Write::Cancel(id), deadline).await
    }

    async fn enqueue(&self, id: JobId, write: Write, deadline: Duration) -> StoreOutcome {
        let Some(requests) = self.writers.get(&job_partition(id)) else { return StoreOutcome::Refused };
        if !self.health.admits() {
            return StoreOutcome::Refused;
        }
        let (answer, stored) = oneshot::channel();
        let request = Request { write, deadline, answer };
        if requests.try_send(request).is_err() {
            return StoreOutcome::Refused;
        }
        stored.await.unwrap_or(StoreOutcome::Unknown)
    }
}

async fn run_writer(store: Handle, clock: Clock, health: StoreHealth, mut queue: mpsc::Receiver<Request>) {
    let mut pending: Vec<Request> = Vec::new();
    loop {
        if pending.is_empty() {
            match queue.recv().await {
                Some(request) => pending.push(request),
                None => return,
            }
        }
        let mut bytes: usize = pending.iter().map(|request| request.write.row_bytes()).sum();
        while pending.len() < TRANSACTION_ROWS_MAX && bytes < TRANSACTION_BYTES_MAX {
            let Ok(request) = queue.try_recv() else { break };
            bytes += request.write.row_bytes();
            pending.push(request);
        }
        pending = write_batch(&store, &clock, &health, pending).await;
    }
}

/// Makes one attempt; returns the requests that aren't answered yet.
async fn write_batch(store: &Handle, clock: &Clock, health: &StoreHealth, mut pending: Vec<Request>) -> Vec<Request> {
    refuse_expired(&mut pending, clock.now());
    if pending.is_empty() {
        return pending;
    }
    if health.is_broken() {
        // Nothing was sent for these requests, or a conflict has shown that nothing was written.
        answer_all(pending, StoreOutcome::Refused);
        return Vec::new();
    }
    let began = clock.now();
    let outcome = repeat::commit(store, transaction(&pending)).await;
    health.record_write(&outcome, began);
    match outcome {
        Outcome::Done(_) => {
            answer_all(pending, StoreOutcome::Done);
            Vec::new()
        }
        Outcome::Conflict(rows) => {
            let is_stored = |request: &Request| match &request.write {
                Write::Job(id, _) => {
                    let key = rows::job_key(*id);
                    rows.iter().any(|(table, row)| &**table == Table::Jobs.name() && row.key == key && row.revision > 0)
                }
                Write::Cancel(_) => false,
            };
            let (stored, rest): (Vec<_>, Vec<_>) = pending.into_iter().partition(is_stored);
            answer_all(stored, StoreOutcome::Done);
            rest
        }
        Outcome::Refused | Outcome::NotThere => {
            answer_all(pending, StoreOutcome::Refused);
            Vec::new()
        }
        Outcome::Unknown | Outcome::Broken => {
            answer_all(pending, StoreOutcome::Unknown);
            Vec::new()
        }
    }
}

/// Refuses requests that nobody waits for any more; nothing was sent for them.
fn refuse_expired(pending: &mut Vec<Request>, now: Duration) {
    let mut position = 0;
    while position < pending.len() {
        if pending[position].deadline <= now || pending[position].answer.is_closed() {
            let _caller_gone = pending.swap_remove(position).answer.send(StoreOutcome::Refused);
        } else {
            position += 1;
        }
    }
}

fn transaction(pending: &[Request]) -> Transaction {
    let mut transaction = Transaction::default();
    for request in pending {
        match &request.write {
            Write::Job(id, row) => {
                let key = rows::job_key(*id);
                if transaction.changes.iter().any(|change| change.key == key) {
                    continue;
                }
                transaction.conditions.push(Condition { table: Table::Jobs, key: Arc::clone(&key), revision: 0 });
                transaction.changes.push(Change { table: Table::Jobs, key, value: Some(row.clone()) });
            }
            Write::Cancel(id) => {
                let key = rows::cancel_key(*id);
                if !transaction.changes.iter().any(|change| change.key == key) {
                    transaction.changes.push(Change { table: Table::Jobs, key, value: Some(Vec::new()) });
                }
            }
        }
    }
    transaction
}

fn answer_all(requests: Vec<Request>, stored: StoreOutcome) {
    for request in requests {
        // The caller may have gone away.
        let _caller_gone = request.answer.send(stored);
    }
}
