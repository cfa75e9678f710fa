//! Jobs and the stages of their tasks.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use super::checkpoints::Checkpoint;
use super::urgencies::Advance;
use super::{Cell, Note, task_id};
use crate::job::{Job, JobId, JobState, TASKS_MAX, TaskId, TaskKey, WORK_MAX};
use crate::pace::FULL_PERCENT;
use crate::packing::Need;
use crate::progress::{Outcome, Progress};
use crate::urgency::{self, Urgency};

/// A run that was ordered and hasn't ended.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) number: u64,
    pub(crate) agent: Name,
    /// When the worker took it, or was first seen to run it.
    pub(crate) started: Option<Duration>,
    pub(crate) percent: u32,
    /// When `percent` last changed.
    pub(crate) moved: Duration,
    /// The run was told to stop.
    pub(crate) is_stopping: bool,
    /// Pace in percent, as last reported.
    pub(crate) pace_percent: u32,
    /// Since when the run has been slowed down for the sake of others, without a break.
    pub(crate) slowed: Option<Duration>,
    /// Urgency, as the agent was told it.
    pub(crate) urgency: Urgency,
    /// `percent` at that time.
    pub(crate) slowed_from_percent: u32,
}

impl Run {
    /// A run that was ordered, or found on a worker, just now.
    pub(crate) fn new(number: u64, agent: &Name, now: Duration) -> Self {
        Self {
            number,
            agent: Arc::clone(agent),
            started: None,
            percent: 0,
            moved: now,
            is_stopping: false,
            pace_percent: FULL_PERCENT,
            slowed: None,
            urgency: Urgency::UNKNOWN,
            slowed_from_percent: 0,
        }
    }

    /// Takes note of whether the run is slowed down, at a progress of `percent`.
    pub(crate) fn slow(&mut self, is_slowed: bool, percent: u32, now: Duration) {
        if !is_slowed {
            // What it stood still before says nothing of its worker.
            if self.slowed.take().is_some() {
                self.moved = now;
            }
        } else if self.slowed.is_none() {
            self.slowed = Some(now);
            self.slowed_from_percent = percent;
        }
    }
}

/// A task of a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub(crate) is_done: bool,
    /// Part that was counted as done work, in percent.
    pub(crate) counted_percent: u32,
    pub(crate) runs: Vec<Run>,
    /// Starts under this term.
    pub(crate) starts: u64,
    /// Numbers of runs that failed.
    pub(crate) failed_runs: BTreeSet<u64>,
    pub(crate) checkpoint: Checkpoint,
    /// When the task last began to wait for room.
    pub(crate) ready_since: Duration,
    /// Nothing is started before this time.
    pub(crate) not_before: Duration,
    /// Agents on whose workers the task failed or stood still.
    pub(crate) avoided: Vec<Name>,
    /// Runs that were stopped in favor of other tasks.
    pub(crate) displaced: u32,
}

impl Task {
    /// Progress of one of its runs that a stop may lose, in percent.
    pub(crate) fn unsaved_percent(&self, run: &Run, is_checkpointing: bool) -> u32 {
        let is_saved = is_checkpointing && self.checkpoint.run == run.number;
        run.percent.saturating_sub(if is_saved { self.checkpoint.percent } else { 0 })
    }
}

/// A job that the placer knows.
#[derive(Debug)]
pub(crate) struct JobEntry {
    pub(crate) job: Arc<Job>,
    pub(crate) tasks: Map<TaskKey, Task>,
    /// Tasks of each occurrence and step that aren't done.
    pub(crate) left: Map<(u32, u32), u32>,
    pub(crate) progress: Progress,
    /// Revision of the row of progress; 0 when there is none.
    pub(crate) revision: u64,
    /// No former placer can have started a task of the job.
    pub(crate) is_fresh: bool,
    /// How the job ends; shown once it is durable.
    pub(crate) outcome: Option<Outcome>,
    pub(crate) shown: Option<Outcome>,
    /// Some task has started.
    pub(crate) has_begun: bool,
    pub(crate) submitted: Duration,
    /// Occurrences whose tasks exist.
    pub(crate) opened: u32,
    /// Longest chain of estimates from each step to the end.
    pub(crate) chains: Vec<Duration>,
    pub(crate) advance: Advance,
    /// When the outcome became durable.
    pub(crate) shown_at: Option<Duration>,
}

impl JobEntry {
    pub(crate) fn state(&self) -> JobState {
        match self.shown {
            Some(Outcome::Completed) => JobState::Completed,
            Some(Outcome::Failed) => JobState::Failed,
            Some(Outcome::Canceled) => JobState::Canceled,
            None if self.has_begun => JobState::Running,
            None => JobState::Queued,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether every earlier step that the task waits for is done.
    pub(crate) fn is_due(&self, key: TaskKey) -> bool {
        let Some(step) = self.job.step(key) else { return false };
        step.after.iter().all(|earlier| self.left.get(&(key.occurrence, *earlier)).copied().unwrap_or(0) == 0)
    }

    /// Time within which the job should end. A queue may have no objective, and the age of a job that repeats or lasts
    /// says nothing.
    fn objective(&self) -> Option<Duration> {
        let terms = &self.job.terms;
        let has_objective = terms.stretch > 0.0 || !terms.latency_objective.is_zero();
        let ends_once = self.job.schedule.is_none() && !self.job.is_lasting();
        (has_objective && ends_once).then(|| urgency::objective(terms, self.chain()))
    }

    /// Longest chain of estimates of the whole job.
    pub(crate) fn chain(&self) -> Duration {
        self.chains.iter().copied().max().unwrap_or_default()
    }

    /// Processor time of one core that the tasks take which aren't done, by their estimates.
    pub(crate) fn remaining_work(&self) -> Duration {
        let work = |((_, step), left): (&(u32, u32), &u32)| {
            Some(self.job.steps.get(*step as usize)?.work().saturating_mul(*left))
        };
        self.left.iter().filter_map(work).fold(Duration::ZERO, Duration::saturating_add).min(WORK_MAX)
    }

    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.submitted)
    }
}

/// What a task of a step needs of a worker.
pub(crate) fn need(job: &Job, key: TaskKey) -> Need {
    job.step(key).map_or_else(Need::default, |step| Need {
        resources: step.resources,
        is_filling: step.filling,
        is_serving: step.lasting,
        ..Need::default()
    })
}

impl Cell {
    /// Takes in a job with what is durable of it; `age` is the time since it was accepted.
    ///
    /// A job that is known already is left as it is.
    pub fn load(&mut self, job: Job, progress: Progress, revision: u64, age: Duration, now: Duration) {
        self.insert(job, progress, revision, age, false, now);
    }

    /// Takes in a job that was submitted just now; `revision` is that of its row, once it is known.
    pub fn submit(&mut self, job: Job, revision: Option<u64>, now: Duration) {
        let is_fresh = self.is_fresh(revision);
        self.insert(job, Progress::default(), 0, Duration::ZERO, is_fresh, now);
    }

    /// Takes note of the revision of a job's row.
    pub fn job_row_seen(&mut self, id: JobId, revision: u64) {
        if self.is_fresh(Some(revision))
            && let Some(entry) = self.jobs.get_mut(&id)
            && !entry.is_fresh
        {
            entry.is_fresh = true;
            self.needs_placing = true;
        }
    }

    /// Takes note that a former placer was over when the store had this revision.
    pub fn set_fresh_from(&mut self, revision: u64) {
        self.fresh_from = Some(self.fresh_from.map_or(revision, |known| known.min(revision)));
    }

    fn is_fresh(&self, revision: Option<u64>) -> bool {
        self.fresh_from.is_some_and(|from| from == 0 || revision.is_some_and(|revision| revision > from))
    }

    fn insert(
        &mut self,
        mut job: Job,
        progress: Progress,
        revision: u64,
        age: Duration,
        is_fresh: bool,
        now: Duration,
    ) {
        if self.jobs.contains_key(&job.id) {
            return;
        }
        self.counters.jobs += 1;
        job.bound();
        let id = job.id;
        let outcome = progress.outcome;
        let has_begun = revision > 0;
        let chains = (0..job.steps.len()).map(|step| job.chain_from(step)).collect();
        let entry = JobEntry {
            job: Arc::new(job),
            tasks: Map::default(),
            left: Map::default(),
            progress,
            revision,
            is_fresh,
            outcome,
            shown: outcome,
            has_begun,
            submitted: now.saturating_sub(age),
            opened: 0,
            chains,
            advance: Advance::default(),
            shown_at: outcome.map(|_| now),
        };
        if !has_begun {
            *self.pending_by_queue.entry(Arc::clone(&entry.job.queue)).or_default() += 1;
        }
        if outcome.is_none() && entry.job.schedule.is_some() {
            self.scheduled.insert(id);
        }
        self.jobs.insert(id, entry);
        if outcome.is_none() {
            self.open_occurrences(id, None, now);
        }
        self.take_unread(id, now);
    }

    /// Opens occurrences that are due, as long as less than [`TASKS_MAX`] tasks of the job aren't done: a schedule may name
    /// four thousand million occurrences that are all due now. `unix_ms` is the wall clock, needed for jobs with a schedule only.
    pub fn open_due(&mut self, unix_ms: u64, now: Duration) {
        let scheduled: Vec<JobId> = self.scheduled.iter().copied().collect();
        for id in scheduled {
            self.open_occurrences(id, Some(unix_ms), now);
        }
    }

    fn open_occurrences(&mut self, id: JobId, unix_ms: Option<u64>, now: Duration) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        let mut left: u64 = entry.left.values().map(|left| u64::from(*left)).sum();
        loop {
            let occurrence = entry.opened;
            let is_due = match (entry.job.due_unix_ms(occurrence), unix_ms) {
                (None, _) => true,
                (Some(due), Some(unix_ms)) => unix_ms >= due,
                (Some(_), None) => false,
            };
            if occurrence >= entry.job.occurrences() || !is_due || left >= TASKS_MAX {
                break;
            }
            entry.opened += 1;
            left += open_occurrence(entry, occurrence);
        }
        self.queue_due_tasks(id, now);
        self.finish_if_done(id, now);
    }

    /// Puts every task that may start, and has no run, among the waiting ones.
    pub(crate) fn queue_due_tasks(&mut self, id: JobId, now: Duration) {
        let Some(entry) = self.jobs.get_mut(&id).filter(|entry| entry.is_open()) else { return };
        let due: Vec<TaskKey> = entry
            .tasks
            .iter()
            .filter(|(key, task)| !task.is_done && task.runs.is_empty() && entry.is_due(**key))
            .map(|(key, _)| *key)
            .collect();
        for key in due {
            if self.ready.insert(task_id(id, key))
                && let Some(task) = entry.tasks.get_mut(&key)
            {
                task.ready_since = now;
            }
        }
        self.needs_placing = true;
    }

    /// Cancels a job. One that has ended stays as it is.
    pub fn cancel(&mut self, id: JobId, now: Duration) {
        self.end_job(id, Outcome::Canceled, None, now);
    }

    /// Whether a job is known.
    #[must_use]
    pub fn knows(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Decides how a job ends, and stops what runs of it.
    pub(crate) fn end_job(&mut self, id: JobId, outcome: Outcome, task: Option<TaskId>, now: Duration) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        if entry.outcome.is_some() {
            return;
        }
        self.scheduled.remove(&id);
        entry.outcome = Some(outcome);
        // Nothing else is needed of a job that has ended, and successors read every row.
        entry.progress = Progress { outcome: Some(outcome), ..Progress::default() };
        let age = entry.age(now);
        let (objective, queue) = (entry.objective(), Arc::clone(&entry.job.queue));
        let state = match outcome {
            Outcome::Completed => JobState::Completed,
            Outcome::Failed => JobState::Failed,
            Outcome::Canceled => JobState::Canceled,
        };
        let keys: Vec<TaskKey> = entry.tasks.keys().copied().collect();
        if !entry.has_begun {
            entry.has_begun = true;
            self.one_pending_less(&queue);
        }
        self.notes.push(Note::JobEnded { job: id, state, age, objective, queue, task });
        self.mark_ended(id);
        for key in keys {
            self.ready.remove(&task_id(id, key));
            self.stop_runs(task_id(id, key), "job_ended", |_| true);
        }
    }

    /// Marks a job as begun.
    pub(crate) fn begin(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        if entry.has_begun {
            return;
        }
        entry.has_begun = true;
        let queue = Arc::clone(&entry.job.queue);
        self.one_pending_less(&queue);
    }

    fn one_pending_less(&mut self, queue: &Name) {
        if let Some(count) = self.pending_by_queue.get_mut(queue) {
            *count = count.saturating_sub(1);
        }
    }

    /// Ends the job as completed when every task of every occurrence is done.
    pub(crate) fn finish_if_done(&mut self, id: JobId, now: Duration) {
        let Some(entry) = self.jobs.get(&id) else { return };
        let is_done = entry.opened == entry.job.occurrences() && entry.left.values().all(|left| *left == 0);
        if is_done && entry.is_open() {
            self.end_job(id, Outcome::Completed, None, now);
        }
    }

    /// Jobs whose outcome has been shown for `retention`, with the revisions of their rows.
    #[must_use]
    pub fn expired(&self, retention: Duration, now: Duration) -> Vec<(JobId, u64)> {
        self.jobs
            .iter()
            .filter(|(_, entry)| entry.shown_at.is_some_and(|shown| now >= shown + retention))
            .filter(|(_, entry)| entry.tasks.values().all(|task| task.runs.is_empty()))
            .map(|(id, entry)| (*id, entry.revision))
            .collect()
    }

    /// Forgets a job whose rows are gone.
    pub fn forget(&mut self, id: JobId) {
        if let Some(entry) = self.jobs.remove(&id)
            && !entry.has_begun
        {
            self.one_pending_less(&entry.job.queue);
        }

        self.writes.forget(id);
        self.ready.retain(|task| task.job != id);
    }

    /// Jobs that haven't ended.
    #[must_use]
    pub fn open_jobs(&self) -> Set<JobId> {
        self.jobs.iter().filter(|(_, entry)| entry.is_open()).map(|(id, _)| *id).collect()
    }
}

/// Makes the tasks of an occurrence; gives the number of those that aren't done.
fn open_occurrence(entry: &mut JobEntry, occurrence: u32) -> u64 {
    let mut left_of_all = 0;
    for (position, step) in entry.job.steps.iter().enumerate() {
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        let mut left = 0;
        for index in 0..step.count {
            let key = TaskKey { occurrence, step: position, index };
            let task = Task {
                is_done: entry.progress.done.contains(&key),
                failed_runs: entry.progress.failures.get(&key).cloned().unwrap_or_default(),
                checkpoint: Checkpoint::stored(&entry.progress, key),
                ..Task::default()
            };
            left += u32::from(!task.is_done);
            entry.tasks.insert(key, task);
        }
        entry.left.insert((occurrence, position), left);
        left_of_all += u64::from(left);
    }
    left_of_all
}
