//! Workers whose capacity changes while they run tasks.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::{Action, Inventory};
use chervilledge_cell::job::{Job, JobId, Step, TaskId};
use chervilledge_cell::worker::{EndKind, RunReport, Worker};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{World, job, name, step, urgent_job, worker};

const AGENTS: usize = 6;
const MEMORY_BYTES: u64 = 64 << 20;
const STEP: Duration = Duration::from_millis(100);
const STEPS: u32 = 600;

/// A cell whose workers change their capacity, and check each start against it.
struct Changing {
    world: World,
    rng: SmallRng,
    capacity: BTreeMap<Name, Resources>,
    jobs: BTreeMap<JobId, Job>,
    /// Runs that are ordered to stop, and when they have stopped.
    stopping: BTreeMap<(Name, TaskId, u64), Duration>,
    starts: usize,
}

impl Changing {
    fn open(seed: u64) -> Self {
        let mut changing = Self {
            world: World::with_priorities(AGENTS, 16_000),
            rng: SmallRng::seed_from_u64(seed),
            capacity: BTreeMap::new(),
            jobs: BTreeMap::new(),
            stopping: BTreeMap::new(),
            starts: 0,
        };
        for number in 0..AGENTS {
            changing.change_capacity(&name(&format!("agent-{number}")), 16_000, MEMORY_BYTES);
        }
        changing
    }

    fn present(&self, agent: &Name) -> Worker {
        Worker { resources: self.capacity[agent], ..worker(agent, 0) }
    }

    fn change_capacity(&mut self, agent: &Name, processor_millicores: u64, memory_bytes: u64) {
        let resources = Resources { processor_millicores, memory_bytes, accelerators: 0 };
        self.capacity.insert(Arc::clone(agent), resources);
        let worker = self.present(agent);
        self.world.cell.worker_seen(agent, worker, self.world.now);
    }

    fn submit(&mut self, id: u64) {
        let rng = &mut self.rng;
        let resources = Resources {
            processor_millicores: rng.random_range(100..6_000),
            memory_bytes: rng.random_range(1..12) << 20,
            accelerators: 0,
        };
        let kind = rng.random_range(0..6);
        let random = Step {
            resources,
            gang: kind == 1,
            lasting: kind == 2,
            filling: kind == 3,
            speculative: kind == 4,
            checkpointing: rng.random(),
            ..step(rng.random_range(1..6), 0)
        };
        let is_urgent = self.rng.random_ratio(1, 3);
        let job = if is_urgent { urgent_job(id, vec![random]) } else { job(id, vec![random]) };
        self.jobs.insert(job.id, job.clone());
        self.world.submit(job);
    }

    /// Resources of the runs on a worker, those that are being stopped included.
    fn used(&self, agent: &Name) -> Resources {
        let needs = self.world.workers[agent].running.keys().map(|(task, _)| {
            let step = self.jobs[&task.job].step(task.key).expect("a known step");
            let processor_millicores = if step.filling { 0 } else { step.resources.processor_millicores };
            Resources { processor_millicores, ..step.resources }
        });
        needs.fold(Resources::default(), |sum, need| sum.checked_add(&need).expect("a sum"))
    }

    fn carry_out(&mut self) {
        for action in self.world.cell.take_actions() {
            match &action {
                Action::Start { agent, order, .. } => {
                    self.starts += 1;
                    self.world.carry_out(&action);
                    let (used, capacity) = (self.used(agent), self.capacity[agent]);
                    assert!(capacity.covers(&used), "{} on {agent}: {used:?} of {capacity:?}", order.task);
                }
                Action::Stop { agent, task, run, .. } => {
                    if self.world.workers[agent].running.contains_key(&(*task, *run)) {
                        let end = self.world.now + Duration::from_millis(self.rng.random_range(0..900));
                        self.stopping.entry((Arc::clone(agent), *task, *run)).or_insert(end);
                    } else {
                        self.world.carry_out(&action);
                    }
                }
                Action::Settle { .. } | Action::SettleCrash { .. } => self.world.carry_out(&action),
            }
        }
    }

    fn end_runs(&mut self) {
        let now = self.world.now;
        let stopped: BTreeSet<(Name, TaskId, u64)> =
            self.stopping.extract_if(.., |_, end| *end <= now).map(|(run, _)| run).collect();
        for (agent, task, run) in stopped {
            self.world.end(&agent, task, run, EndKind::Stopped);
        }
        for (agent, task, run) in self.world.all_running() {
            let is_stopping = self.stopping.contains_key(&(Arc::clone(&agent), task, run));
            if !is_stopping && self.rng.random_ratio(1, 15) {
                let kind = if self.rng.random_ratio(1, 10) { EndKind::Failed } else { EndKind::Done };
                self.world.end(&agent, task, run, kind);
            }
        }
    }

    /// Reports the runs of one worker as slowed down, so that they are moved or yield.
    fn report(&mut self) {
        let pace_percent = self.rng.random_range(0..100);
        let report = |(_, task, run): (Name, TaskId, u64)| RunReport {
            task,
            run,
            checkpoint: name("c"),
            percent: 30,
            measured: 0,
            pace_percent,
        };
        let reports: Vec<RunReport> = self.world.all_running().into_iter().map(report).collect();
        self.world.cell.runs_reported(&reports, self.world.now);
    }

    fn step(&mut self, number: u32) {
        self.world.now += STEP;
        let agent = name(&format!("agent-{}", self.rng.random_range(0..AGENTS)));
        if number.is_multiple_of(3) {
            self.submit(u64::from(number));
        }
        match self.rng.random_range(0..12) {
            0 | 1 => {
                let (millicores, memory) = (self.rng.random_range(0..16_000), self.rng.random_range(0..MEMORY_BYTES));
                self.change_capacity(&agent, millicores, memory);
            }
            2 => self.change_capacity(&agent, 16_000, MEMORY_BYTES),
            3 => self.report(),
            // A report to a new placer, or after a lost link: what the worker says of itself holds.
            4 => {
                let inventory = Inventory { worker: Some(self.present(&agent)), ..self.world.inventory(&agent, 0) };
                self.world.cell.agent_linked(&agent, inventory, self.world.now);
            }
            _ => {}
        }
        self.end_runs();
        self.world.cell.place(self.world.now);
        self.world.cell.watch_runs(self.world.now);
        self.world.cell.move_evacuated(self.world.now);
        self.carry_out();
    }
}

/// A worker that doesn't guard its capacity would be brought over it by a start.
#[rstest]
fn a_start_overloads_a_worker_whose_capacity_has_shrunk(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut changing = Changing::open(seed);
    for number in 0..STEPS {
        changing.step(number);
    }
    assert!(changing.starts > 300, "only {} starts", changing.starts);
}

/// A worker that offers less than it carries keeps its runs, and takes others again once they fit.
#[test]
fn a_shrunk_worker_stops_its_runs_or_stays_closed() {
    let mut changing = Changing::open(1);
    for number in 1..AGENTS {
        changing.change_capacity(&name(&format!("agent-{number}")), 0, 0);
    }
    let agent = name("agent-0");
    for id in 1..=8 {
        let job = job(id, vec![step(1, 2_000)]);
        changing.jobs.insert(job.id, job.clone());
        changing.world.submit(job);
    }
    changing.world.cell.place(changing.world.now);
    changing.carry_out();
    assert_eq!(changing.world.all_running().len(), 8);
    changing.change_capacity(&agent, 7_000, MEMORY_BYTES);
    let (_, task, run) = changing.world.all_running()[0].clone();
    changing.world.end(&agent, task, run, EndKind::Failed);
    changing.world.now += Duration::from_secs(1);
    changing.world.cell.place(changing.world.now);
    changing.carry_out();
    assert_eq!(changing.world.all_running().len(), 7, "nothing is stopped, and nothing starts");
    changing.change_capacity(&agent, 16_000, MEMORY_BYTES);
    changing.world.cell.place(changing.world.now);
    changing.carry_out();
    assert_eq!(changing.world.all_running().len(), 8);
}
