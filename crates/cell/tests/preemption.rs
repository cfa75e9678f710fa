//! Runs that are stopped for tasks of queues with higher priority.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::Action;
use chervilledge_cell::job::{JobId, Step, TaskId};
use chervilledge_cell::preemption::{self, Candidate};
use chervilledge_cell::worker::{EndKind, RunReport};
use chervilledge_policy::id::Name;
use rstest::rstest;
use support::{World, job, name, step, urgent_job};

const MILLICORES: u64 = 8_000;
/// Duration of a stop in deployments.
const STOP: Duration = Duration::from_millis(900);

/// Tasks of two cores, four of which fill a worker.
fn large(count: u32) -> Step {
    Step { checkpointing: true, estimate: Duration::from_secs(20), ..step(count, 2_000) }
}

fn report(world: &mut World, percent: u32) {
    let running = world.all_running();
    let report =
        |(_, task, run)| RunReport { task, run, checkpoint: name("c"), percent, measured: 0, pace_percent: 100 };
    let reports: Vec<RunReport> = running.into_iter().map(report).collect();
    world.cell.runs_reported(&reports, world.now);
}

/// Stops that are ordered within `wait_ms`, without carrying them out.
fn stops(world: &mut World, wait_ms: u64) -> Vec<Action> {
    let mut stops = Vec::new();
    for _ in 0..wait_ms / 50 {
        world.advance_ms(50);
        world.cell.place(world.now);
        for action in world.cell.take_actions() {
            if matches!(action, Action::Stop { .. }) {
                stops.push(action);
            } else {
                world.carry_out(&action);
            }
        }
    }
    stops
}

fn stopped(action: &Action) -> TaskId {
    match action {
        Action::Stop { task, .. } => *task,
        Action::Start { .. } | Action::Settle { .. } | Action::SettleCrash { .. } => panic!("{action:?} isn't a stop"),
    }
}

/// Submits small jobs that a person waits for to a cell filled by large runs: each small task starts within 300 ms, a
/// pass and one stop, and large jobs lose no more than the limit on stops allows.
#[test]
fn small_jobs_find_room_beside_large_runs() {
    const WORKERS: usize = 28;
    const SMALL_TASKS: u32 = 10;
    const SMALL_JOBS: u64 = 12;
    let mut world = World::with_priorities(WORKERS, MILLICORES);
    world.submit(job(1, vec![large(200)]));
    world.place();
    assert_eq!(world.all_running().len(), WORKERS * 4);
    let began = world.now;
    let mut submitted: BTreeMap<JobId, Duration> = BTreeMap::new();
    let mut waits: Vec<Duration> = Vec::new();
    let mut stopping: Vec<(Duration, Action)> = Vec::new();
    let mut ends: Vec<(Duration, Name, TaskId, u64)> = Vec::new();
    let mut stops: Vec<TaskId> = Vec::new();
    for tick in 0..160_u64 {
        world.advance_ms(50);
        if tick % 8 == 0 && tick / 8 < SMALL_JOBS {
            let id = 1_000 + tick / 8;
            let small = Step { estimate: Duration::from_millis(850), ..step(SMALL_TASKS, 450) };
            world.submit(urgent_job(id, vec![small]));
            submitted.insert(JobId(id), world.now);
        }
        if tick % 10 == 0 {
            let percent = u32::try_from(world.now.saturating_sub(began).as_millis() / 200).expect("small");
            report(&mut world, percent);
        }
        let now = world.now;
        for (_, action) in stopping.extract_if(.., |(due, _)| *due <= now) {
            world.carry_out(&action);
        }
        for (_, agent, task, run) in ends.extract_if(.., |(due, ..)| *due <= now) {
            world.end(&agent, task, run, EndKind::Done);
        }
        world.cell.place(world.now);
        for action in world.cell.take_actions() {
            match &action {
                Action::Stop { task, .. } => {
                    stops.push(*task);
                    stopping.push((world.now + STOP, action));
                }
                Action::Start { agent, order, .. } => {
                    world.carry_out(&action);
                    if let Some(since) = submitted.get(&order.task.job) {
                        waits.push(world.now.saturating_sub(*since));
                        ends.push((world.now + Duration::from_millis(850), Arc::clone(agent), order.task, order.run));
                    }
                }
                Action::Settle { .. } | Action::SettleCrash { .. } => world.carry_out(&action),
            }
        }
    }
    let bound = preemption::WAIT_MIN + Duration::from_millis(100) + STOP + Duration::from_millis(50);
    assert_eq!(waits.len(), usize::try_from(SMALL_JOBS).expect("small") * SMALL_TASKS as usize, "all started");
    assert!(waits.iter().all(|wait| *wait <= bound), "{:?}", waits.iter().max());
    assert!(!stops.is_empty() && stops.iter().all(|task| task.job == JobId(1)), "{stops:?}");
    // Each small task takes 450 millicores, and four of them fit into a large one's two cores.
    let needed = (SMALL_JOBS * u64::from(SMALL_TASKS)).div_ceil(4);
    assert!(stops.len() as u64 <= needed, "{} stops for {needed}", stops.len());
}

/// Fails if runs are stopped against the rules: no run above 85%, none that is lasting, none of a queue with the same
/// priority, none if all stops together make no room, or if more than four would be needed, none for a job that is
/// late anyway, and never beyond `unavailable_max`.
#[rstest]
#[case::is_allowed(large(4), 10, urgent_job(2, vec![step(1, 2_000)]), 0, 1)]
#[case::near_its_end(large(4), 86, urgent_job(2, vec![step(1, 2_000)]), 0, 0)]
#[case::lasts(Step { lasting: true, ..large(4) }, 10, urgent_job(2, vec![step(1, 2_000)]), 0, 0)]
#[case::same_priority(large(4), 10, job(2, vec![step(1, 2_000)]), 0, 0)]
#[case::needs_two(large(4), 10, urgent_job(2, vec![step(1, 3_000)]), 0, 2)]
#[case::needs_more_than_there_is(large(4), 10, urgent_job(2, vec![step(1, 9_000)]), 0, 0)]
#[case::needs_five(Step { resources: step(1, 800).resources, ..large(10) }, 10, urgent_job(2, vec![step(1, 4_000)]), 0, 0)]
#[case::is_late(large(4), 10, urgent_job(2, vec![step(1, 2_000)]), 10_000, 0)]
#[case::one_unavailable(Step { unavailable_max: Some(1), ..large(4) }, 10, urgent_job(2, vec![step(1, 3_000)]), 0, 0)]
#[case::two_unavailable(Step { unavailable_max: Some(2), ..large(4) }, 10, urgent_job(2, vec![step(1, 3_000)]), 0, 2)]
fn only_what_the_rules_allow_is_stopped(
    #[case] running: Step,
    #[case] percent: u32,
    #[case] waiting: chervilledge_cell::job::Job,
    #[case] age_ms: u64,
    #[case] count: usize,
) {
    let mut world = World::with_priorities(1, MILLICORES);
    world.submit(job(1, vec![running]));
    world.place();
    report(&mut world, percent);
    let age = Duration::from_millis(age_ms);
    world.cell.load(waiting, chervilledge_cell::progress::Progress::default(), 0, age, world.now);
    assert_eq!(stops(&mut world, 250).len(), 0, "nothing is stopped before the wait is over");
    assert_eq!(stops(&mut world, 400).len(), count);
    assert_eq!(world.cell.counters().preemptions, count as u64);
}

/// Fails if a task is stopped again and again for others.
#[test]
fn a_task_is_stopped_twice_at_most() {
    let mut world = World::with_priorities(1, 2_000);
    world.submit(job(1, vec![large(1)]));
    let mut counts = Vec::new();
    for id in 2..6 {
        world.place();
        report(&mut world, 10);
        world.submit(urgent_job(id, vec![step(1, 2_000)]));
        let stops = stops(&mut world, 600);
        counts.push(stops.len());
        for stop in &stops {
            world.carry_out(stop);
        }
        world.place();
        for (agent, task, run) in world.all_running() {
            if task.job == JobId(id) {
                world.end(&agent, task, run, EndKind::Done);
            }
        }
    }
    assert_eq!(counts, [1, 1, 0, 0]);
}

/// The answer to a stop is lost: the capacity isn't given out before the run's end is known, and no other run is
/// stopped instead.
#[test]
fn a_stop_without_an_answer_gives_out_nothing() {
    let mut world = World::with_priorities(1, MILLICORES);
    world.submit(job(1, vec![large(4)]));
    world.place();
    report(&mut world, 10);
    world.submit(urgent_job(2, vec![Step { estimate: Duration::from_secs(20), ..step(1, 2_000) }]));
    let stops = stops(&mut world, 6_000);
    assert_eq!(stops.len(), 1, "{stops:?}");
    assert!(world.all_running().iter().all(|(_, task, _)| task.job == JobId(1)));
    world.carry_out(&stops[0]);
    world.place();
    assert!(world.all_running().iter().any(|(_, task, _)| task.job == JobId(2)));
}

/// The task for which a run was stopped is canceled: the next one gets the capacity. Without a cancellation, a task
/// with less remaining work that arrives during the stop doesn't take it.
#[rstest]
#[case::kept(false, JobId(2))]
#[case::canceled(true, JobId(3))]
fn room_goes_to_the_task_that_it_was_made_for(#[case] is_canceled: bool, #[case] expected: JobId) {
    let mut world = World::with_priorities(1, MILLICORES);
    world.submit(job(1, vec![large(4)]));
    world.place();
    report(&mut world, 10);
    world.submit(urgent_job(2, vec![step(1, 2_000)]));
    let stops = stops(&mut world, 400);
    assert_eq!(stops.iter().map(|stop| stopped(stop).job).collect::<Vec<_>>(), [JobId(1)]);
    if is_canceled {
        world.cell.cancel(JobId(2), world.now);
    }
    world.submit(job(3, vec![step(1, 1_500)]));
    world.carry_out(&stops[0]);
    world.place();
    let others = world.all_running().into_iter().map(|(_, task, _)| task.job).filter(|job| *job != JobId(1));
    assert_eq!(others.collect::<Vec<_>>(), [expected]);
}

/// Fails if a burst stops large runs on every worker at once.
#[rstest]
#[case::one_window(500, 4)]
#[case::two_windows(800, 8)]
fn a_burst_stops_one_run_for_seven_workers_in_a_window(#[case] wait_ms: u64, #[case] stops_max: usize) {
    let mut world = World::with_priorities(28, MILLICORES);
    world.submit(job(1, vec![large(28 * 4)]));
    world.place();
    report(&mut world, 10);
    world.submit(urgent_job(2, vec![Step { estimate: Duration::from_secs(5), ..step(80, 2_000) }]));
    assert_eq!(stops(&mut world, wait_ms).len(), stops_max);
}

/// Fails if a stop loses more work than another one would, or adds nothing to the room.
#[test]
fn saved_work_goes_first_then_the_cheapest() {
    let run = |index: u64, unsaved_ms: u64| Candidate {
        unsaved: Duration::from_millis(unsaved_ms),
        percent: 50,
        task: format!("{index:016x}.0.0.0").parse().expect("a task"),
        run: 1,
    };
    let candidates = vec![run(1, 900), run(2, 300), run(3, 0)];
    let chosen = |makes_room: &dyn Fn(&[u64]) -> bool| {
        let choice = preemption::choose(candidates.clone(), |runs| {
            makes_room(&runs.iter().map(|(task, _)| task.job.0).collect::<Vec<_>>())
        });
        choice.map(|choice| choice.runs.iter().map(|run| run.task.job.0).collect::<Vec<_>>())
    };
    assert_eq!(chosen(&|runs| !runs.is_empty()), Some(vec![3]));
    assert_eq!(chosen(&|runs| runs.len() >= 2), Some(vec![3, 2]));
    assert_eq!(chosen(&|runs| runs.contains(&1)), Some(vec![1]));
    assert_eq!(chosen(&|runs| runs.len() >= 4), None);
}
