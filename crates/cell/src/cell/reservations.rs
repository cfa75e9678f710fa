//! Capacity reserved for a task until the runs that were stopped for its sake have ended.
//!
//! A stop takes most of a second, during which any waiting task would otherwise take the freed capacity. A
//! reservation counts against the worker's load for every other task. It is lost with the placer; a successor sees
//! the runs end and places by urgency alone.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use super::Cell;
use super::jobs::JobEntry;
use super::placing::{StepContext, TaskGroup, WaitingTask, group};
use crate::job::TaskId;
use crate::pace::FULL_PERCENT;
use crate::packing::Need;
use crate::urgency::Rank;

/// Longest reservation: a stop that takes three times as long as usual.
const RESERVATION_MAX: Duration = Duration::from_secs(3);
/// Steps for whose tasks one pass tries to free capacity, so that a pass stays short beside a long queue.
const STEPS_PER_PASS_MAX: usize = 32;

/// Capacity reserved on a worker.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    agent: Name,
    until: Duration,
}

/// A task and the agent to whose load it is added for the time being.
pub(super) type AppliedReservation = (TaskId, Name);

impl Cell {
    /// Whether queues of the job's service differ in priority.
    pub(super) fn is_prioritized(&self, entry: &JobEntry) -> bool {
        !self.prioritized.is_empty() && self.prioritized.contains(&self.terms_of(entry).service)
    }

    /// Adds every task with a reservation to the load of its agent; must be followed by
    /// [`Self::revert_reservations`].
    pub(super) fn apply_reservations(&mut self, now: Duration) -> Vec<AppliedReservation> {
        let is_wanted = |task: &TaskId| {
            let entry = self.jobs.get(&task.job).filter(|entry| entry.is_open());
            let state = entry.and_then(|entry| entry.tasks.get(&task.key)).filter(|state| !state.is_done);
            state.is_some_and(|state| state.runs.iter().all(|run| run.is_stopping))
        };
        self.reserved.retain(|task, reservation| now < reservation.until && is_wanted(task));
        let mut applied: Vec<AppliedReservation> =
            self.reserved.iter().map(|(task, reservation)| (*task, Arc::clone(&reservation.agent))).collect();
        applied.sort_unstable();
        for (task, agent) in &applied {
            self.add_to_load(*task, agent);
        }
        applied
    }

    /// What tasks other than `task` have reserved, by agent.
    pub(super) fn reserved_needs(&self, task: TaskId) -> Map<&Name, Vec<Need>> {
        let mut needs: Map<&Name, Vec<Need>> = Map::default();
        for (other, reservation) in self.reserved.iter().filter(|(other, _)| **other != task) {
            if let Some((need, _)) = self.task_usage(*other) {
                needs.entry(&reservation.agent).or_default().push(need);
            }
        }
        needs
    }

    /// Removes the tasks from the loads again.
    pub(super) fn revert_reservations(&mut self, applied: Vec<AppliedReservation>) {
        for (task, agent) in applied {
            self.remove_from_load(task, &agent);
        }
    }

    /// Reserves capacity for a task.
    pub(super) fn reserve(&mut self, task: TaskId, agent: &Name, applied: &mut Vec<AppliedReservation>, now: Duration) {
        self.reserved.insert(task, Reservation { agent: Arc::clone(agent), until: now + RESERVATION_MAX });
        self.add_to_load(task, agent);
        applied.push((task, Arc::clone(agent)));
    }

    /// Places tasks with a reservation as soon as they fit there, or on another worker without using another task's
    /// reservation; the oldest reservation comes first.
    pub(super) fn place_reserved(
        &mut self,
        waiting: &[WaitingTask],
        applied: &mut Vec<AppliedReservation>,
        now: Duration,
    ) {
        let is_reserved = |task: &TaskId| self.reserved.contains_key(task);
        let open: Set<TaskId> = waiting.iter().map(|waiting| waiting.task).filter(is_reserved).collect();
        let mut due: Vec<AppliedReservation> = applied.extract_if(.., |(task, _)| open.contains(task)).collect();
        due.sort_unstable_by_key(|(task, _)| (self.reserved.get(task).map(|reservation| reservation.until), *task));
        for (task, agent) in &due {
            self.remove_from_load(*task, agent);
        }
        let mut left = Vec::new();
        for (task, agent) in due {
            if self.has_capacity_at(task, &agent, now) {
                self.start_reserved(task, &agent, now);
            } else {
                self.add_to_load(task, &agent);
                left.push((task, agent));
            }
        }
        for (task, agent) in left {
            self.remove_from_load(task, &agent);
            if let Some(chosen) = self.choose(task, None, now) {
                self.start_reserved(task, &chosen, now);
            } else {
                self.add_to_load(task, &agent);
                applied.push((task, agent));
            }
        }
    }

    fn start_reserved(&mut self, task: TaskId, agent: &Name, now: Duration) {
        self.reserved.remove(&task);
        self.start(task, agent, None, now);
    }

    fn has_capacity_at(&self, task: TaskId, name: &Name, now: Duration) -> bool {
        let cost = |agent| {
            let need = self.need_at(task, agent, &[], StepContext::default(), now)?;
            self.seeker(task, now)?.cost(name, agent, &agent.load, &need)
        };
        self.agents.get(name).and_then(cost).is_some()
    }

    /// Waiting tasks of services with priorities that have no reservation and fit on no worker, the most urgent
    /// first.
    ///
    /// `predicate` is called with a task's job and the time since which the task has waited.
    pub(super) fn tasks_without_capacity(
        &self,
        predicate: impl Fn(&JobEntry, Duration) -> bool,
        now: Duration,
    ) -> Vec<(Rank, TaskId)> {
        let mut tasks_without_capacity = Vec::new();
        let mut groups: Set<TaskGroup> = Set::default();
        let mut with_capacity: Set<TaskGroup> = Set::default();
        for WaitingTask { task, rank, .. } in self.rank_waiting(now) {
            let group = group(task);
            let since = |entry: &JobEntry| entry.tasks.get(&task.key).map_or(now, |state| state.ready_since);
            let entry = self.jobs.get(&task.job).filter(|entry| self.is_prioritized(entry));
            let is_open = entry.is_some_and(|entry| predicate(entry, since(entry)))
                && self.step_of(task).is_some_and(|step| !step.gang)
                && !self.reserved.contains_key(&task);
            if !is_open || with_capacity.contains(&group) {
                continue;
            }
            if !groups.contains(&group) {
                if groups.len() == STEPS_PER_PASS_MAX {
                    break;
                }
                groups.insert(group);
                if self.choose(task, None, now).is_some() {
                    with_capacity.insert(group);
                    continue;
                }
            }
            tasks_without_capacity.push((rank, task));
        }
        tasks_without_capacity
    }

    /// Agents on whose workers runs are being stopped.
    pub(super) fn agents_with_stops(&self) -> BTreeSet<Name> {
        self.agents.keys().filter(|name| !self.stopping(name).is_empty()).cloned().collect()
    }

    /// Reserves capacity on a worker where runs are being stopped already, if those stops free enough for the task.
    pub(super) fn reserve_after_stops(
        &mut self,
        task: TaskId,
        under_way: &BTreeSet<Name>,
        applied: &mut Vec<AppliedReservation>,
        now: Duration,
    ) -> bool {
        let Some(agent) = under_way.iter().find(|name| self.fits_after(task, name, &[], now)) else { return false };
        self.reserve(task, agent, applied, now);
        true
    }

    /// Whether a task fits on a worker once the runs in `stopped` and those being stopped there have ended.
    pub(super) fn fits_after(&self, task: TaskId, name: &Name, stopped: &[(TaskId, u64)], now: Duration) -> bool {
        // No run is stopped for the sake of a place on a worker that may be lost.
        let Some(agent) = self.agents.get(name).filter(|agent| !agent.is_retiring) else { return false };
        let mut over = self.stopping(name);
        over.extend(stopped);
        let Some(need) = self.need_at(task, agent, &over, StepContext::default(), now) else { return false };
        let mut load = agent.load;
        for (other, number) in &over {
            let Some((freed, _)) = self.task_usage(*other) else { continue };
            load.remove(&freed);
            let pace_percent = self.run(*other, *number).map_or(FULL_PERCENT, |run| run.pace_percent);
            if freed.is_filling {
                let withheld = freed.resources.processor_millicores * u64::from(FULL_PERCENT - pace_percent) / 100;
                load.withheld_millicores = load.withheld_millicores.saturating_sub(withheld);
            }
        }
        let seeker = self.seeker(task, now);
        seeker.is_some_and(|seeker| !seeker.avoids(name) && seeker.cost(name, agent, &load, &need).is_some())
    }

    /// Runs on a worker that are being stopped.
    fn stopping(&self, name: &Name) -> Vec<(TaskId, u64)> {
        let Some(agent) = self.agents.get(name) else { return Vec::new() };
        let is_stopping = |(task, number): &&(TaskId, u64)| self.run(*task, *number).is_some_and(|run| run.is_stopping);
        agent.runs.iter().filter(is_stopping).copied().collect()
    }

    /// Stops a run in favor of another task.
    pub(super) fn displace(&mut self, task: TaskId, number: u64, reason: &'static str) {
        if let Some(state) = self.task_mut(task) {
            state.displacements += 1;
        }
        self.stop_runs(task, reason, |run| run.number == number);
    }
}
