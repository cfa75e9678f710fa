//! Deletes rows that are no longer needed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::job::JobId;
use chervilledge_policy::id::Name;

use super::{Message, State};
use crate::message::AGENT_ROW_RETENTION;
use crate::progress_rows;
use crate::rows::{self, AGENT_PREFIX};
use crate::store::{Change, Condition, Handle, Outcome, Partition, Table, Transaction, job_partition};

/// Maximum number of jobs, and of agents, whose rows are deleted in one transaction.
const EXPIRY_BATCH_MAX: usize = 20;
/// Maximum number of progress rows that are deleted in one transaction, below the store's limit on its entries.
const ROWS_REMOVED_MAX: usize = 90;

impl State {
    /// Deletes the rows of jobs whose retention has ended, and of unreachable agents.
    pub(super) fn expire(&mut self, now: Duration) {
        let mut expired = self.cell.expired(self.context.ended_jobs_kept, now);
        expired.truncate(EXPIRY_BATCH_MAX);
        let parts = |id: JobId| self.progress_parts.get(&id).copied().unwrap_or(0);
        let expired: Vec<(JobId, u32)> = expired.into_iter().map(|(id, _)| (id, parts(id))).collect();
        let gone = self.unreachable_agents(now);
        if expired.is_empty() && gone.is_empty() {
            return;
        }
        let placer = self.placer_condition();
        let store = Arc::clone(&self.context.store);
        let myself = self.myself.clone();
        self.is_expiring = true;
        tokio::spawn(async move {
            let removed = remove_jobs(&store, placer.clone(), &expired).await;
            remove_agents(&store, placer, gone).await;
            // The placer may have ended in the meantime.
            drop(myself.cast(Message::Expired(removed)));
        });
    }

    /// Rows of the agents that have been unreachable for long. An agent that is back may take some time to report on its
    /// worker, and is lapsed until then.
    fn unreachable_agents(&self, now: Duration) -> Vec<Condition> {
        let Some(roster) = self.context.roster.borrow().clone() else { return Vec::new() };
        let is_unlinked = |name: &Name| {
            let unlinked = self.dialers.get(name).map(|dialer| now.saturating_sub(dialer.unlinked_since));
            !self.links.contains_key(name) && unlinked.is_none_or(|unlinked| unlinked >= AGENT_ROW_RETENTION)
        };
        let unreachable =
            roster.agent_revisions.iter().filter(|(name, _)| self.cell.is_lapsed(name) && is_unlinked(name));
        unreachable
            .take(EXPIRY_BATCH_MAX)
            .map(|(name, revision)| {
                let key = Arc::from(format!("{AGENT_PREFIX}{name}"));
                Condition { table: Table::Cell, key, revision: *revision }
            })
            .collect()
    }
}

/// Deletes the rows of ended jobs, each with the number of further rows of its progress; returns the jobs whose rows are gone.
///
/// A job's row is deleted before its progress row, since a job without progress would be run again.
async fn remove_jobs(store: &Handle, placer: Condition, jobs: &[(JobId, u32)]) -> Vec<JobId> {
    let mut by_partition: BTreeMap<Partition, Vec<(JobId, u32)>> = BTreeMap::new();
    for job in jobs {
        by_partition.entry(job_partition(job.0)).or_default().push(*job);
    }
    let (mut removed, mut progress_keys) = (Vec::new(), Vec::new());
    for jobs in by_partition.into_values() {
        let changes = jobs
            .iter()
            .flat_map(|(id, _)| [removal(Table::Jobs, rows::job_key(*id)), removal(Table::Jobs, rows::cancel_key(*id))])
            .collect();
        if matches!((store.commit)(Transaction { conditions: Vec::new(), changes }).await, Outcome::Done(_)) {
            for (id, parts) in jobs {
                progress_keys.push(rows::job_key(id));
                progress_keys.extend((1..=parts).map(|number| progress_rows::part_key(id, number)));
                removed.push(id);
            }
        }
    }
    for keys in progress_keys.chunks(ROWS_REMOVED_MAX) {
        let changes = keys.iter().map(|key| removal(Table::Progress, Arc::clone(key))).collect();
        let outcome = (store.commit)(Transaction { conditions: vec![placer.clone()], changes }).await;
        log::info!(event = "rows_expired", jobs = removed.len(), agents = 0, outcome:? = outcome; "");
    }
    removed
}

/// Deletes the rows of unreachable agents, or none if one of them has been written again, which means that its agent is
/// back.
async fn remove_agents(store: &Handle, placer: Condition, mut agents: Vec<Condition>) {
    if agents.is_empty() {
        return;
    }
    let changes: Vec<Change> = agents.iter().map(|row| removal(row.table, Arc::clone(&row.key))).collect();
    let count = changes.len();
    agents.push(placer);
    let outcome = (store.commit)(Transaction { conditions: agents, changes }).await;
    log::info!(event = "rows_expired", jobs = 0, agents = count, outcome:? = outcome; "");
}

const fn removal(table: Table, key: Name) -> Change {
    Change { table, key, value: None }
}
