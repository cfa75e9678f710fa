//! Deletes history rows of processes that have ended.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::BootId;

use crate::client::Client;
use crate::error::{Error, Outcome};
use crate::history::{self, HISTORY_PREFIX};
use crate::table::{Expect, Row, Write, WriteId};

/// Maximum number of rows read or deleted in one call.
const PAGE_ROWS: usize = 100;

/// Periodic sweep of history rows.
///
/// A row is deleted when its process isn't live and the row was seen in every pass for the late write bound of the
/// client's settings. The same transaction puts a marker for its process: should that process still run, it can't
/// take the absence of its row as a proof, and its write stays unknown.
#[derive(Debug)]
pub struct Sweep {
    client: Client,
    /// Rows of processes that aren't live, with the time of the first of the consecutive passes that saw them.
    first_seen: HashMap<WriteId, Duration>,
}

/// Creates a sweep that has not seen any row.
#[must_use]
pub fn open(client: Client) -> Sweep {
    Sweep { client, first_seen: HashMap::new() }
}

impl Sweep {
    /// Scans all history rows once and returns how many were deleted.
    ///
    /// # Errors
    ///
    /// The error of a read; rows then have to be seen for the whole bound again, since an outage may have kept their
    /// process from resolving its writes.
    pub async fn pass(&mut self, is_live: impl Fn(BootId) -> bool) -> Result<usize, Error> {
        let now = self.client.clock().now();
        let previous = std::mem::take(&mut self.first_seen);
        let remaining = self.list_dead(is_live).await?;
        self.first_seen = remaining.into_iter().map(|id| (id, previous.get(&id).copied().unwrap_or(now))).collect();
        let bound = self.client.late_write_bound();
        let is_due = |since: Duration| now.saturating_sub(since) >= bound;
        let due: Vec<WriteId> =
            self.first_seen.iter().filter(|(_, since)| is_due(**since)).map(|(id, _)| *id).collect();
        let mut deleted = 0;
        for page in due.chunks(PAGE_ROWS) {
            deleted += self.delete(page).await;
        }
        Ok(deleted)
    }

    async fn list_dead(&self, is_live: impl Fn(BootId) -> bool) -> Result<Vec<WriteId>, Error> {
        let mut found = Vec::new();
        let mut after: Option<Arc<str>> = None;
        loop {
            let rows = self.client.scan(HISTORY_PREFIX, after.take(), PAGE_ROWS).await?;
            found.extend(rows.iter().filter_map(write_id).filter(|id| !is_live(id.boot)));
            after = rows.last().map(|row| Arc::clone(&row.key));
            if rows.len() < PAGE_ROWS {
                found.retain(|id| id.boot != self.client.boot());
                return Ok(found);
            }
        }
    }

    async fn delete(&self, due: &[WriteId]) -> usize {
        let boots: BTreeSet<BootId> = due.iter().map(|id| id.boot).collect();
        let marks = boots.into_iter().map(history::mark_swept);
        let deletes = due.iter().map(|id| Write::delete(history::key(*id), Expect::Any));
        match self.client.commit(self.client.next_write_id(), marks.chain(deletes).collect()).await {
            Outcome::Done(_) => due.len(),
            // The next pass finds the rows that remain.
            Outcome::NotDone(_) | Outcome::Unknown => 0,
        }
    }
}

/// Parses the write identifier from the key of a history row.
fn write_id(row: &Row) -> Option<WriteId> {
    row.key.strip_prefix(HISTORY_PREFIX)?.parse().ok()
}
