//! Stops of slowed runs in services whose queues differ in priority.

mod support;

use std::time::Duration;

use chervilledge_cell::cell::{Action, Inventory, Note};
use chervilledge_cell::interference::{Evidence, Pair};
use chervilledge_cell::job::{Job, JobId, JobState, Step, TaskId};
use chervilledge_cell::stragglers::SLOWED_MIN;
use chervilledge_cell::worker::{EndKind, RunReport};
use rstest::rstest;
use support::{World, job, name, step, worker};

const MILLICORES: u64 = 8_000;

fn filling(count: u32, millicores: u64) -> Step {
    Step {
        filling: true,
        checkpointing: true,
        image: Some(name("heavy")),
        estimate: Duration::from_secs(4),
        ..step(count, millicores)
    }
}

/// A cell with one worker, whose serving run is disturbed by filling ones.
fn world() -> World {
    let mut world = World::with_priorities(1, MILLICORES);
    let serving = Step {
        lasting: true,
        latency_target: Some(Duration::from_millis(45)),
        image: Some(name("serving")),
        ..step(1, 4_000)
    };
    world.submit(job(100, vec![serving]));
    world.place();
    let pair = Pair { filling: name("heavy"), serving: name("serving") };
    let evidence = Evidence { information: 1_000.0, weighted_effect: 200.0 };
    world.cell.store_evidence(&name("agent-0"), vec![(pair, evidence)]);
    world.cell.merge_evidence();
    // The headroom lets the runs start; they are slowed later.
    world.cell.take_headrooms(&name("agent-0"), vec![(name("serving"), 2.0)]);
    world
}

/// Adds a worker without serving runs.
fn add_idle_worker(world: &mut World, millicores: u64) {
    let idle_agent = name("agent-calm");
    let inventory = Inventory { worker: Some(worker(&idle_agent, millicores)), ..Inventory::default() };
    world.cell.agent_linked(&idle_agent, inventory, world.now);
}

/// Reports the same progress and pace for every filling run.
fn report(world: &mut World, percent: u32, pace_percent: u32) {
    let running = world.all_running();
    let reports: Vec<RunReport> = running
        .into_iter()
        .filter(|(_, task, _)| task.job != JobId(100))
        .map(|(_, task, run)| RunReport { task, run, checkpoint: name("c"), percent, measured: 400, pace_percent })
        .collect();
    world.cell.runs_reported(&reports, world.now);
}

/// Tasks whose runs are ordered to stop in one pass, with the reason.
fn stops(world: &mut World) -> Vec<(TaskId, &'static str)> {
    world.cell.watch_runs(world.now);
    let actions = world.cell.take_actions();
    let stop = |action: &Action| match action {
        Action::Stop { task, reason, .. } => Some((*task, *reason)),
        Action::Start { .. } | Action::Settle { .. } | Action::SettleCrash { .. } => None,
    };
    let stops = actions.iter().filter_map(stop).collect();
    for action in &actions {
        world.carry_out(action);
    }
    stops
}

/// Fails if a move makes the step end later: with 35% of 4 s left at 39% of full pace, the run ends in 3.6 s where it
/// is, and in 3.9 s with a stop, a restore, the 12% that aren't saved and the usual pace elsewhere.
#[rstest]
#[case::much_is_left(40, 1)]
#[case::little_is_left(65, 0)]
fn the_last_run_of_a_step_moves_only_when_the_step_ends_sooner(#[case] percent: u32, #[case] moves: usize) {
    let mut world = world();
    world.submit(job(1, vec![filling(1, 2_000)]));
    world.place();
    add_idle_worker(&mut world, MILLICORES);
    report(&mut world, percent - 12, 39);
    world.advance_ms(1_600);
    report(&mut world, percent, 39);
    assert_eq!(stops(&mut world).len(), moves);
    let is_moved = |note: &Note| matches!(note, Note::RunMoved { here, there, .. } if there < here);
    assert_eq!(world.cell.take_notes().iter().filter(|note| is_moved(note)).count(), moves);
}

/// Fails if several runs are stopped for the same free capacity, so that all but one then wait, or if a waiting task
/// takes the capacity while the run that moves there ends.
#[test]
fn free_capacity_is_reserved_once() {
    let mut world = world();
    world.submit(job(1, vec![filling(2, 2_000)]));
    world.place();
    add_idle_worker(&mut world, 2_000);
    report(&mut world, 10, 10);
    world.advance_ms(1_300);
    world.cell.watch_runs(world.now);
    let mut stops = world.cell.take_actions();
    assert_eq!(stops.len(), 1, "{stops:?}");
    world.submit(job(2, vec![filling(1, 2_000)]));
    world.advance_ms(300);
    world.cell.place(world.now);
    world.cell.watch_runs(world.now);
    assert_eq!(world.cell.take_actions(), []);
    let stop = stops.remove(0);
    world.carry_out(&stop);
    world.place();
    let idle_runs = world.all_running().into_iter().filter(|(agent, ..)| &**agent == "agent-calm");
    assert_eq!(idle_runs.map(|(_, task, _)| task.job).collect::<Vec<_>>(), [JobId(1)]);
}

/// Fails if a stop helps nobody, because the waiting task doesn't fit into the freed capacity or isn't more urgent,
/// or if too many tasks become unavailable: eight of nine wait.
#[rstest]
#[case::takes_the_room(job(2, vec![filling(1, 2_000)]), Some(9), 1)]
#[case::is_too_large(job(2, vec![filling(1, 20_000)]), None, 0)]
#[case::is_less_urgent(job(2, vec![filling(40, 2_000)]), None, 0)]
#[case::must_stay_available(job(2, vec![filling(1, 2_000)]), Some(8), 0)]
fn a_run_yields_only_to_a_more_urgent_task_that_takes_its_room(
    #[case] waiting: Job,
    #[case] unavailable_max: Option<u32>,
    #[case] yields: usize,
) {
    let mut world = world();
    world.submit(job(1, vec![Step { unavailable_max, ..filling(9, 6_000) }]));
    world.place();
    assert_eq!(world.all_running().len(), 2, "the serving run and one filling run");
    report(&mut world, 10, 10);
    world.advance_ms(1_600);
    world.submit(waiting);
    world.place();
    let stops = stops(&mut world);
    assert_eq!(stops.len(), yields, "{stops:?}");
    assert!(stops.iter().all(|(task, reason)| task.job == JobId(1) && *reason == "yielded"));
    assert_eq!(world.cell.counters().yields, yields as u64);
    world.place();
    let has_taken = world.all_running().iter().any(|(_, task, _)| task.job == JobId(2));
    assert_eq!(has_taken, yields == 1);
}

/// Fails if a task whose run yielded waits behind tasks of its own job that haven't started.
#[test]
fn a_task_that_yielded_goes_before_new_tasks_of_its_job() {
    let mut world = world();
    let first = Step { per_worker_max: Some(1), ..filling(6, 1_000) };
    world.submit(job(1, vec![first, filling(6, 3_000)]));
    world.place();
    assert_eq!(world.all_running().len(), 3, "the serving run and one run of each step");
    let (_, yielding, run) = world.all_running().into_iter().find(|run| run.1.key.step == 1).expect("the second step");
    let slowed = RunReport { task: yielding, run, checkpoint: name("c"), percent: 10, measured: 300, pace_percent: 10 };
    world.cell.runs_reported(&[slowed], world.now);
    world.advance_ms(1_600);
    world.submit(job(2, vec![filling(1, 3_000)]));
    world.place();
    assert_eq!(stops(&mut world), [(yielding, "yielded")]);
    world.place();
    let (agent, task, run) = world.all_running().into_iter().find(|run| run.1.job == JobId(1)).expect("the first step");
    world.end(&agent, task, run, EndKind::Done);
    world.cell.place(world.now);
    let start = |action: &Action| match action {
        Action::Start { order, .. } => Some(order.task),
        Action::Stop { .. } | Action::Settle { .. } | Action::SettleCrash { .. } => None,
    };
    let starts: Vec<TaskId> = world.cell.take_actions().iter().filter_map(start).collect();
    assert_eq!(starts.first(), Some(&yielding), "{starts:?}");
}

/// A halted run keeps its whole job waiting: it must move as soon as a worker is free that it doesn't disturb. One that
/// would gain little waits, since its pace may rise again with the next look at the tails.
#[rstest]
#[case::halted(0, 20, 400, 1)]
#[case::would_gain_a_third(30, 20, 600, 0)]
#[case::would_gain_a_third_for_longer(30, 20, 900, 1)]
#[case::gains_nothing(70, 60, 3_000, 0)]
fn a_run_moves_the_sooner_the_more_that_gains(
    #[case] pace_percent: u32,
    #[case] percent: u32,
    #[case] slowed_ms: u64,
    #[case] moves: usize,
) {
    let mut world = world();
    world.submit(job(1, vec![filling(1, 1_000)]));
    world.place();
    report(&mut world, 0, 100);
    world.advance_ms(u64::from(percent) * 40);
    report(&mut world, percent, pace_percent);
    add_idle_worker(&mut world, MILLICORES);
    world.advance_ms(slowed_ms);
    // Progress at the pace that is reported.
    let progress = u32::try_from(slowed_ms).expect("short") * pace_percent / 4_000;
    report(&mut world, percent + progress, pace_percent);
    assert_eq!(stops(&mut world).len(), moves);
}

/// Plays a step on a worker that halts its runs, beside a worker on which they disturb nobody. The caller waits for the
/// last of them: 4 s of work, and less than the 1.2 s for which a run that gains nothing would have to be slowed.
#[test]
fn a_step_on_a_slow_worker_ends_soon_once_there_is_room_elsewhere() {
    let mut world = world();
    world.submit(job(1, vec![filling(4, 500)]));
    world.place();
    assert_eq!(world.all_running().len(), 5, "the serving run and four filling ones");
    add_idle_worker(&mut world, MILLICORES);
    let began = world.now;
    // Work done by each task, in milliseconds at full pace.
    let mut done = std::collections::BTreeMap::<TaskId, u64>::new();
    while world.cell.state(JobId(1)) != Some(JobState::Completed) {
        assert!(world.now < began + Duration::from_secs(30), "the job doesn't end");
        world.advance_ms(100);
        let running: Vec<_> = world.all_running().into_iter().filter(|(_, task, _)| task.job == JobId(1)).collect();
        let mut reports = Vec::new();
        for (agent, task, run) in running {
            let pace_percent = if agent == name("agent-calm") { 100 } else { 0 };
            let done = done.entry(task).or_default();
            *done += u64::from(pace_percent);
            if *done >= 4_000 {
                world.end(&agent, task, run, EndKind::Done);
                continue;
            }
            let percent = u32::try_from(*done / 40).expect("below 100");
            reports.push(RunReport { task, run, checkpoint: name("c"), percent, measured: 400, pace_percent });
        }
        world.cell.runs_reported(&reports, world.now);
        for (task, _) in stops(&mut world) {
            for (agent, running, run) in world.all_running() {
                if running == task {
                    world.end(&agent, task, run, EndKind::Stopped);
                }
            }
        }
        world.place();
        let committed = world.cell.next_batch();
        if let Some(batch) = committed {
            let revision = world.next_revision();
            world.cell.committed(&batch, revision, world.now);
        }
    }
    let took = world.now.saturating_sub(began);
    assert!(took < Duration::from_secs(4) + SLOWED_MIN, "{took:?}");
}
