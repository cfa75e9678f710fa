//! Deletes history rows that processes left behind when they died.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::BootId;

use crate::client::Client;
use crate::error::{Error, Outcome};
use crate::history::{self, HISTORY_PREFIX};
use crate::table::{Expect, Row, Write, WriteId};

/// Rows read at once.
const PAGE_ROWS: usize = 100;

/// Sweep of history rows, in passes.
///
/// A row is deleted when its process isn't live and the row was seen in every pass for the late write bound of the
/// client's settings. Along with it goes a mark on its process: should that process still run, it can't take the
/// absence of its row as a proof, and its write stays unknown.
#[derive(Debug)]
pub struct Sweep {
    client: Client,
    /// Rows of processes that aren't live, with the first of the passes in a row that saw them.
    seen: HashMap<WriteId, Duration>,
}

/// Opens a sweep that has seen nothing yet.
#[must_use]
pub fn open(client: Client) -> Sweep {
    Sweep { client, seen: HashMap::new() }
}

impl Sweep {
    /// Looks at every history row once and returns how many were deleted.
    ///
    /// # Errors
    ///
    /// The error of a read; rows then have to be seen for the whole bound again, since an outage may have kept their
    /// process from resolving its writes.
    pub async fn pass(&mut self, is_live: impl Fn(BootId) -> bool) -> Result<usize, Error> {
        let now = self.client.clock().now();
        let before = std::mem::take(&mut self.seen);
        let left = self.find(is_live).await?;
        self.seen = left.into_iter().map(|id| (id, before.get(&id).copied().unwrap_or(now))).collect();
        let bound = self.client.late_write_bound();
        let is_due = |since: Duration| now.saturating_sub(since) >= bound;
        let due: Vec<WriteId> = self.seen.iter().filter(|(_, since)| is_due(**since)).map(|(id, _)| *id).collect();
        let mut deleted = 0;
        for page in due.chunks(PAGE_ROWS) {
            deleted += self.delete(page).await;
        }
        Ok(deleted)
    }

    async fn find(&self, is_live: impl Fn(BootId) -> bool) -> Result<Vec<WriteId>, Error> {
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
            // The next pass finds what is left.
            Outcome::NotDone(_) | Outcome::Unknown => 0,
        }
    }
}

/// Reads the write that a history row is about.
fn write_id(row: &Row) -> Option<WriteId> {
    row.key.strip_prefix(HISTORY_PREFIX)?.parse().ok()
}
