//! Processes of the cell, according to its rows.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::succession;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::feed::{self, Feed, Timing};
use crate::rows::{self, AGENT_PREFIX, ENTRY_PREFIX, EntryProcess, HEARTBEAT_KEY, PLACER_KEY, Process};
use crate::scan;
use crate::store::{Handle, ReadError, Row, Rows, Table};

/// Name of the feed in logs.
const FEED_NAME: &str = "cell";
/// The end of a placer must be noticed within this time, so that leases outlast a takeover.
const FEED_TIMING: Timing = Timing { wait: Duration::from_millis(1_200), retry_after: Duration::from_millis(1_500) };

/// Processes of the cell as last read.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    /// The placer's row and its revision.
    pub placer: Option<(rows::Placer, u64)>,
    /// Revision of the placer's heartbeat.
    pub heartbeat_revision: u64,
    /// Content of the heartbeat.
    pub heartbeat: Option<rows::Heartbeat>,
    /// When this heartbeat revision, or the current placer, was first seen.
    pub heartbeat_seen_at: Duration,
    /// When the rows were last read.
    pub read_at: Duration,
    /// Agents and their link addresses.
    pub agents: Map<Name, SocketAddr>,
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
                self.heartbeat = row.value.as_deref().and_then(|value| rows::decode(&row.key, value));
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
        let Some((placer, _)) = &self.placer else { return true };
        self.heartbeat.is_some_and(|heartbeat| heartbeat.term == placer.term && heartbeat.is_alone)
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

    fn apply_agent(&mut self, name: &str, row: &Row) {
        if let Some(process) = row.value.as_deref().and_then(|value| rows::decode::<Process>(&row.key, value)) {
            self.agents.insert(Arc::from(name), process.address);
            self.agent_revisions.insert(Arc::from(name), row.revision);
        } else {
            self.agents.remove(name);
            self.agent_revisions.remove(name);
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
        if self.placer.as_ref().is_some_and(|(_, revision)| *revision >= row.revision) {
            return;
        }
        let content = row.value.as_deref().and_then(|value| rows::decode::<rows::Placer>(&row.key, value));
        if let Some(placer) = &content {
            log::info!(event = "placer_row", term = placer.term, holder = placer.holder.as_deref().unwrap_or("none"),
                revision = row.revision; "");
        }
        self.placer = content.map(|content| (content, row.revision));
        self.heartbeat_seen_at = now;
    }
}
