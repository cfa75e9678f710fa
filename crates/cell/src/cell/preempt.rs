//! Preemption: which tasks have waited for too long, and which runs may be stopped for them.
//!
//! Applies only to services whose queues differ in priority.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use super::jobs::JobEntry;
use super::placing::{TaskGroup, group};
use super::task::{Run, Task};
use super::{Cell, Note};
use crate::job::{Step, TaskId};
use crate::preemption::{self, Budget, Candidate, Choice};

/// Shortest time between two passes, so that they stay a small part of the placer's time.
const PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Thousandths of a core.
const MILLICORES: u32 = 1_000;

/// State of preemption between passes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PreemptionState {
    budget: Budget,
    next_pass: Duration,
}

impl Cell {
    /// Stops runs for tasks of queues with higher priority that have waited too long.
    pub(super) fn preempt(&mut self, now: Duration) {
        if self.prioritized.is_empty() || self.ready.is_empty() || now < self.preemptions.next_pass {
            return;
        }
        self.preemptions.next_pass = now + PASS_INTERVAL;
        let mut applied = self.apply_reservations(now);
        let waits = |entry: &JobEntry, since: Duration| {
            now.saturating_sub(since) >= preemption::WAIT_MIN && self.is_ahead_of_some(entry)
        };
        let waiting = self.tasks_without_capacity(waits, now);
        let mut under_way = if waiting.is_empty() { BTreeSet::new() } else { self.agents_with_stops() };
        // Tasks of a step are identical: where nothing can be stopped for one, nothing can for the others.
        let mut failed: Set<TaskGroup> = Set::default();
        for (rank, task) in waiting {
            if !rank.is_in_time()
                || failed.contains(&group(task))
                || self.reserve_after_stops(task, &under_way, &mut applied, now)
            {
                continue;
            }
            let Some((choice, agent)) = self.cheapest_stops(task, now) else {
                failed.insert(group(task));
                continue;
            };
            if !self.preemptions.budget.take(choice.runs.len(), self.agents.len(), now) {
                break;
            }
            for Candidate { task: stopped, run, unsaved, .. } in choice.runs {
                self.counters.preemptions += 1;
                let agent = Arc::clone(&agent);
                self.notes.push(Note::Preempted { task: stopped, run, agent, to: task, unsaved });
                self.displace(stopped, run, "preempted");
            }
            self.reserve(task, &agent, &mut applied, now);
            under_way.insert(agent);
        }
        self.revert_reservations(applied);
    }

    /// Whether some queue of the job's service has a lower priority than the job's own.
    fn is_ahead_of_some(&self, entry: &JobEntry) -> bool {
        let terms = self.terms_of(entry);
        self.queues.values().any(|queue| queue.terms.service == terms.service && queue.terms.priority > terms.priority)
    }

    /// The set of runs on one worker whose stops lose the least work and make room for a task, with the worker's
    /// agent.
    fn cheapest_stops(&self, task: TaskId, now: Duration) -> Option<(Choice, Name)> {
        let priority = self.terms_of(self.jobs.get(&task.job)?).priority;
        let stops = |name: &Name| {
            let candidates = self.preemptible_runs(name, priority, now);
            if candidates.is_empty() {
                return None;
            }
            let choice = preemption::choose(candidates, |runs| self.fits_after(task, name, runs, now))?;
            Some((choice, Arc::clone(name)))
        };
        self.agents.keys().filter_map(stops).min()
    }

    /// Runs on a worker that may be stopped for a task of a queue with `priority`.
    fn preemptible_runs(&self, name: &Name, priority: u32, now: Duration) -> Vec<Candidate> {
        let Some(agent) = self.agents.get(name) else { return Vec::new() };
        let candidate = |(task, number): &(TaskId, u64)| {
            let entry = self.jobs.get(&task.job)?;
            let step = entry.job.step(task.key).filter(|step| !step.lasting && !step.gang)?;
            let state = entry.tasks.get(&task.key)?;
            let run = state.runs.iter().find(|run| run.number == *number)?;
            let may_stop = self.terms_of(entry).priority > priority
                && !run.is_stopping
                && state.runs.len() == 1
                && state.displacements < preemption::DISPLACED_MAX;
            let unsaved = unsaved(step, state, run, now);
            may_stop.then_some(Candidate { unsaved, percent: run.percent, task: *task, run: run.number })
        };
        let mut candidates: Vec<Candidate> = agent.runs.iter().filter_map(candidate).collect();
        candidates.sort_unstable();
        self.keep_available(&mut candidates);
        candidates
    }

    /// Drops runs whose stop would exceed the number of unavailable tasks that their step allows.
    fn keep_available(&self, candidates: &mut Vec<Candidate>) {
        let mut left: Map<TaskGroup, u32> = Map::default();
        candidates.retain(|run| {
            let left = left.entry(group(run.task)).or_insert_with(|| self.unavailable_left(run.task));
            let is_allowed = *left > 0;
            *left = left.saturating_sub(1);
            is_allowed
        });
    }

    /// Number of tasks of a step that may still be made unavailable.
    pub(super) fn unavailable_left(&self, task: TaskId) -> u32 {
        let Some(entry) = self.jobs.get(&task.job) else { return 0 };
        let Some(max) = entry.job.step(task.key).and_then(|step| step.unavailable_max) else { return u32::MAX };
        let unavailable = entry
            .tasks
            .iter()
            .filter(|(key, _)| key.occurrence == task.key.occurrence && key.step == task.key.step)
            .filter(|(_, state)| !state.is_done && state.runs.iter().all(|run| run.is_stopping))
            .count();
        max.saturating_sub(u32::try_from(unavailable).unwrap_or(u32::MAX))
    }
}

/// Core time of work that stopping a run may lose.
fn unsaved(step: &Step, state: &Task, run: &Run, now: Duration) -> Duration {
    let ran = run.started.map_or(Duration::ZERO, |started| now.saturating_sub(started));
    let took = if step.estimate.is_zero() { ran } else { step.estimate };
    let millicores = u32::try_from(step.resources.processor_millicores).unwrap_or(u32::MAX);
    (took * state.unsaved_percent(run, step.checkpointing) / 100).saturating_mul(millicores) / MILLICORES
}
