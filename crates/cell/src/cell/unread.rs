//! Runs and ends of jobs whose rows this placer hasn't read.
//!
//! Handles a takeover during which the former placer still accepts jobs: it may have started a job that was stored
//! after its successor read the rows. Until the rows stored by then have been read, such a run is neither stopped nor
//! started elsewhere, and such an end isn't settled.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

use super::Cell;
use crate::crashes::Crash;
use crate::job::{JobId, TaskId};
use crate::worker::{End, Life};

/// A reported run or end.
#[derive(Clone, Debug)]
enum Reported {
    Run { task: TaskId, number: u64, percent: Option<u32> },
    End(End),
    Crash { task: TaskId, number: u64, crash: Crash },
}

/// Report about an unknown job.
#[derive(Clone, Debug)]
pub(crate) struct UnreadReport {
    agent: Name,
    life: Life,
    report: Reported,
    /// When it was reported. The job's row, if there is one, was stored before.
    at: Duration,
    /// Revision of the store at some time after `at`.
    revision: Option<u64>,
}

/// Reports about unknown jobs, by job, each in the order in which they came.
pub(crate) type UnreadReports = BTreeMap<JobId, Vec<UnreadReport>>;

impl UnreadReport {
    fn is_run(&self, name: &Name, run: (TaskId, u64)) -> bool {
        self.agent == *name && matches!(&self.report, Reported::Run { task, number, .. } if (*task, *number) == run)
    }
}

impl Cell {
    /// Records the store's revision in the answer to a call that was sent at `asked`.
    pub fn store_revision_seen(&mut self, asked: Duration, revision: u64) {
        for unread in self.unread_reports.values_mut().flatten().filter(|unread| unread.at <= asked) {
            unread.revision.get_or_insert(revision);
        }
    }

    /// Records that every job whose row was stored up to a revision is known.
    pub fn jobs_read(&mut self, revision: u64) {
        let is_read = |unread: &mut UnreadReport| unread.revision.is_some_and(|stored_by| stored_by <= revision);
        let mut without_job: Vec<UnreadReport> = Vec::new();
        for (job, reports) in &mut self.unread_reports {
            let known = without_job.len();
            without_job.extend(reports.extract_if(.., is_read));
            if without_job.len() > known {
                self.writes.release_ends(*job);
            }
        }
        self.unread_reports.retain(|_, reports| !reports.is_empty());
        for unread in without_job {
            if let Reported::Run { task, number, .. } = unread.report
                && self.life_of(&unread.agent) == Some(&unread.life)
            {
                self.order_stop(&unread.agent, task, number, "not_wanted");
            }
        }
    }

    /// Processes the reports about a job that has just become known.
    pub(crate) fn take_unread(&mut self, id: JobId, now: Duration) {
        let Some(reports) = self.unread_reports.remove(&id) else { return };
        for unread in reports {
            match unread.report {
                Reported::Run { task, number, percent } => {
                    // Otherwise the worker's life is over, or the end of the run was reported as well.
                    if self.life_of(&unread.agent) == Some(&unread.life)
                        && self
                            .agents
                            .get_mut(&unread.agent)
                            .is_some_and(|agent| agent.unmatched_runs.remove(&(task, number)))
                    {
                        self.adopt(&unread.agent, task, number, percent, now);
                    }
                }
                Reported::End(end) => self.record_end(&unread.agent, &end, now),
                Reported::Crash { task, number, crash } => {
                    self.crash_run(&unread.agent, (task, number), crash, false, now);
                }
            }
        }
        self.writes.release_ends(id);
    }

    /// Keeps a run of an unknown job until its row has been read; a run without a row is stopped each time it is
    /// reported.
    pub(crate) fn keep_unread_run(&mut self, name: &Name, run: (TaskId, u64), percent: Option<u32>, now: Duration) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        let Some(life) = agent.worker.as_ref().map(|worker| worker.life.clone()) else { return };
        let report = Reported::Run { task: run.0, number: run.1, percent };
        let is_new = agent.unmatched_runs.insert(run);
        let reports = self.unread_reports.get(&run.0.job);
        if is_new {
            self.keep_unread(run.0.job, name, life, report, now);
        } else if !reports.is_some_and(|reports| reports.iter().any(|unread| unread.is_run(name, run))) {
            self.order_stop(name, run.0, run.1, "not_wanted");
        }
    }

    /// Keeps the crash under a run of an unknown job until its row has been read.
    pub(crate) fn keep_unread_crash(&mut self, name: &Name, task: TaskId, number: u64, crash: Crash, now: Duration) {
        let report = Reported::Crash { task, number, crash };
        let life = self.life_of(name).cloned().unwrap_or_else(|| Life { worker: Arc::clone(name), born_unix_ms: 0 });
        self.keep_unread(task.job, name, life, report, now);
    }

    /// Keeps an end of an unknown job until its row has been read; it isn't settled before that.
    pub(crate) fn keep_unread_end(&mut self, name: &Name, life: Life, end: End, now: Duration) {
        self.remove_unmatched(name, (end.task, end.run));
        self.writes.add_held_end(Arc::clone(name), life.clone(), end.number, end.task.job);
        self.keep_unread(end.task.job, name, life, Reported::End(end), now);
    }

    fn keep_unread(&mut self, job: JobId, name: &Name, life: Life, report: Reported, now: Duration) {
        let unread = UnreadReport { agent: Arc::clone(name), life, report, at: now, revision: None };
        self.unread_reports.entry(job).or_default().push(unread);
    }
}
