//! Agents, their workers, and how runs are handled when either is lost.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use super::{Agent, Cell, Note, task_id};
use crate::authority;
use crate::health::Health;
use crate::job::TaskId;
use crate::packing::{Load, Need};
use crate::worker::{CrashReport, End, EndKind, Life, RunReport, Worker};

/// State of the link to an agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Contact {
    /// Named by a row; it hasn't reported the runs on its worker yet.
    Unheard,
    /// Linked, and its worker's runs are known; not all of its ends if the agent is unresolved.
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
    /// Crashes of the worker that aren't settled.
    pub crashes: Vec<CrashReport>,
    /// Without a worker: certainly nothing runs there any more.
    pub is_empty: bool,
    /// Whether runs that aren't listed may have ended on the worker; the whole inventory follows.
    pub is_partial: bool,
    /// Time for which runs may go on without a grant, under a lease that was meant for a former life of the worker.
    pub foreign_lease: Option<Duration>,
}

impl Cell {
    /// Registers an agent that a row names. An agent of a predecessor's cell may have runs until it answers.
    pub fn agent_known(&mut self, name: &Name, is_of_predecessor: bool, now: Duration) {
        if self.agents.contains_key(name) {
            return;
        }
        let is_of_predecessor = is_of_predecessor && self.former_leases_end.is_none_or(|end| now < end);
        let lease_until = match (is_of_predecessor, self.is_predecessor_over) {
            (false, _) => now,
            (true, true) => now + authority::lapse_after(self.lease),
            (true, false) => now + authority::takeover_wait(self.lease),
        };
        let lease_until = self.former_leases_end.map_or(lease_until, |end| lease_until.min(end));
        if is_of_predecessor {
            self.unresolved.insert(Arc::clone(name));
        }
        self.agents.insert(Arc::clone(name), Agent::new(lease_until));
    }

    /// Records that the former placer grants no more leases.
    pub fn predecessor_over(&mut self, now: Duration) {
        self.is_predecessor_over = true;
        self.limit_former_leases(now + authority::lapse_after(self.lease));
    }

    /// Records when all leases will have ended that former placers have granted and may still grant.
    pub fn former_leases_end(&mut self, end: Duration) {
        let end = self.former_leases_end.map_or(end, |known| known.min(end));
        self.former_leases_end = Some(end);
        self.limit_former_leases(end);
    }

    /// Records when the lease of an agent ends that hasn't answered yet.
    pub fn limit_former_lease(&mut self, name: &Name, end: Duration) {
        if self.unresolved.contains(name)
            && let Some(agent) = self.agents.get_mut(name)
        {
            agent.lease_until = agent.lease_until.min(end);
        }
    }

    /// Agents without a link, and how long leases may still run on their workers.
    pub fn unlinked_leases(&self, now: Duration) -> impl Iterator<Item = (Name, Duration)> {
        let unlinked = self.agents.iter().filter(|(_, agent)| agent.contact != Contact::Linked);
        unlinked.map(move |(name, agent)| (Arc::clone(name), agent.leases_end().saturating_sub(now)))
    }

    fn limit_former_leases(&mut self, end: Duration) {
        for name in &self.unresolved {
            if let Some(agent) = self.agents.get_mut(name) {
                agent.lease_until = agent.lease_until.min(end);
            }
        }
        self.needs_placing = true;
    }

    /// Grants the agent a lease that ends by `until`; returns its length, which is 0 while the runs on its worker aren't
    /// known.
    ///
    /// Must be called when the grant is sent.
    pub fn grant(&mut self, name: &Name, until: Duration, now: Duration) -> Option<Duration> {
        let lease = self.lease.min(until.saturating_sub(now));
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
        for crash in &inventory.crashes {
            self.worker_had_crashed(name, crash, now);
        }
        if let (Some(agent), Some(left)) = (self.agents.get_mut(name), inventory.foreign_lease) {
            agent.foreign_lease_until = agent.foreign_lease_until.max(now + left);
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
            let is_first = std::mem::replace(&mut agent.contact, Contact::Linked) == Contact::Unheard;
            // A former placer may have started the runs whose ends aren't listed.
            if is_first && inventory.is_partial {
                self.unresolved.insert(Arc::clone(name));
            }
        }
        self.settle_again(name, &inventory.ends);
        self.runs_ended(name, inventory.ends, now);
        self.adopt_listed(name, &inventory.running, &inventory.starting, now);
        self.needs_placing = true;
        if inventory.is_partial {
            self.log_agent(name, "linked_in_part");
            return;
        }
        self.stop_missing(name, &inventory.running, &inventory.starting);
        self.unresolved.remove(name);
        self.log_agent(name, "linked");
    }

    /// Updates the state of a worker. A life other than the known one means that every run of the former life is
    /// gone.
    pub fn worker_seen(&mut self, name: &Name, worker: Worker, now: Duration) {
        let Some(agent) = self.agents.get(name) else { return };
        let previous = agent.worker.as_ref().map(|previous| previous.life.clone());
        if let Some(previous) = previous.as_ref().filter(|previous| **previous != worker.life) {
            if agent.crashed_life.as_ref() != Some(previous) {
                self.crash_unreported(name, now);
            }
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

    /// Records that the worker's life is over: nothing runs there.
    pub fn worker_gone(&mut self, name: &Name, now: Duration) {
        self.lose_worker(name, "worker_gone", now);
    }

    /// Removes the worker and all its runs; `how` is the reason for the log.
    fn lose_worker(&mut self, name: &Name, how: &'static str, now: Duration) {
        let Some(agent) = self.agents.get_mut(name) else { return };
        let lost: Vec<(TaskId, u64)> = agent.runs.drain().collect();
        agent.unmatched_runs.clear();
        agent.trials.clear();
        agent.repeated.clear();
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
            if !self.is_crash_known(task, number) {
                self.log_lost(name, task, number, how, now);
            }
            self.remove_run(task, number, how, now);
        }
        self.needs_placing = true;
    }

    fn log_lost(&mut self, name: &Name, task: TaskId, run: u64, how: &'static str, now: Duration) {
        let ran = self.run(task, run).and_then(|run| run.started).map(|started| now.saturating_sub(started));
        self.notes.push(Note::RunLost { task, run, agent: Arc::clone(name), ran, how });
    }

    /// Records whether an agent with a link has been asked to stop.
    pub fn agent_retiring(&mut self, name: &Name, is_retiring: bool) {
        if let Some(agent) = self.agents.get_mut(name)
            && agent.is_retiring != is_retiring
        {
            agent.is_retiring = is_retiring;
            self.log_agent(name, if is_retiring { "stopping" } else { "not_stopping" });
        }
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
        for name in self.agents_without_lease(confirmed) {
            self.lose_worker(&name, "lapsed", now);
            if let Some(agent) = self.agents.get_mut(&name) {
                agent.contact = Contact::Lapsed;
            }
            self.log_agent(&name, "lapsed");
        }
    }

    /// Whether a confirmation from after `confirmed` would let a silent agent lapse.
    #[must_use]
    pub fn awaits_confirmation(&self, confirmed: Option<Duration>, now: Duration) -> bool {
        confirmed.is_some_and(|confirmed| confirmed < now) && !self.agents_without_lease(now).is_empty()
    }

    /// Silent agents whose lease had ended at a time.
    fn agents_without_lease(&self, at: Duration) -> Vec<Name> {
        self.agents
            .iter()
            .filter(|(_, agent)| agent.leases_end() <= at)
            .filter(|(name, agent)| match agent.contact {
                Contact::Silent => true,
                Contact::Unheard => self.unresolved.contains(*name),
                Contact::Linked | Contact::Lapsed => false,
            })
            .map(|(name, _)| Arc::clone(name))
            .collect()
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

    /// Matches the runs that are listed for a worker to their tasks.
    fn adopt_listed(&mut self, name: &Name, running: &[RunReport], starting: &[(TaskId, u64)], now: Duration) {
        for report in running {
            self.adopt(name, report.task, report.run, Some(report.percent), now);
            self.take_checkpoint(report);
        }
        for (task, run) in starting {
            self.adopt(name, *task, *run, None, now);
        }
    }

    /// Stops the runs that were ordered and that the whole inventory of the worker doesn't list.
    fn stop_missing(&mut self, name: &Name, running: &[RunReport], starting: &[(TaskId, u64)]) {
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

    /// Latest time at which the worker's lease can end.
    fn leases_end(&self) -> Duration {
        self.lease_until.max(self.foreign_lease_until)
    }

    fn new(lease_until: Duration) -> Self {
        Self {
            contact: Contact::Unheard,
            is_retiring: false,
            worker: None,
            lease_until,
            foreign_lease_until: Duration::ZERO,
            load: Load::default(),
            serving: Map::default(),
            headrooms: Map::default(),
            runs: Set::default(),
            unmatched_runs: Set::default(),
            last_start: Duration::ZERO,
            trials: Vec::new(),
            repeated: Map::default(),
            crashed_life: None,
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
