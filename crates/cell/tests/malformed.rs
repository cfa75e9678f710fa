//! Implausible figures from callers, operators, workers and rows: none of them may crash the placer, since its
//! successors would read the same row.

mod support;

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::Inventory;
use chervilledge_cell::configuration::Configuration;
use chervilledge_cell::crashes::{Blame, Crash, CrashHistory};
use chervilledge_cell::grant::{ClockReading, is_clock_continued, lease_end_ms};
use chervilledge_cell::interference::{Evidence, Pair};
use chervilledge_cell::job::{Job, JobId, Schedule, Step, TASKS_MAX, TaskId, TaskKey};
use chervilledge_cell::progress::{Checkpointed, Occurrences, Outcome, Progress};
use chervilledge_cell::worker::{CrashReport, CrashedRun, End, EndKind, RunReport, Worker};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{World, configuration, job, name, step, worker};

/// Rounds per seed: enough to combine every kind of message with every other.
const ROUNDS: u32 = 120;

/// Milliseconds or other amounts at the limits of what the wire format can carry.
fn amount(rng: &mut SmallRng) -> u64 {
    match rng.random_range(0..5) {
        0 => 0,
        1 => 1,
        2 => u64::from(u32::MAX),
        3 => u64::MAX,
        _ => rng.random_range(0..5_000),
    }
}

fn small(rng: &mut SmallRng) -> u32 {
    u32::try_from(amount(rng)).unwrap_or(u32::MAX)
}

fn odd_step(rng: &mut SmallRng, position: u32) -> Step {
    let mut step = step(rng.random_range(1..4), amount(rng));
    step.estimate = Duration::from_millis(amount(rng));
    step.after = if position > 0 { vec![position - 1] } else { Vec::new() };
    step.resources.memory_bytes = rng.random_range(0..2);
    step.image = Some(name(["a", "b"][rng.random_range(0..2)]));
    step.latency_target = rng.random_bool(0.2).then(|| Duration::from_millis(amount(rng)));
    step.unavailable_max = rng.random_bool(0.3).then(|| small(rng));
    step.per_worker_max = rng.random_bool(0.3).then(|| small(rng).max(1));
    (step.checkpointing, step.filling) = (rng.random(), rng.random());
    (step.gang, step.speculative, step.lasting) = (rng.random_bool(0.2), rng.random(), rng.random_bool(0.2));
    step
}

fn odd_job(rng: &mut SmallRng, id: u64) -> Job {
    let steps = (0..rng.random_range(1..5)).map(|position| odd_step(rng, position)).collect();
    let mut job = job(id, steps);
    job.accepted_unix_ms = amount(rng);
    job.terms.latency_objective = Duration::from_millis(amount(rng));
    job.terms.stretch = [0.0, -1.0, 1e300, f64::MAX, 1.5][rng.random_range(0..5)];
    job.schedule = rng.random_bool(0.2).then(|| Schedule {
        first_unix_ms: amount(rng),
        interval: Duration::from_millis(amount(rng)),
        occurrences: rng.random_range(0..4),
    });
    job.check().expect("callers may send it");
    job
}

fn odd_configuration(rng: &mut SmallRng, version: u64) -> Configuration {
    let mut configuration = configuration();
    configuration.version = version;
    configuration.queues[0].terms.stretch = [0.0, -1.0, 1e300, 1.5][rng.random_range(0..4)];
    configuration.queues[0].terms.latency_objective = Duration::from_millis(amount(rng));
    configuration
}

fn odd_worker(rng: &mut SmallRng) -> Worker {
    let mut worker = worker(&name(&format!("agent-{}", rng.random_range(0..4))), amount(rng));
    worker.resources.memory_bytes = amount(rng);
    worker.leaves_in = rng.random_bool(0.1).then(|| Duration::from_millis(amount(rng)));
    worker
}

fn odd_task(rng: &mut SmallRng) -> TaskId {
    let key = TaskKey { occurrence: small(rng), step: rng.random_range(0..4), index: small(rng) };
    TaskId { job: JobId(rng.random_range(0..60)), key }
}

fn odd_report(rng: &mut SmallRng, task: TaskId, run: u64) -> RunReport {
    let (percent, measured, pace_percent) = (small(rng), amount(rng), small(rng));
    RunReport { task, run, checkpoint: name("c"), percent, measured, pace_percent }
}

/// A well-formed message with implausible figures must not crash the placer.
#[rstest]
fn no_figure_ends_the_placer(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let rng = &mut SmallRng::seed_from_u64(seed);
    let mut world = World::with_workers(4, 16_000);
    for round in 0..ROUNDS {
        world.advance_ms(rng.random_range(1..2_000));
        let agent = name(&format!("agent-{}", rng.random_range(0..4)));
        let placed = world.all_running();
        let known = (!placed.is_empty()).then(|| placed[rng.random_range(0..placed.len())].clone());
        let (task, run) = known.map_or_else(|| (odd_task(rng), amount(rng)), |(_, task, run)| (task, run));
        match rng.random_range(0..10) {
            0..=2 => {
                let id = u64::from(round);
                let job = odd_job(rng, id);
                world.submit(job);
            }
            3 => world.cell.configure(Arc::new(odd_configuration(rng, u64::from(round) + 2))),
            4 => {
                let worker = odd_worker(rng);
                world.cell.worker_seen(&agent, worker, world.now);
            }
            5 => {
                let running = vec![odd_report(rng, task, run), {
                    let task = odd_task(rng);
                    odd_report(rng, task, run)
                }];
                world.cell.runs_reported(&running, world.now);
            }
            6 => {
                let (number, odd) = (amount(rng), odd_task(rng));
                let end = |task| End { number, task, run, kind: EndKind::Done, checkpoint: name("") };
                world.cell.runs_ended(&agent, vec![end(odd), end(task)], world.now);
            }
            7 => {
                let (odd, number) = (odd_task(rng), amount(rng));
                let running = vec![odd_report(rng, odd, number)];
                let worker = Some(odd_worker(rng));
                let inventory = Inventory { worker, running, starting: vec![(odd, 3)], ..Inventory::default() };
                world.cell.agent_linked(&agent, inventory, world.now);
            }
            8 => world.end_random(rng, EndKind::Failed),
            _ => world.cell.open_due(amount(rng), world.now),
        }
        world.place();
        world.cell.watch_runs(world.now);
        world.cell.save_checkpoints(world.now);
        drop(world.cell.changed_urgencies(world.now));
        drop(world.cell.next_batch());
    }
}

/// A schedule whose occurrences are all due at once must not fill the placer's memory.
#[test]
fn a_schedule_opens_no_more_tasks_than_a_job_may_have() {
    let mut world = World::with_workers(1, 1_000);
    let schedule = Schedule { first_unix_ms: 0, interval: Duration::ZERO, occurrences: u32::MAX };
    world.submit(Job { schedule: Some(schedule), ..job(1, vec![step(4, 1_000)]) });
    world.cell.open_due(1, world.now);
    assert!(world.cell.waiting() as u64 <= TASKS_MAX, "{} wait", world.cell.waiting());
    world.place();
    let [(agent, task, run)] = &*world.all_running() else { panic!("one task has room") };
    world.end(agent, *task, *run, EndKind::Done);
    world.place();
    assert_eq!(world.all_running().len(), 1, "the next one follows");
}

/// A reading of a worker's faulty clock would otherwise give it a lease without an end, or crash the agent.
#[test]
fn a_clock_that_cannot_be_right_gives_no_lease() {
    let reading = ClockReading { worker_ms: u64::MAX - 5, received: Duration::from_secs(1) };
    assert_eq!(lease_end_ms(reading, Duration::from_secs(6)), None);
    assert!(!is_clock_continued(ClockReading { worker_ms: 10, ..reading }, 3, Duration::from_secs(2)));
    assert!(is_clock_continued(reading, u64::MAX, Duration::from_secs(1)));
}

/// Each answer that a poll had overtaken looked like a restart of the worker.
#[test]
fn an_answer_that_a_reading_has_overtaken_is_no_sign_of_a_restart() {
    let reading = ClockReading { worker_ms: 5_000, received: Duration::from_millis(900) };
    let sent = Duration::from_millis(860);
    assert!(is_clock_continued(reading, 4_965, sent));
    assert!(!is_clock_continued(reading, 4_900, sent));
}

fn odd_key(rng: &mut SmallRng) -> TaskKey {
    TaskKey { occurrence: small(rng), step: small(rng), index: small(rng) }
}

fn odd_progress(rng: &mut SmallRng) -> Progress {
    let mut keys = || {
        let valid = TaskKey { occurrence: 0, step: rng.random_range(0..2), index: rng.random_range(0..2) };
        if rng.random() { valid } else { odd_key(rng) }
    };
    let keys = [keys(), keys(), keys(), keys()];
    let checkpointed = Checkpointed { run: amount(rng), percent: small(rng) };
    let mut crashes = CrashHistory::default();
    for _ in 0..rng.random_range(0..6) {
        let age = Duration::from_millis(amount(rng));
        crashes.add(
            amount(rng),
            Crash { age, blame: Blame::Suspect, is_unconfirmed: rng.random(), is_excused: rng.random() },
        );
    }
    let mut completed = Occurrences::default();
    for _ in 0..rng.random_range(0..4) {
        completed.insert(small(rng));
    }
    Progress {
        completed,
        done: [keys[0]].into(),
        failures: [(keys[1], (0..rng.random_range(0..100)).map(|_| amount(rng)).collect())].into(),
        crashes: [(keys[1], crashes)].into(),
        checkpoints: [(keys[2], name("c"))].into(),
        checkpointed: [(keys[2], checkpointed), (keys[3], checkpointed)].into(),
        outcome: rng.random_bool(0.2).then_some(Outcome::Completed),
    }
}

/// Every successor reads the same progress; agents pass on the reports of any worker.
#[rstest]
fn no_figure_in_a_progress_row_or_a_report_ends_the_placer(#[values(1, 2, 3, 4)] seed: u64) {
    let rng = &mut SmallRng::seed_from_u64(seed);
    let mut world = World::with_workers(4, 16_000);
    for round in 0..ROUNDS {
        world.advance_ms(rng.random_range(1..2_000));
        let agent = name(&format!("agent-{}", rng.random_range(0..4)));
        let (job, progress) = (odd_job(rng, u64::from(round)), odd_progress(rng));
        world.cell.load(job, progress, amount(rng), Duration::from_millis(amount(rng)), world.now);
        let mut worker = odd_worker(rng);
        worker.cold_for = Duration::from_millis(amount(rng));
        worker.resources.accelerators = small(rng);
        let age = Duration::from_millis(amount(rng));
        let crashed_run = |(task, run): (TaskId, u64)| CrashedRun { task, run, age, is_unconfirmed: false };
        let runs = world.cell.runs_on(&agent).into_iter().map(crashed_run).collect();
        world.cell.worker_crashed(&agent, &CrashReport { life: worker.life.clone(), runs }, world.now);
        world.cell.worker_seen(&agent, worker, world.now);
        let odd = [f64::NAN, f64::INFINITY, -1e300, f64::MAX, 0.0][rng.random_range(0..5)];
        world.cell.take_headrooms(&agent, vec![(name("a"), odd)]);
        let evidence = Evidence { information: odd, weighted_effect: odd };
        world.cell.store_evidence(&agent, vec![(Pair { filling: name("a"), serving: name("b") }, evidence)]);
        world.cell.merge_evidence();
        if rng.random_bool(0.2) {
            world.end_random(rng, EndKind::Failed);
        }
        world.place();
        world.cell.watch_runs(world.now);
        world.cell.save_checkpoints(world.now);
        drop(world.cell.changed_urgencies(world.now));
        drop(world.cell.next_batch());
    }
}
