//! Agents, their workers, and how runs are handled when either is lost.

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

/// Pause in placing on a worker that had no room or couldn't serve.
const REFUSAL_PAUSE: Duration = Duration::from_millis(300);

/// Pace below which a run counts as slowed down.
const SLOWED_PERCENT: u32 = 40;

/// State of the link to an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// Named by a row; it hasn't reported the runs on its worker yet.
    Unheard,
    /// Linked, and its worker's runs are known.
    Linked,
    /// Its link is lost; runs may go on until the lease ends.
    Silent,
    /// Its link is lost and every lease has ended.
    Lapsed,
}

/// Report of an agent on its worker when it is linked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Inventory {
    /// The worker, if it is known.
    pub worker: Option<Worker>,
    /// Runs that the worker reports.
    pub running: Vec<RunReport>,
    /// Runs that were missing from the poll behind `running` but may be there or may still start.
    pub starting: Vec<(TaskId, u64)>,
    /// Ends that aren't settled.
    pub ends: Vec<End>,
    /// Without a worker: certainly nothing runs there any more.
    pub is_empty: bool,
}

impl Cell {
    /// Registers an agent that a row names. An agent of a predecessor's cell may have runs until it answers.
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

    /// Records that the former placer grants no more leases.
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

    /// Grants the agent a lease; returns its length, which is 0 while the runs on its worker aren't known.
    ///
    /// Must be called when the grant is sent.
    pub fn grant(&mut self, name: &Name, now: Duration) -> Option<Duration> {
        let lease = self.lease;
        let agent = self.agents.get_mut(name)?;
        if agent.contact != Contact::Linked {
            return Some(Duration::ZERO);
        }
        agent.lease_until = agent.lease_until.max(now + authority::lapse_after(lease));
        Some(lease)
    }

    /// Processes an agent's report after its link was opened.
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
                self.log_agent(name, "linked_without_worker");
                return;
            }
            // The runs on its worker aren't known yet; its leases decide until they are.
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
        self.log_agent(name, "linked");
    }

    /// Updates the state of a worker. A life other than the known one means that every run of the former life is
    /// gone.
    pub fn worker_seen(&mut self, name: &Name, worker: Worker, now: Duration) {
        let Some(agent) = self.agents.get(name) else { return };
        let previous = agent.worker.as_ref().map(|previous| previous.life.clone());
        if previous.as_ref().is_some_and(|previous| *previous != worker.life) {
            self.worker_gone(name, now);
        }
        let Some(agent) = self.agents.get_mut(name) else { return };
        if previous.as_ref() != Some(&worker.life) {
            agent.last_end = 0;
            agent.health = Health::default();
        }
        let is_released = self.evacuating.domains.is_released(&worker.failure_domain);
        agent.load.total = worker.resources;
        agent.report_cold(worker.cold_for, is_released, now);
        let leaves = worker.leaves_in;
        agent.worker = Some(worker);
        if leaves.is_some() && agent.leaving_since.is_none() {
            agent.leaving_since = Some(now);
            self.log_agent(name, "leaving");
            self.stop_on_leaving_worker(name);
        }
        self.needs_placing = true;
    }

    /// Records that the worker's life is over or that its lease has ended: nothing runs there.
    pub fn worker_gone(&mut self, name: &Name, now: Duration) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        let lost: Vec<(TaskId, u64)> = agent.runs.drain().collect();
        agent.unmatched_runs.clear();
        agent.worker = None;
        agent.leaving_since = None;
        agent.load = Load::default();
        agent.serving.clear();
        agent.headrooms.clear();
        self.unresolved.remove(name);
        if !lost.is_empty() {
            self.log_agent(name, "worker_gone");
        }
        self.counters.lost += lost.len() as u64;
        for (task, number) in lost {
            self.remove_run(task, number, now);
        }
        self.needs_placing = true;
    }

    /// Records that an agent's link is lost.
    pub fn agent_silent(&mut self, name: &Name) {
        if let Some(agent) = self.agents.get_mut(name)
            && agent.contact == Contact::Linked
        {
            agent.contact = Contact::Silent;
            self.log_agent(name, "silent");
        }
    }

    /// Gives up the runs on workers of silent agents whose lease had ended when the term was last confirmed.
    ///
    /// Without a confirmation from after the lease's end, the agent may be silent because it obeys a newer placer,
    /// under which its runs go on.
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
            self.log_agent(&name, "lapsed");
        }
    }

    /// Number of agents that may hold runs of a predecessor and haven't answered.
    #[must_use]
    pub fn unresolved(&self) -> usize {
        self.unresolved.len()
    }

    /// Whether an agent has lapsed, so that its row may be deleted.
    #[must_use]
    pub fn is_lapsed(&self, name: &Name) -> bool {
        self.agents.get(name).is_some_and(|agent| agent.contact == Contact::Lapsed)
    }

    /// Forgets an agent whose row was deleted.
    pub fn forget_agent(&mut self, name: &Name) {
        if self.is_lapsed(name) {
            self.agents.remove(name);
        }
    }

    /// Reconciles the runs on a worker with the runs that were ordered.
    fn reconcile(&mut self, name: &Name, running: &[RunReport], starting: &[(TaskId, u64)], now: Duration) {
        for report in running {
            self.adopt(name, report.task, report.run, Some(report.percent), now);
            self.take_checkpoint(report);
        }
        for (task, run) in starting {
            self.adopt(name, *task, *run, None, now);
        }
        let Some(agent) = self.agents.get(name) else { return };
        let present: Set<(TaskId, u64)> =
            running.iter().map(|report| (report.task, report.run)).chain(starting.iter().copied()).collect();
        let missing: Vec<(TaskId, u64)> = agent.runs.difference(&present).copied().collect();
        let absent: Vec<(TaskId, u64)> = agent.unmatched_runs.difference(&present).copied().collect();
        for run in absent {
            self.remove_unmatched(name, run);
        }
        // The order may still be on its way to the worker, so the run is stopped before it counts as ended.
        for (task, run) in missing {
            self.order_stop(name, task, run, "order_lost");
        }
    }

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
        if let Some(agent) = self.agents.get_mut(name) {
            agent.runs.insert((task, number));
            agent.occupy(&need, image);
        }
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
        self.remove_run(task, number, now);
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
            self.remove_run(task, number, now);
        }
    }

    /// Updates the progress of runs.
    pub fn runs_reported(&mut self, running: &[RunReport], now: Duration) {
        let mut repaced_agents: Set<Name> = Set::default();
        for report in running {
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

    /// Removes a run from its task, and queues the task again if it has no other run.
    pub(crate) fn remove_run(&mut self, task: TaskId, number: u64, now: Duration) {
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

    /// Stops runs on a leaving worker that wouldn't end there in time.
    fn stop_on_leaving_worker(&mut self, name: &Name) {
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

    /// Runs that the placer believes to be on an agent's worker.
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
    /// Adds a run to the worker's load.
    pub(crate) fn occupy(&mut self, need: &Need, image: Option<Name>) {
        self.load.add(need);
        if need.is_serving {
            *self.serving.entry(image.unwrap_or_default()).or_default() += 1;
        }
    }

    /// Removes a run from the worker's load.
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
            headrooms: Map::default(),
            runs: Set::default(),
            unmatched_runs: Set::default(),
            health: Health::default(),
            paused_until: Duration::ZERO,
            last_end: 0,
            leaving_since: None,
            cold_until: Duration::ZERO,
            spread_starts_until: Duration::ZERO,
            next_start: Duration::ZERO,
        }
    }
}

/// Whether an end counts for or against its worker's health; `None` when it does neither.
pub(crate) const fn counts_as_success(kind: EndKind) -> Option<bool> {
    match kind {
        EndKind::Done => Some(true),
        EndKind::Failed => Some(false),
        EndKind::Stopped | EndKind::Lapsed | EndKind::Broken | EndKind::Alone => None,
    }
}

/// Every task of a job's occurrence and step.
pub(crate) fn tasks_of_step(entry: &super::jobs::JobEntry, occurrence: u32, step: u32) -> Vec<TaskId> {
    entry
        .tasks
        .keys()
        .filter(|key| key.occurrence == occurrence && key.step == step)
        .map(|key| task_id(entry.job.id, *key))
        .collect()
}
