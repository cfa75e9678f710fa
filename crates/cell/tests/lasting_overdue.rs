//! Lasting tasks that have waited for long, beside suspects of crashes, unmatched runs and many others that wait.

mod support;

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::Action;
use chervilledge_cell::job::{Job, JobId, Step, TaskId, TaskKey};
use chervilledge_cell::worker::{CrashReport, CrashedRun, Life, Refusal, RunReport};
use rstest::rstest;
use support::{World, job, name, step};

const MILLICORES: u64 = 16_000;
const LASTING_JOB: u64 = 1;
/// Users take a lasting task that doesn't run for three seconds beside room as lost.
const WAIT_MAX_MS: u64 = 3_000;
const PASS_INTERVAL_MS: u64 = 50;
/// Interval between two looks for lasting tasks that wait.
const WATCH_INTERVAL_MS: u64 = 300;
/// Longer than any wait that ends by itself.
const GIVEN_UP_AFTER_MS: u64 = 30_000;
const WORKER: &str = "agent-0";

fn lasting_job(id: u64, millicores: u64) -> Job {
    job(id, vec![Step { lasting: true, ..step(1, millicores) }])
}

fn task(job: u64, index: u32) -> TaskId {
    TaskId { job: JobId(job), key: TaskKey { occurrence: 0, step: 0, index } }
}

/// Lets passes follow each other until a task is started; stops get no answer. Returns the time until then.
fn wait_ms(world: &mut World, task: TaskId, limit_ms: u64) -> Option<u64> {
    let mut waited_ms = 0;
    while waited_ms <= limit_ms {
        if waited_ms % WATCH_INTERVAL_MS == 0 {
            world.cell.watch_lasting(true, world.now);
        }
        world.cell.ask_placing();
        world.cell.place(world.now);
        for action in world.cell.take_actions() {
            match &action {
                Action::Start { order, .. } if order.task == task => return Some(waited_ms),
                Action::Start { .. } => world.carry_out(&action),
                _ => {}
            }
        }
        waited_ms += PASS_INTERVAL_MS;
        world.advance_ms(PASS_INTERVAL_MS);
    }
    None
}

/// Makes a task suspect of crashing its workers.
fn make_suspect(world: &mut World, task: TaskId) {
    let life = Life { worker: name("former"), born_unix_ms: u64::from(task.key.index) };
    let runs = vec![CrashedRun { task, run: 5_000, age: Duration::from_millis(10), is_unconfirmed: false }];
    world.cell.worker_crashed(&name(WORKER), &CrashReport { life, runs }, world.now);
}

/// Ejects the worker for as long as workers are ejected.
fn eject(world: &mut World) {
    for times in 1..=4 {
        (0..3).for_each(|_| world.cell.run_refused(&name(WORKER), task(9, 0), 1, Refusal::Unhealthy, world.now));
        if times < 4 {
            world.advance_ms(8_001);
        }
    }
}

/// The worker lists a run, and the stop gets no answer.
fn list_run(world: &mut World, agent: &str, task: TaskId) {
    let mut inventory = world.inventory(&name(agent), MILLICORES);
    inventory.running.push(RunReport {
        task,
        run: 5_000,
        checkpoint: name(""),
        percent: 5,
        measured: 0,
        pace_percent: 100,
    });
    world.cell.agent_linked(&name(agent), inventory, world.now);
    world.cell.jobs_read(u64::MAX);
}

#[rstest]
#[case::ejected(eject)]
#[case::unwanted_run(|world: &mut World| list_run(world, WORKER, task(9, 0)))]
fn a_crash_under_a_lasting_task_keeps_it_from_a_closed_worker(#[case] close: fn(&mut World)) {
    let mut world = World::with_workers(1, MILLICORES);
    close(&mut world);
    world.submit(lasting_job(LASTING_JOB, 1_000));
    make_suspect(&mut world, task(LASTING_JOB, 0));
    let waited_ms = wait_ms(&mut world, task(LASTING_JOB, 0), GIVEN_UP_AFTER_MS);
    assert!(waited_ms.is_some_and(|waited_ms| waited_ms < WAIT_MAX_MS), "{waited_ms:?} ms");
}

/// A crash couldn't be put down to one of the two.
#[test]
fn an_overdue_suspect_starts_beside_another_suspect() {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(lasting_job(9, 1_000));
    make_suspect(&mut world, task(9, 0));
    world.cell.place(world.now);
    assert_eq!(world.cell.take_actions().len(), 1, "the start of the other suspect, which gets no answer");
    world.submit(lasting_job(LASTING_JOB, 1_000));
    make_suspect(&mut world, task(LASTING_JOB, 0));
    assert_eq!(wait_ms(&mut world, task(LASTING_JOB, 0), WAIT_MAX_MS), None);
}

/// The worker may have one task of the step, and still has a run that is being stopped.
#[test]
fn an_overdue_task_starts_beside_an_unmatched_run_of_its_step() {
    let mut world = World::with_workers(2, MILLICORES);
    let apart = Step { lasting: true, per_worker_max: Some(1), ..step(1, 1_000) };
    world.submit(job(LASTING_JOB, vec![Step { count: 2, ..apart }]));
    world.cell.place(world.now);
    let actions = world.cell.take_actions();
    let placed: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Start { agent, order, .. } => Some((Arc::clone(agent), order.task, order.run)),
            _ => None,
        })
        .collect();
    let [(_, task_there, _), (open, waiting, run)] = &*placed else { panic!("two starts: {placed:?}") };
    world.cell.run_refused(open, *waiting, *run, Refusal::Room, world.now);
    list_run(&mut world, open, *task_there);
    assert_eq!(wait_ms(&mut world, *waiting, WAIT_MAX_MS), None);
}

/// One pass searches every worker for a part of the steps only.
#[rstest]
#[case::dozens(40)]
#[case::hundreds(200)]
fn older_tasks_without_room_keep_a_lasting_task_from_an_ejected_worker(#[case] older: u64) {
    let mut world = World::with_workers(1, MILLICORES);
    (100..100 + older).for_each(|id| world.submit(lasting_job(id, MILLICORES + 1_000)));
    world.advance_ms(100);
    eject(&mut world);
    world.submit(lasting_job(LASTING_JOB, 1_000));
    let waited_ms = wait_ms(&mut world, task(LASTING_JOB, 0), GIVEN_UP_AFTER_MS);
    assert!(waited_ms.is_some_and(|waited_ms| waited_ms < WAIT_MAX_MS), "{waited_ms:?} ms");
}
