//! Deletes rows that are no longer needed.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::job::JobId;
use chervilledge_policy::id::Name;

use super::{Message, State};
use crate::rows::{self, AGENT_PREFIX};
use crate::store::{Change, Condition, Handle, Outcome, Partition, Table, Transaction, job_partition};

/// Maximum number of jobs whose rows are deleted in one transaction.
const EXPIRY_BATCH_MAX: usize = 20;
/// Time after which the row of an unreachable agent is deleted; its leases have ended by then.
const AGENT_ROW_RETENTION: Duration = Duration::from_secs(6);

impl State {
    /// Deletes the rows of jobs whose retention has ended, and of unreachable agents.
    pub(super) fn expire(&mut self, now: Duration) {
        let mut expired = self.cell.expired(self.context.ended_jobs_kept, now);
        expired.truncate(EXPIRY_BATCH_MAX);
        let gone = self.unreachable_agents(now);
        if expired.is_empty() && gone.is_empty() {
            return;
        }
        let placer = self.placer_condition();
        let store = Arc::clone(&self.context.store);
        let myself = self.myself.clone();
        self.is_expiring = true;
        tokio::spawn(async move {
            let jobs: Vec<JobId> = expired.into_iter().map(|(id, _)| id).collect();
            let removed = remove(&store, placer, &jobs, &gone).await;
            // The placer may have ended in the meantime.
            drop(myself.cast(Message::Expired(removed)));
        });
    }

    fn unreachable_agents(&self, now: Duration) -> Vec<Name> {
        let is_unlinked = |name: &&Name| {
            let unlinked = self.dialers.get(*name).map(|dialer| now.saturating_sub(dialer.unlinked_since));
            unlinked.is_none_or(|unlinked| unlinked >= AGENT_ROW_RETENTION)
        };
        let roster = self.context.roster.borrow();
        let unreadable = roster.iter().flat_map(|roster| &roster.unreadable_agents);
        let undialed = unreadable.filter(|name| !self.dialers.contains_key(*name));
        let known = self.dialers.keys().chain(undialed);
        known.filter(is_unlinked).filter(|name| self.cell.is_lapsed(name)).cloned().collect()
    }
}

/// Deletes the rows of ended jobs and of unreachable agents; returns the jobs whose rows are gone.
///
/// A job's row is deleted before its progress row, since a job without progress would be run again.
async fn remove(store: &Handle, placer: Condition, jobs: &[JobId], agents: &[Name]) -> Vec<JobId> {
    let mut by_partition: BTreeMap<Partition, Vec<JobId>> = BTreeMap::new();
    for job in jobs {
        by_partition.entry(job_partition(*job)).or_default().push(*job);
    }
    let mut removed = Vec::new();
    for jobs in by_partition.into_values() {
        let changes = jobs
            .iter()
            .flat_map(|id| [removal(Table::Jobs, rows::job_key(*id)), removal(Table::Jobs, rows::cancel_key(*id))])
            .collect();
        if matches!((store.commit)(Transaction { conditions: Vec::new(), changes }).await, Outcome::Done(_)) {
            removed.extend(jobs);
        }
    }
    let mut changes: Vec<Change> = removed.iter().map(|id| removal(Table::Progress, rows::job_key(*id))).collect();
    changes.extend(agents.iter().map(|name| removal(Table::Cell, Arc::from(format!("{AGENT_PREFIX}{name}")))));
    if changes.is_empty() {
        return removed;
    }
    let outcome = (store.commit)(Transaction { conditions: vec![placer], changes }).await;
    log::info!(event = "rows_expired", jobs = removed.len(), agents = agents.len(), outcome:? = outcome; "");
    removed
}

const fn removal(table: Table, key: Name) -> Change {
    Change { table, key, value: None }
}
