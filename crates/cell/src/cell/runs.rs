//! Runs on the workers, from the order to start to the end.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::Set;
use chervilledge_policy::id::Name;

use super::crashed::RepeatedCrashes;
use super::evacuating::is_working;
use super::jobs::need;
use super::task::{Run, Task};
use super::{Action, Cell, task_id};
use crate::job::TaskId;
use crate::pace::FULL_PERCENT;
use crate::packing::Need;
use crate::urgency::Urgency;
use crate::worker::{Refusal, RunReport, RunTraits};

/// Pause in placing on a worker that had no room or couldn't serve.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);
/// Pace below which a run counts as slowed down.
const SLOWED_PERCENT: u32 = 40;

impl Cell {
    /// Matches a run on a worker to its task, or has it stopped.
    pub(crate) fn adopt(&mut self, name: &Name, task: TaskId, number: u64, percent: Option<u32>, now: Duration) {
        let Some(agent) = self.agents.get(name) else { return };
        if agent.runs.contains(&(task, number)) {
            if percent.is_some() {
                self.run_started(task, number, now);
            }
            if self.run_is_stopping(task, number) {
                self.order_stop(name, task, number, "stop_repeated");
            }
            return;
        }
        if agent.worker.is_none() {
            return;
        }
        if !self.jobs.contains_key(&task.job) {
            self.keep_unread_run(name, (task, number), percent, now);
            return;
        }
        self.open_reported_occurrence(task, now);
        let allowed = self.may_adopt(task);
        let urgency = self.urgency(task, Urgency::UNKNOWN, now);
        let Some(entry) = self.jobs.get_mut(&task.job).filter(|_| allowed) else {
            if let Some(agent) = self.agents.get_mut(name) {
                agent.unmatched_runs.insert((task, number));
            }
            self.order_stop(name, task, number, "not_wanted");
            return;
        };
        let need = need(&entry.job, task.key);
        let image = entry.job.step(task.key).and_then(|step| step.image.clone());
        if let Some(state) = entry.tasks.get_mut(&task.key) {
            state.checkpoint.run = state.checkpoint.run.max(number);
            let (started, percent) = (percent.map(|_| now), percent.unwrap_or(0));
            // What the run did before isn't measured.
            state.runs.push(Run {
                started,
                percent,
                restored_percent: percent,
                urgency,
                ..Run::new(number, name, now)
            });
        }
        self.ready.remove(&task);
        let repeated = self.task(task).and_then(|state| RepeatedCrashes::of(&state.crashes));
        if let Some(agent) = self.agents.get_mut(name) {
            agent.runs.insert((task, number));
            agent.occupy(&need, image);
            agent.add_repeated(task, number, repeated);
        }
        self.confirm_trial(name, task, number, now);
        self.mark_started(task.job);
    }

    /// Whether a run that was found on a worker may go on.
    fn may_adopt(&self, task: TaskId) -> bool {
        let Some(entry) = self.jobs.get(&task.job).filter(|entry| entry.is_open()) else { return false };
        let is_speculative = entry.job.step(task.key).is_some_and(|step| step.speculative);
        entry.tasks.get(&task.key).is_some_and(|state| !state.is_done && (state.runs.is_empty() || is_speculative))
    }

    /// Records that a worker started a run.
    pub fn run_started(&mut self, task: TaskId, number: u64, now: Duration) {
        self.mark_started(task.job);
        if let Some(run) = self.run_mut(task, number)
            && run.started.is_none()
        {
            run.started = Some(now);
            run.timed_at = now;
            run.progressed_at = now;
            let agent = Arc::clone(&run.agent);
            self.confirm_trial(&agent, task, number, now);
        }
    }

    /// Records that a run wasn't started and never will be.
    pub fn run_refused(&mut self, name: &Name, task: TaskId, number: u64, refusal: Refusal, now: Duration) {
        self.counters.refused += 1;
        let ready_since = self.task_mut(task).map(|state| state.ready_since);
        if let Some(agent) = self.agents.get_mut(name) {
            agent.paused_until = now + REFUSAL_PAUSE;
            if refusal == Refusal::Unhealthy {
                agent.health.run_ended(false, now);
            }
        }
        if !self.release(name, task, number) {
            return;
        }
        self.remove_run(task, number, "refused", now);
        // The order counts as never given, so the task's waiting time includes the time before it.
        if refusal == Refusal::Evacuated
            && let (Some(state), Some(ready_since)) = (self.task_mut(task), ready_since)
        {
            state.ready_since = ready_since;
        }
    }

    /// Records that a run that was ordered to stop isn't there and never will be.
    pub fn run_absent(&mut self, name: &Name, task: TaskId, number: u64, now: Duration) {
        self.remove_unmatched(name, (task, number));
        if self.release(name, task, number) {
            self.remove_run(task, number, "absent", now);
        }
    }

    /// Updates the progress of runs.
    pub fn runs_reported(&mut self, running: &[RunReport], now: Duration) {
        let mut repaced_agents: Set<Name> = Set::default();
        for report in running {
            let is_lasting = self.step_of(report.task).is_some_and(|step| step.lasting);
            if let Some(run) = self.run_mut(report.task, report.run) {
                if run.pace_percent != report.pace_percent {
                    repaced_agents.insert(Arc::clone(&run.agent));
                }
                if run.started.is_none() {
                    run.started = Some(now);
                    run.timed_at = now;
                }
                run.count_time(now);
                run.pace_percent = report.pace_percent.min(FULL_PERCENT);
                run.update_slowed(report.pace_percent < SLOWED_PERCENT, report.percent, now);
                if run.percent != report.percent {
                    run.percent = report.percent;
                    run.progress_time = run.full_pace_time;
                    run.progressed_at = now;
                }
                if is_lasting && is_working(run) {
                    self.clear_restarts(report.task);
                }
            } else {
                continue;
            }
            self.take_checkpoint(report);
        }
        for agent in repaced_agents {
            self.update_withheld(&agent);
        }
    }

    /// Recomputes the processor time that filling runs on a worker ask for but can't use at their pace.
    fn update_withheld(&mut self, name: &Name) {
        let Some(agent) = self.agents.get(name) else { return };
        let withheld = |(task, number): &(TaskId, u64)| {
            let entry = self.jobs.get(&task.job)?;
            let step = entry.job.step(task.key).filter(|step| step.filling)?;
            let run = self.run(*task, *number)?;
            Some(step.resources.processor_millicores * u64::from(FULL_PERCENT - run.pace_percent) / 100)
        };
        let withheld = agent.runs.iter().filter_map(withheld).sum();
        if let Some(agent) = self.agents.get_mut(name) {
            agent.load.withheld_millicores = withheld;
        }
        self.needs_placing = true;
    }

    /// Removes a run from its worker's load; returns whether it was there.
    pub(crate) fn release(&mut self, name: &Name, task: TaskId, number: u64) -> bool {
        let occupied = self.task_usage(task);
        let Some(agent) = self.agents.get_mut(name) else { return false };
        if !agent.runs.remove(&(task, number)) {
            return false;
        }
        agent.end_trial(task, number);
        agent.repeated.remove(&(task, number));
        if let Some((need, image)) = occupied {
            agent.vacate(&need, image);
        }
        self.update_withheld(name);
        true
    }

    /// What a task needs of a worker, and its image.
    pub(crate) fn task_usage(&self, task: TaskId) -> Option<(Need, Option<Name>)> {
        let entry = self.jobs.get(&task.job)?;
        Some((need(&entry.job, task.key), entry.job.step(task.key)?.image.clone()))
    }

    pub(crate) fn remove_unmatched(&mut self, name: &Name, run: (TaskId, u64)) {
        if let Some(agent) = self.agents.get_mut(name)
            && agent.unmatched_runs.remove(&run)
        {
            self.needs_placing = true;
        }
    }

    /// Removes a run that ended as `how` tells from its task, and queues the task again if it has no other run.
    pub(crate) fn remove_run(&mut self, task: TaskId, number: u64, how: &'static str, now: Duration) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let is_open = entry.is_open();
        let is_due = entry.is_due(task.key);
        let Some(state) = entry.tasks.get_mut(&task.key) else { return };
        state.runs.retain(|run| run.number != number);
        state.restarts.how = how;
        let is_waiting = is_open && is_due && !state.is_done && state.runs.is_empty();
        state.not_before = state.not_before.max(now);
        if is_waiting {
            state.ready_since = now;
            self.ready.insert(task);
            self.needs_placing = true;
        }
    }

    /// Stops the runs of a task that satisfy `predicate`.
    pub(crate) fn stop_runs(&mut self, task: TaskId, reason: &'static str, predicate: impl Fn(&Run) -> bool) {
        let Some(state) = self.task_mut(task) else { return };
        let stopped: Vec<(Name, u64)> = state
            .runs
            .iter_mut()
            .filter(|run| !run.is_stopping && predicate(run))
            .map(|run| {
                run.is_stopping = true;
                (Arc::clone(&run.agent), run.number)
            })
            .collect();
        for (agent, number) in stopped {
            self.order_stop(&agent, task, number, reason);
        }
    }

    pub(crate) fn order_stop(&mut self, name: &Name, task: TaskId, run: u64, reason: &'static str) {
        if let Some(state) = self.run_mut(task, run) {
            state.is_stopping = true;
        }
        let Some(life) =
            self.agents.get(name).and_then(|agent| agent.worker.as_ref()).map(|worker| worker.life.clone())
        else {
            return;
        };
        self.actions.push_back(Action::Stop { agent: Arc::clone(name), life, task, run, reason });
    }

    pub(crate) fn task(&self, task: TaskId) -> Option<&Task> {
        self.jobs.get(&task.job)?.tasks.get(&task.key)
    }

    pub(crate) fn task_mut(&mut self, task: TaskId) -> Option<&mut Task> {
        self.jobs.get_mut(&task.job)?.tasks.get_mut(&task.key)
    }

    pub(crate) fn run(&self, task: TaskId, number: u64) -> Option<&Run> {
        self.task(task)?.runs.iter().find(|run| run.number == number)
    }

    pub(crate) fn run_mut(&mut self, task: TaskId, number: u64) -> Option<&mut Run> {
        self.task_mut(task)?.runs.iter_mut().find(|run| run.number == number)
    }

    fn run_is_stopping(&self, task: TaskId, number: u64) -> bool {
        let Some(entry) = self.jobs.get(&task.job) else { return false };
        entry
            .tasks
            .get(&task.key)
            .is_some_and(|state| state.runs.iter().any(|run| run.number == number && run.is_stopping))
    }

    /// Traits of every run on an agent's worker; the agent may not have started the run itself.
    #[must_use]
    pub fn run_traits(&self, name: &Name) -> Vec<(TaskId, u64, RunTraits)> {
        let Some(agent) = self.agents.get(name) else { return Vec::new() };
        let traits = |(task, run): &(TaskId, u64)| {
            let urgency = self.run(*task, *run).map_or(Urgency::UNKNOWN, |run| run.urgency);
            Some((*task, *run, RunTraits::of(self.step_of(*task)?, urgency)))
        };
        agent.runs.iter().filter_map(traits).collect()
    }

    /// Tasks that are due and neither wait nor have a run on an agent's worker, or have one that isn't on the worker.
    /// There are none: nothing would start such a task again.
    #[must_use]
    pub fn stranded(&self) -> Vec<TaskId> {
        let mut stranded = Vec::new();
        for entry in self.jobs.values().filter(|entry| entry.is_open()) {
            for (key, state) in entry.tasks.iter().filter(|(key, state)| !state.is_done && entry.is_due(**key)) {
                let task = task_id(entry.job.id, *key);
                let is_held = |run: &Run| {
                    self.agents.get(&run.agent).is_some_and(|agent| agent.runs.contains(&(task, run.number)))
                };
                if !state.runs.iter().all(is_held) || (state.runs.is_empty() && !self.ready.contains(&task)) {
                    stranded.push(task);
                }
            }
        }
        stranded
    }

    /// Runs that the placer believes to be on an agent's worker.
    #[must_use]
    pub fn runs_on(&self, name: &Name) -> Vec<(TaskId, u64)> {
        self.agents.get(name).map(|agent| agent.runs.iter().copied().collect()).unwrap_or_default()
    }
}
