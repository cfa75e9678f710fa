//! Links between entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervilledge_caller::budget::{Budget, Connection};
use chervilledge_cell::admission::Backlog;
use chervilledge_link::connection::{self, Receiver, Sender};
use chervilledge_link::error::Error;
use chervilledge_policy::id::Name;
use tokio::net::{TcpListener, TcpStream};

use super::{Entry, PlacerRoute, lock};
use crate::candidate::Unlinked;
use crate::clock::whole_ms;
use crate::message::{FromEntry, LINK_TIMEOUT, StoreOutcome, ToEntry};
use crate::peer::{self, Link, SharedWaitingWork};
use crate::placer;
use crate::roster::Roster;
use crate::rows;

/// Pause after a failed accept, which is mostly caused by a shortage of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Pause before reconnecting to the placer.
const REDIAL_PAUSE: Duration = Duration::from_millis(100);
/// Interval at which the placer publishes the waiting work.
const PENDING_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which unchanged waiting work is sent again.
const PENDING_REPEAT: Duration = Duration::from_secs(2);
/// Timeout for the local placer to answer a request from a link.
const QUESTION_TIMEOUT_MS: u64 = 1_000;
/// Timeout for opening a link for a relay. A caller is waiting, and a running peer answers within milliseconds.
const RELAY_OPEN_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a relayed write.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maintains the route to the placer: its actor when it runs in this process, a link otherwise.
pub(super) async fn follow_placer(entry: Entry) {
    loop {
        if let Some((_, placer)) = entry.local_placer() {
            poll_local_placer(&entry, placer).await;
            continue;
        }
        let holder = entry.roster().and_then(|roster| {
            let (placer, _) = roster.placer.as_ref()?;
            let is_other = placer.holder.as_ref().is_some_and(|holder| *holder != entry.inner.settings.name);
            is_other.then_some((placer.term, placer.address))
        });
        let Some((term, address)) = holder else {
            set_route(&entry, PlacerRoute::None);
            tokio::time::sleep(REDIAL_PAUSE).await;
            continue;
        };
        begin_opening(&entry, term);
        if let Some(link) = open_link(&entry, term, address).await {
            log::info!(event = "placer_linked", term = term; "");
            set_route(&entry, PlacerRoute::Remote(Arc::clone(&link)));
            follow_link(&entry, &link, term).await;
            log::info!(event = "placer_unlinked", term = term; "");
        } else {
            tokio::time::sleep(REDIAL_PAUSE).await;
        }
    }
}

/// Opens the link to the placer of a term; gives up when the roster names another placer.
async fn open_link(entry: &Entry, term: u64, address: SocketAddr) -> Option<Arc<Link>> {
    let mut roster = entry.inner.roster.view.clone();
    tokio::select! {
        link = peer::open(address) => link,
        Ok(_) = roster.wait_for(|roster| names_other(roster.as_ref(), term)) => None,
    }
}

/// Whether the roster names a placer of another term.
fn names_other(roster: Option<&Arc<Roster>>, term: u64) -> bool {
    roster.and_then(|roster| roster.placer.as_ref()).is_some_and(|(placer, _)| placer.term != term)
}

/// Marks the link to the placer of a term as being opened, since its first attempt.
fn begin_opening(entry: &Entry, term: u64) {
    let is_marked = matches!(*entry.inner.placer_route.borrow(), PlacerRoute::Opening(known) if known.term == term);
    if !is_marked {
        set_route(entry, PlacerRoute::Opening(Unlinked { term, since: entry.now() }));
    }
}

/// Sets the route unless the placer runs in this process.
fn set_route(entry: &Entry, new: PlacerRoute) {
    entry.inner.placer_route.send_if_modified(|placer_route| {
        let is_other = !matches!(placer_route, PlacerRoute::Local(_)) || entry.local_placer().is_none();
        if is_other {
            *placer_route = new;
        }
        is_other
    });
}

/// Collects the waiting work from the local placer until it ends.
async fn poll_local_placer(entry: &Entry, placer: ractor::ActorRef<placer::Message>) {
    while entry.local_placer().is_some() {
        if let Ok(Some(pending)) = ractor::call_t!(placer, placer::Message::Pending, QUESTION_TIMEOUT_MS) {
            *lock(&entry.inner.pending) = Some((pending, entry.now()));
        }
        tokio::time::sleep(PENDING_INTERVAL).await;
    }
    set_route(entry, PlacerRoute::None);
}

/// Collects the waiting work from the linked placer until the link ends or the roster names another placer.
async fn follow_link(entry: &Entry, link: &Arc<Link>, term: u64) {
    let mut pending = link.pending.clone();
    let mut ended = link.ended.clone();
    let mut roster = entry.inner.roster.view.clone();
    loop {
        tokio::select! {
            _ = ended.wait_for(|ended| *ended) => return,
            changed = pending.changed() => {
                if changed.is_err() {
                    return;
                }
                if let Some(counts) = pending.borrow_and_update().clone() {
                    *lock(&entry.inner.pending) = Some((counts, entry.now()));
                }
            }
            changed = roster.changed() => {
                if changed.is_err() || names_other(roster.borrow_and_update().as_ref(), term) {
                    return;
                }
            }
        }
    }
}

pub(super) async fn accept_all(listener: TcpListener, entry: Entry, budget: Budget) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, budget.admit().await, entry.clone()));
            }
            Err(error) => {
                log::warn!(event = "accept_failed", error:% = error; "");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(stream: TcpStream, share: Connection, entry: Entry) {
    let Ok((sender, receiver)) = connection::accept_counted::<FromEntry>(stream, share).await else { return };
    let counts = tokio::spawn(send_pending(entry.clone(), sender.clone()));
    if let Err(error) = handle_messages(receiver, sender, &entry).await {
        log::debug!(event = "entry_link_ended", error:% = error; "");
    }
    counts.abort();
}

/// Handles the messages of a link until it ends.
async fn handle_messages(mut receiver: Receiver, sender: Sender<FromEntry>, entry: &Entry) -> Result<(), Error> {
    loop {
        let message = receiver.receive::<ToEntry>(LINK_TIMEOUT).await?;
        // A peer that doesn't read its answers gets no more of them.
        sender.ready(LINK_TIMEOUT).await?;
        entry.handle_message(message, &sender);
    }
}

/// Sends the waiting work to a linked entry while this entry places.
async fn send_pending(entry: Entry, sender: Sender<FromEntry>) {
    let mut sent: Option<(SharedWaitingWork, Duration)> = None;
    loop {
        let now = entry.now();
        let is_sent = |pending: &SharedWaitingWork| {
            sent.as_ref().is_some_and(|(known, at)| known == pending && now < *at + PENDING_REPEAT)
        };
        if let Some((_, placer)) = entry.local_placer()
            && let Ok(Some(pending)) = ractor::call_t!(placer, placer::Message::Pending, QUESTION_TIMEOUT_MS)
            && !is_sent(&pending)
        {
            let counts = pending.counts.iter().map(|(queue, count)| (Arc::clone(queue), *count)).collect();
            let backlog = Backlog::clone(&pending.backlog);
            sent = Some((pending, now));
            if sender.send(FromEntry::Pending { counts, backlog }).await.is_err() {
                return;
            }
        }
        tokio::time::sleep(PENDING_INTERVAL).await;
    }
}

impl Entry {
    fn handle_message(&self, message: ToEntry, sender: &Sender<FromEntry>) {
        let own = self.local_placer();
        match message {
            ToEntry::Beat => {
                let is_stopping = self.inner.is_stopping.load(Ordering::Relaxed);
                sender.post(FromEntry::Beat { term: own.map(|(term, _)| term), is_stopping });
            }
            ToEntry::State { question, job } => {
                let sender = sender.clone();
                tokio::spawn(async move {
                    let state = match &own {
                        Some((_, placer)) => {
                            ractor::call_t!(placer, placer::Message::State, QUESTION_TIMEOUT_MS, job).ok()
                        }
                        None => None,
                    };
                    let is_placer = state.is_some();
                    let state = state.flatten();
                    let is_stored = match &own {
                        Some((_, placer)) if state.is_none() => {
                            ractor::call_t!(placer, placer::Message::IsStored, QUESTION_TIMEOUT_MS, job)
                                .unwrap_or(false)
                        }
                        _ => state.is_some(),
                    };
                    sender.post(FromEntry::State { question, state, is_placer, is_stored });
                });
            }
            ToEntry::Submitted(job) => {
                if let Some((_, placer)) = own {
                    // If the placer has just ended, the row is read later by it or by its successor.
                    drop(placer.cast(placer::Message::Submitted(job)));
                }
            }
            ToEntry::Canceled(job) => {
                if let Some((_, placer)) = own {
                    drop(placer.cast(placer::Message::Canceled(job)));
                }
            }
            ToEntry::Relay { question, job, cancel } => {
                let (sender, entry) = (sender.clone(), self.clone());
                let deadline = self.now() + RELAY_TIMEOUT;
                tokio::spawn(async move {
                    let stored = match (job, cancel) {
                        (Some(job), _) if !rows::is_valid(&job) => StoreOutcome::Refused,
                        (Some(job), _) => entry.store_for_peer(*job, deadline).await,
                        (None, Some(id)) => entry.inner.submitter.store_cancel(id, deadline).await,
                        (None, None) => StoreOutcome::Refused,
                    };
                    sender.post(FromEntry::Relayed { question, stored });
                });
            }
            ToEntry::RenewTerm { question, term } => {
                let stored = self.roster().map(|roster| roster.last_claim().0);
                let is_renewed = lock(&self.inner.witness).renew(term, stored, self.now());
                sender.post(FromEntry::TermRenewed { question, is_renewed });
            }
            ToEntry::EndTerms { question, term } => {
                let renewed_ago = lock(&self.inner.witness).end_terms_before(term, self.now());
                log::info!(event = "terms_ended", term = term, renewed_ms_ago = whole_ms(renewed_ago); "");
                sender.post(FromEntry::TermsEnded { question, renewed_ago });
            }
        }
    }

    /// Link to another entry; opened if there is none.
    pub(super) async fn relay_link(&self, name: &Name, address: SocketAddr) -> Option<Arc<Link>> {
        let known = lock(&self.inner.relays).get(name).cloned();
        if let Some(link) = known.filter(|link| !link.has_ended()) {
            return Some(link);
        }
        let link = tokio::time::timeout(RELAY_OPEN_TIMEOUT, peer::open(address)).await.ok()??;
        lock(&self.inner.relays).insert(Arc::clone(name), Arc::clone(&link));
        Some(link)
    }
}
