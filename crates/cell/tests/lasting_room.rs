//! Lasting tasks that wait beside room, by what closes that room to them.

mod support;

use std::time::Duration;

use chervilledge_cell::cell::Action;
use chervilledge_cell::job::{Job, JobId, Step, TaskId, TaskKey};
use chervilledge_cell::worker::{CrashReport, CrashedRun, EndKind, Life, Refusal, RunReport};
use rstest::rstest;
use support::{World, job, name, step, urgent_job};

const MILLICORES: u64 = 16_000;
const LASTING_JOB: JobId = JobId(1);
/// Users take a lasting task that doesn't run for three seconds beside room as lost.
const WAIT_MAX_MS: u64 = 3_000;
const PASS_INTERVAL_MS: u64 = 50;
/// Interval between two looks for lasting tasks that wait.
const WATCH_INTERVAL_MS: u64 = 300;
const WORKER: &str = "agent-0";

fn lasting_job(millicores: u64) -> Job {
    job(LASTING_JOB.0, vec![Step { lasting: true, ..step(1, millicores) }])
}

fn task(job: u64, index: u32) -> TaskId {
    TaskId { job: JobId(job), key: TaskKey { occurrence: 0, step: 0, index } }
}

/// Time until the lasting job has a run; starts are answered unless `is_answered` refuses.
fn wait_ms(world: &mut World, mut each_pass: impl FnMut(&mut World), is_answered: impl Fn(TaskId) -> bool) -> u64 {
    let from = world.now;
    loop {
        let waited_ms = u64::try_from(world.now.saturating_sub(from).as_millis()).unwrap_or(u64::MAX);
        each_pass(world);
        if waited_ms % WATCH_INTERVAL_MS == 0 {
            world.cell.watch_lasting(true, world.now);
        }
        world.cell.ask_placing();
        world.cell.place(world.now);
        for action in world.cell.take_actions() {
            match &action {
                Action::Start { order, .. } if order.task.job == LASTING_JOB => return waited_ms,
                Action::Start { order, .. } if !is_answered(order.task) => {}
                Action::Stop { task, .. } if !is_answered(*task) => {}
                _ => world.carry_out(&action),
            }
        }
        if waited_ms > WAIT_MAX_MS * 10 {
            return waited_ms;
        }
        world.advance_ms(PASS_INTERVAL_MS);
    }
}

/// Makes each task of a job suspect of crashing its workers.
fn submit_suspects(world: &mut World, id: u64, count: u32, millicores: u64) {
    world.submit(job(id, vec![step(count, millicores)]));
    for index in 0..count {
        let life = Life { worker: name("former"), born_unix_ms: u64::from(index) };
        let (task, age) = (task(id, index), Duration::from_millis(10));
        let runs = vec![CrashedRun { task, run: 5_000, age, is_unconfirmed: false }];
        world.cell.worker_crashed(&name(WORKER), &CrashReport { life, runs }, world.now);
    }
}

/// Tasks that may crash the worker take it one after the other.
#[test]
fn suspects_of_crashes_keep_a_lasting_task_from_a_free_worker() {
    let mut world = World::with_workers(1, MILLICORES);
    submit_suspects(&mut world, 9, 60, 10);
    world.place();
    world.submit(lasting_job(1_000));
    let waited_ms = wait_ms(&mut world, |_| (), |_| true);
    assert!(waited_ms < WAIT_MAX_MS, "{waited_ms} ms");
}

/// Each suspect takes the whole worker as soon as the one before has ended.
#[test]
fn suspects_take_the_room_before_a_lasting_task_that_has_waited() {
    let mut world = World::with_workers(1, MILLICORES);
    submit_suspects(&mut world, 9, 200, MILLICORES);
    world.place();
    world.submit(lasting_job(1_000));
    let end_all = |world: &mut World| {
        for (agent, task, run) in world.all_running() {
            world.end(&agent, task, run, EndKind::Done);
        }
    };
    let waited_ms = wait_ms(&mut world, end_all, |_| true);
    assert!(waited_ms < WAIT_MAX_MS, "{waited_ms} ms");
}

#[test]
fn an_unanswered_start_of_a_suspect_keeps_a_lasting_task_from_a_free_worker() {
    let mut world = World::with_workers(1, MILLICORES);
    submit_suspects(&mut world, 9, 1, 10);
    world.cell.place(world.now);
    assert_eq!(world.cell.take_actions().len(), 1, "the start of the suspect, which gets no answer");
    world.submit(lasting_job(1_000));
    let waited_ms = wait_ms(&mut world, |_| (), |task| task.job == LASTING_JOB);
    assert!(waited_ms < WAIT_MAX_MS, "{waited_ms} ms");
}

#[test]
fn an_ejection_keeps_a_lasting_task_from_a_free_worker() {
    let mut world = World::with_workers(1, MILLICORES);
    // The third ejection in a row is the longest.
    for _ in 0..3 {
        (0..3).for_each(|_| world.cell.run_refused(&name(WORKER), task(9, 0), 1, Refusal::Unhealthy, world.now));
        world.advance_ms(4_001);
    }
    (0..3).for_each(|_| world.cell.run_refused(&name(WORKER), task(9, 0), 1, Refusal::Unhealthy, world.now));
    world.submit(lasting_job(1_000));
    let waited_ms = wait_ms(&mut world, |_| (), |_| true);
    assert!(waited_ms < WAIT_MAX_MS, "{waited_ms} ms");
}

/// A stop that gets no answer keeps the room reserved for the task for whose sake it was ordered.
#[test]
fn a_reservation_keeps_a_lasting_task_from_free_room() {
    let mut world = World::with_priorities(1, MILLICORES);
    world.submit(job(8, vec![Step { estimate: Duration::from_mins(1), ..step(1, 8_000) }]));
    world.place();
    let started_at = world.now;
    world.submit(urgent_job(9, vec![Step { estimate: Duration::from_millis(300), ..step(1, 12_000) }]));
    let is_preempted = |world: &mut World| {
        world.cell.place(world.now);
        world.cell.take_actions().iter().any(|action| matches!(action, Action::Stop { .. }))
    };
    while !is_preempted(&mut world) {
        assert!(world.now < started_at + Duration::from_secs(5), "no run is stopped for the urgent task");
        world.advance_ms(PASS_INTERVAL_MS);
    }
    world.submit(lasting_job(6_000));
    let waited_ms = wait_ms(&mut world, |_| (), |task| task.job == LASTING_JOB);
    assert!(waited_ms < WAIT_MAX_MS, "{waited_ms} ms");
}

/// The worker lists a run of a job that has ended, and the stop gets no answer.
#[test]
fn a_run_that_nobody_wants_keeps_a_lasting_task_from_free_room() {
    let mut world = World::with_workers(1, MILLICORES);
    let mut inventory = world.inventory(&name(WORKER), MILLICORES);
    let report =
        RunReport { task: task(9, 0), run: 1, checkpoint: name(""), percent: 5, measured: 0, pace_percent: 100 };
    inventory.running.push(report);
    world.cell.agent_linked(&name(WORKER), inventory, world.now);
    world.cell.jobs_read(u64::MAX);
    world.submit(lasting_job(1_000));
    let waited_ms = wait_ms(&mut world, |_| (), |task| task.job == LASTING_JOB);
    assert!(waited_ms < WAIT_MAX_MS, "{waited_ms} ms");
}

/// Each refusal starts the task's wait anew.
#[test]
fn refused_starts_keep_a_lasting_task_from_an_ejected_worker() {
    let mut world = World::with_workers(2, MILLICORES);
    world.submit(job(7, vec![step(1, MILLICORES)]));
    world.place();
    let [(busy, ..)] = &*world.all_running() else { panic!("one run") };
    let free = name(if &**busy == WORKER { "agent-1" } else { WORKER });
    (0..3).for_each(|_| world.cell.run_refused(&free, task(9, 0), 1, Refusal::Unhealthy, world.now));
    world.submit(lasting_job(1_000));
    let waited_ms = wait_ms(&mut world, |_| (), |_| true);
    assert!(waited_ms < WAIT_MAX_MS, "{waited_ms} ms");
}

/// Back-off, however often the task fails.
#[test]
fn failures_keep_a_lasting_task_from_a_free_worker() {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(lasting_job(1_000));
    let mut longest_ms = 0;
    for _ in 0..12 {
        longest_ms = longest_ms.max(wait_ms(&mut world, |_| (), |_| true));
        for (task, run) in world.cell.runs_on(&name(WORKER)) {
            world.cell.run_started(task, run, world.now);
            world.end(&name(WORKER), task, run, EndKind::Failed);
        }
    }
    assert!(longest_ms < WAIT_MAX_MS, "{longest_ms} ms");
}

#[rstest]
#[case::small_jobs(4, 100)]
#[case::wide_jobs(40, 10)]
fn a_long_queue_keeps_a_lasting_task_from_free_room(#[case] tasks: u32, #[case] millicores: u64) {
    let mut world = World::with_workers(1, MILLICORES);
    (10..200).for_each(|id| world.submit(job(id, vec![step(tasks, millicores)])));
    world.submit(lasting_job(1_000));
    let waited_ms = wait_ms(&mut world, |_| (), |_| true);
    assert!(waited_ms < WAIT_MAX_MS, "{waited_ms} ms");
}
