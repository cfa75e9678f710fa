//! Checkpoints of tasks: which one the next run starts from, and which are made durable while the run goes on.
//!
//! Limits the loss when all workers and entries fail at once. Reported checkpoints are kept in memory only, since
//! storing each would take a write for every report of every run. Only the jobs with the most unsaved work are
//! written, at a bounded rate: the loss grows with the number of such jobs beyond [`JOBS_MAX`], and not with the
//! duration of their runs.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

use super::jobs::JobEntry;
use super::task::{Checkpoint, Task};
use super::{Cell, Note};
use crate::job::{JobId, TaskId, TaskKey};
use crate::progress::{Checkpointed, Progress};
use crate::worker::RunReport;

/// Shortest time between two selections of jobs; callers notice a loss in units of seconds.
const SELECTION_INTERVAL: Duration = Duration::from_secs(1);
/// Jobs per selection; half of a batch, so that run ends have the other half.
const JOBS_MAX: usize = 20;
/// Unsaved work of a job, in core-milliseconds, below which a write costs more than it may save.
const UNSAVED_MIN_CORE_MS: u64 = 1_000;
/// Bytes of rows per selection: at 10 Mbit/s they delay the ends in the same batch by 70 ms.
const SELECTION_BYTES_MAX: usize = 64 << 10;
/// Size of a job's progress up to which checkpoints of more running tasks are added.
const ROW_BYTES_MAX: usize = 24 << 10;
/// Size of a job's stored checkpoints, so that its progress fits into one transaction: 5,000 of 16 bytes.
const STORED_BYTES_MAX: usize = 200 << 10;

/// Work of open jobs that is saved on workers but not durable.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UnsavedWork {
    /// Number of jobs with enough unsaved work to be written.
    pub jobs: usize,
    /// Their unsaved work in core-milliseconds.
    pub core_ms: u64,
}

/// State of the selection of jobs.
#[derive(Debug, Default)]
pub(crate) struct CheckpointSelection {
    /// Time of the next selection.
    next_selection: Duration,
    /// Unsaved work that the last selection left out.
    unselected: UnsavedWork,
}

impl Task {
    /// Stores a checkpoint of a run; returns whether it is now the task's checkpoint.
    ///
    /// One of a run that has ended and was superseded is ignored. Of two copies of a task, the checkpoint with more
    /// progress is kept.
    pub(crate) fn take_checkpoint(&mut self, run: u64, text: &Name, percent: Option<u32>) -> bool {
        let present = &self.checkpoint;
        let percent = percent.unwrap_or(present.percent);
        let is_active = |number: u64| self.runs.iter().any(|run| run.number == number);
        let counts = match run.cmp(&present.run) {
            Ordering::Equal => true,
            Ordering::Greater => percent > present.percent || !is_active(present.run),
            Ordering::Less => percent > present.percent && is_active(run),
        };
        if text.is_empty() || !counts {
            return false;
        }
        self.checkpoint.run = run;
        if self.checkpoint.text != *text {
            self.checkpoint.text = Arc::clone(text);
            self.checkpoint.percent = percent;
        }
        true
    }
}

impl JobEntry {
    /// Copies the checkpoint of a task into the job's progress, if there is room; an older one is kept otherwise. Returns
    /// whether it was copied.
    pub(crate) fn store_checkpoint(&mut self, key: TaskKey) -> bool {
        let Some(task) = self.tasks.get(&key) else { return false };
        let Checkpoint { text, run, percent } = &task.checkpoint;
        let stored_bytes =
            self.progress.checkpoints.get(&key).map_or(0, |text| Progress::compact_checkpoint_bytes(text));
        let bytes = self.checkpoint_bytes - stored_bytes + Progress::compact_checkpoint_bytes(text);
        if bytes > STORED_BYTES_MAX {
            return false;
        }
        self.checkpoint_bytes = bytes;
        self.progress.checkpoints.insert(key, Arc::clone(text));
        self.progress.checkpointed.insert(key, Checkpointed { run: *run, percent: *percent });
        true
    }

    /// Removes the checkpoint of a task from the job's progress.
    pub(crate) fn forget_checkpoint(&mut self, key: TaskKey) {
        if let Some(text) = self.progress.checkpoints.remove(&key) {
            self.checkpoint_bytes -= Progress::compact_checkpoint_bytes(&text);
        }
        self.progress.checkpointed.remove(&key);
    }

    /// Tasks with a checkpoint that isn't in the progress, with the work in core-milliseconds that storing it would
    /// save.
    fn unsaved_tasks(&self) -> Vec<(u64, TaskKey)> {
        if !self.is_open() || !self.job.steps.iter().any(|step| step.checkpointing) {
            return Vec::new();
        }
        let unsaved = |(key, task): (&TaskKey, &Task)| {
            let step = self.job.step(*key).filter(|step| step.checkpointing && !step.lasting && !task.is_done)?;
            let is_stored = self.progress.checkpoints.get(key) == Some(&task.checkpoint.text);
            if task.checkpoint.text.is_empty() || is_stored {
                return None;
            }
            let stored_percent = self.progress.checkpointed.get(key).map_or(0, |stored| stored.percent);
            let gained_percent = u64::from(task.checkpoint.percent.saturating_sub(stored_percent));
            let estimate_ms = u64::try_from(step.estimate.as_millis()).unwrap_or(u64::MAX);
            let core_ms = estimate_ms.saturating_mul(step.resources.processor_millicores) / 1_000;
            Some((core_ms.saturating_mul(gained_percent) / 100, *key))
        };
        self.tasks.iter().filter_map(unsaved).collect()
    }

    /// Copies unsaved checkpoints into the progress, the most work first, as far as the row has room; returns their
    /// number.
    fn store_unsaved_checkpoints(&mut self) -> usize {
        let mut unsaved = self.unsaved_tasks();
        unsaved.sort_unstable_by(|one, other| other.cmp(one));
        let mut bytes = self.progress.stored_bytes();
        let mut count = 0;
        for (_, key) in unsaved {
            let Some(task) = self.tasks.get(&key) else { continue };
            if !self.progress.checkpoints.contains_key(&key) {
                let more = Progress::checkpoint_bytes(&task.checkpoint.text);
                if bytes + more > ROW_BYTES_MAX {
                    continue;
                }
                bytes += more;
            }
            count += usize::from(self.store_checkpoint(key));
        }
        count
    }
}

impl Cell {
    /// Gives all members of a gang one checkpoint, the one with the most progress.
    ///
    /// The checkpoint of any member is valid for the gang, and members that start from different ones don't work
    /// together.
    pub(crate) fn share_checkpoint(&mut self, members: &[TaskId]) {
        let checkpoints = members.iter().filter_map(|member| Some(&self.task(*member)?.checkpoint));
        let saved = checkpoints.filter(|checkpoint| !checkpoint.text.is_empty());
        let Some(shared) = saved.max_by_key(|checkpoint| (checkpoint.percent, checkpoint.run)).cloned() else { return };
        for member in members {
            if let Some(task) = self.task_mut(*member) {
                task.checkpoint = shared.clone();
            }
        }
    }

    /// Selects the jobs whose checkpoints are written next, if a selection is due.
    ///
    /// Nothing is selected while checkpoints of an earlier selection aren't durable.
    pub fn save_checkpoints(&mut self, now: Duration) {
        if self.writes.has_checkpoints() {
            self.writes.update_checkpoint_wait(now);
            return;
        }
        if now < self.checkpoints.next_selection {
            return;
        }
        self.checkpoints.next_selection = now + SELECTION_INTERVAL;
        let work = |entry: &JobEntry| {
            entry.unsaved_tasks().iter().fold(0, |sum: u64, (core_ms, _)| sum.saturating_add(*core_ms))
        };
        let mut unsaved: Vec<(u64, JobId)> = self
            .jobs
            .iter()
            .map(|(id, entry)| (work(entry), *id))
            .filter(|(core_ms, _)| *core_ms >= UNSAVED_MIN_CORE_MS)
            .collect();
        unsaved.sort_unstable_by(|one, other| other.cmp(one));
        let (mut tasks, mut bytes, mut chosen) = (0, 0, UnsavedWork::default());
        for (core_ms, id) in unsaved.iter().take(JOBS_MAX) {
            let Some(entry) = self.jobs.get_mut(id) else { continue };
            let count = entry.store_unsaved_checkpoints();
            bytes += entry.progress.stored_bytes();
            if count == 0 {
                continue;
            }
            tasks += count;
            chosen.jobs += 1;
            chosen.core_ms = chosen.core_ms.saturating_add(*core_ms);
            self.writes.queue_checkpoints(*id, now);
            if bytes >= SELECTION_BYTES_MAX {
                break;
            }
        }
        let all = unsaved.iter().fold(0, |sum: u64, (core_ms, _)| sum.saturating_add(*core_ms));
        self.checkpoints.unselected =
            UnsavedWork { jobs: unsaved.len() - chosen.jobs, core_ms: all.saturating_sub(chosen.core_ms) };
        if chosen.jobs > 0 {
            self.counters.checkpoints += tasks as u64;
            self.notes.push(Note::CheckpointsChosen { chosen, tasks, left: self.checkpoints.unselected });
        }
    }

    /// Stores the checkpoint that a running task reports.
    pub(crate) fn take_checkpoint(&mut self, report: &RunReport) {
        if let Some(task) = self.task_mut(report.task)
            && task.runs.iter().any(|run| run.number == report.run)
        {
            task.take_checkpoint(report.run, &report.checkpoint, Some(report.percent));
        }
    }

    /// Unsaved work that the last selection left out.
    #[must_use]
    pub const fn unsaved(&self) -> UnsavedWork {
        self.checkpoints.unselected
    }
}
