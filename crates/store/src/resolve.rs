//! Determines the outcome of a write that was answered as unknown.

use std::sync::Arc;

use crate::client::Client;
use crate::error::{Error, Outcome, Reason};
use crate::history;
use crate::table::{Commit, READ_PATH, Read, Row, Rows, Write, WriteId};

/// Proved outcome of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Resolution {
    /// The write took effect; version of every row that it wrote.
    Done(u64),
    /// The write didn't take effect and never will.
    NotDone,
    /// The outcome can't be determined: another process issued the write, its outcome was known long ago, or its
    /// history row was swept because this process was presumed dead.
    Forgotten,
}

impl Resolution {
    /// Outcome of a transaction with the given number of writes.
    #[must_use]
    pub fn outcome(self, writes: usize) -> Outcome {
        match self {
            Self::Done(version) => Outcome::Done(vec![version; writes]),
            Self::NotDone => Outcome::NotDone(Reason::Fenced),
            Self::Forgotten => Outcome::Unknown,
        }
    }
}

impl Client {
    /// Determines the outcome of a write of this process, retrying until it is proved.
    ///
    /// `key` is one of the rows that the transaction wrote. Reads prove only that the write took effect, since they
    /// may be stale and the write may be late. That it never will is proved by a commit that puts the history row of
    /// the write: it fails if the write took effect; if it succeeds, the own condition of the write can no longer hold.
    ///
    /// Does not return while the platform is unavailable; the future may be dropped and `resolve` called again.
    pub async fn resolve(&self, write_id: WriteId, key: &Arc<str>) -> Resolution {
        let Some(shared) = self.history().shared_resolution(write_id) else {
            return Resolution::Forgotten;
        };
        *shared.get_or_init(|| self.resolve_with_retries(write_id, key)).await
    }

    /// Commits like [`Client::commit`] and resolves an unknown outcome; never returns [`Outcome::Unknown`] unless
    /// the write is no longer known to the client.
    pub async fn commit_and_resolve(&self, write_id: WriteId, writes: Vec<Write>) -> Outcome {
        let (key, count) = (writes.first().map(|write| Arc::clone(&write.key)), writes.len());
        match (self.commit(write_id, writes).await, key) {
            (Outcome::Unknown, Some(key)) => self.resolve(write_id, &key).await.outcome(count),
            (known, _) => known,
        }
    }

    async fn resolve_with_retries(&self, write_id: WriteId, key: &Arc<str>) -> Resolution {
        let mut attempt = 0;
        let resolution = loop {
            if let Some(resolution) = self.resolve_by_read(write_id, key).await {
                break resolution;
            }
            if let Some(resolution) = self.resolve_by_fence(write_id).await {
                break resolution;
            }
            attempt += 1;
            tokio::time::sleep(self.backoff(attempt, &Error::Unreachable)).await;
        };
        self.history().mark_resolved(write_id, resolution, self.clock().now());
        resolution
    }

    async fn resolve_by_read(&self, write_id: WriteId, key: &Arc<str>) -> Option<Resolution> {
        let history_key = history::key(write_id);
        let read = Read { keys: vec![Arc::clone(key), Arc::clone(&history_key)] };
        let found: Rows = self.query_once(READ_PATH, &read).await.ok()?;
        let to_resolution = |row: &Row| {
            (row.write_id == write_id || row.key == history_key).then(|| history::resolution(row, write_id))
        };
        found.rows.iter().find_map(to_resolution)
    }

    async fn resolve_by_fence(&self, write_id: WriteId) -> Option<Resolution> {
        let commit = Commit { write_id: self.next_write_id(), writes: history::fence(write_id) };
        match self.send_commit(&commit).await {
            Outcome::Done(_) => Some(Resolution::NotDone),
            Outcome::NotDone(Reason::Conflict(conflict)) if conflict.key == history::swept_key(write_id.boot) => {
                Some(Resolution::Forgotten)
            }
            Outcome::NotDone(Reason::Conflict(conflict)) => {
                conflict.current.map(|row| history::resolution(&row, write_id))
            }
            Outcome::NotDone(_) | Outcome::Unknown => None,
        }
    }
}
