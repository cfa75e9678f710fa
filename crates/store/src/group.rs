//! Group commit: many independent sets of writes in one transaction.
//!
//! The platform counts transactions, so members that arrive within a few milliseconds share one. A member whose
//! condition doesn't hold is taken out and answered, and the others are committed without it.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::client::Client;
use crate::error::{Outcome, Reason};
use crate::table::{Conflict, Write, WriteId};

/// Settings of a [`Group`].
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Maximum number of members of one transaction.
    pub members: usize,
    /// Maximum number of queued members; further submissions are not sent.
    pub queued_members: usize,
    /// Maximum number of concurrent transactions.
    pub concurrent_commits: usize,
    /// Maximum number of attempts of a transaction that the platform refuses because of its load.
    pub attempts: u32,
    /// Minimum time between the starts of two transactions; bounds the share of the platform's rate that this process
    /// takes up.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "interval_ms")]
    pub interval: Duration,
    /// Time to wait for further members after the first, however long ago the last transaction was.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "wait_ms")]
    pub wait: Duration,
    /// Time to resolve an unknown outcome before the members are told that it is unknown.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "resolve_limit_ms")]
    pub resolve_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            members: 64,
            queued_members: 4_096,
            concurrent_commits: 4,
            attempts: 3,
            interval: Duration::from_millis(25),
            wait: Duration::from_millis(3),
            resolve_limit: Duration::from_secs(5),
        }
    }
}

/// Outcome of one member.
#[derive(Clone, Debug, PartialEq)]
pub struct Submitted {
    /// Transaction that last carried the member; [`Client::resolve`] takes it after [`Outcome::Unknown`].
    pub write_id: Option<WriteId>,
    /// Outcome of the member's own writes.
    pub outcome: Outcome,
}

/// Handle to a running group commit, which ends when the last handle is dropped and its members are answered.
#[derive(Clone, Debug)]
pub struct Group {
    members: mpsc::Sender<Member>,
    /// Minimum time between the starts of two transactions.
    interval: Arc<watch::Sender<Duration>>,
    task: AbortHandle,
}

#[derive(Debug)]
struct Member {
    writes: Vec<Write>,
    answer: oneshot::Sender<Submitted>,
}

/// Starts a group commit.
#[must_use]
pub fn spawn(client: Client, settings: Settings) -> Group {
    let (members, queue) = mpsc::channel(settings.queued_members.max(1));
    let interval = Arc::new(watch::Sender::new(settings.interval));
    let task = tokio::spawn(run(client, settings, queue, interval.subscribe())).abort_handle();
    Group { members, interval, task }
}

impl Group {
    /// Submits writes that take effect together or not at all, beside those of other members.
    ///
    /// Dropping the future doesn't cancel the writes.
    pub async fn submit(&self, writes: Vec<Write>) -> Submitted {
        let never_sent = Submitted { write_id: None, outcome: Outcome::NotDone(Reason::NeverSent) };
        let (answer, submitted) = oneshot::channel();
        if self.members.try_send(Member { writes, answer }).is_err() {
            return never_sent;
        }
        // Members of a transaction are always answered; only those in the queue of an aborted task are not.
        submitted.await.unwrap_or(Submitted { write_id: None, outcome: Outcome::Unknown })
    }

    /// Sets the minimum time between the starts of two transactions, from the next one on.
    pub fn set_interval(&self, interval: Duration) {
        self.interval.send_replace(interval);
    }

    /// Returns whether the group still accepts members.
    #[must_use]
    pub fn is_running(&self) -> bool {
        !self.task.is_finished()
    }
}

async fn run(
    client: Client,
    settings: Settings,
    mut queue: mpsc::Receiver<Member>,
    interval: watch::Receiver<Duration>,
) {
    let permits = Arc::new(Semaphore::new(settings.concurrent_commits.max(1)));
    let mut deferred = None;
    let mut earliest_start = Instant::now();
    loop {
        // While every transaction is in progress the queue grows, and with it the next transaction.
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else { return };
        let first = match deferred.take() {
            Some(member) => member,
            None => match queue.recv().await {
                Some(member) => member,
                None => return,
            },
        };
        let deadline = earliest_start.max(Instant::now() + settings.wait);
        let members;
        (members, deferred) = collect(first, deadline, settings.members, &mut queue).await;
        earliest_start = Instant::now() + *interval.borrow();
        tokio::spawn(commit_members(client.clone(), settings.clone(), members, permit));
    }
}

/// Collects members for one transaction until it is full or due; one that writes a row of another is deferred.
async fn collect(
    first: Member,
    deadline: Instant,
    limit: usize,
    queue: &mut mpsc::Receiver<Member>,
) -> (Vec<Member>, Option<Member>) {
    let mut keys: HashSet<Arc<str>> = first.writes.iter().map(|write| Arc::clone(&write.key)).collect();
    let mut members = vec![first];
    while members.len() < limit {
        let Ok(Some(member)) = timeout_at(deadline, queue.recv()).await else { break };
        if member.writes.iter().any(|write| keys.contains(&write.key)) {
            return (members, Some(member));
        }
        keys.extend(member.writes.iter().map(|write| Arc::clone(&write.key)));
        members.push(member);
    }
    (members, None)
}

/// Commits the members, retrying without conflicting ones, until each has its outcome.
async fn commit_members(client: Client, settings: Settings, mut members: Vec<Member>, permit: OwnedSemaphorePermit) {
    let mut refusals = 0;
    while !members.is_empty() {
        let write_id = client.next_write_id();
        let writes = members.iter().flat_map(|member| member.writes.iter().cloned()).collect();
        match client.commit(write_id, writes).await {
            Outcome::NotDone(Reason::Conflict(conflict)) if involves_members(&conflict, &members) => {
                members = answer_conflicting(members, write_id, &conflict);
            }
            Outcome::NotDone(Reason::Refused { retry_after }) if refusals + 1 < settings.attempts => {
                refusals += 1;
                tokio::time::sleep(retry_after + client.jitter(retry_after)).await;
            }
            Outcome::Unknown => {
                let outcome = resolve(&client, &settings, write_id, &members).await;
                answer_all(members, write_id, &outcome);
                break;
            }
            outcome => {
                answer_all(members, write_id, &outcome);
                break;
            }
        }
    }
    drop(permit);
}

async fn resolve(client: &Client, settings: &Settings, write_id: WriteId, members: &[Member]) -> Outcome {
    let Some(write) = members.iter().find_map(|member| member.writes.first()) else {
        return Outcome::Unknown;
    };
    let count = members.iter().map(|member| member.writes.len()).sum();
    let resolution = timeout(settings.resolve_limit, client.resolve(write_id, &write.key)).await;
    resolution.map_or(Outcome::Unknown, |resolution| resolution.outcome(count))
}

/// Returns whether the conflict is about a row of a member.
fn involves_members(conflict: &Conflict, members: &[Member]) -> bool {
    let keys: HashSet<&str> = conflict.all().map(|found| &*found.key).collect();
    members.iter().flat_map(|member| &member.writes).any(|write| keys.contains(&*write.key))
}

/// Answers the members whose conditions don't hold and returns the others.
fn answer_conflicting(members: Vec<Member>, write_id: WriteId, conflict: &Conflict) -> Vec<Member> {
    let mut others = Vec::with_capacity(members.len());
    for member in members {
        let own = |found: &&Conflict| member.writes.iter().any(|write| write.key == found.key);
        match conflict.all().find(own) {
            Some(found) => {
                let found =
                    Conflict { key: Arc::clone(&found.key), current: found.current.clone(), others: Vec::new() };
                member.answer(write_id, Outcome::NotDone(Reason::Conflict(found)));
            }
            None => others.push(member),
        }
    }
    others
}

/// Answers every member with its part of the outcome of the transaction.
fn answer_all(members: Vec<Member>, write_id: WriteId, outcome: &Outcome) {
    let mut first = 0;
    for member in members {
        let end = first + member.writes.len();
        let own = match outcome {
            Outcome::Done(versions) => {
                versions.get(first..end).map_or(Outcome::Unknown, |own| Outcome::Done(own.to_vec()))
            }
            other => other.clone(),
        };
        first = end;
        member.answer(write_id, own);
    }
}

impl Member {
    fn answer(self, write_id: WriteId, outcome: Outcome) {
        // Fails when the submitter has dropped its future and needs no answer.
        let _receiver_dropped = self.answer.send(Submitted { write_id: Some(write_id), outcome });
    }
}
