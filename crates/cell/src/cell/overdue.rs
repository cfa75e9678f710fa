//! Placement of lasting tasks that have been without a run for too long.
//!
//! Ordinary placement closes workers for the sake of others: suspects of crashes go first and start alone, workers whose
//! runs fail are ejected, capacity is reserved for the tasks for whose sake runs are stopped, and nothing starts beside
//! runs that belong to no task. Each of these lasts for seconds, may be renewed at once, and doesn't regard who waits. A
//! lasting task that has waited for [`OVERDUE_AFTER`] goes to any worker that can hold it, before all others but those
//! whose reserved capacity is free.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::Set;
use chervilledge_policy::id::Name;

use super::agents::Contact;
use super::placing::{TaskGroup, WaitingTask, full_pace, group};
use super::{Agent, Cell};
use crate::job::TaskId;
use crate::packing::Load;
use crate::worker::Worker;

/// Time without a run at work after which a task is overdue; users take a lasting task that doesn't run for 3 s beside
/// free capacity as lost.
const OVERDUE_AFTER: Duration = Duration::from_secs(2);
/// Limit on the tasks for which one pass searches every worker; the next one goes on with the others.
const SEARCHES_PER_PASS_MAX: usize = 32;

/// State of the search for workers for overdue tasks.
#[derive(Debug, Default)]
pub(crate) struct OverdueState {
    /// Steps for which no worker was found since all were last searched for. Tasks of a step are identical: where one
    /// doesn't fit, the others don't either.
    without_capacity: Set<TaskGroup>,
}

impl Cell {
    /// Places the overdue tasks among those that wait.
    pub(super) fn place_overdue(&mut self, waiting: &[WaitingTask], now: Duration) {
        let mut searches_left = SEARCHES_PER_PASS_MAX;
        for WaitingTask { task, .. } in waiting {
            let is_placed = !self.ready.contains(task);
            let is_searched = self.overdue.without_capacity.contains(&group(*task));
            if is_placed || is_searched || !self.is_overdue(*task, now) {
                continue;
            }
            if searches_left == 0 {
                return;
            }
            searches_left -= 1;
            if let Some(agent) = self.choose_for_overdue(*task, now) {
                self.reserved.remove(task);
                self.start(*task, &agent, None, now);
            } else {
                self.overdue.without_capacity.insert(group(*task));
            }
        }
        self.overdue.without_capacity.clear();
    }

    /// Whether a task has been without a run for too long. Gangs, which start as a whole, never are, nor are suspects of
    /// crashes: beside more of their starts more innocent tasks are taken for the cause of a crash.
    fn is_overdue(&self, task: TaskId, now: Duration) -> bool {
        let has_waited = self.lasting_wait(task, now).is_some_and(|waited| waited >= OVERDUE_AFTER);
        has_waited && self.step_of(task).is_some_and(|step| !step.gang) && !self.is_suspect(task)
    }

    /// Chooses a worker for an overdue task: an open one if there is one, else one on which a suspect starts, at last an
    /// ejected one.
    fn choose_for_overdue(&self, task: TaskId, now: Duration) -> Option<Name> {
        let seeker = self.seeker(task, now)?.overdue();
        let context = self.context(task);
        let cost = |(name, agent): (&Name, &Agent)| {
            let worker = self.usable_worker(task, agent, now)?;
            let need = full_pace(self.need_on(task, agent, worker, &[], context)?);
            let cost = seeker.cost(name, agent, &self.load_with_unmatched(agent), &need)?;
            Some((agent.health.is_ejected(now), seeker.avoids(name), cost, Arc::clone(name)))
        };
        self.agents.iter().filter_map(cost).min().map(|(.., name)| name)
    }

    /// The worker of an agent, if an overdue task may be placed on it.
    fn usable_worker<'a>(&self, task: TaskId, agent: &'a Agent, now: Duration) -> Option<&'a Worker> {
        let worker = agent.worker.as_ref().filter(|worker| worker.leaves_in.is_none())?;
        let is_usable = agent.contact == Contact::Linked
            && now >= agent.paused_until
            && agent.unmatched_runs.iter().all(|(other, _)| *other != task)
            && (self.enforces_capacity(worker) || agent.unmatched_runs.iter().all(|(other, _)| self.is_known(*other)));
        is_usable.then_some(worker)
    }

    /// Whether the worker rejects runs that don't fit.
    fn enforces_capacity(&self, worker: &Worker) -> bool {
        let service = self.configuration.as_ref().and_then(|configuration| configuration.services.get(&worker.service));
        service.is_some_and(|service| service.enforces_capacity)
    }

    fn is_known(&self, task: TaskId) -> bool {
        self.jobs.contains_key(&task.job)
    }

    /// Load of a worker with the runs that aren't matched to a task, as far as their needs are known.
    fn load_with_unmatched(&self, agent: &Agent) -> Load {
        let mut load = agent.load;
        for (need, _) in agent.unmatched_runs.iter().filter_map(|(task, _)| self.task_usage(*task)) {
            load.add(&need);
        }
        load
    }
}
