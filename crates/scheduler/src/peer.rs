//! Links from one entry to others: to the placer for the state of jobs, to any other to have a row written.

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

/// Time for opening a link to a peer; a caller waits meanwhile.
const OPEN_TIMEOUT: Duration = Duration::from_millis(700);

/// Questions without an answer, by their number.
type PendingRequests = Arc<Mutex<Map<u64, oneshot::Sender<FromEntry>>>>;

/// What the placer told last of the work that waits.
#[derive(Debug, Default, PartialEq)]
pub struct WaitingWork {
    /// Accepted jobs of each queue of which no task has started.
    pub counts: Map<Name, usize>,
    /// The work that a new job would find.
    pub backlog: Arc<Backlog>,
}

/// The same, shared.
pub type SharedWaitingWork = Arc<WaitingWork>;

/// Open link to another entry.
#[derive(Debug)]
pub struct Link {
    sender: Sender<ToEntry>,
    requests: PendingRequests,
    next_number: AtomicU64,
    /// What the peer said of the work that waits; `None` before that.
    pub pending: watch::Receiver<Option<SharedWaitingWork>>,
    /// Turns true when the link has ended.
    pub ended: watch::Receiver<bool>,
    tasks: [JoinHandle<()>; 2],
}

impl Drop for Link {
    fn drop(&mut self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

/// Opens a link; `None` when the peer doesn't take it in time.
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
    let beats = tokio::spawn(beat(sender.clone()));
    Some(Arc::new(Link { sender, requests, next_number: AtomicU64::new(1), pending, ended, tasks: [reader, beats] }))
}

/// What an entry says of its role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TermAnswer {
    /// Nothing listens at the address.
    NotThere,
    /// The term under which it places, if it does.
    Term(Option<u64>),
    /// No answer in time.
    Unknown,
}

/// Asks an entry under which term it places.
pub async fn query_term(address: SocketAddr) -> TermAnswer {
    // Told apart from other failures first, since a link's error doesn't say.
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
            Ok(FromEntry::Beat { term }) => return TermAnswer::Term(term),
            Ok(_) => {}
            Err(_) => return TermAnswer::Unknown,
        }
    }
}

impl Link {
    /// Asks a question and waits for its answer at most for `timeout`.
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

    /// Tells something; it is lost if the link is.
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

async fn beat(sender: Sender<ToEntry>) {
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
            FromEntry::State { question, .. } | FromEntry::Relayed { question, .. } => {
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
