//! Publishes the entry's link address and the response time of the store in the entry's row.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::response::claim_wait;
use chervilledge_policy::id::Name;
use rand::Rng;

use super::{Entry, lock};
use crate::clock::whole_ms;
use crate::roster::Roster;
use crate::rows::{self, ENTRY_PREFIX, PLACER_KEY, VERSION};
use crate::store::{Change, Outcome, Table, Transaction};

/// Pause after a failed write of the row.
const WRITE_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Timeout for the first roster; an entry that finds its row in it doesn't write the row again.
const VIEW_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of reads from which the response time is used.
const WARMUP_READS: u32 = 4;
/// Interval of these first reads. The response time is known before a cell without a placer is taken over, 1.9 s after
/// a restart.
const WARMUP_INTERVAL: Duration = Duration::from_millis(400);
/// Mean interval of later reads; 55 entries make six reads a second.
const READ_INTERVAL: Duration = Duration::from_secs(10);
/// Timeout of a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Change of the response time from which it is published again: half of what a claim tolerates.
const PUBLISH_STEP: Duration = Duration::from_millis(5);
/// Minimum interval between two rows of one entry, for each entry of the cell. The rows share a partition with the
/// placer's heartbeat. A slow partition carries three transactions a second, and a store that becomes slow changes the
/// response times of all entries.
const PUBLISH_GAP_PER_ENTRY: Duration = Duration::from_secs(2);

/// Writes the row, then keeps measuring the store until the entry ends.
pub(super) async fn run(entry: Entry) {
    let mut view = entry.inner.roster.view.clone();
    drop(tokio::time::timeout(VIEW_TIMEOUT, view.wait_for(Option::is_some)).await);
    let (name, address) = (&entry.inner.settings.name, entry.inner.settings.links_address);
    let is_current = |roster: &Arc<Roster>| {
        roster.entries.get(name) == Some(&address)
            && roster.processor_shares.get(name) == Some(&entry.inner.settings.processor_share)
            && roster.versions.get(name).is_some_and(|version| &**version == VERSION)
    };
    let roster = entry.roster().filter(is_current);
    // Response time published by an earlier start of the process; it stays in force until it proves wrong.
    let mut published = roster.as_ref().and_then(|roster| roster.response_times.get(name).copied());
    if roster.is_none() {
        while !write_row(&entry, None).await {
            tokio::time::sleep(WRITE_RETRY_PAUSE).await;
        }
    }
    let mut publish_due = entry.now() + entry.publish_interval().mul_f64(rand::rng().random());
    let mut reads = 0;
    loop {
        let pause = if reads < WARMUP_READS {
            WARMUP_INTERVAL
        } else {
            READ_INTERVAL.mul_f64(rand::rng().random_range(0.5..1.5))
        };
        tokio::time::sleep(pause).await;
        if entry.inner.submitter.health().is_broken() || !measure(&entry).await {
            continue;
        }
        reads = (reads + 1).min(WARMUP_READS);
        let Some(current) = entry.store_latency() else { continue };
        entry.inner.metrics.store_response(current);
        let is_published = published.is_some_and(|published| published.abs_diff(current) < PUBLISH_STEP);
        if reads == WARMUP_READS
            && !is_published
            && entry.now() >= publish_due
            && write_row(&entry, Some(current)).await
        {
            published = Some(current);
            publish_due = entry.now() + entry.publish_interval();
            log::info!(event = "store_response", response_ms = whole_ms(current),
                claim_wait_ms = whole_ms(entry.claim_wait()); "");
        }
    }
}

/// Measures a read, whose response the store never holds back on purpose; returns whether it was answered.
async fn measure(entry: &Entry) -> bool {
    let began = entry.now();
    let read = (entry.inner.store.read_one)((Table::Cell, Arc::from(PLACER_KEY)));
    let is_answered = matches!(tokio::time::timeout(READ_TIMEOUT, read).await, Ok(Ok(_)));
    if is_answered {
        lock(&entry.inner.read_times).add(entry.now().saturating_sub(began));
    }
    is_answered
}

async fn write_row(entry: &Entry, response: Option<Duration>) -> bool {
    let settings = &entry.inner.settings;
    let content = rows::EntryProcess {
        address: settings.links_address,
        processor_share: settings.processor_share,
        response,
        version: Some(Name::from(VERSION)),
    };
    let key: Name = Arc::from(format!("{ENTRY_PREFIX}{}", settings.name));
    let change = Change { table: Table::Cell, key, value: Some(rows::encode(&content)) };
    let outcome = (entry.inner.store.commit)(Transaction { conditions: Vec::new(), changes: vec![change] }).await;
    matches!(outcome, Outcome::Done(_))
}

impl Entry {
    /// Minimum interval between two rows that publish the response time.
    fn publish_interval(&self) -> Duration {
        let entries = self.roster().map_or(1, |roster| roster.entries.len().max(1));
        PUBLISH_GAP_PER_ENTRY * u32::try_from(entries).unwrap_or(u32::MAX)
    }

    /// Response time of the store, once known.
    pub(super) fn store_latency(&self) -> Option<Duration> {
        lock(&self.inner.read_times).least()
    }

    /// How long this entry delays a claim in favor of entries with a faster connection to the store.
    pub(super) fn claim_wait(&self) -> Duration {
        let Some(roster) = self.roster() else { return Duration::ZERO };
        let others = roster.response_times.iter().filter(|(name, _)| **name != self.inner.settings.name);
        claim_wait(self.store_latency(), others.map(|(_, response)| *response))
    }
}
