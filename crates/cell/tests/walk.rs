//! Random sequences of takeovers, disconnections, restarts and outages: no task runs twice, none is stranded, and no
//! accepted job is lost.
//!
//! Placers, agents, workers and the store are modelled; every decision is made by the cell's own code. The test fails
//! without any one of these safeguards: the wait for agents that haven't answered, the wait for a silent agent's
//! lease, the bound on leases from the last renewal, the witness's promise and its first answer after a restart, the end
//! of the authority, the order of writing and settling.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::{Authority, RENEWAL_INTERVAL, leases_end};
use chervilledge_cell::cell::writes::Batch;
use chervilledge_cell::cell::{Action, Cell, Inventory};
use chervilledge_cell::grant::Grant;
use chervilledge_cell::job::{Job, JobId, JobState, TaskId};
use chervilledge_cell::progress::Progress;
use chervilledge_cell::witness::Witness;
use chervilledge_cell::worker::{End, EndKind, RunReport};
use chervilledge_policy::id::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{LEASE, configuration, job, life, name, step, worker};

const STEP: Duration = Duration::from_millis(50);
const AGENTS: usize = 3;
const JOBS: u64 = 12;
const MILLICORES: u64 = 4_000;
/// Time that a worker takes to stop a run.
const STOP_TIME: Duration = Duration::from_millis(400);
/// Time with faults, and then time without, in which everything has to end.
const FAULT_PERIOD: Duration = Duration::from_mins(1);
const RECOVERY_PERIOD: Duration = Duration::from_mins(1);

/// Rows of the store.
#[derive(Default)]
struct Store {
    term: u64,
    /// Jobs with the revisions of their rows.
    jobs: BTreeMap<JobId, u64>,
    progress: BTreeMap<JobId, (Progress, u64)>,
    revision: u64,
}

impl Store {
    /// Writes a batch if its conditions hold; returns the revision or the conflicting ones.
    fn write(&mut self, term: u64, batch: &Batch) -> Result<u64, Option<Vec<(JobId, u64)>>> {
        if self.term != term {
            return Err(None);
        }
        let revision = |store: &Self, job: &JobId| store.progress.get(job).map_or(0, |(_, revision)| *revision);
        if batch.writes.iter().any(|write| revision(self, &write.job) != write.revision) {
            return Err(Some(batch.writes.iter().map(|write| (write.job, revision(self, &write.job))).collect()));
        }
        self.revision += 1;
        for write in &batch.writes {
            self.progress.insert(write.job, (write.progress.clone(), self.revision));
        }
        Ok(self.revision)
    }

    fn is_done(&self, task: TaskId) -> bool {
        let is_durable = |progress: &Progress| progress.done.contains(&task.key) || progress.outcome.is_some();
        self.progress.get(&task.job).is_some_and(|(progress, _)| is_durable(progress))
    }
}

struct Placer {
    term: u64,
    cell: Cell,
    authority: Authority,
    /// Agents that are linked.
    links: BTreeSet<Name>,
    /// Until when the placer can't reach the store.
    cut: Duration,
    confirm_due: Duration,
    /// Until when the placer can't reach the witness.
    witness_cut: Duration,
    batch: Option<(Batch, Duration)>,
    /// Revision up to which the jobs have been read.
    read: u64,
}

#[derive(Default)]
struct Agent {
    term: u64,
    grant: Grant,
    /// Highest term that the worker has seen.
    fence: u64,
    lease_until: Duration,
    /// Runs with the times at which they end.
    running: BTreeMap<(TaskId, u64), Duration>,
    /// Runs that were stopped; the worker refuses these and older ones.
    stopped: BTreeMap<TaskId, u64>,
    /// Runs that are being stopped, and until when.
    stopping: BTreeMap<(TaskId, u64), Duration>,
    ends: Vec<End>,
    next_end: u64,
    /// Until when placers can't reach the agent.
    cut: Duration,
    /// Former placers reach it nevertheless.
    is_cut_from_newest_only: bool,
}

impl Agent {
    fn end(&mut self, run: (TaskId, u64), kind: EndKind) {
        self.running.remove(&run);
        self.stopping.remove(&run);
        self.next_end += 1;
        let end = End { number: self.next_end, task: run.0, run: run.1, kind, checkpoint: name("") };
        self.ends.push(end);
    }

    fn inventory(&self, agent: &Name) -> Inventory {
        let report = |(task, run): &(TaskId, u64)| RunReport {
            task: *task,
            run: *run,
            checkpoint: name(""),
            percent: 1,
            measured: 0,
            pace_percent: 100,
        };
        Inventory {
            worker: Some(worker(agent, MILLICORES)),
            running: self.running.keys().map(report).collect(),
            starting: Vec::new(),
            ends: self.ends.clone(),
            crashes: Vec::new(),
            is_empty: false,
            is_partial: false,
        }
    }
}

struct Walk {
    /// Witness of every placer.
    witness: Witness,
    /// Term that the witness has read from the store since it started.
    read_by_witness: Option<u64>,
    /// When a term was last renewed in the store.
    heartbeat: Duration,
    seed: u64,
    rng: SmallRng,
    now: Duration,
    store: Store,
    placers: Vec<Placer>,
    agents: BTreeMap<Name, Agent>,
    is_recovering: bool,
}

impl Walk {
    fn new(seed: u64) -> Self {
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
    fn take_over(&mut self) {
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
    fn release(&mut self) -> Vec<(Name, Duration)> {
        let (now, newest) = (self.now, self.store.term);
        let may_release = |placer: &mut Placer| placer.term == newest && now >= placer.cut;
        if !self.rng.random_bool(0.2) {
            return Vec::new();
        }
        let Some(released) = self.placers.pop_if(may_release) else { return Vec::new() };
        released.cell.unlinked_leases(now).map(|(agent, left)| (agent, now + left)).collect()
    }

    /// A caller's job is stored, and submitted to some of the processes that believe to be the placer.
    fn accept(&mut self) {
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
    fn read(&mut self, position: usize) {
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

    fn inject_faults(&mut self) {
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

    fn step(&mut self) {
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
    fn advance_runs(&mut self) {
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

    /// Opens and closes links, and transfers the messages on them.
    fn link(&mut self, position: usize) {
        let now = self.now;
        let newest = self.store.term;
        let placer = &mut self.placers[position];
        for (agent_name, agent) in &mut self.agents {
            let is_cut = now < agent.cut && !(agent.is_cut_from_newest_only && placer.term < newest);
            let is_reached = !is_cut && agent.term <= placer.term && agent.fence <= placer.term;
            if !is_reached {
                if placer.links.remove(agent_name) {
                    placer.cell.agent_silent(agent_name);
                }
                continue;
            }
            if placer.links.insert(Arc::clone(agent_name)) {
                agent.term = placer.term;
                agent.fence = placer.term;
                placer.cell.agent_linked(agent_name, agent.inventory(agent_name), now);
            } else {
                placer.cell.runs_ended(agent_name, agent.ends.clone(), now);
            }
            if placer.authority.holds(now)
                && let Some(until) = placer.authority.leases_until(LEASE)
                && let Some(lease) = placer.cell.grant(agent_name, until, now)
                && !lease.is_zero()
            {
                agent.grant.extend(now, lease);
            }
        }
    }

    fn run_placer(&mut self, position: usize) {
        let now = self.now;
        let placer = &mut self.placers[position];
        if now >= placer.cut && now >= placer.confirm_due {
            placer.confirm_due = now + Duration::from_secs(1);
            if self.store.term == placer.term {
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
        if placer.authority.holds(now) {
            placer.cell.lapse_agents(placer.authority.last_confirmed(), now);
            placer.cell.place(now);
        }
        self.write(position);
        let actions = self.placers[position].cell.take_actions();
        for action in actions {
            self.carry_out(position, &action);
        }
    }

    /// Writes progress immediately, later, without an answer, or not at all.
    fn write(&mut self, position: usize) {
        let now = self.now;
        let delay = Duration::from_millis(self.rng.random_range(0..400));
        let loses_answer = !self.is_recovering && self.rng.random_bool(0.1);
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

    fn carry_out(&mut self, position: usize, action: &Action) {
        let placer = &mut self.placers[position];
        let (Action::Start { agent: agent_name, .. }
        | Action::Stop { agent: agent_name, .. }
        | Action::Settle { agent: agent_name, .. }
        | Action::SettleCrash { agent: agent_name, .. }) = action;
        let Some(agent) = self.agents.get_mut(agent_name) else { return };
        // Without a link the order is lost.
        if !placer.links.contains(agent_name) || agent.term != placer.term {
            return;
        }
        match action {
            Action::Start { order, .. } => {
                let run = (order.task, order.run);
                let is_old = agent.stopped.get(&order.task).is_some_and(|stopped| *stopped >= order.run);
                if agent.grant.holds(self.now) && !is_old {
                    let end = self.now + Duration::from_millis(self.rng.random_range(300..3_000));
                    assert!(!self.store.is_done(order.task), "seed {}: {} starts again", self.seed, order.task);
                    agent.running.insert(run, end);
                    placer.cell.run_started(order.task, order.run, self.now);
                } else {
                    placer.cell.run_absent(agent_name, order.task, order.run, self.now);
                }
            }
            Action::Stop { task, run, .. } => {
                let stopped = agent.stopped.entry(*task).or_default();
                *stopped = (*stopped).max(*run);
                if agent.running.contains_key(&(*task, *run)) {
                    agent.stopping.entry((*task, *run)).or_insert(self.now + STOP_TIME);
                } else {
                    placer.cell.run_absent(agent_name, *task, *run, self.now);
                }
            }
            Action::Settle { life: target_life, cursor, .. } => {
                assert_eq!(*target_life, life(agent_name));
                for end in agent.ends.iter().filter(|end| end.number <= *cursor && end.kind == EndKind::Done) {
                    assert!(self.store.is_done(end.task), "seed {}: {} settled too soon", self.seed, end.task);
                }
                agent.ends.retain(|end| end.number > *cursor);
            }
            Action::SettleCrash { .. } => panic!("seed {}: no worker crashes", self.seed),
        }
    }

    fn check(&self) {
        let mut running = BTreeSet::new();
        for task in self.agents.values().flat_map(|agent| agent.running.keys().map(|(task, _)| *task)) {
            assert!(running.insert(task), "seed {}: {task} runs twice at {:?}", self.seed, self.now);
        }
        for placer in &self.placers {
            assert_eq!(placer.cell.stranded(), [], "seed {}, term {}, at {:?}", self.seed, placer.term, self.now);
        }
    }
}

fn content(id: JobId) -> Job {
    job(id.0, vec![step(2, 1_000), step(1, 1_000)])
}

#[rstest]
fn nothing_runs_twice_and_all_jobs_end(#[values(1, 2, 3, 4, 5, 6, 7, 8)] group: u64) {
    for seed in group * 100..group * 100 + 25 {
        let mut walk = Walk::new(seed);
        let recovery = walk.now + FAULT_PERIOD;
        while walk.now < recovery {
            walk.step();
        }
        walk.is_recovering = true;
        let end = walk.now + RECOVERY_PERIOD;
        while walk.now < end {
            walk.step();
        }
        let placer = walk.placers.last().expect("a placer is left");
        for id in 0..JOBS {
            assert_eq!(placer.cell.state(JobId(id)), Some(JobState::Completed), "seed {seed}: job {id}");
        }
    }
}
