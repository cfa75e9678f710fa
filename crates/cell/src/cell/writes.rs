//! Order of durable writes, and of the settling of ends that depends on them.
//!
//! Each change of a job's progress gives it a new version. An end may be settled when the version that holds it is
//! durable, and every earlier end of the same worker is settled.
//!
//! Checkpoints of running tasks make no new version, so that no end waits for them. They fill up batches of changed
//! versions, and get a batch of their own when there has been none for [`CHECKPOINT_WAIT_MAX`].

use std::collections::VecDeque;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use super::{Action, Cell};
use crate::job::JobId;
use crate::progress::Progress;
use crate::worker::Life;

/// Progress rows per batch; below the store's bound on a transaction, with room for conditions.
const BATCH_MAX: usize = 40;
/// Size of the progress in a batch, in bytes: in Base64 and with keys and conditions less than the 1 MB that the store
/// takes in one call.
const BATCH_BYTES_MAX: usize = 512 << 10;
/// Time for which checkpoints wait to join a batch with ends; most cells have several in that time.
const CHECKPOINT_WAIT_MAX: Duration = Duration::from_millis(400);

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

/// Present and durable version of a job's progress.
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
    /// Version of the job's progress that holds the end; `None` for a held end, see [`HeldEnds`].
    version: Option<u64>,
}

/// Ends of a job that weren't settled when they came because the job wasn't known.
#[derive(Clone, Copy, Debug, Default)]
struct HeldEnds {
    /// Number of those that aren't settled; at least 1.
    count: usize,
    /// Version of the job's progress that holds them; `None` until they are released.
    version: Option<u64>,
}

/// Reported crash of a worker that isn't durable.
#[derive(Debug)]
struct UnsettledCrash {
    agent: Name,
    life: Life,
    /// Jobs of the runs, and the versions of their progress that hold the crash.
    versions: Vec<(JobId, u64)>,
}

/// Queues of the jobs to write and of the unsettled ends.
#[derive(Debug, Default)]
pub(crate) struct Writes {
    /// Jobs whose progress isn't durable, in the order of writing.
    dirty: VecDeque<JobId>,
    /// Jobs in `dirty`.
    dirty_set: Set<JobId>,
    versions: Map<JobId, Versions>,
    /// Jobs of which only checkpoints are written.
    checkpoint_only: VecDeque<JobId>,
    /// Those of them in the batch that is being written.
    checkpoint_only_in_flight: Set<JobId>,
    /// When `checkpoint_only` last became non-empty.
    checkpoint_only_since: Duration,
    /// The checkpoints have waited long enough to be written without ends.
    may_write_checkpoints_alone: bool,
    /// Some dirty job has ended.
    has_job_end: bool,
    /// Number of the newest batch.
    newest: u64,
    is_in_flight: bool,
    /// Unsettled ends by agent, in the order of their numbers.
    ends: Map<Name, VecDeque<UnsettledEnd>>,
    held: Map<JobId, HeldEnds>,
    crashes: Vec<UnsettledCrash>,
}

impl Writes {
    /// Adds an end that may be settled once the job's present version is durable.
    pub(crate) fn add_end(&mut self, agent: Name, life: Life, number: u64, job: JobId) {
        let version = Some(self.present(job));
        self.ends.entry(agent).or_default().push_back(UnsettledEnd { life, number, job, version });
    }

    /// Adds an end that isn't settled until its job is released.
    pub(crate) fn add_held_end(&mut self, agent: Name, life: Life, number: u64, job: JobId) {
        self.ends.entry(agent).or_default().push_back(UnsettledEnd { life, number, job, version: None });
        // Ends of the job that were released before wait with this one; each held end is released once more.
        let held = self.held.entry(job).or_default();
        *held = HeldEnds { count: held.count + 1, version: None };
    }

    /// Number of the first end in a worker's life that waits to be settled.
    pub(crate) fn first_unsettled_end(&self, agent: &Name, life: &Life) -> Option<u64> {
        self.ends.get(agent)?.iter().find(|end| end.life == *life).map(|end| end.number)
    }

    /// Adds a crash that may be settled once the present version of each job is durable.
    pub(crate) fn add_crash(&mut self, agent: Name, life: Life, jobs: impl Iterator<Item = JobId>) {
        if !self.has_crash(&agent, &life) {
            let versions = jobs.map(|job| (job, self.present(job))).collect();
            self.crashes.push(UnsettledCrash { agent, life, versions });
        }
    }

    /// Whether a crash waits to be settled.
    pub(crate) fn has_crash(&self, agent: &Name, life: &Life) -> bool {
        self.crashes.iter().any(|crash| crash.agent == *agent && crash.life == *life)
    }

    /// Releases the held ends of a job: they are settled once its present version is durable.
    pub(crate) fn release_ends(&mut self, job: JobId) {
        let version = self.present(job);
        if let Some(held) = self.held.get_mut(&job) {
            held.version.get_or_insert(version);
        }
    }

    /// Queues a job of which only checkpoints are written.
    pub(crate) fn queue_checkpoints(&mut self, job: JobId, now: Duration) {
        if self.checkpoint_only.is_empty() {
            self.checkpoint_only_since = now;
            self.may_write_checkpoints_alone = false;
        }
        self.checkpoint_only.push_back(job);
    }

    /// Whether queued checkpoints aren't durable yet.
    pub(crate) fn has_checkpoints(&self) -> bool {
        !self.checkpoint_only.is_empty() || !self.checkpoint_only_in_flight.is_empty()
    }

    /// Allows a batch of checkpoints alone once they have waited long enough.
    pub(crate) fn update_checkpoint_wait(&mut self, now: Duration) {
        self.may_write_checkpoints_alone = now >= self.checkpoint_only_since + CHECKPOINT_WAIT_MAX;
    }

    fn present(&self, job: JobId) -> u64 {
        self.versions.get(&job).map_or(0, |versions| versions.present)
    }

    /// Forgets a job whose rows were deleted.
    pub(crate) fn forget(&mut self, job: JobId) {
        self.versions.remove(&job);
    }

    fn forget_held(&mut self, job: JobId) {
        let Some(held) = self.held.get_mut(&job) else { return };
        held.count -= 1;
        if held.count == 0 {
            self.held.remove(&job);
        }
    }

    fn is_durable(&self, end: &UnsettledEnd) -> bool {
        let held_version = || self.held.get(&end.job).and_then(|held| held.version);
        let Some(version) = end.version.or_else(held_version) else { return false };
        self.versions.get(&end.job).is_none_or(|versions| versions.durable >= version)
    }
}

impl Cell {
    pub(crate) fn mark_dirty(&mut self, job: JobId) {
        self.writes.versions.entry(job).or_default().present += 1;
        if self.writes.dirty_set.insert(job) {
            self.writes.dirty.push_back(job);
        }
    }

    /// Marks a job as dirty because it has ended.
    pub(crate) fn mark_ended(&mut self, job: JobId) {
        self.mark_dirty(job);
        self.writes.has_job_end = true;
    }

    /// Whether a write is pending that records the end of a job.
    #[must_use]
    pub const fn has_urgent_write(&self) -> bool {
        self.writes.has_job_end
    }

    /// Takes the next batch, unless one is being written. Ends that need no write are settled as a side effect.
    pub fn next_batch(&mut self) -> Option<Batch> {
        if self.writes.is_in_flight {
            return None;
        }
        let may_save = !self.writes.dirty.is_empty()
            || (self.writes.may_write_checkpoints_alone && !self.writes.checkpoint_only.is_empty());
        if !may_save {
            self.settle();
            return None;
        }
        let (mut jobs, mut bytes): (Vec<JobId>, usize) = (Vec::new(), 0);
        while jobs.len() < BATCH_MAX
            && let Some(job) = self.writes.dirty.front().copied()
        {
            bytes += self.jobs.get(&job).map_or(0, |entry| entry.progress.stored_bytes());
            if bytes > BATCH_BYTES_MAX && !jobs.is_empty() {
                break;
            }
            self.writes.dirty.pop_front();
            self.writes.dirty_set.remove(&job);
            jobs.push(job);
        }
        self.writes.has_job_end &= !self.writes.dirty.is_empty();
        self.add_checkpoints(&mut jobs, bytes);
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

    /// Fills a batch up with jobs of which only checkpoints are written.
    fn add_checkpoints(&mut self, jobs: &mut Vec<JobId>, mut bytes: usize) {
        while jobs.len() < BATCH_MAX
            && let Some(job) = self.writes.checkpoint_only.front().copied()
        {
            // Ends of the job or of its tasks are written together with the checkpoints in the same progress.
            let needed = self
                .jobs
                .get(&job)
                .filter(|entry| entry.is_open() && !self.writes.dirty_set.contains(&job) && !jobs.contains(&job));
            let job_bytes = needed.map(|entry| entry.progress.stored_bytes());
            bytes += job_bytes.unwrap_or(0);
            if bytes > BATCH_BYTES_MAX && !jobs.is_empty() {
                break;
            }
            self.writes.checkpoint_only.pop_front();
            if job_bytes.is_some() {
                jobs.push(job);
                self.writes.checkpoint_only_in_flight.insert(job);
            }
        }
    }

    /// Records that a batch became durable under `revision`.
    pub fn committed(&mut self, batch: &Batch, revision: u64, now: Duration) {
        self.writes.is_in_flight = false;
        self.writes.checkpoint_only_in_flight.clear();
        for write in &batch.writes {
            if let Some(versions) = self.writes.versions.get_mut(&write.job) {
                versions.durable = versions.durable.max(write.version);
            }
            let Some(entry) = self.jobs.get_mut(&write.job) else { continue };
            entry.revision = revision;
            if entry.durable_outcome.is_none() && write.progress.outcome.is_some() {
                entry.durable_outcome = write.progress.outcome;
                entry.durable_at = Some(now);
            }
        }
        self.settle();
    }

    /// Records that a batch failed because rows have other revisions; the next attempt uses those.
    pub fn conflicted(&mut self, batch: &Batch, revisions: &[(JobId, u64)]) {
        for (job, revision) in revisions {
            if let Some(entry) = self.jobs.get_mut(job) {
                entry.revision = *revision;
            }
        }
        self.requeue_batch(batch);
    }

    /// Queues a batch again that failed or whose outcome is unknown.
    pub fn requeue_batch(&mut self, batch: &Batch) {
        self.writes.is_in_flight = false;
        self.writes.has_job_end |= batch.writes.iter().any(|write| write.progress.outcome.is_some());
        let checkpoint_only = std::mem::take(&mut self.writes.checkpoint_only_in_flight);
        // A job that is written alone may be too large for the store; it must not keep the others from being written.
        if let [write] = &*batch.writes
            && !checkpoint_only.contains(&write.job)
        {
            if self.writes.dirty_set.insert(write.job) {
                self.writes.dirty.push_back(write.job);
            }
            return;
        }
        for write in batch.writes.iter().rev() {
            if checkpoint_only.contains(&write.job) {
                self.writes.checkpoint_only.push_front(write.job);
            } else if self.writes.dirty_set.insert(write.job) {
                self.writes.dirty.push_front(write.job);
            }
        }
    }

    fn settle(&mut self) {
        let versions = &self.writes.versions;
        let is_durable = |crash: &mut UnsettledCrash| {
            let is_job_durable =
                |(job, version): &(JobId, u64)| versions.get(job).is_none_or(|versions| versions.durable >= *version);
            crash.versions.iter().all(is_job_durable)
        };
        for UnsettledCrash { agent, life, .. } in self.writes.crashes.extract_if(.., is_durable) {
            self.actions.push_back(Action::SettleCrash { agent, life });
        }
        let mut ends = std::mem::take(&mut self.writes.ends);
        for (agent, waiting) in &mut ends {
            let mut settled: Option<(Life, u64)> = None;
            while let Some(end) = waiting.pop_front_if(|end| self.writes.is_durable(end)) {
                if end.version.is_none() {
                    self.writes.forget_held(end.job);
                }
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
