//! Agents, their workers, and what becomes of runs when one of them is lost.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use super::jobs::{Run, need};
use super::{Action, Agent, Cell, task_id};
use crate::authority;
use crate::health::Health;
use crate::job::TaskId;
use crate::pace::FULL_PERCENT;
use crate::packing::{Load, Need};
use crate::urgency::Urgency;
use crate::worker::{End, EndKind, Life, Refusal, RunReport, RunTraits, Worker};

/// Time for which nothing is placed on a worker that had no room or couldn't serve.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);

/// Pace below which a run counts as slowed down.
const SLOWED_PERCENT: u32 = 40;

/// What the placer knows of an agent's whereabouts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// Named by a row; it hasn't told yet what runs on its worker.
    Unheard,
    /// Linked, and its worker's runs are known.
    Linked,
    /// Its link is lost; runs may go on until the lease ends.
    Silent,
    /// Its link is lost and every lease has ended.
    Lapsed,
}

/// What an agent tells of its worker when it is linked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    /// The worker, once it is known.
    pub worker: Option<Worker>,
    /// What runs.
    pub running: Vec<RunReport>,
    /// Runs that the look behind `running` does not show and that may be there, or may still come.
    pub starting: Vec<(TaskId, u64)>,
    /// Ends that weren't settled.
    pub ends: Vec<End>,
    /// Without a worker: nothing runs there any more, for certain.
    pub is_empty: bool,
}

impl Cell {
    /// Takes note of an agent that a row names. One of a predecessor's cell may have runs until it answers.
    pub fn agent_known(&mut self, name: &Name, is_of_predecessor: bool, now: Duration) {
        if self.agents.contains_key(name) {
            return;
        }
        let lease_until = match (is_of_predecessor, self.is_predecessor_over) {
            (false, _) => now,
            (true, true) => now + authority::lapse_after(self.lease),
            (true, false) => now + authority::takeover_wait(self.lease),
        };
        if is_of_predecessor {
            self.unresolved.insert(Arc::clone(name));
        }
        self.agents.insert(Arc::clone(name), Agent::new(lease_until));
    }

    /// Takes note that the former placer gives no more grants.
    pub fn predecessor_over(&mut self, now: Duration) {
        self.is_predecessor_over = true;
        let lapsed = now + authority::lapse_after(self.lease);
        for name in &self.unresolved {
            if let Some(agent) = self.agents.get_mut(name) {
                agent.lease_until = agent.lease_until.min(lapsed);
            }
        }
        self.needs_placing = true;
    }

    /// Grants the agent a lease; tells its length, which is 0 while what runs there isn't known.
    ///
    /// Call when the grant is sent.
    pub fn grant(&mut self, name: &Name, now: Duration) -> Option<Duration> {
        let lease = self.lease;
        let agent = self.agents.get_mut(name)?;
        if agent.contact != Contact::Linked {
            return Some(Duration::ZERO);
        }
        agent.lease_until = agent.lease_until.max(now + authority::lapse_after(lease));
        Some(lease)
    }

    /// Takes in what an agent tells of its worker after its link was opened.
    pub fn agent_linked(&mut self, name: &Name, inventory: Inventory, now: Duration) {
        if !self.agents.contains_key(name) {
            self.agents.insert(Arc::clone(name), Agent::new(now));
        }
        let Some(worker) = inventory.worker else {
            if inventory.is_empty {
                self.worker_gone(name, now);
                if let Some(agent) = self.agents.get_mut(name) {
                    agent.contact = Contact::Linked;
                }
                self.note_agent(name, "linked_without_worker");
                return;
            }
            // What runs on its worker isn't known yet; leases decide until it is.
            if let Some(agent) = self.agents.get_mut(name)
                && agent.contact == Contact::Linked
            {
                agent.contact = Contact::Silent;
            }
            return;
        };
        self.worker_seen(name, worker, now);
        if let Some(agent) = self.agents.get_mut(name) {
            agent.contact = Contact::Linked;
        }
        self.runs_ended(name, inventory.ends, now);
        self.reconcile(name, &inventory.running, &inventory.starting, now);
        self.unresolved.remove(name);
        self.needs_placing = true;
        self.note_agent(name, "linked");
    }

    /// Takes in the state of a worker. Another life than the known one means that everything on the former is gone.
    pub fn worker_seen(&mut self, name: &Name, worker: Worker, now: Duration) {
        let Some(agent) = self.agents.get(name) else { return };
        let former = agent.worker.as_ref().map(|former| former.life.clone());
        if former.as_ref().is_some_and(|former| *former != worker.life) {
            self.worker_gone(name, now);
        }
        let Some(agent) = self.agents.get_mut(name) else { return };
        if former.as_ref() != Some(&worker.life) {
            agent.ends_seen = 0;
            agent.health = Health::default();
        }
        let is_released = self.evacuating.domains.is_released(&worker.failure_domain);
        agent.load.total = worker.resources;
        agent.report_cold(worker.cold_for, is_released, now);
        let leaves = worker.leaves_in;
        agent.worker = Some(worker);
        if leaves.is_some() && agent.leaving_since.is_none() {
            agent.leaving_since = Some(now);
            self.note_agent(name, "leaving");
            self.move_off(name);
        }
        self.needs_placing = true;
    }

    /// Takes note that the worker's life is over, or that its lease has ended: nothing runs there.
    pub fn worker_gone(&mut self, name: &Name, now: Duration) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        let lost: Vec<(TaskId, u64)> = agent.runs.drain().collect();
        agent.strays.clear();
        agent.worker = None;
        agent.leaving_since = None;
        agent.load = Load::default();
        agent.serving.clear();
        agent.rooms.clear();
        self.unresolved.remove(name);
        if !lost.is_empty() {
            self.note_agent(name, "worker_gone");
        }
        self.counters.lost += lost.len() as u64;
        for (task, number) in lost {
            self.run_over(task, number, now);
        }
        self.needs_placing = true;
    }

    /// Takes note that an agent's link is lost.
    pub fn agent_silent(&mut self, name: &Name) {
        if let Some(agent) = self.agents.get_mut(name)
            && agent.contact == Contact::Linked
        {
            agent.contact = Contact::Silent;
            self.note_agent(name, "silent");
        }
    }

    /// Gives up what runs on workers whose lease had ended, without a sign of their agent, when the term was confirmed
    /// last.
    ///
    /// Without a confirmation from after the lease's end, the agent may be silent because it obeys a newer placer, under
    /// which its runs go on.
    pub fn lapse_agents(&mut self, confirmed: Option<Duration>, now: Duration) {
        let Some(confirmed) = confirmed else { return };
        let lapsed: Vec<Name> = self
            .agents
            .iter()
            .filter(|(_, agent)| agent.lease_until <= confirmed)
            .filter(|(name, agent)| match agent.contact {
                Contact::Silent => true,
                Contact::Unheard => self.unresolved.contains(*name),
                Contact::Linked | Contact::Lapsed => false,
            })
            .map(|(name, _)| Arc::clone(name))
            .collect();
        for name in lapsed {
            self.worker_gone(&name, now);
            if let Some(agent) = self.agents.get_mut(&name) {
                agent.contact = Contact::Lapsed;
            }
            self.note_agent(&name, "lapsed");
        }
    }

    /// Agents that may hold runs of a predecessor and haven't answered.
    #[must_use]
    pub fn unresolved(&self) -> usize {
        self.unresolved.len()
    }

    /// Whether an agent counts as lapsed, so that its row may go.
    #[must_use]
    pub fn is_lapsed(&self, name: &Name) -> bool {
        self.agents.get(name).is_some_and(|agent| agent.contact == Contact::Lapsed)
    }

    /// Forgets an agent whose row is gone.
    pub fn forget_agent(&mut self, name: &Name) {
        if self.is_lapsed(name) {
            self.agents.remove(name);
        }
    }

    /// Compares what runs on a worker with what was ordered.
    fn reconcile(&mut self, name: &Name, running: &[RunReport], starting: &[(TaskId, u64)], now: Duration) {
        for report in running {
            self.adopt(name, report.task, report.run, Some(report.percent), now);
            self.take_checkpoint(report);
        }
        for (task, run) in starting {
            self.adopt(name, *task, *run, None, now);
        }
        let Some(agent) = self.agents.get(name) else { return };
        let there: Set<(TaskId, u64)> =
            running.iter().map(|report| (report.task, report.run)).chain(starting.iter().copied()).collect();
        let missing: Vec<(TaskId, u64)> = agent.runs.difference(&there).copied().collect();
        let gone: Vec<(TaskId, u64)> = agent.strays.difference(&there).copied().collect();
        for stray in gone {
            self.stray_over(name, stray);
        }
        // The order may still be under way to the worker, so the run is stopped before it counts as over.
        for (task, run) in missing {
            self.order_stop(name, task, run, "order_lost");
        }
    }

    /// Takes a run on a worker for a run of its task, or has it stopped.
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
        let allowed = self.may_adopt(task);
        let urgency = self.urgency(task, Urgency::UNKNOWN, now);
        let Some(entry) = self.jobs.get_mut(&task.job).filter(|_| allowed) else {
            if let Some(agent) = self.agents.get_mut(name) {
                agent.strays.insert((task, number));
            }
            self.order_stop(name, task, number, "not_wanted");
            return;
        };
        let need = need(&entry.job, task.key);
        let image = entry.job.step(task.key).and_then(|step| step.image.clone());
        if let Some(state) = entry.tasks.get_mut(&task.key) {
            state.checkpoint.run = state.checkpoint.run.max(number);
            let (started, percent) = (percent.map(|_| now), percent.unwrap_or(0));
            state.runs.push(Run { started, percent, urgency, ..Run::new(number, name, now) });
        }
        self.ready.remove(&task);
        if let Some(agent) = self.agents.get_mut(name) {
            agent.runs.insert((task, number));
            agent.occupy(&need, image);
        }
        self.begin(task.job);
    }

    /// Whether a run found on a worker may go on.
    fn may_adopt(&self, task: TaskId) -> bool {
        let Some(entry) = self.jobs.get(&task.job).filter(|entry| entry.is_open()) else { return false };
        let is_speculative = entry.job.step(task.key).is_some_and(|step| step.speculative);
        entry.tasks.get(&task.key).is_some_and(|state| !state.is_done && (state.runs.is_empty() || is_speculative))
    }

    /// Takes note that a worker took a run.
    pub fn run_started(&mut self, task: TaskId, number: u64, now: Duration) {
        self.begin(task.job);
        if let Some(run) = self.run_mut(task, number)
            && run.started.is_none()
        {
            run.started = Some(now);
            run.moved = now;
        }
    }

    /// Takes note that a run wasn't started and never will be.
    pub fn run_refused(&mut self, name: &Name, task: TaskId, number: u64, refusal: Refusal, now: Duration) {
        self.counters.refused += 1;
        let ready_since = self.task_mut(task).map(|state| state.ready_since);
        if let Some(agent) = self.agents.get_mut(name) {
            agent.paused_until = now + REFUSAL_PAUSE;
            if refusal == Refusal::Unhealthy {
                agent.health.ended(false, now);
            }
        }
        if !self.release(name, task, number) {
            return;
        }
        self.run_over(task, number, now);
        // The order counts as never given, so that the task has waited since before it.
        if refusal == Refusal::Evacuated
            && let (Some(state), Some(ready_since)) = (self.task_mut(task), ready_since)
        {
            state.ready_since = ready_since;
        }
    }

    /// Takes note that a run that was told to stop isn't there and never will be.
    pub fn run_absent(&mut self, name: &Name, task: TaskId, number: u64, now: Duration) {
        self.stray_over(name, (task, number));
        if self.release(name, task, number) {
            self.run_over(task, number, now);
        }
    }

    /// Takes in how far runs are.
    pub fn runs_reported(&mut self, running: &[RunReport], now: Duration) {
        let mut paced: Set<Name> = Set::default();
        for report in running {
            if let Some(run) = self.run_mut(report.task, report.run) {
                if run.pace_percent != report.pace_percent {
                    paced.insert(Arc::clone(&run.agent));
                }
                if run.started.is_none() {
                    run.started = Some(now);
                }
                run.pace_percent = report.pace_percent.min(FULL_PERCENT);
                run.slow(report.pace_percent < SLOWED_PERCENT, report.percent, now);
                if run.percent != report.percent {
                    run.percent = report.percent;
                    run.moved = now;
                }
            } else {
                continue;
            }
            self.take_checkpoint(report);
        }
        for agent in paced {
            self.count_held_back(&agent);
        }
    }

    /// Counts anew what the paces of filling runs keep them from using on a worker.
    fn count_held_back(&mut self, name: &Name) {
        let Some(agent) = self.agents.get(name) else { return };
        let held_back = |(task, number): &(TaskId, u64)| {
            let entry = self.jobs.get(&task.job)?;
            let step = entry.job.step(task.key).filter(|step| step.filling)?;
            let run = self.run(*task, *number)?;
            Some(step.resources.processor_millicores * u64::from(FULL_PERCENT - run.pace_percent) / 100)
        };
        let held_back = agent.runs.iter().filter_map(held_back).sum();
        if let Some(agent) = self.agents.get_mut(name) {
            agent.load.held_back_millicores = held_back;
        }
        self.needs_placing = true;
    }

    /// Takes a run off its worker's load; tells whether it was there.
    pub(crate) fn release(&mut self, name: &Name, task: TaskId, number: u64) -> bool {
        let occupied = self.occupation(task);
        let Some(agent) = self.agents.get_mut(name) else { return false };
        if !agent.runs.remove(&(task, number)) {
            return false;
        }
        if let Some((need, image)) = occupied {
            agent.vacate(&need, image);
        }
        self.count_held_back(name);
        true
    }

    /// What a task takes of a worker, and its image.
    pub(crate) fn occupation(&self, task: TaskId) -> Option<(Need, Option<Name>)> {
        let entry = self.jobs.get(&task.job)?;
        Some((need(&entry.job, task.key), entry.job.step(task.key)?.image.clone()))
    }

    pub(crate) fn stray_over(&mut self, name: &Name, run: (TaskId, u64)) {
        if let Some(agent) = self.agents.get_mut(name)
            && agent.strays.remove(&run)
        {
            self.needs_placing = true;
        }
    }

    /// Removes a run from its task, and queues the task again when it has no other run.
    pub(crate) fn run_over(&mut self, task: TaskId, number: u64, now: Duration) {
        let Some(entry) = self.jobs.get_mut(&task.job) else { return };
        let is_open = entry.is_open();
        let is_due = entry.is_due(task.key);
        let Some(state) = entry.tasks.get_mut(&task.key) else { return };
        state.runs.retain(|run| run.number != number);
        let is_waiting = is_open && is_due && !state.is_done && state.runs.is_empty();
        state.not_before = state.not_before.max(now);
        if is_waiting {
            state.ready_since = now;
            self.ready.insert(task);
            self.needs_placing = true;
        }
    }

    /// Stops the runs of a task for which `is_meant` holds.
    pub(crate) fn stop_runs(&mut self, task: TaskId, reason: &'static str, is_meant: impl Fn(&Run) -> bool) {
        let Some(state) = self.task_mut(task) else { return };
        let stopped: Vec<(Name, u64)> = state
            .runs
            .iter_mut()
            .filter(|run| !run.is_stopping && is_meant(run))
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

    /// Moves work off a worker that leaves, when it wouldn't end there in time.
    fn move_off(&mut self, name: &Name) {
        let Some(agent) = self.agents.get(name) else { return };
        let stay = agent.worker.as_ref().and_then(|worker| worker.leaves_in).unwrap_or_default();
        let moved: Vec<(TaskId, u64)> = agent
            .runs
            .iter()
            .filter(|(task, _)| {
                self.jobs
                    .get(&task.job)
                    .and_then(|entry| entry.job.step(task.key))
                    .is_some_and(|step| step.lasting || (step.checkpointing && step.estimate > stay))
            })
            .copied()
            .collect();
        for (task, number) in moved {
            self.stop_runs(task, "worker_leaves", |run| run.number == number);
        }
    }

    pub(crate) fn task_mut(&mut self, task: TaskId) -> Option<&mut super::jobs::Task> {
        self.jobs.get_mut(&task.job)?.tasks.get_mut(&task.key)
    }

    pub(crate) fn run(&self, task: TaskId, number: u64) -> Option<&Run> {
        self.jobs.get(&task.job)?.tasks.get(&task.key)?.runs.iter().find(|run| run.number == number)
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

    /// What an agent must know of the runs on its worker that it may not have started itself.
    #[must_use]
    pub fn run_traits(&self, name: &Name) -> Vec<(TaskId, u64, RunTraits)> {
        let Some(agent) = self.agents.get(name) else { return Vec::new() };
        let traits = |(task, run): &(TaskId, u64)| {
            let urgency = self.run(*task, *run).map_or(Urgency::UNKNOWN, |run| run.urgency);
            Some((*task, *run, RunTraits::of(self.step_of(*task)?, urgency)))
        };
        agent.runs.iter().filter_map(traits).collect()
    }

    /// Every run that the placer believes to be on an agent's worker.
    #[must_use]
    pub fn runs_on(&self, name: &Name) -> Vec<(TaskId, u64)> {
        self.agents.get(name).map(|agent| agent.runs.iter().copied().collect()).unwrap_or_default()
    }

    /// Life of an agent's worker.
    #[must_use]
    pub fn life_of(&self, name: &Name) -> Option<&Life> {
        self.agents.get(name)?.worker.as_ref().map(|worker| &worker.life)
    }
}

impl Agent {
    /// Counts a run against the worker's load.
    pub(crate) fn occupy(&mut self, need: &Need, image: Option<Name>) {
        self.load.add(need);
        if need.is_serving {
            *self.serving.entry(image.unwrap_or_default()).or_default() += 1;
        }
    }

    /// Takes a run off the worker's load.
    pub(crate) fn vacate(&mut self, need: &Need, image: Option<Name>) {
        self.load.remove(need);
        if !need.is_serving {
            return;
        }
        let image = image.unwrap_or_default();
        if let Some(count) = self.serving.get_mut(&image) {
            *count -= 1;
            if *count == 0 {
                self.serving.remove(&image);
            }
        }
    }

    fn new(lease_until: Duration) -> Self {
        Self {
            contact: Contact::Unheard,
            worker: None,
            lease_until,
            load: Load::default(),
            serving: Map::default(),
            rooms: Map::default(),
            runs: Set::default(),
            strays: Set::default(),
            health: Health::default(),
            paused_until: Duration::ZERO,
            ends_seen: 0,
            leaving_since: None,
            cold_until: Duration::ZERO,
            returning_until: Duration::ZERO,
            start_due: Duration::ZERO,
        }
    }
}

/// Whether an end speaks for or against its worker; `None` when it says nothing.
pub(crate) const fn verdict(kind: EndKind) -> Option<bool> {
    match kind {
        EndKind::Done => Some(true),
        EndKind::Failed => Some(false),
        EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => None,
    }
}

/// Names every task of a job and step.
pub(crate) fn tasks_of_step(entry: &super::jobs::JobEntry, occurrence: u32, step: u32) -> Vec<TaskId> {
    entry
        .tasks
        .keys()
        .filter(|key| key.occurrence == occurrence && key.step == step)
        .map(|key| task_id(entry.job.id, *key))
        .collect()
}
