//! Lasting tasks that have waited for too long, beside what others may rely on.

mod support;

use std::time::Duration;

use chervilledge_cell::cell::Action;
use chervilledge_cell::job::{Job, JobId, Step, TaskId, TaskKey};
use chervilledge_cell::worker::{EndKind, Refusal, RunReport, Worker};
use chervilledge_policy::id::Name;
use support::{World, job, name, step, urgent_job, worker};

const MILLICORES: u64 = 16_000;
/// Users take a lasting task that doesn't run for three seconds beside room as lost.
const WAIT_MAX_MS: u64 = 3_000;
const PASS_INTERVAL_MS: u64 = 50;
/// Interval between two looks for lasting tasks that wait.
const WATCH_INTERVAL_MS: u64 = 300;
const WORKER: &str = "agent-0";
/// Duration of a stop in deployments.
const STOP_MS: u64 = 900;

fn lasting_job(id: u64, count: u32, millicores: u64) -> Job {
    job(id, vec![Step { lasting: true, ..step(count, millicores) }])
}

fn task(job: u64, index: u32) -> TaskId {
    TaskId { job: JobId(job), key: TaskKey { occurrence: 0, step: 0, index } }
}

/// Orders of one pass, and a look for lasting tasks that wait if one is due.
fn pass(world: &mut World) -> Vec<Action> {
    let now_ms = u64::try_from(world.now.as_millis()).unwrap_or(u64::MAX);
    if now_ms % WATCH_INTERVAL_MS == 0 {
        world.cell.watch_lasting(true, world.now);
    }
    world.cell.ask_placing();
    world.cell.place(world.now);
    let actions = world.cell.take_actions();
    world.advance_ms(PASS_INTERVAL_MS);
    actions
}

/// Time until a job has a run, `limit_ms` if it has none by then; stops are only answered if `are_answered`.
fn wait_ms(world: &mut World, id: u64, limit_ms: u64, are_answered: bool) -> u64 {
    for waited_ms in (0..limit_ms).step_by(50) {
        for action in pass(world) {
            match &action {
                Action::Start { order, .. } if order.task.job == JobId(id) => return waited_ms,
                Action::Stop { .. } if !are_answered => {}
                _ => world.carry_out(&action),
            }
        }
    }
    limit_ms
}

/// Makes the worker list a run that isn't wanted and whose stop gets no answer.
fn list_unwanted(world: &mut World, agent: &Name, task: TaskId) {
    let mut inventory = world.inventory(agent, MILLICORES);
    inventory.running.push(RunReport {
        task,
        run: 77,
        checkpoint: name(""),
        percent: 5,
        measured: 0,
        pace_percent: 100,
    });
    world.cell.agent_linked(agent, inventory, world.now);
    world.cell.jobs_read(u64::MAX);
}

/// The unwanted run belongs to another task of the same step.
#[test]
fn a_worker_runs_more_tasks_of_a_step_than_it_may() {
    let mut world = World::with_workers(2, MILLICORES);
    world.submit(job(1, vec![Step { lasting: true, per_worker_max: Some(1), ..step(2, 1_000) }]));
    world.place();
    let running = world.all_running();
    let (agent, first, run) = running[0].clone();
    let (_, second, _) = running[1].clone();
    world.end(&agent, first, run, EndKind::Failed);
    list_unwanted(&mut world, &agent, second);
    let mut starts = Vec::new();
    for _ in 0..100 {
        starts.extend(pass(&mut world).into_iter().filter(|action| matches!(action, Action::Start { .. })));
    }
    assert!(starts.is_empty(), "{starts:?}");
}

/// One pass searches workers for 32 steps.
#[test]
fn steps_that_fit_nowhere_keep_a_lasting_task_from_free_room() {
    let mut world = World::with_workers(1, MILLICORES);
    (10..60).for_each(|id| world.submit(lasting_job(id, 1, MILLICORES * 2)));
    list_unwanted(&mut world, &name(WORKER), task(9, 0));
    world.submit(lasting_job(99, 1, 1_000));
    let waited_ms = wait_ms(&mut world, 99, 30_000, false);
    assert!(waited_ms < WAIT_MAX_MS, "{waited_ms} ms");
}

/// Lasting tasks that have waited for long take the room of each run that is stopped for the urgent one.
#[test]
fn lasting_tasks_take_the_room_that_is_freed_for_an_urgent_task() {
    let mut world = World::with_priorities(4, MILLICORES);
    world.submit(job(8, vec![Step { estimate: Duration::from_mins(10), ..step(8, 8_000) }]));
    world.place();
    assert_eq!(world.all_running().len(), 8, "the cell is full");
    world.submit(lasting_job(1, 20, 8_000));
    assert_eq!(wait_ms(&mut world, 1, 3_000, true), 3_000, "no room for the lasting job");
    world.submit(urgent_job(9, vec![Step { estimate: Duration::from_millis(300), ..step(1, 8_000) }]));
    let mut stopping: Vec<(u64, Action)> = Vec::new();
    let (mut lasting_starts, mut stops) = (0, 0);
    for waited_ms in (0..30_000).step_by(50) {
        for (_, action) in stopping.extract_if(.., |(at, _)| *at <= waited_ms).collect::<Vec<_>>() {
            world.carry_out(&action);
        }
        for action in pass(&mut world) {
            match &action {
                Action::Start { order, .. } if order.task.job == JobId(9) => {
                    assert!(waited_ms < 3_600, "{waited_ms} ms, {stops} stops");
                    assert_eq!(lasting_starts, 0, "after {waited_ms} ms and {stops} stops");
                    return;
                }
                Action::Stop { .. } => {
                    stops += 1;
                    stopping.push((waited_ms + STOP_MS, action));
                }
                _ => {
                    lasting_starts +=
                        usize::from(matches!(&action, Action::Start { order, .. } if order.task.job == JobId(1)));
                    world.carry_out(&action);
                }
            }
        }
    }
    panic!("no start; {stops} stops, {lasting_starts} lasting tasks started");
}

/// An overdue task whose reservation has just come true.
#[test]
fn a_lasting_task_with_reserved_room_is_started_twice() {
    let mut world = World::with_priorities(2, MILLICORES);
    world.submit(job(8, vec![Step { estimate: Duration::from_mins(10), ..step(4, 8_000) }]));
    world.place();
    world.submit(urgent_job(1, vec![Step { lasting: true, ..step(1, 8_000) }]));
    let mut stops = Vec::new();
    for _ in 0..48 {
        stops.extend(pass(&mut world).into_iter().filter(|action| matches!(action, Action::Stop { .. })));
    }
    assert_eq!(stops.len(), 1, "a run is stopped for the lasting task");
    // The ends of all runs make room on the other worker as well.
    let running = world.all_running();
    world.carry_out(&stops[0]);
    for (agent, task, run) in running {
        world.end(&agent, task, run, EndKind::Done);
    }
    let is_start = |action: &Action| matches!(action, Action::Start { order, .. } if order.task.job == JobId(1));
    let starts = pass(&mut world).iter().filter(|action| is_start(action)).count();
    assert_eq!(starts, 1);
}

/// The unwanted run needs room that the placer otherwise takes for free.
#[test]
fn an_overdue_task_exceeds_the_capacity_beside_an_unwanted_run() {
    let mut world = World::with_workers(2, MILLICORES);
    world.submit(job(9, vec![step(1, 10_000)]));
    world.place();
    let (busy, wanted, _) = world.all_running()[0].clone();
    let other = name(if &*busy == WORKER { "agent-1" } else { WORKER });
    list_unwanted(&mut world, &other, wanted);
    world.submit(lasting_job(1, 1, 8_000));
    assert_eq!(wait_ms(&mut world, 1, 5_000, false), 5_000);
}

#[test]
fn an_overdue_task_starts_on_a_leaving_worker() {
    let mut world = World::with_workers(1, MILLICORES);
    let leaving = Worker { leaves_in: Some(Duration::from_secs(20)), ..worker(&name(WORKER), MILLICORES) };
    world.cell.worker_seen(&name(WORKER), leaving, world.now);
    world.submit(lasting_job(1, 1, 1_000));
    assert_eq!(wait_ms(&mut world, 1, 5_000, true), 5_000);
}

/// The ejected worker has more room than the other.
#[test]
fn an_overdue_task_starts_on_an_ejected_worker_beside_a_sound_one() {
    let mut world = World::with_workers(2, MILLICORES);
    world.submit(job(8, vec![step(2, 14_000)]));
    world.place();
    let running = world.all_running();
    let [(ejected, ..), (sound, ..)] = &*running else { panic!("two runs") };
    world.submit(lasting_job(1, 1, 8_000));
    assert_eq!(wait_ms(&mut world, 1, 2_700, true), 2_700, "no room");
    for _ in 0..3 {
        world.cell.run_refused(ejected, task(7, 0), 1, Refusal::Unhealthy, world.now);
    }
    world.advance_ms(300);
    for (agent, task, run) in &running {
        world.end(agent, *task, *run, EndKind::Done);
    }
    let started: Vec<Name> = pass(&mut world)
        .into_iter()
        .filter_map(|action| if let Action::Start { agent, .. } = action { Some(agent) } else { None })
        .collect();
    assert_eq!(started, [Name::clone(sound)]);
}

/// The unwanted run is one of the task itself, which would run twice.
#[test]
fn an_overdue_task_starts_beside_its_own_run() {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(lasting_job(1, 1, 1_000));
    world.place();
    let (agent, first, run) = world.all_running()[0].clone();
    list_unwanted(&mut world, &agent, first);
    world.end(&agent, first, run, EndKind::Failed);
    assert_eq!(wait_ms(&mut world, 1, 9_000, false), 9_000);
}
