//! Rows of the store, as the walk models them.

use std::collections::BTreeMap;

use chervilledge_cell::cell::writes::Batch;
use chervilledge_cell::job::{Job, JobId, TaskId};
use chervilledge_cell::progress::Progress;

/// Rows of the store.
#[derive(Default)]
pub struct Store {
    pub term: u64,
    /// Jobs with the revisions of their rows.
    pub jobs: BTreeMap<JobId, (Job, u64)>,
    pub progress: BTreeMap<JobId, (Progress, u64)>,
    pub revision: u64,
}

impl Store {
    /// Writes a batch if its conditions hold; returns the revision or the conflicting ones.
    pub fn write(&mut self, term: u64, batch: &Batch) -> Result<u64, Option<Vec<(JobId, u64)>>> {
        if self.term != term {
            return Err(None);
        }
        let revision = |store: &Self, job: &JobId| store.progress.get(job).map_or(0, |(_, revision)| *revision);
        if batch.writes.iter().any(|write| revision(self, &write.job) != write.revision) {
            return Err(Some(batch.writes.iter().map(|write| (write.job, revision(self, &write.job))).collect()));
        }
        self.revision += 1;
        for write in &batch.writes {
            self.progress.insert(write.job, (write.progress.clone(), self.revision));
        }
        Ok(self.revision)
    }

    pub fn is_done(&self, task: TaskId) -> bool {
        let is_durable = |progress: &Progress| {
            progress.done.contains(&task.key)
                || progress.completed.contains(task.key.occurrence)
                || progress.outcome.is_some()
        };
        self.progress.get(&task.job).is_some_and(|(progress, _)| is_durable(progress))
    }
}
