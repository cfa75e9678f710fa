//! What must become durable, and what may follow once it is.
//!
//! Each change of a job's progress gives it a new version. An end may be settled when the version that holds it is
//! durable, and every earlier end of the same worker is settled.
//!
//! Checkpoints of running tasks make no new version, so that no end waits for them. They take what room the changes of
//! versions leave in a batch, and one of their own when there has been none for [`ALONE_AFTER`].

use std::collections::VecDeque;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use super::jobs::JobEntry;
use super::{Action, Cell};
use crate::job::JobId;
use crate::progress::Progress;
use crate::worker::Life;

/// Rows of progress that one batch may hold; below the store's bound on a transaction, with room for conditions.
const BATCH_MAX: usize = 40;
/// Time for which checkpoints wait for a batch with ends to go along with; most cells have several in that time.
const ALONE_AFTER: Duration = Duration::from_millis(400);

/// New content of the row of a job's progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Job of the row.
    pub job: JobId,
    /// Content.
    pub progress: Progress,
    /// Version of the content.
    pub version: u64,
    /// Revision that the row must have; 0 when it must not exist.
    pub revision: u64,
}

/// Writes that become durable together.
#[derive(Clone, Debug, PartialEq)]
pub struct Batch {
    /// Number of the batch.
    pub number: u64,
    /// Rows to write.
    pub writes: Vec<Write>,
}

/// Versions of a job's progress.
#[derive(Clone, Copy, Debug, Default)]
struct Versions {
    present: u64,
    durable: u64,
}

#[derive(Debug)]
struct UnsettledEnd {
    life: Life,
    number: u64,
    job: JobId,
    /// Version of the job's progress that holds the end; `None` while the job isn't known.
    version: Option<u64>,
}

/// Bookkeeping of batches.
#[derive(Debug, Default)]
pub(crate) struct Writes {
    /// Jobs whose progress isn't durable, in the order in which they are written.
    dirty: VecDeque<JobId>,
    /// Jobs in `dirty`.
    is_dirty: Set<JobId>,
    versions: Map<JobId, Versions>,
    /// Jobs of which only checkpoints are to be written.
    saving: VecDeque<JobId>,
    /// Those of them that are in the batch under way.
    saving_in_flight: Set<JobId>,
    /// When `saving` got its first job.
    saving_since: Duration,
    /// They have waited long enough for a batch with ends.
    is_saving_alone: bool,
    /// Some of them show how a job ended.
    is_urgent: bool,
    /// Number of the newest batch.
    newest: u64,
    is_in_flight: bool,
    /// Ends of each agent's worker in the order of their numbers.
    ends: Map<Name, VecDeque<UnsettledEnd>>,
}

impl Writes {
    /// Takes note of an end that may be settled once the job's present version is durable.
    pub(crate) fn ended(&mut self, agent: Name, life: Life, number: u64, job: JobId) {
        let version = Some(self.present(job));
        self.ends.entry(agent).or_default().push_back(UnsettledEnd { life, number, job, version });
    }

    /// Takes note of an end that may not be settled until its job is released.
    pub(crate) fn hold(&mut self, agent: Name, life: Life, number: u64, job: JobId) {
        self.ends.entry(agent).or_default().push_back(UnsettledEnd { life, number, job, version: None });
    }

    /// Lets ends of a job that were held be settled once its present version is durable.
    pub(crate) fn release(&mut self, job: JobId) {
        let version = self.present(job);
        for end in self.ends.values_mut().flatten().filter(|end| end.job == job) {
            end.version.get_or_insert(version);
        }
    }

    /// Adds a job of which only checkpoints are to be written.
    pub(crate) fn save(&mut self, job: JobId, now: Duration) {
        if self.saving.is_empty() {
            self.saving_since = now;
            self.is_saving_alone = false;
        }
        self.saving.push_back(job);
    }

    /// Whether checkpoints that were added aren't durable yet.
    pub(crate) fn has_checkpoints(&self) -> bool {
        !self.saving.is_empty() || !self.saving_in_flight.is_empty()
    }

    /// Lets checkpoints go without ends once they have waited long enough.
    pub(crate) fn checkpoints_waited(&mut self, now: Duration) {
        self.is_saving_alone = now >= self.saving_since + ALONE_AFTER;
    }

    fn present(&self, job: JobId) -> u64 {
        self.versions.get(&job).map_or(0, |versions| versions.present)
    }

    /// Forgets a job whose rows are gone.
    pub(crate) fn forget(&mut self, job: JobId) {
        self.versions.remove(&job);
    }

    fn is_durable(&self, end: &UnsettledEnd) -> bool {
        let Some(version) = end.version else { return false };
        self.versions.get(&end.job).is_none_or(|versions| versions.durable >= version)
    }
}

impl Cell {
    pub(crate) fn mark_dirty(&mut self, job: JobId) {
        self.writes.versions.entry(job).or_default().present += 1;
        if self.writes.is_dirty.insert(job) {
            self.writes.dirty.push_back(job);
        }
    }

    /// Marks a job as dirty whose end is to be shown.
    pub(crate) fn mark_ended(&mut self, job: JobId) {
        self.mark_dirty(job);
        self.writes.is_urgent = true;
    }

    /// Whether a write waits that shows how a job ended.
    #[must_use]
    pub const fn has_urgent_write(&self) -> bool {
        self.writes.is_urgent
    }

    /// Takes the next batch, unless one is under way. Ends that need no write are settled on the way.
    pub fn next_batch(&mut self) -> Option<Batch> {
        if self.writes.is_in_flight {
            return None;
        }
        let may_save = !self.writes.dirty.is_empty() || (self.writes.is_saving_alone && !self.writes.saving.is_empty());
        if !may_save {
            self.settle();
            return None;
        }
        let count = self.writes.dirty.len().min(BATCH_MAX);
        let mut jobs: Vec<JobId> = self.writes.dirty.drain(..count).collect();
        for job in &jobs {
            self.writes.is_dirty.remove(job);
        }
        self.writes.is_urgent &= !self.writes.dirty.is_empty();
        self.add_checkpoints(&mut jobs);
        if jobs.is_empty() {
            self.settle();
            return None;
        }
        let write = |job: &JobId| {
            let entry = self.jobs.get(job)?;
            let version = self.writes.versions.get(job).map_or(0, |versions| versions.present);
            Some(Write { job: *job, progress: entry.progress.clone(), version, revision: entry.revision })
        };
        let writes = jobs.iter().filter_map(write).collect();
        self.writes.newest += 1;
        self.writes.is_in_flight = true;
        Some(Batch { number: self.writes.newest, writes })
    }

    /// Fills a batch up with jobs of which only checkpoints are to be written.
    fn add_checkpoints(&mut self, jobs: &mut Vec<JobId>) {
        while jobs.len() < BATCH_MAX
            && let Some(job) = self.writes.saving.pop_front()
        {
            // The end of a job, and other ends of its tasks, are written with the checkpoints that are kept beside them.
            let is_needed = self.jobs.get(&job).is_some_and(JobEntry::is_open);
            if is_needed && !self.writes.is_dirty.contains(&job) && !jobs.contains(&job) {
                jobs.push(job);
                self.writes.saving_in_flight.insert(job);
            }
        }
    }

    /// Takes note that a batch is durable, under `revision`.
    pub fn committed(&mut self, batch: &Batch, revision: u64, now: Duration) {
        self.writes.is_in_flight = false;
        self.writes.saving_in_flight.clear();
        for write in &batch.writes {
            if let Some(versions) = self.writes.versions.get_mut(&write.job) {
                versions.durable = versions.durable.max(write.version);
            }
            let Some(entry) = self.jobs.get_mut(&write.job) else { continue };
            entry.revision = revision;
            if entry.shown.is_none() && write.progress.outcome.is_some() {
                entry.shown = write.progress.outcome;
                entry.shown_at = Some(now);
            }
        }
        self.settle();
    }

    /// Takes note that a batch didn't take effect, since rows have other revisions: those are taken for the next try.
    pub fn conflicted(&mut self, batch: &Batch, revisions: &[(JobId, u64)]) {
        for (job, revision) in revisions {
            if let Some(entry) = self.jobs.get_mut(job) {
                entry.revision = *revision;
            }
        }
        self.requeue_batch(batch);
    }

    /// Takes note that a batch didn't take effect, or that it isn't known whether it did: it is written again.
    pub fn requeue_batch(&mut self, batch: &Batch) {
        self.writes.is_in_flight = false;
        self.writes.is_urgent |= batch.writes.iter().any(|write| write.progress.outcome.is_some());
        let saving = std::mem::take(&mut self.writes.saving_in_flight);
        for write in batch.writes.iter().rev() {
            if saving.contains(&write.job) {
                self.writes.saving.push_front(write.job);
            } else if self.writes.is_dirty.insert(write.job) {
                self.writes.dirty.push_front(write.job);
            }
        }
    }

    fn settle(&mut self) {
        let mut ends = std::mem::take(&mut self.writes.ends);
        for (agent, waiting) in &mut ends {
            let mut settled: Option<(Life, u64)> = None;
            while let Some(end) = waiting.pop_front_if(|end| self.writes.is_durable(end)) {
                settled = Some((end.life, end.number));
            }
            if let Some((life, cursor)) = settled {
                self.actions.push_back(Action::Settle { agent: Name::clone(agent), life, cursor });
            }
        }
        ends.retain(|_, waiting| !waiting.is_empty());
        self.writes.ends = ends;
    }
}
