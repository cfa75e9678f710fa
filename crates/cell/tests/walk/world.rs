//! The modelled cell: placers, agents with their workers, the store, and the faults between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::{AUTHORITY_PERIOD, Authority, leases_end};
use chervilledge_cell::cell::Cell;
use chervilledge_cell::job::{JobId, TaskId};
use chervilledge_cell::witness::Witness;
use chervilledge_policy::id::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::agent::Agent;
use crate::ledger::Ledger;
use crate::placer::Placer;
use crate::series::{Event, Kind, Series, milliseconds};
use crate::store::Store;
use crate::support::{LEASE, configuration, name};
use crate::{AGENTS, FAULT_STEPS, RECOVERY_PERIOD, STEP};

/// Keys of choices.
pub const READ_BY_WITNESS: u64 = 1;
pub const CLOCK: u64 = 2;
pub const READ: u64 = 100;
pub const WRITE: u64 = 200;
pub const SUBMIT: u64 = 1_000;

/// Steps after which a placer certainly reads the jobs that were stored.
const READ_STEPS: u32 = 40;
/// Time from SIGTERM until an agent ends.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

pub struct World {
    /// Witness of every placer.
    pub witness: Witness,
    /// Term that the witness has read from the store since it started.
    pub read_by_witness: Option<u64>,
    /// When a term was last renewed in the store.
    pub heartbeat: Duration,
    pub seed: u64,
    /// Events that are left, the next one last.
    events: Vec<(u32, Event)>,
    /// Number of the present step.
    pub step_number: u32,
    pub now: Duration,
    pub store: Store,
    pub placers: Vec<Placer>,
    pub agents: BTreeMap<Name, Agent>,
    pub is_recovering: bool,
    /// When the last fault ended.
    pub calm_since: Duration,
    pub ledger: Ledger,
    /// Jobs that callers have cancelled.
    pub cancelled: BTreeSet<JobId>,
    /// Since when lasting tasks have had no run.
    pub idle_since: BTreeMap<TaskId, Duration>,
    /// First violation.
    violation: Option<String>,
}

impl World {
    /// Plays a series, and then a time without faults; returns the first violation.
    pub fn play(series: &Series) -> Result<(), String> {
        let mut world = Self::new(series);
        while world.violation.is_none() && world.step_number < FAULT_STEPS {
            world.advance();
        }
        world.is_recovering = true;
        let recovery = world.now;
        // Else those might leave no room for a gang.
        world.cancelled.extend(world.store.jobs.values().filter(|(job, _)| job.is_lasting()).map(|(job, _)| job.id));
        let is_in_time = |world: &Self| world.now < recovery.max(world.calm_since) + RECOVERY_PERIOD;
        while world.violation.is_none() && is_in_time(&world) && !world.has_ended() {
            world.advance();
        }
        if !world.has_ended() {
            world.check_end();
        }
        world.violation.map_or(Ok(()), Err)
    }

    fn new(series: &Series) -> Self {
        let agents = (0..AGENTS).map(|number| (name(&format!("agent-{number}")), Agent::default())).collect();
        let now = Duration::from_secs(1_000);
        let mut events = series.events.clone();
        events.sort_by_key(|(step, _)| Reverse(*step));
        let mut world = Self {
            witness: Witness::new(now),
            read_by_witness: None,
            heartbeat: now,
            seed: series.seed,
            events,
            step_number: 0,
            now,
            store: Store::default(),
            placers: Vec::new(),
            agents,
            is_recovering: false,
            calm_since: now,
            ledger: Ledger::default(),
            cancelled: BTreeSet::new(),
            idle_since: BTreeMap::new(),
            violation: None,
        };
        world.take_over(false, true);
        world
    }

    /// Choices that no event names. They depend on the present time and on `key` only, so that a shorter series makes the
    /// same ones.
    pub fn choices(&self, key: u64) -> SmallRng {
        SmallRng::seed_from_u64(mix(mix(self.seed, u64::from(self.step_number)), key))
    }

    /// Choices about a thing, at any time.
    pub fn choices_of(&self, one: u64, other: u64) -> SmallRng {
        SmallRng::seed_from_u64(mix(mix(self.seed, one), other))
    }

    pub fn violate(&mut self, violation: &str) {
        let at = self.now;
        self.violation.get_or_insert_with(|| format!("{violation}, at {at:?}"));
    }

    /// A new placer claims the cell; the former ones don't know about it yet.
    pub fn take_over(&mut self, is_released: bool, asks_witness: bool) {
        let released = is_released.then(|| self.release()).flatten();
        let is_over = self.store.term == 0 || released.as_ref().is_some_and(|(is_alone, _)| *is_alone);
        let handed_over_leases = released.map(|(_, leases)| leases).unwrap_or_default();
        let mut alone_at = if is_over { self.now } else { self.now + AUTHORITY_PERIOD };
        self.store.term += 1;
        self.store.revision += 1;
        let mut cell = Cell::new(self.store.term, LEASE);
        cell.configure(Arc::new(configuration()));
        for agent in self.agents.keys() {
            cell.agent_known(agent, self.store.term > 1, self.now);
        }
        for (agent, end) in handed_over_leases {
            cell.limit_former_lease(&agent, end);
        }
        if asks_witness {
            let renewed_ago = self.witness.end_terms_before(self.store.term, self.now);
            let end = leases_end(self.heartbeat.max(self.now.saturating_sub(renewed_ago)), LEASE);
            cell.former_leases_end(end);
            alone_at = alone_at.min(end);
        }
        self.heartbeat = self.now;
        for (id, (job, _)) in &self.store.jobs {
            let (progress, revision) = self.store.progress.get(id).cloned().unwrap_or_default();
            cell.load(job.clone(), progress, revision, Duration::ZERO, self.now);
        }
        let mut authority = Authority::default();
        authority.confirmed(self.now);
        authority.renewed(self.now);
        self.placers.push(Placer {
            term: self.store.term,
            cell,
            authority,
            links: BTreeMap::new(),
            cut: self.now,
            confirm_due: self.now,
            witness_cut: self.now,
            is_deposed: false,
            alone_at,
            is_alone: false,
            batch: None,
            read: self.store.revision,
        });
    }

    /// The newest placer releases the cell if it can; returns whether no former one acts, and when the leases end that it
    /// hands over.
    fn release(&mut self) -> Option<(bool, Vec<(Name, Duration)>)> {
        let (now, newest) = (self.now, self.store.term);
        let released = self.placers.pop_if(|placer| placer.term == newest && now >= placer.cut)?;
        let leases = released.cell.unlinked_leases(now).map(|(agent, left)| (agent, now + left)).collect();
        Some((released.is_alone, leases))
    }

    /// A caller's job is stored, and submitted to some of the processes that believe to be the placer.
    fn accept(&mut self, id: JobId, kind: Kind) {
        if self.store.jobs.contains_key(&id) {
            return;
        }
        let job = kind.job(id, self.now);
        self.store.revision += 1;
        self.store.jobs.insert(id, (job.clone(), self.store.revision));
        let mut choices = self.choices(SUBMIT + id.0);
        for placer in &mut self.placers {
            if choices.random_bool(0.5) {
                placer.cell.submit(job.clone(), None, self.now);
            }
        }
    }

    /// Reads the jobs that were stored since the last call.
    fn read(&mut self, position: usize) {
        let mut choices = self.choices(READ + position as u64);
        let placer = &mut self.placers[position];
        if self.now < placer.cut || !(choices.random_bool(0.05) || self.step_number.is_multiple_of(READ_STEPS)) {
            return;
        }
        for (id, (job, revision)) in self.store.jobs.iter().filter(|(_, (_, revision))| *revision > placer.read) {
            if placer.cell.knows(*id) {
                placer.cell.job_row_seen(*id, *revision);
            } else {
                placer.cell.submit(job.clone(), Some(*revision), self.now);
            }
        }
        placer.read = self.store.revision;
        placer.cell.jobs_read(placer.read);
    }

    fn apply(&mut self, event: Event) {
        if !matches!(event, Event::Submit { .. } | Event::Cancel { .. }) {
            self.calm_since = self.calm_since.max(self.now);
        }
        if let Event::TakeOver { asks_witness: false, .. } = event {
            // The path to the witness is cut until the predecessor can act no more.
            self.calm_since = self.now + AUTHORITY_PERIOD;
        }
        match event {
            Event::Submit { job, kind } => self.accept(JobId(job), kind),
            Event::CutPlacer { for_ms, is_cut_from_witness } => {
                let until = self.now + milliseconds(for_ms);
                if let Some(placer) = self.placers.last_mut() {
                    placer.cut = until;
                    placer.witness_cut = if is_cut_from_witness { until } else { self.now };
                }
            }
            Event::CutAgent { agent, for_ms, is_cut_from_newest_only } => {
                let until = self.now + milliseconds(for_ms);
                let (_, agent) = self.agent_mut(agent);
                agent.cut = until;
                agent.is_cut_from_newest_only = is_cut_from_newest_only;
            }
            Event::RestartAgent { agent } => self.restart_agent(agent),
            Event::CrashWorker { agent, for_ms } => self.crash_worker(agent, milliseconds(for_ms)),
            Event::StopAgent { agent, off_for_ms } => {
                let exits_at = self.now + STOP_TIMEOUT;
                let (_, agent) = self.agent_mut(agent);
                agent.exits_at.get_or_insert(exits_at);
                agent.off_for = milliseconds(off_for_ms);
            }
            Event::ResizeWorker { agent, millicores } => self.resize_worker(agent, millicores),
            Event::LoseMachine { agent, off_for_ms } => self.lose_machine(agent, milliseconds(off_for_ms)),
            Event::Cancel { job } => {
                let id = JobId(job);
                if self.store.jobs.contains_key(&id) {
                    self.cancelled.insert(id);
                }
            }
            Event::RestartWitness => {
                self.witness = Witness::new(self.now);
                self.read_by_witness = None;
            }
            Event::TakeOver { former_cut_ms, is_released, asks_witness } => {
                let until = self.now + milliseconds(former_cut_ms);
                if let Some(former) = self.placers.last_mut().filter(|_| !is_released) {
                    former.cut = former.cut.max(until);
                }
                self.take_over(is_released, asks_witness);
            }
        }
    }

    fn agent_mut(&mut self, number: usize) -> (Name, &mut Agent) {
        let (name, agent) = self.agents.iter_mut().nth(number).expect("an agent");
        (Arc::clone(name), agent)
    }

    fn resize_worker(&mut self, number: usize, millicores: u64) {
        let now = self.now;
        let (name, agent) = self.agent_mut(number);
        agent.millicores = millicores;
        let (is_up, worker) = (now >= agent.worker_down, agent.worker(&name));
        for placer in self.placers.iter_mut().filter(|placer| is_up && placer.links.contains_key(&name)) {
            placer.cell.worker_seen(&name, worker.clone(), now);
        }
    }

    fn crash_worker(&mut self, number: usize, down_for: Duration) {
        let now = self.now;
        let (name, agent) = self.agent_mut(number);
        if now < agent.worker_down.max(agent.off_until) {
            return;
        }
        let report = agent.crash_report(&name, now);
        agent.lose_worker(now + down_for);
        for run in &report.runs {
            self.ledger.crashed(run.task);
        }
        self.agent_mut(number).1.crashes.push(report);
    }

    fn lose_machine(&mut self, number: usize, off_for: Duration) {
        let until = self.now + off_for;
        let (_, agent) = self.agent_mut(number);
        let lost: Vec<TaskId> = agent.running.keys().map(|(task, _)| *task).collect();
        agent.lose_worker(until);
        agent.off_until = until;
        self.restart_agent(number);
        for task in lost {
            self.ledger.crashed(task);
        }
    }

    /// Ends the processes of agents that were told to stop, and lets workers start.
    fn advance_machines(&mut self) {
        let now = self.now;
        for number in 0..AGENTS {
            let (_, agent) = self.agent_mut(number);
            let off_for = agent.off_for;
            if agent.exits_at.is_some_and(|exits_at| now >= exits_at) {
                self.lose_machine(number, off_for);
                self.calm_since = self.calm_since.max(now);
            } else if now >= agent.worker_down && now < agent.worker_down + STEP {
                agent.generation += 1;
                self.calm_since = self.calm_since.max(now);
            }
        }
    }

    /// Passes cancellations on until they are stored.
    fn cancel_jobs(&mut self) {
        let now = self.now;
        let Some(placer) = self.placers.last_mut().filter(|placer| now >= placer.cut) else { return };
        for id in &self.cancelled {
            placer.cell.cancel(*id, now);
        }
    }

    /// The agent's process restarts; its worker runs on.
    fn restart_agent(&mut self, number: usize) {
        let now = self.now;
        let (name, agent) = self.agent_mut(number);
        agent.restart(now);
        for placer in &mut self.placers {
            if placer.links.remove(&name).is_some() {
                placer.cell.agent_silent(&name);
            }
        }
    }

    fn advance(&mut self) {
        self.now += STEP;
        self.step_number += 1;
        while let Some((_, event)) = self.events.pop_if(|(step, _)| *step < self.step_number) {
            self.apply(event);
        }
        if self.choices(READ_BY_WITNESS).random_bool(0.05) {
            self.read_by_witness = Some(self.store.term);
        }
        let has_cut = self.agents.values().any(|agent| self.now < agent.cut);
        if has_cut || self.placers.iter().any(|placer| self.now < placer.cut.max(placer.witness_cut)) {
            self.calm_since = self.calm_since.max(self.now);
        }
        self.advance_machines();
        self.advance_runs();
        self.cancel_jobs();
        self.agents.values_mut().for_each(|agent| agent.read_term(self.store.term, self.now));
        for position in 0..self.placers.len() {
            self.read(position);
            self.link(position);
            self.run_placer(position);
        }
        self.placers.retain(|placer| !placer.is_deposed);
        self.check();
    }
}

/// Mixes two numbers into one that seeds a generator.
const fn mix(one: u64, other: u64) -> u64 {
    let mixed = (one ^ other.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}
