//! Processes of the cell, according to its rows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::succession;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::feed::{self, Feed, Timing};
use crate::rows::{
    self, AGENT_PREFIX, ENTRY_PREFIX, EntryProcess, HANDOVER_KEY, HEARTBEAT_KEY, PLACER_KEY, Process, WITNESSES_KEY,
};
use crate::scan;
use crate::store::{Handle, ReadError, Row, Rows, Table};

/// Name of the feed in logs.
const FEED_NAME: &str = "cell";
/// The end of a placer must be noticed within this time, so that leases outlast a takeover.
const FEED_TIMING: Timing = Timing { wait: Duration::from_millis(1_200), retry_after: Duration::from_millis(1_500) };

/// Placers in a row whose witnesses are kept, so that their row stays small.
const WITNESS_SETS_MAX: usize = 8;
/// Witnesses of one placer, so that an odd row doesn't make a claimant open thousands of links.
const WITNESSES_MAX: usize = 8;

/// Processes of the cell as last read.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// The placer's row and its revision.
    pub placer: Option<(rows::Placer, u64)>,
    /// Revision of the placer's row while it can't be decoded; `placer` is `None` then.
    pub unreadable_placer: Option<u64>,
    /// Revision of the placer's heartbeat.
    pub heartbeat_revision: u64,
    /// Content of the heartbeat.
    pub heartbeat: Option<rows::Heartbeat>,
    /// When this heartbeat revision, or the current placer, was first seen.
    pub heartbeat_seen_at: Duration,
    /// Leases handed over by the last placer that released the cell.
    pub handover: Option<rows::Handover>,
    /// Content of the row of witnesses.
    pub witnesses: Option<rows::Witnesses>,
    /// Revision of the row of the heartbeat; 0 if it doesn't exist.
    pub heartbeat_row_revision: u64,
    /// Revision of the row of witnesses; 0 if it doesn't exist.
    pub witnesses_row_revision: u64,
    /// When the rows were last read.
    pub read_at: Duration,
    /// Agents and their link addresses; an agent whose row can no longer be decoded keeps its address.
    pub agents: Map<Name, SocketAddr>,
    /// Agents without a known address, since their row can't be decoded. Their workers may have runs.
    pub unreadable_agents: Set<Name>,
    /// Revisions of the agents' rows.
    pub agent_revisions: Map<Name, u64>,
    /// Entries and their link addresses.
    pub entries: Map<Name, SocketAddr>,
    /// Share of a core that each entry has.
    pub processor_shares: Map<Name, f64>,
    /// Versions of the entries that tell theirs.
    pub versions: Map<Name, Name>,
    /// Response times of the store as published by the entries.
    pub response_times: Map<Name, Duration>,
}

/// Background reader of the cell's rows.
#[derive(Debug)]
pub struct Reader {
    /// Latest roster; `None` before the first read.
    pub view: watch::Receiver<Option<Arc<Roster>>>,
    task: JoinHandle<()>,
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts to follow the cell's rows.
#[must_use]
pub fn spawn(store: Handle, clock: Clock) -> Reader {
    let (sender, view) = watch::channel(None);
    let task = tokio::spawn(follow(store, clock, sender));
    Reader { view, task }
}

async fn follow(store: Handle, clock: Clock, view: watch::Sender<Option<Arc<Roster>>>) {
    let mut feed = feed::open(FEED_NAME, FEED_TIMING, clock.clone());
    loop {
        let all = scan::read_all(&store, Table::Cell).await;
        follow_from(&store, &clock, &mut feed, &view, &all).await;
    }
}

/// Applies all rows, then follows their changes until the history of the feed is lost.
async fn follow_from(
    store: &Handle,
    clock: &Clock,
    feed: &mut Feed<Rows>,
    view: &watch::Sender<Option<Arc<Roster>>>,
    all: &Rows,
) {
    let previous = view.borrow().clone();
    let mut roster = Roster::default();
    if let Some(previous) = &previous {
        roster.heartbeat_revision = previous.heartbeat_revision;
        roster.heartbeat_seen_at = previous.heartbeat_seen_at;
    }
    let mut after = all.revision;
    roster.apply_all(&all.rows, clock.now());
    view.send_replace(Some(Arc::new(roster.clone())));
    loop {
        match feed.next(after, |wait, arrival| (store.watch)((Table::Cell, after, wait, arrival))).await {
            Ok(changes) => {
                after = after.max(changes.revision);
                roster.apply_all(&changes.rows, clock.now());
                view.send_replace(Some(Arc::new(roster.clone())));
            }
            Err(ReadError::HistoryLost) => return,
            // The feed logs the error and repeats the request.
            Err(_) => {}
        }
    }
}

impl Roster {
    fn apply_all(&mut self, rows: &[Row], now: Duration) {
        for row in rows {
            self.apply(row, now);
        }
        self.read_at = now;
    }

    fn apply(&mut self, row: &Row, now: Duration) {
        match &*row.key {
            PLACER_KEY => self.apply_placer(row, now),
            HEARTBEAT_KEY => {
                if row.revision > self.heartbeat_revision {
                    self.heartbeat_revision = row.revision;
                    self.heartbeat_seen_at = now;
                }
                self.heartbeat_row_revision = row.value.as_ref().map_or(0, |_| row.revision);
                self.heartbeat = row.value.as_deref().and_then(|value| rows::decode(&row.key, value));
            }
            HANDOVER_KEY => {
                self.handover = row.value.as_deref().and_then(|value| rows::decode(&row.key, value));
            }
            WITNESSES_KEY => {
                self.witnesses_row_revision = row.value.as_ref().map_or(0, |_| row.revision);
                self.witnesses = row.value.as_deref().and_then(|value| rows::decode(&row.key, value));
            }
            key => {
                if let Some(name) = key.strip_prefix(AGENT_PREFIX) {
                    self.apply_agent(name, row);
                } else if let Some(name) = key.strip_prefix(ENTRY_PREFIX) {
                    self.apply_entry(name, row);
                }
            }
        }
    }

    /// Whether the placer in the row, or the last one to release the cell, knew that no earlier placer was still
    /// active.
    #[must_use]
    pub fn is_placer_alone(&self) -> bool {
        let Some((placer, _)) = &self.placer else { return self.last_claim() == (0, 0) };
        self.heartbeat.is_some_and(|heartbeat| heartbeat.term == placer.term && heartbeat.is_alone)
    }

    /// When the leases end at the latest that the last placer handed over with the cell; empty unless it released it.
    ///
    /// The row is written together with the release, which counts as a heartbeat when it is seen.
    #[must_use]
    pub fn handed_over_leases(&self) -> Map<Name, Duration> {
        let is_of_release = |handover: &&rows::Handover| {
            self.placer.as_ref().is_some_and(|(placer, _)| placer.holder.is_none() && placer.term == handover.term)
        };
        let leases = self.handover.as_ref().filter(is_of_release).map_or(&[][..], |handover| &handover.leases_ms);
        let end = |left_ms: u64| self.heartbeat_seen_at.saturating_add(Duration::from_millis(left_ms));
        leases.iter().map(|(name, left_ms)| (Arc::clone(name), end(*left_ms))).collect()
    }

    /// Witnesses of each placer that may still act; `None` if not all of them are known.
    #[must_use]
    pub fn acting_witnesses(&self) -> Option<Vec<Vec<SocketAddr>>> {
        let Some((placer, _)) = &self.placer else { return (self.last_claim() == (0, 0)).then(Vec::new) };
        let witnesses = self.witnesses.as_ref().filter(|witnesses| witnesses.term == placer.term)?;
        let mut all = if self.is_placer_alone() { Vec::new() } else { witnesses.earlier.clone()? };
        if !witnesses.members.is_empty() {
            all.push(witnesses.members.clone());
        }
        let is_bounded = all.len() <= WITNESS_SETS_MAX && all.iter().all(|members| members.len() <= WITNESSES_MAX);
        is_bounded.then_some(all)
    }

    /// Upper bound of the terms of earlier placers, and the revision of the placer's row; both are 0 in a new cell.
    ///
    /// The heartbeat has the term of the last claim, also when another process has replaced or deleted the placer's row.
    #[must_use]
    pub fn last_claim(&self) -> (u64, u64) {
        let (term, revision) = match (&self.placer, self.unreadable_placer) {
            (Some((placer, revision)), _) => (placer.term, *revision),
            (None, Some(revision)) => (rows::term_max(revision), revision),
            (None, None) => (0, 0),
        };
        let heartbeat_term = match self.heartbeat {
            Some(heartbeat) => heartbeat.term.min(rows::term_max(self.heartbeat_revision)),
            None if self.heartbeat_revision > 0 => rows::term_max(self.heartbeat_revision),
            None => 0,
        };
        (term.max(heartbeat_term), revision)
    }

    /// Entries with a larger processor share, which should place in preference to one with `own_share` of a core; with
    /// their link addresses.
    pub fn larger_entries(&self, own_share: f64) -> impl Iterator<Item = (&Name, SocketAddr)> {
        let share = |name: &Name| self.processor_shares.get(name).copied().unwrap_or_default();
        self.entries
            .iter()
            .filter(move |(name, _)| succession::is_larger(share(name), own_share))
            .map(|(name, address)| (name, *address))
    }

    /// Whether the agent has a row, readable or not.
    #[must_use]
    pub fn has_agent(&self, name: &Name) -> bool {
        self.agents.contains_key(name) || self.unreadable_agents.contains(name)
    }

    fn apply_agent(&mut self, name: &str, row: &Row) {
        let content = row.value.as_deref().map(|value| rows::decode::<Process>(&row.key, value));
        self.unreadable_agents.remove(name);
        self.agent_revisions.insert(Arc::from(name), row.revision);
        match content {
            Some(Some(process)) => {
                self.agents.insert(Arc::from(name), process.address);
            }
            Some(None) if self.agents.contains_key(name) => {}
            Some(None) => {
                self.unreadable_agents.insert(Arc::from(name));
            }
            None => {
                self.agents.remove(name);
                self.agent_revisions.remove(name);
            }
        }
    }

    fn apply_entry(&mut self, name: &str, row: &Row) {
        let content = row.value.as_deref().and_then(|value| rows::decode::<EntryProcess>(&row.key, value));
        self.response_times.remove(name);
        self.versions.remove(name);
        let Some(EntryProcess { address, processor_share, response, version }) = content else {
            self.entries.remove(name);
            self.processor_shares.remove(name);
            return;
        };
        self.entries.insert(Arc::from(name), address);
        self.processor_shares.insert(Arc::from(name), processor_share);
        if let Some(version) = version {
            self.versions.insert(Arc::from(name), version);
        }
        if let Some(response) = response {
            self.response_times.insert(Arc::from(name), response);
        }
    }

    fn apply_placer(&mut self, row: &Row, now: Duration) {
        if self.last_claim().1 >= row.revision {
            return;
        }
        let content = row.value.as_deref().and_then(|value| rows::decode_placer(&row.key, value, row.revision));
        if let Some(placer) = &content {
            log::info!(event = "placer_row", term = placer.term, holder = placer.holder.as_deref().unwrap_or("none"),
                revision = row.revision; "");
        }
        self.unreadable_placer = (row.value.is_some() && content.is_none()).then_some(row.revision);
        self.placer = content.map(|content| (content, row.revision));
        self.heartbeat_seen_at = now;
    }
}
