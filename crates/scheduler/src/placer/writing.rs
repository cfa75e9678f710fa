//! Writes progress to the store.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::writes::Batch;
use chervilledge_cell::job::JobId;

use super::{Message, RETRY_PAUSE, State};
use crate::rows::{self, PLACER_KEY};
use crate::store::{Change, Condition, Outcome, Table, Transaction};

impl State {
    pub(super) fn write_batch(&self, batch: Batch, now: Duration) {
        let transaction = Transaction {
            conditions: std::iter::once(self.placer_condition())
                .chain(batch.writes.iter().map(|write| Condition {
                    table: Table::Progress,
                    key: rows::job_key(write.job),
                    revision: write.revision,
                }))
                .collect(),
            changes: batch
                .writes
                .iter()
                .map(|write| Change {
                    table: Table::Progress,
                    key: rows::job_key(write.job),
                    value: Some(rows::encode(&write.progress)),
                })
                .collect(),
        };
        let answer = (self.context.store.commit)(transaction);
        let myself = self.myself.clone();
        tokio::spawn(async move {
            let outcome = answer.await;
            if !matches!(outcome, Outcome::Done(_) | Outcome::Conflict(_)) {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            // The placer may have ended in the meantime.
            drop(myself.cast(Message::Written { batch: Box::new(batch), outcome, sent_at: now }));
        });
    }

    /// Condition that this placer hasn't been deposed.
    pub(super) fn placer_condition(&self) -> Condition {
        Condition { table: Table::Cell, key: Arc::from(PLACER_KEY), revision: self.context.revision }
    }

    pub(super) fn handle_write_outcome(&mut self, batch: &Batch, outcome: Outcome, sent_at: Duration, now: Duration) {
        match outcome {
            Outcome::Done(revision) => {
                self.authority.confirmed(sent_at);
                self.cell.store_revision_seen(sent_at, revision);
                self.context.metrics.durable(now.saturating_sub(sent_at));
                self.cell.committed(batch, revision, now);
            }
            Outcome::Conflict(rows) => {
                let row = |table: Table, key: &str| {
                    rows.iter().find(|(name, row)| &**name == table.name() && &*row.key == key).map(|(_, row)| row)
                };
                if row(Table::Cell, PLACER_KEY).is_none_or(|row| row.revision != self.context.revision) {
                    drop(self.myself.cast(Message::Deposed("progress")));
                    return;
                }
                let revisions: Vec<(JobId, u64)> = batch
                    .writes
                    .iter()
                    .map(|write| {
                        let row = row(Table::Progress, &rows::job_key(write.job));
                        (write.job, row.map_or(0, |row| row.revision))
                    })
                    .collect();
                log::info!(event = "progress_conflict", batch = batch.number, jobs = batch.writes.len(); "");
                self.cell.conflicted(batch, &revisions);
            }
            Outcome::Refused | Outcome::NotThere | Outcome::Unknown | Outcome::Broken => {
                log::warn!(event = "progress_not_written", batch = batch.number, outcome:? = outcome; "");
                self.cell.requeue_batch(batch);
            }
        }
    }
}
