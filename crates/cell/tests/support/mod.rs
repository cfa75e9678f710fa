//! Simulated cell whose workers follow their orders.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod crashing;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::{Action, Cell, Inventory};
use chervilledge_cell::configuration::{Configuration, Limits, Queue, Service};
use chervilledge_cell::job::{Job, JobId, Step, TaskId, Terms};
use chervilledge_cell::worker::{CrashReport, CrashedRun, End, EndKind, Life, RunReport, StartOrder, Worker};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use rand::Rng;
use rand::rngs::SmallRng;

pub const LEASE: Duration = Duration::from_secs(5);
pub const QUEUE: &str = "quotes";
pub const URGENT_QUEUE: &str = "checks";
pub const SERVICE: &str = "portal";

/// Report of a crash `now` under runs, with the times of their starts.
pub fn crash_report(
    life: Life,
    runs: Vec<(TaskId, u64)>,
    started_at: &BTreeMap<(TaskId, u64), Duration>,
    is_unconfirmed: impl Fn(TaskId) -> bool,
    now: Duration,
) -> CrashReport {
    let crashed = |(task, run): (TaskId, u64)| CrashedRun {
        task,
        run,
        age: now.saturating_sub(started_at[&(task, run)]),
        is_unconfirmed: is_unconfirmed(task),
    };
    CrashReport { life, runs: runs.into_iter().map(crashed).collect() }
}

/// Runs and ends of a simulated worker.
#[derive(Debug, Default)]
pub struct WorkerRuns {
    pub running: BTreeMap<(TaskId, u64), StartOrder>,
    pub ends: Vec<End>,
    pub next_end: u64,
}

/// A cell and its simulated workers.
#[derive(Debug)]
pub struct World {
    pub cell: Cell,
    pub now: Duration,
    pub workers: BTreeMap<Name, WorkerRuns>,
    pub revision: u64,
}

pub fn name(text: &str) -> Name {
    Arc::from(text)
}

pub fn life(agent: &Name) -> Life {
    Life { worker: name(&format!("worker-of-{agent}")), born_unix_ms: 1 }
}

pub fn worker(agent: &Name, millicores: u64) -> Worker {
    Worker {
        life: life(agent),
        service: name(SERVICE),
        failure_domain: name("hobart"),
        resources: Resources { processor_millicores: millicores, memory_bytes: 1 << 40, accelerators: 0 },
        kind: None,
        rack: None,
        leaves_in: None,
        cold_for: Duration::ZERO,
    }
}

pub fn terms() -> Terms {
    Terms {
        service: name(SERVICE),
        priority: 0,
        attempts_max: 3,
        stretch: 1.5,
        latency_objective: Duration::from_millis(250),
    }
}

pub fn configuration() -> Configuration {
    let queue = Queue { name: name(QUEUE), host: name("h.example"), path_prefix: name("/q/"), terms: terms() };
    let mut services = Map::default();
    services.insert(name(SERVICE), Service { enforces_capacity: true, is_standby: false });
    Configuration {
        version: 1,
        queues: vec![queue],
        services,
        limits: Limits { body_bytes_max: 1 << 18, head_bytes_max: 1 << 14, head_timeout: Duration::from_secs(3) },
    }
}

pub fn step(count: u32, millicores: u64) -> Step {
    Step {
        count,
        resources: Resources { processor_millicores: millicores, memory_bytes: 1 << 20, accelerators: 0 },
        estimate: Duration::from_millis(600),
        ..Step::default()
    }
}

pub fn job(id: u64, steps: Vec<Step>) -> Job {
    Job {
        id: JobId(id),
        queue: name(QUEUE),
        terms: terms(),
        spec: name("text"),
        steps,
        schedule: None,
        accepted_unix_ms: 0,
    }
}

/// A job of the queue with the higher priority of the two.
pub fn urgent_job(id: u64, steps: Vec<Step>) -> Job {
    Job { queue: name(URGENT_QUEUE), ..job(id, steps) }
}

impl World {
    /// Like [`Self::with_workers`], but [`QUEUE`] has priority 2 and [`URGENT_QUEUE`] priority 0.
    pub fn with_priorities(count: usize, millicores: u64) -> Self {
        let mut world = Self::with_workers(count, millicores);
        let mut changed = Configuration { version: 2, ..configuration() };
        changed.queues.push(Queue { name: name(URGENT_QUEUE), ..changed.queues[0].clone() });
        changed.queues[0].terms.priority = 2;
        world.cell.configure(Arc::new(changed));
        world
    }

    /// A cell of the first term with linked agents.
    pub fn with_workers(count: usize, millicores: u64) -> Self {
        let mut cell = Cell::new(1, LEASE);
        cell.configure(Arc::new(configuration()));
        let mut world = Self { cell, now: Duration::from_secs(100), workers: BTreeMap::new(), revision: 10 };
        for number in 0..count {
            let agent = name(&format!("agent-{number}"));
            world.cell.agent_known(&agent, false, world.now);
            let inventory = Inventory { worker: Some(worker(&agent, millicores)), ..Inventory::default() };
            world.cell.agent_linked(&agent, inventory, world.now);
            world.workers.insert(agent, WorkerRuns::default());
        }
        world
    }

    pub fn advance_ms(&mut self, milliseconds: u64) {
        self.now += Duration::from_millis(milliseconds);
    }

    pub fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    pub fn submit(&mut self, job: Job) {
        let revision = self.next_revision();
        self.cell.submit(job, Some(revision), self.now);
    }

    pub fn submit_plain(&mut self, id: u64, tasks: u32) {
        self.submit(job(id, vec![step(tasks, 100)]));
    }

    /// Places the waiting tasks that fit, and lets the workers carry out the orders.
    pub fn place(&mut self) {
        self.cell.place(self.now);
        for action in self.cell.take_actions() {
            self.carry_out(&action);
        }
    }

    pub fn carry_out(&mut self, action: &Action) {
        match action {
            Action::Start { agent, order, .. } => {
                let runs = self.workers.entry(Arc::clone(agent)).or_default();
                runs.running.insert((order.task, order.run), order.clone());
                self.cell.run_started(order.task, order.run, self.now);
            }
            Action::Stop { agent, task, run, .. } => {
                let runs = self.workers.entry(Arc::clone(agent)).or_default();
                if runs.running.remove(&(*task, *run)).is_some() {
                    self.end(agent, *task, *run, EndKind::Stopped);
                } else {
                    self.cell.run_absent(agent, *task, *run, self.now);
                }
            }
            Action::Settle { agent, cursor, .. } => {
                self.settle(agent, *cursor);
            }
            Action::SettleCrash { .. } => {}
        }
    }

    /// Ends a run and reports the end to the cell.
    pub fn end(&mut self, agent: &Name, task: TaskId, run: u64, kind: EndKind) {
        let runs = self.workers.entry(Arc::clone(agent)).or_default();
        runs.running.remove(&(task, run));
        runs.next_end += 1;
        let end = End { number: runs.next_end, task, run, kind, checkpoint: name("") };
        runs.ends.push(end.clone());
        self.cell.runs_ended(agent, vec![end], self.now);
    }

    pub fn end_random(&mut self, rng: &mut SmallRng, kind: EndKind) {
        let running: Vec<(Name, TaskId, u64)> = self.all_running();
        if running.is_empty() {
            return;
        }
        let (agent, task, run) = running[rng.random_range(0..running.len())].clone();
        self.end(&agent, task, run, kind);
    }

    pub fn all_running(&self) -> Vec<(Name, TaskId, u64)> {
        let of_worker = |(agent, runs): (&Name, &WorkerRuns)| {
            runs.running.keys().map(|(task, run)| (Arc::clone(agent), *task, *run)).collect::<Vec<_>>()
        };
        self.workers.iter().flat_map(of_worker).collect()
    }

    /// Lets a worker forget ends, and returns them.
    pub fn settle(&mut self, agent: &Name, cursor: u64) -> Vec<End> {
        let runs = self.workers.entry(Arc::clone(agent)).or_default();
        let (settled, kept) = std::mem::take(&mut runs.ends).into_iter().partition(|end| end.number <= cursor);
        runs.ends = kept;
        settled
    }

    /// Removes the runs on a worker that crashes, and returns them.
    pub fn kill_runs(&mut self, agent: &Name) -> Vec<(TaskId, u64)> {
        std::mem::take(&mut self.workers.entry(Arc::clone(agent)).or_default().running).into_keys().collect()
    }

    /// Report of an agent to a new placer.
    pub fn inventory(&self, agent: &Name, millicores: u64) -> Inventory {
        let runs = &self.workers[agent];
        let report = |(task, run): &(TaskId, u64)| RunReport {
            task: *task,
            run: *run,
            checkpoint: name(""),
            percent: 10,
            measured: 0,
            pace_percent: 100,
        };
        Inventory {
            worker: Some(worker(agent, millicores)),
            running: runs.running.keys().map(report).collect(),
            starting: Vec::new(),
            ends: runs.ends.clone(),
            crashes: Vec::new(),
            is_empty: false,
            is_partial: false,
            foreign_lease: None,
        }
    }
}
