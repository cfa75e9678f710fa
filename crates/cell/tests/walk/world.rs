//! The modelled cell: placers, agents with their workers, the store, and the faults between them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::{Authority, leases_end};
use chervilledge_cell::cell::Cell;
use chervilledge_cell::grant::Grant;
use chervilledge_cell::job::{JobId, JobState};
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
pub const SUBMIT: u64 = 1;
pub const READ_BY_WITNESS: u64 = 2;
pub const READ: u64 = 100;
pub const WRITE: u64 = 200;

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
        let handed_over_leases = if is_released { self.release() } else { Vec::new() };
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
            cell.former_leases_end(leases_end(self.heartbeat.max(self.now.saturating_sub(renewed_ago)), LEASE));
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
            links: BTreeSet::new(),
            cut: self.now,
            confirm_due: self.now,
            witness_cut: self.now,
            batch: None,
            read: self.store.revision,
        });
    }

    /// The newest placer releases the cell if it can; returns when the leases end that it hands over.
    pub fn release(&mut self) -> Vec<(Name, Duration)> {
        let (now, newest) = (self.now, self.store.term);
        let may_release = |placer: &mut Placer| placer.term == newest && now >= placer.cut;
        let Some(released) = self.placers.pop_if(may_release) else { return Vec::new() };
        released.cell.unlinked_leases(now).map(|(agent, left)| (agent, now + left)).collect()
    }

    /// A caller's job is stored, and submitted to some of the processes that believe to be the placer.
    fn accept(&mut self, kind: Kind) {
        let id = JobId(self.store.jobs.len() as u64);
        let job = kind.job(id);
        self.store.revision += 1;
        self.store.jobs.insert(id, (job.clone(), self.store.revision));
        let mut choices = self.choices(SUBMIT);
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
        if self.now < placer.cut || !choices.random_bool(0.05) {
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
        if !matches!(event, Event::Submit(_)) {
            self.calm_since = self.now;
        }
        match event {
            Event::Submit(kind) => self.accept(kind),
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
            Event::RestartWitness => {
                self.witness = Witness::new(self.now);
                self.read_by_witness = None;
            }
            Event::TakeOver { is_released, asks_witness } => self.take_over(is_released, asks_witness),
        }
    }

    fn agent_mut(&mut self, number: usize) -> (Name, &mut Agent) {
        let (name, agent) = self.agents.iter_mut().nth(number).expect("an agent");
        (Arc::clone(name), agent)
    }

    /// The agent's process restarts; its worker runs on.
    fn restart_agent(&mut self, number: usize) {
        let (name, agent) = self.agent_mut(number);
        agent.term = 0;
        agent.grant = Grant::default();
        for placer in &mut self.placers {
            if placer.links.remove(&name) {
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
            self.calm_since = self.now;
        }
        self.advance_runs();
        for position in 0..self.placers.len() {
            self.read(position);
            self.link(position);
            self.run_placer(position);
        }
        let newest = self.store.term;
        // A placer that reaches the store learns that it was deposed.
        let now = self.now;
        self.placers.retain(|placer| placer.term == newest || placer.cut > now || now < placer.confirm_due);
        self.check();
    }

    fn check(&mut self) {
        let mut running = BTreeSet::new();
        let runs = self.agents.values().flat_map(|agent| agent.running.keys().map(|(task, _)| *task));
        if let Some(twice) = runs.into_iter().find(|task| !running.insert(*task)) {
            self.violate(&format!("TWICE: {twice} runs twice"));
        }
        let stranded = |placer: &Placer| Some((placer.term, *placer.cell.stranded().first()?));
        if let Some((term, task)) = self.placers.iter().find_map(stranded) {
            self.violate(&format!("LOST: {task} neither waits nor runs in term {term}"));
        }
    }

    /// Whether the newest placer shows every job as ended.
    fn has_ended(&self) -> bool {
        self.placers.last().is_some_and(|placer| self.store.jobs.keys().all(|id| has_ended(placer.cell.state(*id))))
    }

    fn check_end(&mut self) {
        let Some(placer) = self.placers.last() else { return self.violate("no placer is left") };
        let open = self.store.jobs.keys().find(|id| !has_ended(placer.cell.state(**id)));
        if let Some(violation) = open.map(|id| format!("LOST: job {id} is {:?}", placer.cell.state(*id))) {
            self.violate(&violation);
        }
    }
}

fn has_ended(state: Option<JobState>) -> bool {
    state == Some(JobState::Completed)
}

/// Mixes two numbers into one that seeds a generator.
const fn mix(one: u64, other: u64) -> u64 {
    let mixed = (one ^ other.wrapping_mul(0x9e37_79b9_7f4a_7c15)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 31)
}
