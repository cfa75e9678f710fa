//! Writes progress to the store.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::writes::Batch;
use chervilledge_cell::job::JobId;

use super::{Message, RETRY_PAUSE, State};
use crate::progress_rows;
use crate::rows::{self, PLACER_KEY};
use crate::store::{Condition, Outcome, Table, Transaction};

impl State {
    pub(super) fn write_batch(&mut self, batch: Batch, now: Duration) {
        let mut transaction = Transaction { conditions: vec![self.placer_condition()], changes: Vec::new() };
        for write in &batch.writes {
            let (table, key) = (Table::Progress, rows::job_key(write.job));
            transaction.conditions.push(Condition { table, key, revision: write.revision });
            let changes = progress_rows::changes(write.job, &write.progress);
            self.note_parts(write.job, changes.len());
            transaction.changes.extend(changes);
        }
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

    /// Records how many rows the progress of a job was written to. Rows that a shorter form leaves over are ignored, and
    /// deleted together with the job.
    fn note_parts(&mut self, job: JobId, rows: usize) {
        let parts = u32::try_from(rows.saturating_sub(1)).unwrap_or(u32::MAX);
        if parts > 0 {
            let known = self.progress_parts.entry(job).or_default();
            *known = parts.max(*known);
        }
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
