//! The agent's row, by which placers find it.

use std::sync::Arc;
use std::time::Duration;

use super::{Message, State};
use crate::clock::whole_ms;
use crate::message::{AGENT_ROW_RETENTION, LINK_TIMEOUT};
use crate::rows::{self, AGENT_PREFIX, Process};
use crate::store::{Change, Condition, Handle, Outcome, ReadError, Table, Transaction};

/// Time without a link from a placer after which the agent writes its row again.
const ANNOUNCE_AFTER: Duration = Duration::from_secs(3);
/// Attempts at one announcement. Another announcement follows anyway while no placer connects.
const ANNOUNCE_ATTEMPTS: u32 = 8;
/// Pause after an announcement that failed.
const ANNOUNCE_RETRY: Duration = Duration::from_millis(250);

impl State {
    /// Detects that the process was paused for so long that its row may have been deleted.
    pub(super) fn detect_pause(&mut self, now: Duration) {
        let paused = now.saturating_sub(std::mem::replace(&mut self.active_at, now));
        if paused >= AGENT_ROW_RETENTION {
            log::warn!(event = "agent_was_paused", paused_ms = whole_ms(paused); "");
            self.resumed_at = Some(now);
            self.doubt_row(now);
        }
    }

    /// Schedules the next announcement after the link has ended.
    ///
    /// A link that was lost during a pause of the process ends right after it.
    pub(super) fn announce_later(&mut self, now: Duration) {
        let has_resumed = self.resumed_at.is_some_and(|resumed| now.saturating_sub(resumed) < LINK_TIMEOUT);
        self.announce_due = if has_resumed { now } else { now + ANNOUNCE_AFTER };
    }

    /// Records that a placer opens a link, perhaps after it has ordered the deletion of the row.
    pub(super) fn check_row_after(&mut self, unlinked: Duration, now: Duration) {
        if unlinked + LINK_TIMEOUT >= AGENT_ROW_RETENTION {
            self.doubt_row(now);
        }
    }

    fn doubt_row(&mut self, now: Duration) {
        self.is_row_doubtful = true;
        self.announce_due = now;
    }

    /// Publishes the agent's link address when it has a worker and no placer has connected for some time, or the row may
    /// be deleted.
    pub(super) fn announce_if_due(&mut self, now: Duration) {
        let needs_row = self.link.is_none() || self.is_row_doubtful;
        if now < self.announce_due || !needs_row || self.tracked.is_none() {
            return;
        }
        self.announce(now);
    }

    pub(super) fn announce(&mut self, now: Duration) {
        self.announce_due = now + ANNOUNCE_AFTER;
        let content = Process { address: self.context.settings.links_address };
        self.write_row(Some(rows::encode(&content)));
    }

    /// Writes or deletes the agent's row; an earlier call that is still attempting the opposite gives up.
    pub(super) fn write_row(&mut self, value: Option<Vec<u8>>) {
        let is_present = value.is_some();
        if let Some((was_present, write)) = self.row_write.take_if(|(_, write)| !write.is_finished()) {
            if was_present == is_present {
                self.row_write = Some((was_present, write));
                return;
            }
            write.abort();
        }
        let key = Arc::from(format!("{AGENT_PREFIX}{}", self.context.settings.name));
        let change = Change { table: Table::Cell, key, value };
        let (store, myself) = (Arc::clone(&self.context.store), self.myself.clone());
        let write = async move {
            if write_row(store, change).await && is_present {
                // The agent may have ended.
                drop(myself.cast(Message::Announced));
            }
        };
        self.row_write = Some((is_present, tokio::spawn(write)));
    }
}

/// Writes or deletes the agent's row, in a limited number of attempts; returns whether that is done.
async fn write_row(store: Handle, change: Change) -> bool {
    for _ in 0..ANNOUNCE_ATTEMPTS {
        if let Ok(conditions) = row_conditions(&store, &change).await {
            let transaction = Transaction { conditions, changes: vec![change.clone()] };
            let outcome = (store.commit)(transaction).await;
            log::info!(event = "agent_row", is_present = change.value.is_some(), outcome:? = outcome; "");
            if matches!(outcome, Outcome::Done(_) | Outcome::Conflict(_)) {
                return true;
            }
        }
        tokio::time::sleep(ANNOUNCE_RETRY).await;
    }
    false
}

/// Conditions of a write of the agent's row.
///
/// A deletion names the row that is there. An attempt without an answer may take effect late, and must not delete the
/// row of the next worker.
async fn row_conditions(store: &Handle, change: &Change) -> Result<Vec<Condition>, ReadError> {
    if change.value.is_some() {
        return Ok(Vec::new());
    }
    let row = (store.read_one)((change.table, Arc::clone(&change.key))).await?;
    let revision = row.map_or(0, |row| row.revision);
    Ok(vec![Condition { table: change.table, key: Arc::clone(&change.key), revision }])
}
