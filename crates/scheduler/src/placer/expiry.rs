//! Removes rows that nobody needs any more.

use std::collections::BTreeMap;
use std::sync::Arc;

use chervilledge_cell::job::JobId;
use chervilledge_policy::id::Name;

use crate::rows::{self, AGENT_PREFIX};
use crate::store::{Change, Condition, Handle, Outcome, Partition, Table, Transaction, job_partition};

/// Removes the rows of ended jobs and of agents that are gone; gives the jobs whose rows are gone.
///
/// The row of a job goes before that of its progress: a job without progress would be run anew.
pub(super) async fn remove(store: &Handle, placer: Condition, jobs: &[JobId], agents: &[Name]) -> Vec<JobId> {
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
