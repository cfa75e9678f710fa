//! Workers that crash, by themselves or because of a task.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::{Action, Cell, Inventory, Note};
use chervilledge_cell::crashes::SUSPECT_AGE_MAX;
use chervilledge_cell::job::{Job, JobId, JobState, Step, TaskId};
use chervilledge_cell::progress::Progress;
use chervilledge_cell::worker::{CrashReport, EndKind, Life, RunReport, Worker};
use chervilledge_policy::id::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::{LEASE, WorkerRuns, World, configuration, crash_report, name, step, worker};

/// Users' limit on the starts of a task that crashes each of its workers: three crashes, and fewer than three starts
/// after them.
pub const STARTS_MAX: usize = 5;
/// Job whose runs don't end by themselves.
pub const LASTING_JOB: JobId = JobId(500);
/// Time after which a crashed worker is back.
pub const RESTART: Duration = Duration::from_secs(3);
pub const STEP: Duration = Duration::from_millis(50);

/// Time from the start of a run to the crash of its worker.
#[derive(Clone, Debug)]
pub enum Fuse {
    Fixed(Duration),
    /// At random between two times.
    Between(Duration, Duration),
    /// Of each run in turn; then from the first one again.
    Each(Vec<Duration>),
}

/// A cell with workers that some tasks crash.
pub struct Crashing {
    pub world: World,
    pub rng: SmallRng,
    pub millicores: u64,
    pub term: u64,
    /// Tasks that crash workers, by job.
    pub fuses: BTreeMap<JobId, Fuse>,
    /// Whether the starts of such tasks are answered before the crash.
    pub are_answered: bool,
    /// Whether agents report crashes; otherwise the placer sees a new life of the worker.
    pub are_reported: bool,
    /// Crashes that are due, by agent.
    pub due: BTreeMap<Name, Duration>,
    pub back: BTreeMap<Name, Duration>,
    pub lives: BTreeMap<Name, u64>,
    pub started_at: BTreeMap<(TaskId, u64), Duration>,
    pub starts: BTreeMap<TaskId, usize>,
    /// Crashes that agents repeat until they are settled.
    pub unsettled: BTreeMap<Name, Vec<CrashReport>>,
    /// Rows of the jobs and of their progress.
    pub stored: BTreeMap<JobId, (Job, Progress)>,
    pub notes: Vec<Note>,
}

impl Crashing {
    pub fn with_workers(count: usize, millicores: u64) -> Self {
        Self {
            world: World::with_workers(count, millicores),
            rng: SmallRng::seed_from_u64(1),
            millicores,
            term: 1,
            fuses: BTreeMap::new(),
            are_answered: true,
            are_reported: true,
            due: BTreeMap::new(),
            back: BTreeMap::new(),
            lives: BTreeMap::new(),
            started_at: BTreeMap::new(),
            starts: BTreeMap::new(),
            unsettled: BTreeMap::new(),
            stored: BTreeMap::new(),
            notes: Vec::new(),
        }
    }

    /// The same with another seed of what is drawn.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { rng: SmallRng::seed_from_u64(seed), ..self }
    }

    pub fn submit(&mut self, job: Job) {
        self.stored.insert(job.id, (job.clone(), Progress::default()));
        self.world.submit(job);
    }

    /// Submits a job whose tasks crash their workers.
    pub fn submit_deadly(&mut self, job: Job, fuse: Fuse) {
        self.fuses.insert(job.id, fuse);
        self.submit(job);
    }

    fn draw_fuse(&mut self, task: TaskId) -> Option<Duration> {
        Some(match self.fuses.get(&task.job)? {
            Fuse::Fixed(time) => *time,
            Fuse::Between(least, greatest) => self.rng.random_range(*least..*greatest),
            Fuse::Each(times) => times[(self.starts[&task] - 1) % times.len()],
        })
    }

    fn is_answered(&self, task: TaskId) -> bool {
        self.are_answered || !self.fuses.contains_key(&task.job)
    }

    fn present(&self, agent: &Name) -> Worker {
        let worker = worker(agent, self.millicores);
        let born_unix_ms = self.lives.get(agent).copied().unwrap_or(1);
        Worker { life: Life { born_unix_ms, ..worker.life }, ..worker }
    }

    pub fn crash(&mut self, agent: &Name) {
        let now = self.world.now;
        let (life, runs) = (self.present(agent).life, self.world.kill_runs(agent));
        let report = crash_report(life, runs, &self.started_at, |task| !self.is_answered(task), now);
        self.due.remove(agent);
        if self.are_reported {
            self.unsettled.entry(Arc::clone(agent)).or_default().push(report.clone());
            self.world.cell.worker_crashed(agent, &report, now);
            self.world.cell.worker_gone(agent, now);
        }
        self.back.insert(Arc::clone(agent), now + RESTART);
    }

    pub fn step(&mut self) {
        self.world.now += STEP;
        let now = self.world.now;
        for agent in
            self.due.iter().filter(|(_, at)| **at <= now).map(|(agent, _)| Arc::clone(agent)).collect::<Vec<_>>()
        {
            self.crash(&agent);
        }
        for agent in self.back.extract_if(.., |_, at| *at <= now).map(|(agent, _)| agent).collect::<Vec<_>>() {
            *self.lives.entry(Arc::clone(&agent)).or_insert(1) += 1;
            self.world.workers.insert(Arc::clone(&agent), WorkerRuns::default());
            let inventory = Inventory { worker: Some(self.present(&agent)), ..Inventory::default() };
            self.world.cell.agent_linked(&agent, inventory, now);
        }
        self.report_work(now);
        self.world.cell.watch_lasting(true, now);
        self.world.cell.place(now);
        for action in self.world.cell.take_actions() {
            let is_down = |agent: &Name| self.back.contains_key(agent);
            match &action {
                Action::Start { agent, .. } | Action::Stop { agent, .. } if is_down(agent) => {}
                Action::Start { agent, order, .. } => {
                    *self.starts.entry(order.task).or_default() += 1;
                    self.started_at.insert((order.task, order.run), now);
                    if let Some(fuse) = self.draw_fuse(order.task) {
                        let due = self.due.entry(Arc::clone(agent)).or_insert(now + fuse);
                        *due = (*due).min(now + fuse);
                    }
                    if self.is_answered(order.task) {
                        self.world.carry_out(&action);
                    } else {
                        let runs = self.world.workers.entry(Arc::clone(agent)).or_default();
                        runs.running.insert((order.task, order.run), order.clone());
                    }
                }
                Action::SettleCrash { agent, life } => {
                    self.unsettled.entry(Arc::clone(agent)).or_default().retain(|report| report.life != *life);
                }
                _ => self.world.carry_out(&action),
            }
        }
        self.write();
        self.notes.extend(self.world.cell.take_notes());
    }

    fn write(&mut self) {
        while let Some(batch) = self.world.cell.next_batch() {
            for write in &batch.writes {
                if let Some((_, progress)) = self.stored.get_mut(&write.job) {
                    *progress = write.progress.clone();
                }
            }
            let revision = self.world.next_revision();
            self.world.cell.committed(&batch, revision, self.world.now);
        }
    }

    /// A new placer reads the rows and hears of all agents.
    pub fn take_over(&mut self) {
        let now = self.world.now;
        self.term += 1;
        let mut cell = Cell::new(self.term, LEASE);
        cell.configure(Arc::new(configuration()));
        let agents: Vec<Name> = self.world.workers.keys().cloned().collect();
        for agent in &agents {
            cell.agent_known(agent, true, now);
        }
        for (job, progress) in self.stored.values() {
            cell.load(job.clone(), progress.clone(), 5, Duration::ZERO, now);
        }
        for agent in &agents {
            let crashes = self.unsettled.get(agent).cloned().unwrap_or_default();
            let inventory = if self.back.contains_key(agent) {
                Inventory { is_empty: true, crashes, ..Inventory::default() }
            } else {
                let worker = Some(self.present(agent));
                Inventory { worker, crashes, ..self.world.inventory(agent, self.millicores) }
            };
            cell.agent_linked(agent, inventory, now);
        }
        self.notes.extend(self.world.cell.take_notes());
        self.world.cell = cell;
    }

    /// Reports that runs have made progress after their first 300 ms.
    fn report_work(&mut self, now: Duration) {
        let at_work = |(_, task, run): &(Name, TaskId, u64)| {
            self.started_at.get(&(*task, *run)).is_some_and(|at| now >= *at + SUSPECT_AGE_MAX)
        };
        let report = |(_, task, run): (Name, TaskId, u64)| RunReport {
            task,
            run,
            checkpoint: name(""),
            percent: 1,
            measured: 0,
            pace_percent: 100,
        };
        let reports: Vec<RunReport> = self.world.all_running().into_iter().filter(at_work).map(report).collect();
        self.world.cell.runs_reported(&reports, now);
    }

    /// Runs the cell; each innocent run ends after `work`.
    pub fn run(&mut self, time: Duration, work: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            self.step();
            let now = self.world.now;
            for (agent, task, run) in self.world.all_running() {
                if !self.fuses.contains_key(&task.job)
                    && task.job != LASTING_JOB
                    && now >= self.started_at[&(task, run)] + work
                {
                    self.world.end(&agent, task, run, EndKind::Done);
                }
            }
        }
    }

    pub fn state(&self, id: u64) -> Option<JobState> {
        // Ended, whether or not the end is durable yet.
        let ended = self.notes.iter().find_map(|note| match note {
            Note::JobEnded { job, state, .. } if *job == JobId(id) => Some(*state),
            _ => None,
        });
        ended.or_else(|| self.world.cell.state(JobId(id)))
    }

    pub fn starts_of(&self, id: u64) -> usize {
        self.starts.iter().filter(|(task, _)| task.job == JobId(id)).map(|(_, count)| *count).max().unwrap_or(0)
    }
}

pub fn lasting() -> Step {
    Step { lasting: true, ..step(1, 500) }
}

pub fn gang() -> Step {
    Step { gang: true, ..step(3, 500) }
}

pub fn copied() -> Step {
    Step { speculative: true, ..step(1, 500) }
}
