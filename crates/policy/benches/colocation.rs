//! Latency, throughput and evictions on one worker under four policies, with waves of noisy batch tasks.
//!
//! `cargo bench -p chervilledge-policy --bench colocation` prints one row per policy. The worker is modelled by a
//! formula: each task lengthens every request by its kind's slowdown times its share. The results compare policies;
//! real workers are measured with processes. `-- --test` only checks that the benchmark runs.

use std::collections::VecDeque;
use std::env;
use std::time::Duration;

use chervilledge_policy::colocation::{ColocatedTask, Controller, SHARE_FULL_PERMILLE, Settings, Step};
use chervilledge_policy::id::Name;
use chervilledge_policy::interference::Interference;
use chervilledge_policy::kind::KindId;
use chervilledge_policy::task::{Epoch, TaskId};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const TICK: Duration = Duration::from_millis(100);
const RUN: Duration = Duration::from_hours(2);
const REQUESTS_PER_TICK: u32 = 20;
const LATENCY_MEAN_MS: f64 = 10.0;
const TASKS_MAX: usize = 12;
const TASKS_RESERVED: usize = 4;
const TASK_RUN_TIME: Duration = Duration::from_secs(20);
const CHECKPOINT_TIME: Duration = Duration::from_secs(2);
const CHECKPOINT_EVERY: Duration = Duration::from_secs(10);
/// Duration of a phase; phases with and without noisy tasks alternate.
const PHASE: Duration = Duration::from_mins(2);
const SERVICE: KindId = KindId(0);
/// Slowdown of requests caused by one task of each kind.
const SLOWDOWNS: [f64; 4] = [0.005, 0.01, 0.02, 0.5];
/// Scenarios: one in this many tasks of a wave is of the last, noisy kind.
const NOISY_ONE_IN: [u32; 2] = [16, 4];

/// Task running on the worker.
struct Running {
    task: TaskId,
    kind: usize,
    share_permille: u32,
    done: Duration,
    checkpointed: Duration,
    evicted_at: Option<Duration>,
}

/// Policy under test.
struct Policy {
    name: &'static str,
    settings: Settings,
    tasks_max: usize,
}

#[derive(Default)]
struct Outcome {
    latencies_us: Vec<u64>,
    completed: u32,
    starts: u32,
    evictions: u32,
}

fn main() {
    let is_test = env::args().any(|arg| arg == "--test");
    let length = if is_test { PHASE } else { RUN };
    println!("noisy_part policy p99_ratio throughput_ratio evictions_per_start starts");
    for noisy_one_in in NOISY_ONE_IN {
        compare(noisy_one_in, length);
    }
}

/// Prints one row per policy.
fn compare(noisy_one_in: u32, length: Duration) {
    let without_tasks = run(&policy("alone", settings(), 0), noisy_one_in, length);
    let baseline = run(&policy("none", disabled(), TASKS_MAX), noisy_one_in, length);
    for policy in [
        policy("no_control", disabled(), TASKS_MAX),
        policy("static_reservation", disabled(), TASKS_RESERVED),
        policy("throttle_only", Settings { evictions_max_permille: 0, ..settings() }, TASKS_MAX),
        policy("full", settings(), TASKS_MAX),
    ] {
        let outcome = run(&policy, noisy_one_in, length);
        println!(
            "1/{noisy_one_in} {} {:.3} {:.3} {:.4} {}",
            policy.name,
            p99_us(&outcome) / p99_us(&without_tasks),
            f64::from(outcome.completed) / f64::from(baseline.completed.max(1)),
            f64::from(outcome.evictions) / f64::from(outcome.starts.max(1)),
            outcome.starts
        );
    }
}

const fn policy(name: &'static str, settings: Settings, tasks_max: usize) -> Policy {
    Policy { name, settings, tasks_max }
}

/// Settings with a target 30% above the 99th percentile of the service without batch tasks.
fn settings() -> Settings {
    Settings { target: Duration::from_millis(60), ..Settings::default() }
}

fn disabled() -> Settings {
    Settings { enter_permille: u64::MAX, ..settings() }
}

fn run(policy: &Policy, noisy_one_in: u32, length: Duration) -> Outcome {
    let mut random = SmallRng::seed_from_u64(5);
    let mut controller = Controller::open(policy.settings, Duration::ZERO);
    let mut interference = Interference::default();
    let mut outcome = Outcome::default();
    let mut queue = VecDeque::new();
    let mut running: Vec<Running> = Vec::new();
    let mut now = Duration::ZERO;
    let mut number = 0;
    while now < length {
        now += TICK;
        while queue.len() < TASKS_MAX {
            let is_wave = (now.as_secs() / PHASE.as_secs()) % 2 == 1;
            queue.push_back(task(number, is_wave.then_some(noisy_one_in), &mut random));
            number += 1;
        }
        while running.len() < policy.tasks_max {
            let Some(next) = queue.pop_front() else { break };
            controller.task_started();
            outcome.starts += 1;
            running.push(next);
        }
        serve_requests(&running, &mut controller, &mut random, &mut outcome, now);
        run_tasks(&mut running, &mut controller, &mut queue, &mut outcome, now);
        update_interference(&running, &controller, &mut interference, now);
        apply_actions(&mut running, &mut controller, &interference, &mut queue, &mut outcome, now);
    }
    outcome
}

fn task(number: u32, noisy_one_in: Option<u32>, random: &mut SmallRng) -> Running {
    let is_noisy = noisy_one_in.is_some_and(|one_in| random.random_ratio(1, one_in));
    let kind = if is_noisy { SLOWDOWNS.len() - 1 } else { random.random_range(0..SLOWDOWNS.len() - 1) };
    Running {
        task: TaskId { job: Name::from("job"), index: number },
        kind,
        share_permille: SHARE_FULL_PERMILLE,
        done: Duration::ZERO,
        checkpointed: Duration::ZERO,
        evicted_at: None,
    }
}

/// Serves the requests of a tick, with exponentially distributed latency.
fn serve_requests(
    running: &[Running],
    controller: &mut Controller,
    random: &mut SmallRng,
    outcome: &mut Outcome,
    now: Duration,
) {
    let slowdown: f64 = running.iter().map(|task| SLOWDOWNS[task.kind] * task.share()).sum();
    for _ in 0..REQUESTS_PER_TICK {
        let uniform = random.random_range(f64::EPSILON..1.0);
        let latency = Duration::from_secs_f64(-uniform.ln() * LATENCY_MEAN_MS / 1e3 * (1.0 + slowdown));
        controller.request_ended(latency, now);
        outcome.latencies_us.push(u64::try_from(latency.as_micros()).expect("a short latency"));
    }
}

/// Runs the tasks for a tick, and removes completed tasks and evicted ones that have written their checkpoint.
fn run_tasks(
    running: &mut Vec<Running>,
    controller: &mut Controller,
    queue: &mut VecDeque<Running>,
    outcome: &mut Outcome,
    now: Duration,
) {
    for mut task in std::mem::take(running) {
        task.done += TICK.mul_f64(task.share());
        if task.done >= task.checkpointed + CHECKPOINT_EVERY {
            task.checkpointed = task.done;
        }
        if task.done >= TASK_RUN_TIME {
            outcome.completed += 1;
            controller.task_ended(&task.task);
        } else if task.evicted_at.is_some_and(|at| now >= at + CHECKPOINT_TIME) {
            controller.task_ended(&task.task);
            outcome.evictions += 1;
            queue.push_back(Running { share_permille: SHARE_FULL_PERMILLE, evicted_at: None, ..task });
        } else {
            running.push(task);
        }
    }
}

fn update_interference(running: &[Running], controller: &Controller, interference: &mut Interference, now: Duration) {
    let Some(ratio) = controller.latency_ratio() else { return };
    let counts: Vec<(KindId, f64)> = running.iter().map(|task| (kind_id(task.kind), task.share())).collect();
    interference.observe(SERVICE, &counts, ratio, now);
}

fn apply_actions(
    running: &mut Vec<Running>,
    controller: &mut Controller,
    interference: &Interference,
    queue: &mut VecDeque<Running>,
    outcome: &mut Outcome,
    now: Duration,
) {
    let colocated_tasks: Vec<ColocatedTask> = running.iter().map(|task| task.colocated(interference, now)).collect();
    for action in controller.step(&colocated_tasks, now) {
        let at = running.iter().position(|task| task.task == action.task).expect("a task on the worker");
        match action.step {
            Step::Throttle { share_permille } | Step::Restore { share_permille } => {
                running[at].share_permille = share_permille;
            }
            Step::Evict => running[at].evicted_at = Some(now),
            Step::Stop => {
                let task = running.remove(at);
                controller.task_ended(&task.task);
                outcome.evictions += 1;
                let done = task.checkpointed;
                queue.push_back(Running { share_permille: SHARE_FULL_PERMILLE, evicted_at: None, done, ..task });
            }
        }
    }
}

impl Running {
    fn share(&self) -> f64 {
        f64::from(self.share_permille) / f64::from(SHARE_FULL_PERMILLE)
    }

    fn colocated(&self, interference: &Interference, now: Duration) -> ColocatedTask {
        ColocatedTask {
            task: self.task.clone(),
            epoch: Epoch(1),
            slowdown: interference.expected(SERVICE, kind_id(self.kind), now),
            uncheckpointed: self.done.saturating_sub(self.checkpointed),
            can_checkpoint: true,
            share_permille: self.share_permille,
        }
    }
}

fn kind_id(kind: usize) -> KindId {
    KindId(u32::try_from(kind).expect("few kinds") + 1)
}

#[expect(clippy::cast_precision_loss, reason = "latencies stay far below 2^53 microseconds")]
fn p99_us(outcome: &Outcome) -> f64 {
    let mut sorted = outcome.latencies_us.clone();
    sorted.sort_unstable();
    sorted[sorted.len() * 99 / 100] as f64
}
