//! Links from one entry to others: to the placer for the state of jobs, and to any other entry for storing a row.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use chervilledge_cell::admission::Backlog;
use chervilledge_link::connection::{self, Receiver, Sender};
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use tokio::net::TcpStream;
use tokio::sync::{oneshot, watch};
use tokio::task::JoinHandle;

use crate::message::{FromEntry, HEARTBEAT_INTERVAL, LINK_TIMEOUT, NO_SECRET, ToEntry};

/// Timeout for opening a link to a peer, while a caller waits.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);

/// Requests without a reply, by request number.
type PendingRequests = Arc<Mutex<Map<u64, oneshot::Sender<FromEntry>>>>;

/// Waiting work as last published by the placer.
#[derive(Debug, Default, PartialEq)]
pub struct WaitingWork {
    /// Number of accepted jobs per queue of which no task has started.
    pub counts: Map<Name, usize>,
    /// Backlog ahead of a new job.
    pub backlog: Arc<Backlog>,
}

/// Shared snapshot of the waiting work.
pub type SharedWaitingWork = Arc<WaitingWork>;

/// Open link to another entry.
#[derive(Debug)]
pub struct Link {
    sender: Sender<ToEntry>,
    requests: PendingRequests,
    next_number: AtomicU64,
    /// Waiting work as last received from the peer; `None` before the first message.
    pub pending: watch::Receiver<Option<SharedWaitingWork>>,
    /// Becomes true when the link has ended.
    pub ended: watch::Receiver<bool>,
    tasks: [JoinHandle<()>; 2],
}

impl Drop for Link {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Opens a link; `None` when the peer doesn't accept it in time.
pub async fn open(address: SocketAddr) -> Option<Arc<Link>> {
    let opened = tokio::time::timeout(OPEN_TIMEOUT, connection::connect(address, NO_SECRET)).await.ok()?;
    let (sender, receiver) = match opened {
        Ok(link) => link,
        Err(error) => {
            log::debug!(event = "peer_not_linked", address:% = address, error:% = error; "");
            return None;
        }
    };
    let requests = PendingRequests::default();
    let (pending_sender, pending) = watch::channel(None);
    let (ended_sender, ended) = watch::channel(false);
    let reader = tokio::spawn(read(receiver, Arc::clone(&requests), pending_sender, ended_sender));
    let heartbeats = tokio::spawn(send_heartbeats(sender.clone()));
    Some(Arc::new(Link {
        sender,
        requests,
        next_number: AtomicU64::new(1),
        pending,
        ended,
        tasks: [reader, heartbeats],
    }))
}

/// Reply of an entry to the question for its term.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TermAnswer {
    /// Nothing listens at the address.
    NotThere,
    /// The entry runs.
    Running {
        /// Term under which the entry places, if it does.
        term: Option<u64>,
        /// Whether it stops and claims the cell no more.
        is_stopping: bool,
    },
    /// No reply in time.
    Unknown,
}

/// Asks an entry under which term it places.
pub async fn query_term(address: SocketAddr) -> TermAnswer {
    // A refused connection is detected first, since the error of a link doesn't distinguish it.
    match tokio::time::timeout(OPEN_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) if error.kind() == std::io::ErrorKind::ConnectionRefused => return TermAnswer::NotThere,
        Ok(Ok(_)) => {}
        Ok(Err(_)) | Err(_) => return TermAnswer::Unknown,
    }
    let opened = tokio::time::timeout(OPEN_TIMEOUT, connection::connect::<ToEntry>(address, NO_SECRET)).await;
    let Ok(Ok((sender, mut receiver))) = opened else { return TermAnswer::Unknown };
    sender.post(ToEntry::Beat);
    loop {
        match receiver.receive::<FromEntry>(OPEN_TIMEOUT).await {
            Ok(FromEntry::Beat { term, is_stopping }) => return TermAnswer::Running { term, is_stopping },
            Ok(_) => {}
            Err(_) => return TermAnswer::Unknown,
        }
    }
}

/// Whether an entry runs and can take the cell.
pub async fn can_take_cell(address: SocketAddr) -> bool {
    matches!(query_term(address).await, TermAnswer::Running { is_stopping: false, .. })
}

/// Asks a witness how long ago it may last have renewed a term before `term`, and not to do so any more; `None` without
/// an answer.
pub async fn end_terms(address: SocketAddr, term: u64) -> Option<Duration> {
    let link = open(address).await?;
    match link.query(OPEN_TIMEOUT, |question| ToEntry::EndTerms { question, term }).await? {
        FromEntry::TermsEnded { renewed_ago, .. } => Some(renewed_ago),
        _ => None,
    }
}

impl Link {
    /// Sends a request and waits for the reply for at most `timeout`.
    pub async fn query(&self, timeout: Duration, question: impl FnOnce(u64) -> ToEntry) -> Option<FromEntry> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let (answer, answered) = oneshot::channel();
        lock(&self.requests).insert(number, answer);
        if !self.sender.try_send(question(number)) {
            lock(&self.requests).remove(&number);
            return None;
        }
        let answer = tokio::time::timeout(timeout, answered).await;
        lock(&self.requests).remove(&number);
        answer.ok()?.ok()
    }

    /// Sends a notification, which is lost if the link fails.
    pub fn notify(&self, message: ToEntry) {
        if !self.sender.try_send(message) {
            log::debug!(event = "peer_message_dropped"; "");
        }
    }

    /// Whether the link has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }
}

fn lock(requests: &PendingRequests) -> MutexGuard<'_, Map<u64, oneshot::Sender<FromEntry>>> {
    requests.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn send_heartbeats(sender: Sender<ToEntry>) {
    while sender.send(ToEntry::Beat).await.is_ok() {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}

async fn read(
    mut receiver: Receiver,
    requests: PendingRequests,
    pending: watch::Sender<Option<SharedWaitingWork>>,
    ended_sender: watch::Sender<bool>,
) {
    loop {
        let message = match receiver.receive::<FromEntry>(LINK_TIMEOUT).await {
            Ok(message) => message,
            Err(error) => {
                log::info!(event = "peer_link_ended", error:% = error; "");
                break;
            }
        };
        match &message {
            FromEntry::Beat { .. } => {}
            FromEntry::Pending { counts, backlog } => {
                let counts = counts.iter().cloned().collect();
                pending.send_replace(Some(Arc::new(WaitingWork { counts, backlog: Arc::new(backlog.clone()) })));
            }
            FromEntry::State { question, .. }
            | FromEntry::Relayed { question, .. }
            | FromEntry::TermRenewed { question, .. }
            | FromEntry::TermsEnded { question, .. } => {
                let waiting = lock(&requests).remove(question);
                if let Some(waiting) = waiting {
                    // The caller may have gone away.
                    drop(waiting.send(message));
                }
            }
        }
    }
    lock(&requests).clear();
    ended_sender.send_replace(true);
}
