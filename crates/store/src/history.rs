//! Tracks the writes of this process until the outcome of each is known.
//!
//! Each transaction of [`crate::client::Client::commit`] also puts a row `history/WRITE_ID`, which must be absent. The
//! row proves that the transaction took effect. To prove that it never will, `resolve` puts the same row itself: from
//! then on the transaction's own condition fails, whenever it arrives. Rows of writes with a known outcome are deleted
//! as part of a later transaction, so that their deletion needs no extra calls.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::BootId;
use serde_json::Value;
use tokio::sync::OnceCell;

use crate::resolve::Resolution;
use crate::table::{Expect, Row, Write, WriteId};

/// Key prefix of history rows.
pub(crate) const HISTORY_PREFIX: &str = "history/";
/// Key prefix of the markers of processes whose history rows were swept.
const SWEPT_PREFIX: &str = "swept/";
/// Maximum number of history rows deleted in one transaction.
const DELETES_PER_COMMIT: usize = 16;
/// Number of resolutions kept in memory.
const RESOLUTIONS_KEPT: usize = 4_096;

/// Resolution of one write, shared by concurrent calls of `resolve`.
pub(crate) type SharedResolution = Arc<OnceCell<Resolution>>;

/// Key of the history row of a transaction.
pub(crate) fn key(write_id: WriteId) -> Arc<str> {
    format!("{HISTORY_PREFIX}{write_id}").into()
}

/// Write that puts the history row of a transaction.
pub(crate) fn history_write(write_id: WriteId) -> Write {
    Write::put(key(write_id), Expect::Absent, Value::from(1))
}

/// Key of the marker of a process whose history rows were swept.
pub(crate) fn swept_key(boot: BootId) -> Arc<str> {
    format!("{SWEPT_PREFIX}{boot}").into()
}

/// Write that puts the marker of a process, in the transaction that sweeps its history rows.
pub(crate) fn mark_swept(boot: BootId) -> Write {
    Write::put(swept_key(boot), Expect::Any, Value::from(1))
}

/// Writes that fence a transaction; they fail if its history row exists or may have been swept.
pub(crate) fn fence(write_id: WriteId) -> Vec<Write> {
    // Deleting a row that must be absent changes nothing and only checks the condition.
    vec![history_write(write_id), Write::delete(swept_key(write_id.boot), Expect::Absent)]
}

/// Determines from a row whether the transaction took effect.
pub(crate) fn resolution(row: &Row, write_id: WriteId) -> Resolution {
    if row.write_id == write_id { Resolution::Done(row.version) } else { Resolution::NotDone }
}

/// Writes of this process and their history rows.
#[derive(Debug, Default)]
pub(crate) struct WriteTracker {
    /// Writes without a known outcome, and the latest resolved ones.
    resolutions: HashMap<WriteId, SharedResolution>,
    /// Resolved writes among `resolutions`, oldest first.
    resolved: VecDeque<WriteId>,
    /// Writes whose history row can be deleted.
    deletable: VecDeque<WriteId>,
    /// Fenced writes with the time of the fence; each is kept until the write can no longer arrive.
    fenced: VecDeque<(Duration, WriteId)>,
}

impl WriteTracker {
    /// Starts tracking a write that is about to be sent.
    pub(crate) fn track(&mut self, write_id: WriteId) {
        self.resolutions.insert(write_id, SharedResolution::default());
    }

    /// Records that the platform has confirmed a write.
    pub(crate) fn mark_confirmed(&mut self, write_id: WriteId) {
        // A concurrent `resolve` still needs the history row; `mark_resolved` queues it for deletion.
        if self.resolutions.get(&write_id).is_some_and(|shared| Arc::strong_count(shared) == 1) {
            self.resolutions.remove(&write_id);
            self.deletable.push_back(write_id);
        }
    }

    /// Records that a write was rejected and left no history row.
    pub(crate) fn mark_rejected(&mut self, write_id: WriteId) {
        if self.resolutions.get(&write_id).is_some_and(|shared| Arc::strong_count(shared) == 1) {
            self.resolutions.remove(&write_id);
        }
    }

    /// Returns the shared resolution of a write, unless the write is no longer tracked.
    pub(crate) fn shared_resolution(&self, write_id: WriteId) -> Option<SharedResolution> {
        self.resolutions.get(&write_id).map(Arc::clone)
    }

    /// Records the resolution of a write; called once for each write.
    pub(crate) fn mark_resolved(&mut self, write_id: WriteId, resolution: Resolution, now: Duration) {
        match resolution {
            Resolution::Done(_) => self.deletable.push_back(write_id),
            Resolution::NotDone => self.fenced.push_back((now, write_id)),
            Resolution::Forgotten => {}
        }
        self.resolved.push_back(write_id);
        if self.resolved.len() > RESOLUTIONS_KEPT
            && let Some(oldest) = self.resolved.pop_front()
        {
            self.resolutions.remove(&oldest);
        }
    }

    /// Takes the history rows to delete in the next transaction.
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

    /// Queues rows again whose deletion is not confirmed.
    pub(crate) fn requeue_deletable(&mut self, write_ids: Vec<WriteId>) {
        self.deletable.extend(write_ids);
    }
}
