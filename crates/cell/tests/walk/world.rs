//! The modelled cell: placers, agents with their workers, the store, and the faults between them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::{Authority, leases_end};
use chervilledge_cell::cell::Cell;
use chervilledge_cell::grant::Grant;
use chervilledge_cell::job::{JobId, TaskId};
use chervilledge_cell::witness::Witness;
use chervilledge_cell::worker::EndKind;
use chervilledge_policy::id::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::agent::Agent;
use crate::placer::Placer;
use crate::store::Store;
use crate::support::{LEASE, configuration, name};
use crate::{AGENTS, JOBS, STEP, content};

pub struct World {
    /// Witness of every placer.
    pub witness: Witness,
    /// Term that the witness has read from the store since it started.
    pub read_by_witness: Option<u64>,
    /// When a term was last renewed in the store.
    pub heartbeat: Duration,
    pub seed: u64,
    pub rng: SmallRng,
    pub now: Duration,
    pub store: Store,
    pub placers: Vec<Placer>,
    pub agents: BTreeMap<Name, Agent>,
    pub is_recovering: bool,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let agents = (0..AGENTS).map(|number| (name(&format!("agent-{number}")), Agent::default())).collect();
        let rng = SmallRng::seed_from_u64(seed);
        let now = Duration::from_secs(1_000);
        let mut walk = Self {
            witness: Witness::new(now),
            read_by_witness: None,
            heartbeat: now,
            seed,
            rng,
            now,
            store: Store::default(),
            placers: Vec::new(),
            agents,
            is_recovering: false,
        };
        walk.take_over();
        walk
    }

    /// A new placer claims the cell; the former ones don't know about it yet.
    pub fn take_over(&mut self) {
        let handed_over_leases = self.release();
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
        if self.rng.random_bool(0.7) {
            let renewed_ago = self.witness.end_terms_before(self.store.term, self.now);
            cell.former_leases_end(leases_end(self.heartbeat.max(self.now.saturating_sub(renewed_ago)), LEASE));
        }
        self.heartbeat = self.now;
        for id in self.store.jobs.keys() {
            let (progress, revision) = self.store.progress.get(id).cloned().unwrap_or_default();
            cell.load(content(*id), progress, revision, Duration::ZERO, self.now);
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

    /// The newest placer may release the cell; returns when the leases end that it hands over.
    pub fn release(&mut self) -> Vec<(Name, Duration)> {
        let (now, newest) = (self.now, self.store.term);
        let may_release = |placer: &mut Placer| placer.term == newest && now >= placer.cut;
        if !self.rng.random_bool(0.2) {
            return Vec::new();
        }
        let Some(released) = self.placers.pop_if(may_release) else { return Vec::new() };
        released.cell.unlinked_leases(now).map(|(agent, left)| (agent, now + left)).collect()
    }

    /// A caller's job is stored, and submitted to some of the processes that believe to be the placer.
    pub fn accept(&mut self) {
        let id = JobId(self.store.jobs.len() as u64);
        if id.0 == JOBS {
            return;
        }
        self.store.revision += 1;
        self.store.jobs.insert(id, self.store.revision);
        for placer in &mut self.placers {
            if self.rng.random_bool(0.5) {
                placer.cell.submit(content(id), None, self.now);
            }
        }
    }

    /// Reads the jobs that were stored since the last call.
    pub fn read(&mut self, position: usize) {
        let placer = &mut self.placers[position];
        if self.now < placer.cut || !self.rng.random_bool(0.05) {
            return;
        }
        for (id, revision) in self.store.jobs.iter().filter(|(_, revision)| **revision > placer.read) {
            if placer.cell.knows(*id) {
                placer.cell.job_row_seen(*id, *revision);
            } else {
                placer.cell.submit(content(*id), Some(*revision), self.now);
            }
        }
        placer.read = self.store.revision;
        placer.cell.jobs_read(placer.read);
    }

    pub fn inject_faults(&mut self) {
        let until = self.now + Duration::from_millis(self.rng.random_range(500..30_000));
        if self.rng.random_bool(0.004) {
            self.take_over();
        }
        if self.rng.random_bool(0.01)
            && let Some(placer) = self.placers.last_mut()
        {
            placer.cut = until;
            placer.witness_cut = if self.rng.random_bool(0.5) { until } else { self.now };
        }
        if self.rng.random_bool(0.01) {
            self.witness = Witness::new(self.now);
            self.read_by_witness = None;
        } else if self.rng.random_bool(0.05) {
            self.read_by_witness = Some(self.store.term);
        }
        let names: Vec<Name> = self.agents.keys().cloned().collect();
        let agent = &names[self.rng.random_range(0..names.len())];
        let chance: f64 = self.rng.random();
        let Some(state) = self.agents.get_mut(agent) else { return };
        if chance < 0.01 {
            state.cut = until;
            state.is_cut_from_newest_only = self.rng.random_bool(0.5);
        } else if chance < 0.02 {
            // The agent's process restarts; its worker runs on.
            state.term = 0;
            state.grant = Grant::default();
            for placer in &mut self.placers {
                if placer.links.remove(agent) {
                    placer.cell.agent_silent(agent);
                }
            }
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        if !self.is_recovering {
            self.inject_faults();
        }
        if self.is_recovering || self.rng.random_bool(0.02) {
            self.accept();
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

    /// Lets runs go on, end, and lapse.
    pub fn advance_runs(&mut self) {
        let now = self.now;
        for agent in self.agents.values_mut() {
            if agent.grant.holds(now) {
                agent.lease_until = agent.lease_until.max(agent.grant.until);
            }
            let lapsed: Vec<(TaskId, u64)> =
                if now >= agent.lease_until { agent.running.keys().copied().collect() } else { Vec::new() };
            for run in lapsed {
                agent.end(run, EndKind::Lapsed);
            }
            let ended: Vec<(TaskId, u64)> =
                agent.running.iter().filter(|(_, end)| **end <= now).map(|(run, _)| *run).collect();
            for run in ended {
                agent.end(run, EndKind::Done);
            }
            let stopped: Vec<(TaskId, u64)> =
                agent.stopping.iter().filter(|(_, end)| **end <= now).map(|(run, _)| *run).collect();
            for run in stopped {
                agent.end(run, EndKind::Stopped);
            }
        }
    }

    pub fn check(&self) {
        let mut running = BTreeSet::new();
        for task in self.agents.values().flat_map(|agent| agent.running.keys().map(|(task, _)| *task)) {
            assert!(running.insert(task), "seed {}: {task} runs twice at {:?}", self.seed, self.now);
        }
        for placer in &self.placers {
            assert_eq!(placer.cell.stranded(), [], "seed {}, term {}, at {:?}", self.seed, placer.term, self.now);
        }
    }
}
