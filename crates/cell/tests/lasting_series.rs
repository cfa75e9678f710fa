//! Series of faults in a full cell, after which no lasting task may wait beside room.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::{Action, Inventory, Note};
use chervilledge_cell::job::{JobId, Step, TaskId, TaskKey};
use chervilledge_cell::worker::{EndKind, Life, Refusal, RunReport, Worker};
use chervilledge_policy::id::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{WorkerRuns, World, crash_report, job, name, step, urgent_job, worker};

const WORKERS: usize = 8;
const MILLICORES: u64 = 16_000;
const STEP: Duration = Duration::from_millis(50);
/// Interval between two looks for lasting tasks that wait.
const WATCH_INTERVAL: Duration = Duration::from_millis(300);
/// Users take a lasting task that doesn't run for three seconds beside room as lost.
const WAIT_MAX: Duration = Duration::from_secs(3);
/// Users' time after a disturbance before a wait counts.
const CALM_AFTER: Duration = Duration::from_secs(4);
const DISTURBED: Duration = Duration::from_secs(15);
const CALM: Duration = Duration::from_secs(12);
const LASTING_JOBS: u64 = 4;
const LASTING_TASKS: u32 = 6;
const WAITING_MAX: usize = 200;
/// Jobs from this one on crash their workers.
const DEADLY_FROM: u64 = 10_000;
const FUSE: Duration = Duration::from_millis(10);

/// Answer to an order that its agent gets late.
#[derive(Debug)]
struct LateAnswer {
    due: Duration,
    action: Action,
}

/// A full cell whose workers and agents fail.
struct Faulty {
    world: World,
    rng: SmallRng,
    millicores: BTreeMap<Name, u64>,
    lives: BTreeMap<Name, u64>,
    back_at: BTreeMap<Name, Duration>,
    crash_at: BTreeMap<Name, Duration>,
    started_at: BTreeMap<(TaskId, u64), Duration>,
    answers: Vec<LateAnswer>,
    /// Percentage of the orders that are answered late, and of the short runs that fail.
    late_percent: u32,
    failing_percent: u32,
    jobs: u64,
    /// Processor time that each task of the lasting jobs needs, in thousandths of a core.
    needs: BTreeMap<JobId, u64>,
    /// Jobs that were given up, since workers crashed under them.
    ended: BTreeSet<JobId>,
    watch_due: Duration,
    /// Since when each lasting task has had no run, and there has been room for it.
    without_run: BTreeMap<TaskId, Duration>,
}

impl Faulty {
    fn open(seed: u64) -> Self {
        let world = World::with_priorities(WORKERS, MILLICORES);
        let millicores = world.workers.keys().map(|agent| (Arc::clone(agent), MILLICORES)).collect();
        let watch_due = world.now;
        let mut cell = Self {
            world,
            rng: SmallRng::seed_from_u64(seed),
            millicores,
            lives: BTreeMap::new(),
            back_at: BTreeMap::new(),
            crash_at: BTreeMap::new(),
            started_at: BTreeMap::new(),
            answers: Vec::new(),
            late_percent: 0,
            failing_percent: 0,
            jobs: LASTING_JOBS,
            needs: BTreeMap::new(),
            ended: BTreeSet::new(),
            watch_due,
            without_run: BTreeMap::new(),
        };
        for id in 1..=LASTING_JOBS {
            let millicores = cell.rng.random_range(500..4_000);
            cell.needs.insert(JobId(id), millicores);
            let lasting = Step { lasting: true, per_worker_max: Some(3), ..step(LASTING_TASKS, millicores) };
            cell.world.submit(job(id, vec![lasting]));
        }
        cell
    }

    fn present(&self, agent: &Name) -> Worker {
        let worker = worker(agent, self.millicores[agent]);
        Worker { life: Life { born_unix_ms: self.lives.get(agent).copied().unwrap_or(1), ..worker.life }, ..worker }
    }

    fn is_up(&self, agent: &Name) -> bool {
        !self.back_at.contains_key(agent)
    }

    fn random_agent(&mut self) -> Name {
        name(&format!("agent-{}", self.rng.random_range(0..WORKERS)))
    }

    fn crash(&mut self, agent: &Name) {
        if !self.is_up(agent) {
            return;
        }
        let now = self.world.now;
        let (life, runs) = (self.present(agent).life, self.world.kill_runs(agent));
        let report = crash_report(life, runs, &self.started_at, |_| false, now);
        self.world.cell.worker_crashed(agent, &report, now);
        self.world.cell.worker_gone(agent, now);
        self.crash_at.remove(agent);
        let down = Duration::from_millis(self.rng.random_range(500..3_000));
        self.back_at.insert(Arc::clone(agent), now + down);
    }

    fn come_back(&mut self, agent: &Name) {
        *self.lives.entry(Arc::clone(agent)).or_insert(1) += 1;
        self.world.workers.insert(Arc::clone(agent), WorkerRuns::default());
        let inventory = Inventory { worker: Some(self.present(agent)), ..Inventory::default() };
        self.world.cell.agent_linked(agent, inventory, self.world.now);
    }

    fn free_millicores(&self, agent: &Name) -> u64 {
        let used: u64 = self.world.workers[agent].running.values().map(|order| order.traits.processor_millicores).sum();
        self.millicores[agent].saturating_sub(used)
    }

    /// Submits more work than the workers can do.
    fn submit_random(&mut self) {
        if self.world.cell.waiting() > WAITING_MAX || self.rng.random_bool(0.5) {
            return;
        }
        self.jobs += 1;
        let (id, count) = (self.jobs, self.rng.random_range(1..12));
        let steps = vec![step(count, self.rng.random_range(200..5_000))];
        let is_urgent = self.rng.random_bool(0.25);
        self.world.submit(if is_urgent { urgent_job(id, steps) } else { job(id, steps) });
    }

    fn disturb(&mut self) {
        let agent = self.random_agent();
        match self.rng.random_range(0..8) {
            0 | 1 => self.crash(&agent),
            2 => {
                self.jobs += 1;
                let deadly = job(DEADLY_FROM + self.jobs, vec![step(self.rng.random_range(1..4), 500)]);
                self.world.submit(deadly);
            }
            3 => {
                let share = self.rng.random_range(40..=100);
                self.millicores.insert(Arc::clone(&agent), MILLICORES * share / 100);
                self.report_capacity(&agent);
            }
            4 => {
                let absent = TaskId { job: JobId(9_999), key: TaskKey { occurrence: 0, step: 0, index: 0 } };
                let now = self.world.now;
                (0..3).for_each(|_| self.world.cell.run_refused(&agent, absent, 1, Refusal::Unhealthy, now));
            }
            5 => self.late_percent = self.rng.random_range(0..50),
            6 => self.failing_percent = self.rng.random_range(0..60),
            _ => {
                let is_retiring = self.rng.random_bool(0.5);
                self.world.cell.agent_retiring(&agent, is_retiring);
            }
        }
    }

    fn report_capacity(&mut self, agent: &Name) {
        if self.is_up(agent) {
            let present = self.present(agent);
            self.world.cell.worker_seen(agent, present, self.world.now);
        }
    }

    fn step(&mut self) {
        self.world.now += STEP;
        let now = self.world.now;
        for (agent, _) in self.crash_at.extract_if(.., |_, at| *at <= now).collect::<Vec<_>>() {
            self.crash(&agent);
        }
        for (agent, _) in self.back_at.extract_if(.., |_, at| *at <= now).collect::<Vec<_>>() {
            self.come_back(&agent);
        }
        for answer in self.answers.extract_if(.., |answer| answer.due <= now).collect::<Vec<_>>() {
            self.carry_out(&answer.action);
        }
        if now >= self.watch_due {
            self.watch_due = now + WATCH_INTERVAL;
            self.report_runs();
            self.world.cell.watch_lasting(true, now);
            self.world.cell.watch_runs(now);
        }
        self.world.cell.ask_placing();
        self.world.cell.place(now);
        for action in self.world.cell.take_actions() {
            let is_order = matches!(action, Action::Start { .. } | Action::Stop { .. });
            if is_order && self.rng.random_range(0..100) < self.late_percent {
                let due = now + Duration::from_millis(self.rng.random_range(100..3_000));
                self.answers.push(LateAnswer { due, action });
            } else {
                self.carry_out(&action);
            }
        }
        for note in self.world.cell.take_notes() {
            if let Note::JobEnded { job, .. } = note {
                self.ended.insert(job);
            }
        }
    }

    fn carry_out(&mut self, action: &Action) {
        let now = self.world.now;
        match action {
            Action::Start { agent, life, .. } | Action::Stop { agent, life, .. }
                if !self.is_up(agent) || self.present(agent).life != *life => {}
            Action::Start { agent, order, .. } => {
                let run = (order.task, order.run);
                if self.free_millicores(agent) < order.traits.processor_millicores {
                    self.world.cell.run_refused(agent, order.task, order.run, Refusal::Room, now);
                    return;
                }
                self.started_at.insert(run, now);
                self.world.carry_out(action);
                if order.task.job.0 >= DEADLY_FROM {
                    self.crash_at.entry(Arc::clone(agent)).or_insert(now + FUSE);
                }
            }
            _ => self.world.carry_out(action),
        }
    }

    /// Reports lasting runs as working, and ends the others.
    fn report_runs(&mut self) {
        let now = self.world.now;
        for (agent, task, run) in self.world.all_running() {
            let age = now.saturating_sub(self.started_at[&(task, run)]);
            if task.job.0 <= LASTING_JOBS {
                let report =
                    RunReport { task, run, checkpoint: name(""), percent: 100, measured: 0, pace_percent: 100 };
                self.world.cell.runs_reported(&[report], now);
            } else if self.rng.random_range(0..100) < self.failing_percent {
                self.world.end(&agent, task, run, EndKind::Failed);
            } else if age >= Duration::from_millis(600) {
                self.world.end(&agent, task, run, EndKind::Done);
            }
        }
    }

    /// Lasting tasks without a run although a worker has had room for the users' limit.
    fn lost(&mut self, calm_since: Duration) -> Vec<TaskId> {
        let now = self.world.now;
        let running: Vec<(Name, TaskId, u64)> = self.world.all_running();
        let mut lost = Vec::new();
        for id in 1..=LASTING_JOBS {
            if self.ended.contains(&JobId(id)) {
                continue;
            }
            for index in 0..LASTING_TASKS {
                let task = TaskId { job: JobId(id), key: TaskKey { occurrence: 0, step: 0, index } };
                let need = self.needs[&task.job];
                let siblings =
                    |agent: &Name| running.iter().filter(|(on, other, _)| on == agent && other.job == task.job).count();
                let has_room =
                    |agent: &Name| self.is_up(agent) && self.free_millicores(agent) >= need && siblings(agent) < 3;
                let has_run = running.iter().any(|(_, other, _)| *other == task);
                if has_run || !self.millicores.keys().any(has_room) {
                    self.without_run.remove(&task);
                    continue;
                }
                let since = *self.without_run.entry(task).or_insert(now);
                if now.saturating_sub(since.max(calm_since)) >= WAIT_MAX {
                    lost.push(task);
                }
            }
        }
        lost
    }
}

#[rstest]
fn a_lasting_task_waits_beside_room_after_a_series_of_faults(#[values(1, 2, 3, 4, 5, 3_041, 6_025, 7_034)] seed: u64) {
    let mut cell = Faulty::open(seed);
    let begun = cell.world.now;
    while cell.world.now < begun + DISTURBED {
        cell.submit_random();
        if cell.rng.random_range(0..4) == 0 {
            cell.disturb();
        }
        cell.step();
    }
    (cell.late_percent, cell.failing_percent) = (0, 0);
    let calm_since = cell.world.now + CALM_AFTER;
    let end = cell.world.now + CALM;
    while cell.world.now < end {
        cell.submit_random();
        cell.step();
        let lost = cell.lost(calm_since);
        assert!(lost.is_empty(), "{:?} after the start: {lost:?}", cell.world.now.saturating_sub(begun));
    }
}
