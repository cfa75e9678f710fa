//! Planned end of an entry.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use super::{Entry, RETIRE_TIMEOUT_MS};
use crate::{peer, placer};

/// Interval of the checks whether another entry can take the cell.
const SUCCESSOR_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time kept for the release of the cell, which is one write to the store.
const RELEASE_TIME: Duration = Duration::from_secs(1);

impl Entry {
    /// Takes on no new role, and releases the cell if this entry places: once another entry can take it, at the latest
    /// in time for the end of the process after `within`. Until then it goes on placing.
    pub async fn retire(&self, within: Duration) {
        self.inner.is_stopping.store(true, Ordering::Relaxed);
        let Some((term, _)) = self.local_placer() else { return };
        if tokio::time::timeout(within.saturating_sub(RELEASE_TIME), self.wait_for_successor()).await.is_err() {
            log::warn!(event = "no_successor", term = term; "");
        }
        self.release_cell().await;
    }

    /// Releases the cell if this entry places.
    pub(super) async fn release_cell(&self) {
        if let Some((_, placer)) = self.local_placer() {
            // No reply is needed from a placer that has already ended.
            drop(ractor::call_t!(placer, placer::Message::Retire, RETIRE_TIMEOUT_MS));
        }
    }

    /// Waits until another entry of the cell can take it; not at all if no other is known.
    async fn wait_for_successor(&self) {
        loop {
            let others = self.other_entries();
            if others.is_empty() || can_any_take_cell(others).await {
                return;
            }
            tokio::time::sleep(SUCCESSOR_CHECK_INTERVAL).await;
        }
    }

    fn other_entries(&self) -> Vec<SocketAddr> {
        let Some(roster) = self.roster() else { return Vec::new() };
        let others = roster.entries.iter().filter(|(name, _)| **name != self.inner.settings.name);
        others.map(|(_, address)| *address).collect()
    }
}

async fn can_any_take_cell(entries: Vec<SocketAddr>) -> bool {
    let answers: FuturesUnordered<_> = entries.into_iter().map(peer::can_take_cell).collect();
    answers.any(|can_take| async move { can_take }).await
}
