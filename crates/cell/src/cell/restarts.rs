//! Reports of tasks that start again and again from the same point.
//!
//! Whatever ends their runs, none of them leaves progress behind. It only observes, so that the log, the metrics and the
//! dump tell which jobs get nowhere and how their runs end.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use super::task::Task;
use super::{Cell, Note};
use crate::job::{JobId, TaskId};

/// Starts without progress from which a task is reported.
const REPORTED_STARTS: u32 = 5;
/// Limit on the tasks that [`Cell::restarting_tasks`] lists.
const LISTED_TASKS_MAX: usize = 16;

/// Starts of a task since its last progress.
#[derive(Clone, Debug, Default)]
pub(crate) struct Restarts {
    /// Starts from the same checkpoint while the task had no other run.
    starts: u32,
    /// Checkpoint of these starts.
    checkpoint: Name,
    /// When the first of them was.
    since: Duration,
    /// How the last run of the task ended.
    pub(super) how: &'static str,
}

impl Restarts {
    /// Counts a start; returns the number of starts without progress.
    pub(super) fn count_start(&mut self, checkpoint: &Name, now: Duration) -> u32 {
        if self.starts > 0 && self.checkpoint == *checkpoint {
            self.starts += 1;
        } else {
            *self = Self { starts: 1, checkpoint: Name::clone(checkpoint), since: now, how: "" };
        }
        self.starts
    }
}

/// Task that starts again and again without progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RestartingTask {
    /// The task.
    pub task: TaskId,
    /// Starts since its last progress.
    pub starts: u32,
    /// When the first of them was.
    pub since: Duration,
    /// How the last run ended; empty if none has.
    pub how: &'static str,
}

/// Tasks that start again and again without progress, as of the last pass.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RestartCounts {
    /// Number of the tasks.
    pub tasks: usize,
    /// Number of their jobs.
    pub jobs: usize,
}

/// Tasks under observation.
#[derive(Debug, Default)]
pub(crate) struct RestartState {
    /// Tasks with enough starts to be reported; those with progress since then are removed by the next pass.
    tasks: Set<TaskId>,
    /// Starts from which each job is reported again.
    report_due: Map<JobId, u32>,
    counts: RestartCounts,
}

impl Cell {
    /// Counts a start of a task without another run.
    pub(super) fn count_start(&mut self, task: TaskId, now: Duration) {
        let Some(state) = self.task_mut(task) else { return };
        let starts = state.restarts.count_start(&state.checkpoint.text, now);
        if starts >= REPORTED_STARTS {
            self.restarts.tasks.insert(task);
        }
    }

    /// Records that the present run of a lasting task is at work, which is all that it is to achieve.
    pub(super) fn clear_restarts(&mut self, task: TaskId) {
        if let Some(state) = self.task_mut(task) {
            state.restarts = Restarts::default();
        }
    }

    /// Reports the jobs with tasks that start again and again without progress, each time that the starts have doubled.
    pub fn watch_restarts(&mut self, now: Duration) {
        let jobs = &self.jobs;
        self.restarts.tasks.retain(|task| {
            let entry = jobs.get(&task.job).filter(|entry| entry.is_open());
            let state = entry.and_then(|entry| entry.tasks.get(&task.key));
            state.is_some_and(|state| restarting(*task, state).is_some())
        });
        let mut worst_of_jobs: BTreeMap<JobId, RestartingTask> = BTreeMap::new();
        for restarting in self.all_restarting() {
            let worst = worst_of_jobs.entry(restarting.task.job).or_insert(restarting);
            if (restarting.starts, worst.task) > (worst.starts, restarting.task) {
                *worst = restarting;
            }
        }
        self.restarts.counts = RestartCounts { tasks: self.restarts.tasks.len(), jobs: worst_of_jobs.len() };
        self.restarts.report_due.retain(|job, _| worst_of_jobs.contains_key(job));
        for (job, worst) in worst_of_jobs {
            let due = self.restarts.report_due.entry(job).or_insert(REPORTED_STARTS);
            if worst.starts >= *due {
                *due = worst.starts.saturating_mul(2);
                let RestartingTask { task, starts, since, how } = worst;
                self.notes.push(Note::TaskRestarts { task, starts, lasted: now.saturating_sub(since), how });
            }
        }
    }

    /// Number of tasks that start again and again without progress, as of the last pass.
    #[must_use]
    pub const fn restart_counts(&self) -> RestartCounts {
        self.restarts.counts
    }

    /// Tasks that start again and again without progress, those with the most starts first.
    #[must_use]
    pub fn restarting_tasks(&self) -> Vec<RestartingTask> {
        let mut tasks: Vec<RestartingTask> = self.all_restarting().collect();
        tasks.sort_unstable_by_key(|restarting| (std::cmp::Reverse(restarting.starts), restarting.task));
        tasks.truncate(LISTED_TASKS_MAX);
        tasks
    }

    fn all_restarting(&self) -> impl Iterator<Item = RestartingTask> {
        self.restarts.tasks.iter().filter_map(|task| restarting(*task, self.task(*task)?))
    }
}

/// The task, if it starts again and again without progress.
fn restarting(task: TaskId, state: &Task) -> Option<RestartingTask> {
    let Restarts { starts, checkpoint, since, how } = &state.restarts;
    let is_restarting = *starts >= REPORTED_STARTS && !state.is_done && *checkpoint == state.checkpoint.text;
    is_restarting.then_some(RestartingTask { task, starts: *starts, since: *since, how })
}
