//! Jobs and the state of their tasks.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use super::task::{Checkpoint, Task};
use super::{Cell, Note, task_id};
use crate::job::{Job, JobId, JobState, Step, TASKS_MAX, TaskId, TaskKey, WORK_MAX};
use crate::packing::Need;
use crate::progress::{Outcome, Progress};
use crate::run_time::MeasuredWork;
use crate::urgency;

/// Done tasks of a job with a schedule above which those of completed occurrences are forgotten, from then on at the end of
/// each occurrence. Below it, the row of the progress stays readable for every version.
const DONE_TASKS_MAX: usize = 1_000;

/// Tasks of a job with a schedule, those included that are done in open occurrences, from which on no further occurrence is
/// opened.
const HELD_TASKS_MAX: usize = 50_000;

/// Progress of the unfinished tasks of a job.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnfinishedProgress {
    /// When it was computed; `None` before the first time.
    pub(super) counted_at: Option<Duration>,
    /// Core time of the work done.
    pub(super) work: Duration,
    /// Least progress among the tasks of each occurrence and step, in percent.
    pub(super) least_percent: Map<(u32, u32), u32>,
}

/// A job that the placer knows.
#[derive(Debug)]
pub(crate) struct JobEntry {
    pub(crate) job: Arc<Job>,
    /// Tasks of the open occurrences. One that isn't contained is either not open yet or completed.
    pub(crate) tasks: Map<TaskKey, Task>,
    /// Number of tasks that aren't done, by occurrence and step; of the open occurrences.
    pub(crate) left: Map<(u32, u32), u32>,
    /// What is stored of the tasks of any occurrence, open or not.
    ///
    /// Until the job has ended, an end in `done` is only removed when its occurrence is added to `completed`, a failure
    /// or checkpoint only when its task is done, and a crash besides when a later run refutes it, another task explains
    /// it, or the limit on stored tasks makes room for one with more crashes.
    pub(crate) progress: Progress,
    /// Size of the checkpoints in `progress`, in bytes of its compact form.
    pub(crate) checkpoint_bytes: usize,
    /// Revision of the progress row; 0 when there is none.
    pub(crate) revision: u64,
    /// No former placer can have started a task of the job.
    pub(crate) is_fresh: bool,
    /// Decided outcome; reported once it is durable.
    pub(crate) outcome: Option<Outcome>,
    pub(crate) durable_outcome: Option<Outcome>,
    /// Some task has started.
    pub(crate) has_started: bool,
    pub(crate) submitted_at: Duration,
    /// Number of occurrences that were opened in their order; later ones are opened early when a worker reports one of
    /// their tasks.
    pub(crate) opened_occurrences: u32,
    /// Work of the runs of each step that are done.
    pub(crate) measured: Vec<MeasuredWork>,
    /// Most time that failed runs of one task of each step took, at full pace.
    pub(crate) failed_time: Vec<Duration>,
    /// Expected run time of each step's tasks at full pace.
    pub(crate) run_times: Vec<Duration>,
    /// Longest chain from each step to the end, that step included: of each step the task that takes longest, with its
    /// failed runs.
    pub(crate) chains: Vec<Duration>,
    pub(crate) unfinished: UnfinishedProgress,
    /// When the outcome became durable.
    pub(crate) durable_at: Option<Duration>,
}

impl JobEntry {
    pub(crate) fn state(&self) -> JobState {
        match self.durable_outcome {
            Some(Outcome::Completed) => JobState::Completed,
            Some(Outcome::Failed) => JobState::Failed,
            Some(Outcome::Canceled) => JobState::Canceled,
            None if self.has_started => JobState::Running,
            None => JobState::Queued,
        }
    }

    pub(crate) fn is_open(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether the tasks of an occurrence were created.
    fn has_opened(&self, occurrence: u32) -> bool {
        self.left.contains_key(&(occurrence, 0)) || self.progress.completed.contains(occurrence)
    }

    /// Forgets the tasks of completed occurrences once there are many, so that the progress and the tasks of a job with
    /// a schedule grow with what is open. Called when every task of these open `occurrences` is done.
    pub(super) fn fold_completed_occurrences(&mut self, occurrences: &[u32]) {
        if self.job.schedule.is_none() || occurrences.is_empty() {
            return;
        }
        if self.progress.done.len() <= DONE_TASKS_MAX {
            if !self.progress.completed.is_empty() {
                for occurrence in occurrences {
                    self.fold_occurrence(*occurrence);
                }
            }
            return;
        }
        let unfinished = self.left.iter().filter(|(_, left)| **left > 0).map(|((occurrence, _), _)| *occurrence);
        let running = self.tasks.iter().filter(|(_, task)| !task.runs.is_empty()).map(|(key, _)| key.occurrence);
        let kept: Set<u32> = unfinished.chain(running).collect();
        for (occurrence, _) in self.left.keys().filter(|(occurrence, _)| !kept.contains(occurrence)) {
            self.progress.completed.insert(*occurrence);
        }
        // Occurrences that aren't open have no tasks yet, whether or not some of theirs are done.
        let completed = &self.progress.completed;
        self.left.retain(|(occurrence, _), _| !completed.contains(*occurrence));
        self.tasks.retain(|key, _| !completed.contains(key.occurrence));
        self.progress.done.retain(|key| !completed.contains(key.occurrence));
    }

    /// Whether every task of an occurrence is done.
    pub(super) fn is_occurrence_done(&self, occurrence: u32) -> bool {
        let mut steps = 0..u32::try_from(self.job.steps.len()).unwrap_or(u32::MAX);
        steps.all(|step| self.is_step_done(occurrence, step))
    }

    /// Forgets the tasks of a completed occurrence, unless copies of them still run.
    fn fold_occurrence(&mut self, occurrence: u32) {
        let keys = |job: &Job| -> Vec<TaskKey> {
            let steps = (0_u32..).zip(&job.steps);
            steps
                .flat_map(|(step, content)| (0..content.count).map(move |index| TaskKey { occurrence, step, index }))
                .collect()
        };
        let keys = keys(&self.job);
        if keys.iter().any(|key| self.tasks.get(key).is_some_and(|task| !task.runs.is_empty())) {
            return;
        }
        for key in keys {
            self.tasks.remove(&key);
            self.progress.done.remove(&key);
            self.left.remove(&(occurrence, key.step));
        }
        self.progress.completed.insert(occurrence);
    }

    /// Whether all tasks of a step are done, in an occurrence whose tasks exist.
    pub(super) fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        self.left.get(&(occurrence, step)).is_some_and(|left| *left == 0)
    }

    /// Whether all steps that the task depends on are done; false unless its occurrence is open.
    pub(crate) fn is_due(&self, key: TaskKey) -> bool {
        let Some(step) = self.job.step(key) else { return false };
        self.left.contains_key(&(key.occurrence, key.step))
            && step.after.iter().all(|earlier| self.is_step_done(key.occurrence, *earlier))
    }

    /// Time within which the job should end. A queue may have no objective, and the age of a repeating or lasting job
    /// doesn't measure its latency.
    fn objective(&self) -> Option<Duration> {
        let terms = &self.job.terms;
        let has_objective = terms.stretch > 0.0 || !terms.latency_objective.is_zero();
        let ends_once = self.job.schedule.is_none() && !self.job.is_lasting();
        (has_objective && ends_once).then(|| urgency::objective(terms, self.chain()))
    }

    /// Longest chain of run times of the whole job.
    pub(crate) fn chain(&self) -> Duration {
        self.chains.iter().copied().max().unwrap_or_default()
    }

    /// Expected core time of the tasks that aren't done.
    pub(crate) fn remaining_work(&self) -> Duration {
        let work = |((_, step), left): (&(u32, u32), &u32)| self.task_work(*step).saturating_mul(*left);
        self.left.iter().map(work).fold(Duration::ZERO, Duration::saturating_add).min(WORK_MAX)
    }

    pub(crate) fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.submitted_at)
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
    /// Loads a job with its durable progress; `age` is the time since it was accepted.
    ///
    /// Does nothing if the job is known already.
    pub fn load(&mut self, job: Job, progress: Progress, revision: u64, age: Duration, now: Duration) {
        self.insert(job, progress, revision, age, false, now);
    }

    /// Adds a job that was just submitted; `revision` is that of its row, once it is known.
    pub fn submit(&mut self, job: Job, revision: Option<u64>, now: Duration) {
        let is_fresh = self.is_fresh(revision);
        self.insert(job, Progress::default(), 0, Duration::ZERO, is_fresh, now);
    }

    /// Records the revision of a job's row.
    pub fn job_row_seen(&mut self, id: JobId, revision: u64) {
        if self.is_fresh(Some(revision))
            && let Some(entry) = self.jobs.get_mut(&id)
            && !entry.is_fresh
        {
            entry.is_fresh = true;
            self.needs_placing = true;
        }
    }

    /// Records that a former placer no longer acted when the store had this revision.
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
        let has_started = revision > 0;
        let mut entry = JobEntry {
            job: Arc::new(job),
            tasks: Map::default(),
            left: Map::default(),
            checkpoint_bytes: progress.checkpoints.values().map(|text| Progress::compact_checkpoint_bytes(text)).sum(),
            progress,
            revision,
            is_fresh,
            outcome,
            durable_outcome: outcome,
            has_started,
            submitted_at: now.saturating_sub(age),
            opened_occurrences: 0,
            measured: Vec::new(),
            failed_time: Vec::new(),
            run_times: Vec::new(),
            chains: Vec::new(),
            unfinished: UnfinishedProgress::default(),
            durable_at: outcome.map(|_| now),
        };
        entry.measured = vec![MeasuredWork::default(); entry.job.steps.len()];
        entry.failed_time = vec![Duration::ZERO; entry.job.steps.len()];
        entry.estimate_run_times(&self.accuracy(&entry.job.queue));
        if !has_started {
            *self.pending_by_queue.entry(Arc::clone(&entry.job.queue)).or_default() += 1;
        }
        if outcome.is_none() && entry.job.schedule.is_some() {
            self.scheduled.insert(id);
        }
        self.lasting.add_job(&entry);
        self.jobs.insert(id, entry);
        if outcome.is_none() {
            self.open_occurrences(id, None, now);
        }
        self.take_unread(id, now);
    }

    /// Creates the tasks of occurrences that are due, as long as fewer than [`TASKS_MAX`] tasks of the job aren't
    /// done and it has fewer than [`HELD_TASKS_MAX`] in all: a schedule may name four billion occurrences that are all
    /// due now. `unix_ms` is the wall clock, needed only for jobs with a schedule.
    pub fn open_due(&mut self, unix_ms: u64, now: Duration) {
        let scheduled: Vec<JobId> = self.scheduled.iter().copied().collect();
        for id in scheduled {
            self.open_occurrences(id, Some(unix_ms), now);
        }
    }

    fn open_occurrences(&mut self, id: JobId, unix_ms: Option<u64>, now: Duration) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        let mut opened = Vec::new();
        let mut left: u64 = entry.left.values().map(|left| u64::from(*left)).sum();
        loop {
            if let Some(last) = entry.progress.completed.last_of_range(entry.opened_occurrences) {
                entry.opened_occurrences = last.saturating_add(1).min(entry.job.occurrences());
            }
            let occurrence = entry.opened_occurrences;
            let is_due = match (entry.job.due_unix_ms(occurrence), unix_ms) {
                (None, _) => true,
                (Some(due), Some(unix_ms)) => unix_ms >= due,
                (Some(_), None) => false,
            };
            if occurrence >= entry.job.occurrences()
                || !is_due
                || left >= TASKS_MAX
                || entry.tasks.len() >= HELD_TASKS_MAX
            {
                break;
            }
            entry.opened_occurrences += 1;
            // An occurrence that was opened early is contained in `left` already.
            if !entry.has_opened(occurrence) {
                left += open_occurrence(entry, occurrence);
                opened.push(occurrence);
            }
        }
        // No end of theirs will come that would make room for later occurrences.
        let (done, unfinished): (Vec<u32>, Vec<u32>) =
            opened.into_iter().partition(|occurrence| entry.is_occurrence_done(*occurrence));
        entry.fold_completed_occurrences(&done);
        for occurrence in unfinished {
            self.queue_due_tasks(id, occurrence, |_| true, now);
        }
        self.finish_if_done(id, now);
    }

    /// Creates the tasks of the occurrence that a worker's report is about, unless they exist.
    ///
    /// A former placer has started the task, so its occurrence is due, whatever this process's clock shows. The report
    /// would be lost without the task, and with it that the task has run.
    pub(crate) fn open_reported_occurrence(&mut self, task: TaskId, now: Duration) {
        let occurrence = task.key.occurrence;
        let is_missing = |entry: &&mut JobEntry| {
            entry.is_open()
                && occurrence < entry.job.occurrences()
                && entry.job.step(task.key).is_some()
                && !entry.has_opened(occurrence)
        };
        let Some(entry) = self.jobs.get_mut(&task.job).filter(is_missing) else { return };
        open_occurrence(entry, occurrence);
        self.queue_due_tasks(task.job, occurrence, |_| true, now);
    }

    /// Queues the tasks of the chosen steps of an occurrence that may start and have no run.
    pub(crate) fn queue_due_tasks(
        &mut self,
        id: JobId,
        occurrence: u32,
        is_chosen: impl Fn(&Step) -> bool,
        now: Duration,
    ) {
        self.needs_placing = true;
        let Some(entry) = self.jobs.get_mut(&id).filter(|entry| entry.is_open()) else { return };
        let job = Arc::clone(&entry.job);
        for (step, content) in (0_u32..).zip(&job.steps).filter(|(_, content)| is_chosen(content)) {
            if !entry.is_due(TaskKey { occurrence, step, index: 0 }) {
                continue;
            }
            for index in 0..content.count {
                let key = TaskKey { occurrence, step, index };
                if let Some(task) = entry.tasks.get_mut(&key).filter(|task| !task.is_done && task.runs.is_empty())
                    && self.ready.insert(task_id(id, key))
                {
                    task.ready_since = now;
                }
            }
        }
    }

    /// Cancels a job that hasn't ended.
    pub fn cancel(&mut self, id: JobId, now: Duration) {
        self.end_job(id, Outcome::Canceled, None, now);
    }

    /// Whether a job is known.
    #[must_use]
    pub fn knows(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Decides the outcome of a job, and stops its runs.
    pub(crate) fn end_job(&mut self, id: JobId, outcome: Outcome, task: Option<TaskId>, now: Duration) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        if entry.outcome.is_some() {
            return;
        }
        self.scheduled.remove(&id);
        entry.estimate_run_times(&self.accuracies.get(&entry.job.queue).copied().unwrap_or_default());
        entry.outcome = Some(outcome);
        // A job that has ended needs nothing else, and successors read every row.
        entry.progress = Progress { outcome: Some(outcome), ..Progress::default() };
        entry.checkpoint_bytes = 0;
        let age = entry.age(now);
        let (objective, queue) = (entry.objective(), Arc::clone(&entry.job.queue));
        let state = match outcome {
            Outcome::Completed => JobState::Completed,
            Outcome::Failed => JobState::Failed,
            Outcome::Canceled => JobState::Canceled,
        };
        let keys: Vec<TaskKey> = entry.tasks.keys().copied().collect();
        if !entry.has_started {
            entry.has_started = true;
            self.decrement_pending(&queue);
        }
        self.notes.push(Note::JobEnded { job: id, state, age, objective, queue, task });
        self.mark_ended(id);
        for key in keys {
            self.ready.remove(&task_id(id, key));
            self.stop_runs(task_id(id, key), "job_ended", |_| true);
        }
    }

    /// Marks a job as started.
    pub(crate) fn mark_started(&mut self, id: JobId) {
        let Some(entry) = self.jobs.get_mut(&id) else { return };
        if entry.has_started {
            return;
        }
        entry.has_started = true;
        let queue = Arc::clone(&entry.job.queue);
        self.decrement_pending(&queue);
    }

    fn decrement_pending(&mut self, queue: &Name) {
        if let Some(count) = self.pending_by_queue.get_mut(queue) {
            *count = count.saturating_sub(1);
        }
    }

    /// Completes the job if every task of every occurrence is done.
    pub(crate) fn finish_if_done(&mut self, id: JobId, now: Duration) {
        let Some(entry) = self.jobs.get(&id) else { return };
        let is_done = entry.opened_occurrences == entry.job.occurrences() && entry.left.values().all(|left| *left == 0);
        if is_done && entry.is_open() {
            self.end_job(id, Outcome::Completed, None, now);
        }
    }

    /// Jobs whose outcome became durable at least `retention` ago, with the revisions of their rows.
    #[must_use]
    pub fn expired(&self, retention: Duration, now: Duration) -> Vec<(JobId, u64)> {
        self.jobs
            .iter()
            .filter(|(_, entry)| entry.durable_at.is_some_and(|shown| now >= shown + retention))
            .filter(|(_, entry)| entry.tasks.values().all(|task| task.runs.is_empty()))
            .map(|(id, entry)| (*id, entry.revision))
            .collect()
    }

    /// Forgets a job whose rows were deleted.
    pub fn forget(&mut self, id: JobId) {
        if let Some(entry) = self.jobs.remove(&id)
            && !entry.has_started
        {
            self.decrement_pending(&entry.job.queue);
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

/// Creates the tasks of an occurrence; returns the number of those that aren't done.
fn open_occurrence(entry: &mut JobEntry, occurrence: u32) -> u64 {
    let mut total_left = 0;
    for (position, step) in entry.job.steps.iter().enumerate() {
        let position = u32::try_from(position).unwrap_or(u32::MAX);
        let mut left = 0;
        for index in 0..step.count {
            let key = TaskKey { occurrence, step: position, index };
            let task = Task {
                is_done: entry.progress.done.contains(&key),
                failed_runs: entry.progress.failures.get(&key).cloned().unwrap_or_default(),
                crashes: entry.progress.crashes.get(&key).cloned().unwrap_or_default(),
                checkpoint: Checkpoint::stored(&entry.progress, key),
                ..Task::default()
            };
            left += u32::from(!task.is_done);
            entry.tasks.insert(key, task);
        }
        entry.left.insert((occurrence, position), left);
        total_left += u64::from(left);
    }
    total_left
}
