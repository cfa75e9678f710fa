//! Stores jobs and cancellations for callers, many in one transaction.
//!
//! Every row is written on a condition that makes a repetition harmless, so an attempt without an answer is made again
//! at once. A request is told that nothing was written only if no attempt for it is left without an answer; one whose
//! outcome is unknown is told so while its caller still has time to come again. While the store doesn't answer, requests
//! are refused without being sent, but for one now and then.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_cell::job::{Job, JobId};
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use tokio::sync::{mpsc, oneshot};

use crate::message::Stored;
use crate::repeat;
use crate::rows;
use crate::store::{Change, Condition, Handle, Outcome, Partition, Table, Transaction, job_partition};

/// Rows in one transaction; below the store's bound on conditions and changes together.
const GROUP_MAX: usize = 45;
/// Requests that may wait for the next transaction; more are refused at once.
const QUEUE_MAX: usize = 1_024;
/// Interval at which one request tries the store while it doesn't answer.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// What is to be stored.
#[derive(Clone, Debug)]
enum Content {
    Job(Box<Job>),
    Cancel(JobId),
}

#[derive(Debug)]
struct Request {
    content: Content,
    /// Nobody waits for the answer after this time.
    deadline: Duration,
    answer: oneshot::Sender<Stored>,
}

/// Handle on the running writers, one for each partition.
#[derive(Clone, Debug)]
pub struct Submitter {
    writers: Arc<Map<Partition, mpsc::Sender<Request>>>,
    outage: Arc<Mutex<Outage>>,
    clock: Clock,
}

/// Whether the store answers, as the writers see it.
#[derive(Debug, Default)]
struct Outage {
    /// When the next request may try the store; `None` while it answers.
    probe_due: Option<Duration>,
    /// When the store last answered.
    answered: Duration,
}

impl Outage {
    /// Whether a request may go to the store now.
    fn admits(&mut self, now: Duration) -> bool {
        match &mut self.probe_due {
            None => true,
            Some(due) if now < *due => false,
            Some(due) => {
                *due = now + PROBE_INTERVAL;
                true
            }
        }
    }

    /// Takes note of what became of an attempt that began at `began`.
    fn ended(&mut self, is_answered: bool, began: Duration, now: Duration) {
        let was_away = self.probe_due.is_some();
        if is_answered {
            self.probe_due = None;
            self.answered = now;
        } else if !was_away && began >= self.answered {
            self.probe_due = Some(now + PROBE_INTERVAL);
        }
        match (was_away, self.probe_due.is_some()) {
            (true, false) => log::info!(event = "store_regained", by = "submissions"; ""),
            (false, true) => log::warn!(event = "store_lost", by = "submissions"; ""),
            (true, true) | (false, false) => {}
        }
    }
}

/// Starts the writers.
#[must_use]
pub fn spawn(store: &Handle, clock: &Clock) -> Submitter {
    let outage = Arc::new(Mutex::new(Outage::default()));
    let writer = |partition| {
        let (requests, queue) = mpsc::channel(QUEUE_MAX);
        tokio::spawn(write_all(Arc::clone(store), clock.clone(), Arc::clone(&outage), queue));
        (partition, requests)
    };
    let writers = Arc::new(Table::Jobs.partitions().map(writer).collect());
    Submitter { writers, outage, clock: clock.clone() }
}

impl Submitter {
    /// Stores a job unless it is stored already.
    pub async fn store_job(&self, job: Job, deadline: Duration) -> Stored {
        self.ask(job.id, Content::Job(Box::new(job)), deadline).await
    }

    /// Stores the cancellation of a job.
    pub async fn store_cancel(&self, id: JobId, deadline: Duration) -> Stored {
        self.ask(id, Content::Cancel(id), deadline).await
    }

    async fn ask(&self, id: JobId, content: Content, deadline: Duration) -> Stored {
        let Some(requests) = self.writers.get(&job_partition(id)) else { return Stored::Refused };
        if !lock(&self.outage).admits(self.clock.now()) {
            return Stored::Refused;
        }
        let (answer, stored) = oneshot::channel();
        let request = Request { content, deadline, answer };
        if requests.try_send(request).is_err() {
            return Stored::Refused;
        }
        stored.await.unwrap_or(Stored::Unknown)
    }
}

fn lock(outage: &Mutex<Outage>) -> MutexGuard<'_, Outage> {
    outage.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn write_all(store: Handle, clock: Clock, outage: Arc<Mutex<Outage>>, mut queue: mpsc::Receiver<Request>) {
    let mut open: Vec<Request> = Vec::new();
    loop {
        if open.is_empty() {
            match queue.recv().await {
                Some(request) => open.push(request),
                None => return,
            }
        }
        while open.len() < GROUP_MAX {
            match queue.try_recv() {
                Ok(request) => open.push(request),
                Err(_) => break,
            }
        }
        open = write_once(&store, &clock, &outage, open).await;
    }
}

/// Makes one attempt; gives back the requests that aren't answered yet.
async fn write_once(store: &Handle, clock: &Clock, outage: &Mutex<Outage>, mut open: Vec<Request>) -> Vec<Request> {
    refuse_late(&mut open, clock.now());
    if open.is_empty() {
        return open;
    }
    let began = clock.now();
    let outcome = repeat::commit(store, transaction(&open)).await;
    lock(outage).ended(outcome != Outcome::Unknown, began, clock.now());
    match outcome {
        Outcome::Done(_) => {
            answer_all(open, Stored::Done);
            Vec::new()
        }
        Outcome::Conflict(rows) => {
            let is_stored = |request: &Request| match &request.content {
                Content::Job(job) => {
                    let key = rows::job_key(job.id);
                    rows.iter().any(|(table, row)| &**table == Table::Jobs.name() && row.key == key && row.revision > 0)
                }
                Content::Cancel(_) => false,
            };
            let (stored, rest): (Vec<_>, Vec<_>) = open.into_iter().partition(is_stored);
            answer_all(stored, Stored::Done);
            rest
        }
        Outcome::Refused => {
            answer_all(open, Stored::Refused);
            Vec::new()
        }
        Outcome::Unknown => {
            answer_all(open, Stored::Unknown);
            Vec::new()
        }
    }
}

/// Refuses requests that nobody waits for any more; nothing was sent for them.
fn refuse_late(open: &mut Vec<Request>, now: Duration) {
    let mut position = 0;
    while position < open.len() {
        if open[position].deadline <= now || open[position].answer.is_closed() {
            let _caller_gone = open.swap_remove(position).answer.send(Stored::Refused);
        } else {
            position += 1;
        }
    }
}

fn transaction(open: &[Request]) -> Transaction {
    let mut transaction = Transaction::default();
    for request in open {
        match &request.content {
            Content::Job(job) => {
                let key = rows::job_key(job.id);
                if transaction.changes.iter().any(|change| change.key == key) {
                    continue;
                }
                transaction.conditions.push(Condition { table: Table::Jobs, key: Arc::clone(&key), revision: 0 });
                transaction.changes.push(Change { table: Table::Jobs, key, value: Some(rows::encode(job)) });
            }
            Content::Cancel(id) => {
                let key = rows::cancel_key(*id);
                if !transaction.changes.iter().any(|change| change.key == key) {
                    transaction.changes.push(Change { table: Table::Jobs, key, value: Some(Vec::new()) });
                }
            }
        }
    }
    transaction
}

fn answer_all(requests: Vec<Request>, stored: Stored) {
    for request in requests {
        // The caller may have gone away.
        let _caller_gone = request.answer.send(stored);
    }
}
