//! Placers: their links to agents, their writes, and the orders that the agents carry out.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::{Authority, RENEWAL_INTERVAL};
use chervilledge_cell::cell::writes::Batch;
use chervilledge_cell::cell::{Action, Cell};
use chervilledge_cell::job::TaskId;
use chervilledge_cell::worker::{EndKind, Life, Refusal, StartOrder};
use chervilledge_policy::id::Name;
use rand::Rng;

use crate::STOP_TIME;
use crate::agent::Agent;
use crate::series::unix_ms;
use crate::support::LEASE;
use crate::world::{CLOCK, WRITE, World};

/// Time by which the wall clock of a placer may be slow.
const CLOCK_SLOW_MAX_MS: u64 = 2_000;
/// Steps between two reports of an agent on the progress of its runs.
const REPORT_STEPS: u32 = 10;

pub struct Placer {
    pub term: u64,
    pub cell: Cell,
    pub authority: Authority,
    /// Agents that are linked, with the generations of their last inventories.
    pub links: BTreeMap<Name, u64>,
    /// Until when the placer can't reach the store.
    pub cut: Duration,
    pub confirm_due: Duration,
    /// Until when the placer can't reach the witness.
    pub witness_cut: Duration,
    /// When no former placer acts any more.
    pub alone_at: Duration,
    /// That time has come.
    pub is_alone: bool,
    /// It has learnt of its successor from the store.
    pub is_deposed: bool,
    pub batch: Option<(Batch, Duration)>,
    /// Revision up to which the jobs have been read.
    pub read: u64,
}

impl World {
    /// Opens and closes links, and transfers the messages on them.
    pub fn link(&mut self, position: usize) {
        let now = self.now;
        let newest = self.store.term;
        let placer = &mut self.placers[position];
        for (agent_name, agent) in &mut self.agents {
            let is_cut = now < agent.cut && !(agent.is_cut_from_newest_only && placer.term < newest);
            let obeyed = agent.term.max(agent.fence).max(agent.newest_term.unwrap_or_default());
            let is_reached = !is_cut && now >= agent.off_until && obeyed <= placer.term;
            if !is_reached {
                if placer.links.remove(agent_name).is_some() {
                    placer.cell.agent_silent(agent_name);
                }
                continue;
            }
            let is_up = now >= agent.worker_down;
            let known = placer.links.insert(Arc::clone(agent_name), agent.generation);
            if known == Some(agent.generation) {
                placer.cell.runs_ended(agent_name, agent.listed_ends(), now);
                if self.step_number.is_multiple_of(REPORT_STEPS) {
                    placer.cell.runs_reported(&agent.reports(), now);
                }
            } else {
                agent.term = placer.term;
                agent.fence = placer.term;
                placer.cell.agent_linked(agent_name, agent.inventory(agent_name, now), now);
            }
            placer.cell.agent_retiring(agent_name, agent.exits_at.is_some());
            if is_up
                && placer.authority.holds(now)
                && let Some(until) = placer.authority.leases_until(LEASE)
                && let Some(lease) = placer.cell.grant(agent_name, until, now)
                && !lease.is_zero()
            {
                agent.grant.extend(now, lease);
            }
        }
    }

    pub fn run_placer(&mut self, position: usize) {
        let now = self.now;
        let slow_by_ms = self.choices_of(CLOCK, self.placers[position].term).random_range(0..CLOCK_SLOW_MAX_MS);
        let placer = &mut self.placers[position];
        // The wall clocks of placers differ, and none is fast.
        placer.cell.open_due(unix_ms(now) - slow_by_ms, now);
        let awaits = placer.cell.awaits_confirmation(placer.authority.last_confirmed(), now);
        if now >= placer.cut && (awaits || now >= placer.confirm_due) {
            placer.confirm_due = now + Duration::from_secs(1);
            placer.is_deposed = self.store.term != placer.term;
            if !placer.is_deposed {
                placer.authority.confirmed(now);
                placer.authority.renewed(now);
                self.heartbeat = now;
                self.store.revision += 1;
                placer.cell.store_revision_seen(now, self.store.revision);
            }
        }
        if placer.authority.renewal_age(now).is_some_and(|age| age > RENEWAL_INTERVAL)
            && now >= placer.witness_cut
            && self.witness.renew(placer.term, self.read_by_witness, now)
        {
            placer.authority.renewed(now);
        }
        if !placer.is_alone && now >= placer.alone_at {
            placer.is_alone = true;
            placer.cell.predecessor_over(now);
        }
        let leases_until = placer.authority.leases_until(LEASE);
        if placer.authority.holds(now) && leases_until.is_some_and(|until| now < until) {
            placer.cell.lapse_agents(placer.authority.last_confirmed(), now);
            placer.cell.save_checkpoints(now);
            placer.cell.watch_lasting(true, now);
            placer.cell.place(now);
        }
        self.write(position);
        let actions = self.placers[position].cell.take_actions();
        // What an agent lists after these orders wasn't known to the placer.
        let (settles, others): (Vec<_>, Vec<_>) =
            actions.into_iter().partition(|action| matches!(action, Action::Settle { .. }));
        for action in others {
            self.carry_out(position, action);
        }
        self.check_stopping(position);
        for action in settles {
            self.carry_out(position, action);
        }
    }

    /// Writes progress immediately, later, without an answer, or not at all.
    pub fn write(&mut self, position: usize) {
        let now = self.now;
        let mut choices = self.choices(WRITE + position as u64);
        let delay = Duration::from_millis(choices.random_range(0..400));
        let loses_answer = !self.is_recovering && choices.random_bool(0.1);
        let placer = &mut self.placers[position];
        if placer.batch.is_none() {
            placer.batch = placer.cell.next_batch().map(|batch| (batch, now + delay));
        }
        let Some((batch, _)) = placer.batch.take_if(|(_, due)| *due <= now) else { return };
        if now < placer.cut {
            placer.cell.requeue_batch(&batch);
            return;
        }
        match self.store.write(placer.term, &batch) {
            Ok(_) if loses_answer => placer.cell.requeue_batch(&batch),
            Ok(revision) => placer.cell.committed(&batch, revision, now),
            Err(Some(revisions)) => placer.cell.conflicted(&batch, &revisions),
            Err(None) => placer.cell.requeue_batch(&batch),
        }
    }

    fn carry_out(&mut self, position: usize, action: Action) {
        let (Action::Start { agent: agent_name, .. }
        | Action::Stop { agent: agent_name, .. }
        | Action::Settle { agent: agent_name, .. }
        | Action::SettleCrash { agent: agent_name, .. }) = &action;
        let agent_name = Arc::clone(agent_name);
        let placer = &self.placers[position];
        // Without a link the order is lost.
        if !placer.links.contains_key(&agent_name) || self.agents[&agent_name].term != placer.term {
            return;
        }
        match action {
            Action::Start { life, order, .. } => self.start(position, &agent_name, &life, &order),
            Action::Stop { life, task, run, .. } => self.stop(position, &agent_name, &life, task, run),
            Action::Settle { life, cursor, .. } => self.settle(&agent_name, &life, cursor),
            Action::SettleCrash { life, .. } => {
                let (_, agent) = self.pair(position, &agent_name);
                agent.crashes.retain(|crash| crash.life != life);
            }
        }
    }

    fn start(&mut self, position: usize, agent_name: &Name, life: &Life, order: &StartOrder) {
        let (task, run, now) = (order.task, order.run, self.now);
        let state = self.new_run(order);
        let (placer, agent) = self.pair(position, agent_name);
        let is_old = agent.stopped.get(&task).is_some_and(|stopped| *stopped >= run);
        let is_there = now >= agent.worker_down && agent.life(agent_name) == *life;
        if !is_there || !agent.grant.holds(now) || is_old {
            placer.cell.run_absent(agent_name, task, run, now);
            return;
        }
        if !agent.is_term_certain(now) {
            placer.cell.run_refused(agent_name, task, run, Refusal::Late, now);
            return;
        }
        agent.running.insert((task, run), state);
        let capacity = agent.millicores;
        let running: Vec<TaskId> = agent.running.keys().map(|(task, _)| *task).collect();
        placer.cell.run_started(task, run, now);
        let used: u64 = running.into_iter().map(|task| self.millicores(task)).sum();
        if used > capacity {
            self.violate(&format!("LIMIT: {task} brings {agent_name} to {used} of {capacity} millicores"));
        }
        let is_in_touch = self.is_in_touch(position, agent_name);
        // A former placer that can't reach the store doesn't know of a cancellation.
        let may_know = !self.cancelled.contains(&task.job) || self.placers[position].term == self.store.term;
        if is_in_touch && may_know && self.store.is_done(task) {
            self.violate(&format!("TWICE: {task} starts after its end was stored"));
        }
        let Some((job, _)) = self.store.jobs.get(&task.job) else { return };
        if let Err(violation) = self.ledger.started(job, order, is_in_touch, unix_ms(now)) {
            self.violate(&violation);
        }
    }

    fn stop(&mut self, position: usize, agent_name: &Name, life: &Life, task: TaskId, run: u64) {
        let now = self.now;
        let (placer, agent) = self.pair(position, agent_name);
        if now < agent.worker_down || agent.life(agent_name) != *life {
            placer.cell.run_absent(agent_name, task, run, now);
            return;
        }
        let stopped = agent.stopped.entry(task).or_default();
        *stopped = (*stopped).max(run);
        match agent.running.get_mut(&(task, run)) {
            Some(run) => _ = run.stops_at.get_or_insert(now + STOP_TIME),
            None => placer.cell.run_absent(agent_name, task, run, now),
        }
    }

    fn settle(&mut self, agent_name: &Name, target_life: &Life, cursor: u64) {
        let Some(agent) = self.agents.get_mut(agent_name) else { return };
        if agent.life(agent_name) != *target_life {
            return;
        }
        let settled = agent.forget_ends(cursor);
        for listed in settled.iter().filter(|listed| listed.end.kind == EndKind::Done) {
            let task = listed.end.task;
            if !self.store.is_done(task) {
                self.violate(&format!("TWICE: the end of {task} is settled before it is stored"));
            }
            let Some((job, _)) = self.store.jobs.get(&task.job) else { continue };
            if let Err(violation) = self.ledger.noted(job, listed) {
                self.violate(&violation);
            }
        }
    }

    /// A placer and an agent.
    fn pair(&mut self, position: usize, agent: &Name) -> (&mut Placer, &mut Agent) {
        (&mut self.placers[position], self.agents.get_mut(agent).expect("an agent"))
    }
}
