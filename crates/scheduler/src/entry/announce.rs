//! Tells in the entry's row where it takes links, and how fast the store answers it.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::response::claim_wait;
use chervilledge_policy::id::Name;
use rand::Rng;

use super::{Entry, lock};
use crate::clock::whole_ms;
use crate::roster::Roster;
use crate::rows::{self, ENTRY_PREFIX, PLACER};
use crate::store::{Change, Outcome, Table, Transaction};

/// Pause after an announcement that wasn't written.
const RETRY: Duration = Duration::from_millis(250);
/// Time for the first view of the rows; an entry that finds its row there doesn't write it again.
const VIEW_TIMEOUT: Duration = Duration::from_millis(500);
/// Reads after which the response time counts.
const FIRST_READS: u32 = 4;
/// Interval of these reads: the figure is known before a cell without a placer is taken over, 1.9 s after a restart.
const FIRST_INTERVAL: Duration = Duration::from_millis(400);
/// Mean interval of later reads; 55 entries make six a second.
const INTERVAL: Duration = Duration::from_secs(10);
/// Time without an answer after which a read is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Change of the response time that is told: half of what a claim tolerates.
const TOLD_STEP: Duration = Duration::from_millis(5);
/// Time for each entry of the cell between two rows of one entry. The rows share a partition with the placer's sign of life;
/// a slow one carries three transactions a second, and a store that becomes slow changes the figures of all entries.
const TOLD_GAP: Duration = Duration::from_secs(2);

/// Writes the row, then measures the store; runs until the entry ends.
pub(super) async fn run(entry: Entry) {
    let mut view = entry.inner.roster.view.clone();
    drop(tokio::time::timeout(VIEW_TIMEOUT, view.wait_for(Option::is_some)).await);
    let (name, address) = (&entry.inner.settings.name, entry.inner.settings.links_address);
    let is_there = |roster: &Arc<Roster>| {
        roster.entries.get(name) == Some(&address)
            && roster.shares.get(name) == Some(&entry.inner.settings.processor_share)
    };
    let roster = entry.roster().filter(is_there);
    // The figure of an earlier start of the process, which stays in force until it is found to be wrong.
    let mut told = roster.as_ref().and_then(|roster| roster.responses.get(name).copied());
    if roster.is_none() {
        while !write(&entry, None).await {
            tokio::time::sleep(RETRY).await;
        }
    }
    let mut tell_due = entry.now() + entry.tell_interval().mul_f64(rand::rng().random());
    let mut reads = 0;
    loop {
        let pause =
            if reads < FIRST_READS { FIRST_INTERVAL } else { INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5)) };
        tokio::time::sleep(pause).await;
        if entry.inner.submitter.view().is_broken() || !measure(&entry).await {
            continue;
        }
        reads = (reads + 1).min(FIRST_READS);
        let Some(present) = entry.response() else { continue };
        entry.inner.metrics.store_response(present);
        let is_told = told.is_some_and(|told| told.abs_diff(present) < TOLD_STEP);
        if reads == FIRST_READS && !is_told && entry.now() >= tell_due && write(&entry, Some(present)).await {
            told = Some(present);
            tell_due = entry.now() + entry.tell_interval();
            log::info!(event = "store_response", response_ms = whole_ms(present),
                claim_wait_ms = whole_ms(entry.claim_wait()); "");
        }
    }
}

/// Makes a read that the store doesn't hold back; tells whether it was answered.
async fn measure(entry: &Entry) -> bool {
    let began = entry.now();
    let read = (entry.inner.store.read_one)((Table::Cell, Arc::from(PLACER)));
    let is_answered = matches!(tokio::time::timeout(READ_TIMEOUT, read).await, Ok(Ok(_)));
    if is_answered {
        lock(&entry.inner.responses).add(entry.now().saturating_sub(began));
    }
    is_answered
}

async fn write(entry: &Entry, response: Option<Duration>) -> bool {
    let settings = &entry.inner.settings;
    let content =
        rows::EntryProcess { address: settings.links_address, processor_share: settings.processor_share, response };
    let key: Name = Arc::from(format!("{ENTRY_PREFIX}{}", settings.name));
    let change = Change { table: Table::Cell, key, value: Some(rows::encode(&content)) };
    let outcome = (entry.inner.store.commit)(Transaction { conditions: Vec::new(), changes: vec![change] }).await;
    matches!(outcome, Outcome::Done(_))
}

impl Entry {
    /// Least time between two rows that tell the response time.
    fn tell_interval(&self) -> Duration {
        let entries = self.roster().map_or(1, |roster| roster.entries.len().max(1));
        TOLD_GAP * u32::try_from(entries).unwrap_or(u32::MAX)
    }

    /// Response time of the store, once it is known.
    pub(super) fn response(&self) -> Option<Duration> {
        lock(&self.inner.responses).least()
    }

    /// Time for which a claim of the cell is left to entries that are nearer to the store.
    pub(super) fn claim_wait(&self) -> Duration {
        let Some(roster) = self.roster() else { return Duration::ZERO };
        let others = roster.responses.iter().filter(|(name, _)| **name != self.inner.settings.name);
        claim_wait(self.response(), others.map(|(_, response)| *response))
    }
}
