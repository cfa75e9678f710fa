//! What must become durable, and what may follow once it is.

use std::collections::VecDeque;
use std::time::Duration;

use chervilledge_policy::collections::Set;
use chervilledge_policy::id::Name;

use super::{Action, Cell};
use crate::job::JobId;
use crate::progress::Progress;
use crate::worker::Life;

/// Rows of progress that one batch may hold; below the store's bound on a transaction, with room for conditions.
const BATCH_MAX: usize = 40;

/// New content of the row of a job's progress.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// Job of the row.
    pub job: JobId,
    /// Content.
    pub progress: Progress,
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

/// Bookkeeping of batches.
#[derive(Debug, Default)]
pub(crate) struct Writes {
    /// Jobs whose progress isn't durable, in the order in which they changed.
    dirty: VecDeque<JobId>,
    /// Jobs in `dirty`.
    is_dirty: Set<JobId>,
    /// Number of the newest batch.
    newest: u64,
    /// The batch that is under way.
    in_flight: Vec<JobId>,
    /// Ends in the order in which they came, with the last job to be written before they may be settled.
    ends: VecDeque<UnsettledEnd>,
    /// Marks written so far, by `marks`.
    written_marks: u64,
    /// Jobs that were ever marked.
    marks: u64,
    /// Mark of each entry of `dirty`.
    dirty_marks: VecDeque<u64>,
    in_flight_mark: u64,
}

#[derive(Debug)]
struct UnsettledEnd {
    agent: Name,
    life: Life,
    number: u64,
    /// Everything marked up to here must be durable first.
    mark: u64,
}

impl Writes {
    /// Takes note of an end that may be settled once everything marked so far is durable.
    pub(crate) fn ended(&mut self, agent: Name, life: Life, number: u64) {
        self.ends.push_back(UnsettledEnd { agent, life, number, mark: self.marks });
    }

    fn mark(&mut self, job: JobId) {
        if self.is_dirty.insert(job) {
            self.marks += 1;
            self.dirty.push_back(job);
            self.dirty_marks.push_back(self.marks);
        }
    }

    /// Highest mark up to which everything is durable.
    fn durable_mark(&self) -> u64 {
        if !self.in_flight.is_empty() {
            return self.written_marks;
        }
        self.dirty_marks.front().map_or(self.marks, |first| first - 1)
    }
}

impl Cell {
    pub(crate) fn mark_dirty(&mut self, job: JobId) {
        self.writes.mark(job);
    }

    /// Whether a batch is under way.
    #[must_use]
    pub fn is_writing(&self) -> bool {
        !self.writes.in_flight.is_empty()
    }

    /// Whether something waits to become durable.
    #[must_use]
    pub fn has_writes(&self) -> bool {
        !self.writes.dirty.is_empty() || !self.writes.ends.is_empty()
    }

    /// Takes the next batch, unless one is under way. Ends that need no write are settled on the way.
    pub fn next_batch(&mut self) -> Option<Batch> {
        if self.is_writing() {
            return None;
        }
        if self.writes.dirty.is_empty() {
            self.settle();
            return None;
        }
        self.writes.written_marks = self.writes.durable_mark();
        let count = self.writes.dirty.len().min(BATCH_MAX);
        let jobs: Vec<JobId> = self.writes.dirty.drain(..count).collect();
        self.writes.in_flight_mark = self.writes.dirty_marks.drain(..count).next_back().unwrap_or(0);
        for job in &jobs {
            self.writes.is_dirty.remove(job);
        }
        self.writes.newest += 1;
        let writes = jobs
            .iter()
            .filter_map(|job| {
                let entry = self.jobs.get(job)?;
                Some(Write { job: *job, progress: entry.progress.clone(), revision: entry.revision })
            })
            .collect();
        self.writes.in_flight = jobs;
        Some(Batch { number: self.writes.newest, writes })
    }

    /// Takes note that a batch is durable, under `revision`.
    pub fn committed(&mut self, batch: &Batch, revision: u64, now: Duration) {
        for write in &batch.writes {
            let Some(entry) = self.jobs.get_mut(&write.job) else { continue };
            entry.revision = revision;
            if entry.shown.is_none() && write.progress.outcome.is_some() {
                entry.shown = write.progress.outcome;
                entry.shown_at = Some(now);
            }
        }
        self.writes.in_flight.clear();
        self.writes.written_marks = self.writes.in_flight_mark;
        self.settle();
    }

    /// Takes note that a batch didn't take effect, since rows have other revisions: those are taken for the next try.
    pub fn conflicted(&mut self, batch: &Batch, revisions: &[(JobId, u64)]) {
        for (job, revision) in revisions {
            if let Some(entry) = self.jobs.get_mut(job) {
                entry.revision = *revision;
            }
        }
        self.give_back(batch);
    }

    /// Takes note that a batch didn't take effect, or that it isn't known whether it did: it is written again.
    pub fn give_back(&mut self, batch: &Batch) {
        self.writes.in_flight.clear();
        // Whatever is written later holds everything that is known by then.
        for write in batch.writes.iter().rev() {
            if self.writes.is_dirty.insert(write.job) {
                self.writes.dirty.push_front(write.job);
                self.writes.dirty_marks.push_front(self.writes.written_marks + 1);
            } else if let Some(mark) = self.writes.dirty_marks.front_mut() {
                *mark = self.writes.written_marks + 1;
            }
        }
    }

    fn settle(&mut self) {
        let durable = self.writes.durable_mark();
        while let Some(end) = self.writes.ends.front() {
            if end.mark > durable {
                break;
            }
            let Some(end) = self.writes.ends.pop_front() else { break };
            let next_is_alike = |next: &UnsettledEnd| next.agent == end.agent && next.life == end.life;
            if self.writes.ends.front().is_some_and(|next| next.mark <= durable && next_is_alike(next)) {
                continue;
            }
            self.actions.push_back(Action::Settle { agent: end.agent, life: end.life, cursor: end.number });
        }
    }
}
