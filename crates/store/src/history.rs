//! Bookkeeping of this process's writes, kept until the outcome of each is known.
//!
//! Each transaction of [`crate::client::Client::commit`] also puts a row `history/WRITE_ID`, which must be absent. The
//! row proves that the transaction took effect. To prove the contrary, `resolve` puts the same row itself: from then
//! on the transaction's own condition fails, whenever it arrives. Rows of writes with a known outcome are deleted
//! along with a later transaction, so they cost no calls.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::BootId;
use serde_json::Value;
use tokio::sync::OnceCell;

use crate::resolve::Resolution;
use crate::table::{Expect, Row, Write, WriteId};

/// Start of the keys of history rows.
pub(crate) const HISTORY_PREFIX: &str = "history/";
/// Start of the keys of marks on processes whose history rows were swept.
const SWEPT_PREFIX: &str = "swept/";
/// History rows deleted along with one transaction.
const DELETES_PER_COMMIT: usize = 16;
/// Resolutions that stay known.
const RESOLUTIONS_KEPT: usize = 4_096;

/// Result of resolving one write, shared by those who ask for it.
pub(crate) type Cell = Arc<OnceCell<Resolution>>;

/// Key of the history row of a transaction.
pub(crate) fn key(write_id: WriteId) -> Arc<str> {
    format!("{HISTORY_PREFIX}{write_id}").into()
}

/// Write that records a transaction.
pub(crate) fn record(write_id: WriteId) -> Write {
    Write::put(key(write_id), Expect::Absent, Value::from(1))
}

/// Key of the mark on a process whose history rows were swept.
pub(crate) fn swept_key(boot: BootId) -> Arc<str> {
    format!("{SWEPT_PREFIX}{boot}").into()
}

/// Write that marks a process whose history rows are swept along with it.
pub(crate) fn mark_swept(boot: BootId) -> Write {
    Write::put(swept_key(boot), Expect::Any, Value::from(1))
}

/// Writes that fence a transaction; they fail when its history row exists, or may have been swept.
pub(crate) fn fence(write_id: WriteId) -> Vec<Write> {
    // Deleting a row that must be absent changes nothing and asks for the condition alone.
    vec![record(write_id), Write::delete(swept_key(write_id.boot), Expect::Absent)]
}

/// Reads from a history row whether the transaction took effect.
pub(crate) fn resolution(row: &Row, write_id: WriteId) -> Resolution {
    if row.write_id == write_id { Resolution::Done(row.version) } else { Resolution::NotDone }
}

/// Writes of this process and their history rows.
#[derive(Debug, Default)]
pub(crate) struct History {
    /// Writes without a known outcome, and the latest resolved ones.
    cells: HashMap<WriteId, Cell>,
    /// Resolved writes among `cells`, oldest first.
    resolved: VecDeque<WriteId>,
    /// Writes whose history row can be deleted.
    deletable: VecDeque<WriteId>,
    /// Fenced writes with the time of the fence; each stays until the write can't arrive any more.
    fenced: VecDeque<(Duration, WriteId)>,
}

impl History {
    /// Takes note of a write about to be sent.
    pub(crate) fn begin(&mut self, write_id: WriteId) {
        self.cells.insert(write_id, Cell::default());
    }

    /// Takes note of a write that the platform has confirmed.
    pub(crate) fn confirmed(&mut self, write_id: WriteId) {
        // While someone resolves the write, its row has to stay; the resolution deletes it.
        if self.cells.get(&write_id).is_some_and(|cell| Arc::strong_count(cell) == 1) {
            self.cells.remove(&write_id);
            self.deletable.push_back(write_id);
        }
    }

    /// Takes note of a write that left no row behind.
    pub(crate) fn rejected(&mut self, write_id: WriteId) {
        if self.cells.get(&write_id).is_some_and(|cell| Arc::strong_count(cell) == 1) {
            self.cells.remove(&write_id);
        }
    }

    /// Finds the shared result of a write, unless the write is no longer known.
    pub(crate) fn cell(&self, write_id: WriteId) -> Option<Cell> {
        self.cells.get(&write_id).map(Arc::clone)
    }

    /// Takes note of a resolved write; called once for each write.
    pub(crate) fn resolved(&mut self, write_id: WriteId, resolution: Resolution, now: Duration) {
        match resolution {
            Resolution::Done(_) => self.deletable.push_back(write_id),
            Resolution::NotDone => self.fenced.push_back((now, write_id)),
            Resolution::Forgotten => {}
        }
        self.resolved.push_back(write_id);
        if self.resolved.len() > RESOLUTIONS_KEPT
            && let Some(oldest) = self.resolved.pop_front()
        {
            self.cells.remove(&oldest);
        }
    }

    /// Takes the history rows to delete along with the next transaction.
    pub(crate) fn take_deletable(&mut self, now: Duration, late_write_bound: Duration) -> Vec<WriteId> {
        while let Some((since, write_id)) = self.fenced.front().copied()
            && now.saturating_sub(since) > late_write_bound
        {
            self.fenced.pop_front();
            self.deletable.push_back(write_id);
        }
        let count = self.deletable.len().min(DELETES_PER_COMMIT);
        self.deletable.drain(..count).collect()
    }

    /// Gives back rows whose deletion isn't proved.
    pub(crate) fn give_back(&mut self, write_ids: Vec<WriteId>) {
        self.deletable.extend(write_ids);
    }
}
