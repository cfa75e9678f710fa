//! The newest term, which an agent that has just started doesn't know.
//!
//! Its predecessor may have obeyed a newer placer than the one that reaches it first. That one counts on what the
//! predecessor told it, and starts tasks elsewhere. A worker that has run since then refuses the older term by itself, but
//! one that has started together with the agent takes any.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::{AUTHORITY_PERIOD, lapse_after};
use chervilledge_cell::worker::{Life, Refusal, StartOrder};
use chervilledge_policy::id::Name;
use ractor::ActorRef;

use super::{Message, RunId, State};
use crate::message::FromAgent;
use crate::repeat::Attempts;
use crate::rows::{self, PLACER_KEY};
use crate::store::{Handle, ReadError, Table};

/// Time without an answer after which the placer's row is read again.
const READ_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Pause after a read that failed.
const READ_RETRY: Duration = Duration::from_millis(250);
/// Time after the start of the agent for which orders to start wait for the newest term; a read takes some milliseconds.
const HOLD_TIME: Duration = Duration::from_secs(1);

/// What an agent knows of the newest term.
#[derive(Debug)]
pub(super) struct NewestTerm {
    /// Newest term in the store after the start of the agent, once it is known.
    read: Option<u64>,
    /// When the agent started.
    started: Duration,
    /// Orders to start that wait for the term.
    held: Vec<(Life, StartOrder)>,
}

impl NewestTerm {
    pub(super) const fn unknown(started: Duration) -> Self {
        Self { read: None, started, held: Vec::new() }
    }

    /// Newest term in the store, as far as it is known.
    pub(super) fn known(&self) -> u64 {
        self.read.unwrap_or_default()
    }

    /// Whether no placer acts any more that was deposed before the agent started, unless it has an older term.
    pub(super) fn is_certain(&self, now: Duration) -> bool {
        self.read.is_some() || now >= self.started + lapse_after(AUTHORITY_PERIOD)
    }

    /// Whether an order to start that comes now is to wait for the term.
    pub(super) fn holds_starts(&self, now: Duration) -> bool {
        !self.is_certain(now) && now < self.started + HOLD_TIME
    }

    pub(super) fn hold(&mut self, life: &Life, order: StartOrder) {
        self.held.push((life.clone(), order));
    }

    /// Forgets an order, or all of them, which then never start.
    pub(super) fn forget_held(&mut self, run: Option<RunId>) {
        self.held.retain(|(_, order)| run.is_some_and(|run| run != (order.task, order.run)));
    }

    /// Runs whose orders wait.
    pub(super) fn held_runs(&self) -> impl Iterator<Item = RunId> {
        self.held.iter().map(|(_, order)| (order.task, order.run))
    }
}

/// Reads the newest term from the store until it is known, or until no former placer acts any more.
pub(super) async fn read_newest(store: Handle, agent: ActorRef<Message>) {
    let known = async {
        let key = Name::from(PLACER_KEY);
        let mut attempts = Attempts::default();
        loop {
            let read = attempts.next_response(|_| (store.read_one)((Table::Cell, Arc::clone(&key))), READ_RETRY_AFTER);
            match read.await {
                Ok(row) => {
                    let placer = row.and_then(|row| rows::decode_placer(&row.key, row.value.as_deref()?, row.revision));
                    return placer.map_or(0, |placer| placer.term);
                }
                Err(ReadError::Silent) => {}
                Err(_) => tokio::time::sleep(READ_RETRY).await,
            }
        }
    };
    if let Ok(term) = tokio::time::timeout(lapse_after(AUTHORITY_PERIOD), known).await {
        // The agent may have ended.
        drop(agent.cast(Message::NewestTerm(term)));
    }
}

impl State {
    /// Applies the newest term of the store; a placer of an older one is obeyed no more.
    pub(super) fn handle_newest_term(&mut self, term: u64, now: Duration) {
        log::info!(event = "term_read", term = term, obeyed_term = self.term; "");
        self.newest_term.read = Some(term);
        if term > self.term
            && let Some((link, sender)) = &self.link
        {
            let link = *link;
            sender.post(FromAgent::Superseded { term });
            self.handle_link_closed(link, now);
        }
        self.release_held_starts(now);
    }

    /// Carries out the orders that waited for the newest term, or refuses them when that has taken too long.
    pub(super) fn release_held_starts(&mut self, now: Duration) {
        if self.newest_term.holds_starts(now) {
            return;
        }
        for (life, order) in std::mem::take(&mut self.newest_term.held) {
            self.start(&life, order, now);
        }
    }

    /// Refusal of an order because the placer may have been deposed before the agent started.
    pub(super) fn term_refusal(&self, now: Duration) -> Option<Refusal> {
        (!self.newest_term.is_certain(now)).then_some(Refusal::Late)
    }
}
