//! Placement of lasting tasks that have been without a run for too long.
//!
//! Ordinary placement closes workers for the sake of others: suspects of crashes go first and start alone, and
//! capacity is reserved for the tasks for whose sake runs are stopped. Each of these may be renewed at once, and doesn't
//! regard who waits. A lasting task that has waited for [`OVERDUE_AFTER`] goes before all others,
//! also beside suspects.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::Set;
use chervilledge_policy::id::Name;

use super::placing::{TaskGroup, WaitingTask, full_pace, group};
use super::{Agent, Cell};
use crate::job::TaskId;

/// Time without a run at work after which a task is overdue; users take a lasting task that doesn't run for 3 s beside
/// free capacity as lost.
const OVERDUE_AFTER: Duration = Duration::from_secs(2);
/// Limit on the steps for which one pass searches every worker.
const STEPS_PER_PASS_MAX: usize = 32;

impl Cell {
    /// Places the overdue tasks among those that wait.
    pub(super) fn place_overdue(&mut self, waiting: &[WaitingTask], now: Duration) {
        // Tasks of a step are identical: where one doesn't fit, the others don't either.
        let mut without_capacity: Set<TaskGroup> = Set::default();
        for WaitingTask { task, .. } in waiting {
            if without_capacity.len() == STEPS_PER_PASS_MAX {
                break;
            }
            if without_capacity.contains(&group(*task)) || !self.is_overdue(*task, now) {
                continue;
            }
            if let Some(agent) = self.choose_for_overdue(*task, now) {
                self.reserved.remove(task);
                self.start(*task, &agent, None, now);
            } else {
                without_capacity.insert(group(*task));
            }
        }
    }

    /// Whether a task has been without a run for too long. Suspects of crashes and gangs, which start as a whole, never
    /// are.
    fn is_overdue(&self, task: TaskId, now: Duration) -> bool {
        let has_waited = self.lasting_wait(task, now).is_some_and(|waited| waited >= OVERDUE_AFTER);
        has_waited && self.step_of(task).is_some_and(|step| !step.gang) && !self.is_suspect(task)
    }

    /// Chooses a worker for an overdue task.
    fn choose_for_overdue(&self, task: TaskId, now: Duration) -> Option<Name> {
        let seeker = self.seeker(task, now)?.overdue();
        let context = self.context(task);
        let cost = |(name, agent): (&Name, &Agent)| {
            let need = full_pace(self.need_at(task, agent, &[], context, now)?);
            let cost = seeker.cost(name, agent, &agent.load, &need)?;
            Some((seeker.avoids(name), cost, Arc::clone(name)))
        };
        self.agents.iter().filter_map(cost).min().map(|(.., name)| name)
    }
}
