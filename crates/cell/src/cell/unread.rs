//! Runs and ends of jobs whose rows this placer hasn't read.
//!
//! Answers a takeover during which the former placer still takes jobs: it may have started a job that was stored after
//! its successor read the rows. Until the rows that were stored by then are read, such a run is neither stopped nor
//! started elsewhere, and such an end isn't settled.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

use super::Cell;
use crate::job::{JobId, TaskId};
use crate::worker::{End, Life};

/// A run that an agent told of, or an end.
#[derive(Clone, Debug)]
enum Told {
    Run { task: TaskId, number: u64, percent: Option<u32> },
    End(End),
}

/// Something of a job that isn't known.
#[derive(Clone, Debug)]
pub(crate) struct Unread {
    agent: Name,
    life: Life,
    told: Told,
    /// When it was told. The job's row, if there is one, was stored before.
    seen: Duration,
    /// Revision of the store at some time after that.
    stored_by: Option<u64>,
}

impl Unread {
    const fn job(&self) -> JobId {
        match &self.told {
            Told::Run { task, .. } => task.job,
            Told::End(end) => end.task.job,
        }
    }

    fn is_run(&self, name: &Name, run: (TaskId, u64)) -> bool {
        self.agent == *name && matches!(&self.told, Told::Run { task, number, .. } if (*task, *number) == run)
    }
}

impl Cell {
    /// Takes note that the store had a revision when a call was answered that was sent at `asked`.
    pub fn store_revision_seen(&mut self, asked: Duration, revision: u64) {
        for unread in self.unread.iter_mut().filter(|unread| unread.seen <= asked) {
            unread.stored_by.get_or_insert(revision);
        }
    }

    /// Takes note that every job is known whose row was stored up to a revision.
    pub fn jobs_read(&mut self, revision: u64) {
        let is_read = |unread: &mut Unread| unread.stored_by.is_some_and(|stored_by| stored_by <= revision);
        let without_job: Vec<Unread> = self.unread.extract_if(.., is_read).collect();
        for unread in without_job {
            self.writes.release(unread.job());
            if let Told::Run { task, number, .. } = unread.told
                && self.life_of(&unread.agent) == Some(&unread.life)
            {
                self.order_stop(&unread.agent, task, number, "not_wanted");
            }
        }
    }

    /// Takes in what was told of a job that has just become known.
    pub(crate) fn take_unread(&mut self, id: JobId, now: Duration) {
        let all: Vec<Unread> = self.unread.extract_if(.., |unread| unread.job() == id).collect();
        if all.is_empty() {
            return;
        }
        for unread in all {
            match unread.told {
                Told::Run { task, number, percent } => {
                    // Otherwise the worker's life is over, or the end of the run was told as well.
                    if self.life_of(&unread.agent) == Some(&unread.life)
                        && self.agents.get_mut(&unread.agent).is_some_and(|agent| agent.strays.remove(&(task, number)))
                    {
                        self.adopt(&unread.agent, task, number, percent, now);
                    }
                }
                Told::End(end) => self.take_end(&unread.agent, &end, now),
            }
        }
        self.writes.release(id);
    }

    /// Keeps a run of an unknown job until its row has been read; one that has none is stopped, whenever it is told of.
    pub(crate) fn keep_unread_run(&mut self, name: &Name, run: (TaskId, u64), percent: Option<u32>, now: Duration) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        let Some(life) = agent.worker.as_ref().map(|worker| worker.life.clone()) else { return };
        let told = Told::Run { task: run.0, number: run.1, percent };
        if agent.strays.insert(run) {
            self.unread.push(Unread { agent: Arc::clone(name), life, told, seen: now, stored_by: None });
        } else if !self.unread.iter().any(|unread| unread.is_run(name, run)) {
            self.order_stop(name, run.0, run.1, "not_wanted");
        }
    }

    /// Keeps an end of an unknown job until its row has been read; it isn't settled before.
    pub(crate) fn keep_unread_end(&mut self, name: &Name, life: Life, end: End, now: Duration) {
        self.stray_over(name, (end.task, end.run));
        self.writes.hold(Arc::clone(name), life.clone(), end.number, end.task.job);
        self.unread.push(Unread { agent: Arc::clone(name), life, told: Told::End(end), seen: now, stored_by: None });
    }
}
