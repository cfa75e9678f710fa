//! On which workers and in which order tasks are placed.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilledge_cell::cell::{Action, FillingUsage, Inventory};
use chervilledge_cell::interference::{Evidence, Pair};
use chervilledge_cell::job::{JobId, Step, TaskId};
use chervilledge_cell::worker::{EndKind, RunReport, Worker};
use rstest::rstest;
use support::{World, job, name, step, worker};

const MILLICORES: u64 = 8_000;

/// Places waiting tasks; returns agent, job and run number of each start, in order.
fn placed(world: &mut World) -> Vec<(String, u64, u64)> {
    world.cell.place(world.now);
    let actions = world.cell.take_actions();
    let starts = actions.iter().filter_map(|action| match action {
        Action::Start { agent, order, .. } => Some((agent.to_string(), order.task.job.0, order.run)),
        Action::Stop { .. } | Action::Settle { .. } | Action::SettleCrash { .. } => None,
    });
    let starts = starts.collect();
    for action in &actions {
        world.carry_out(action);
    }
    starts
}

fn update_worker(world: &mut World, agent: &str, change: impl Fn(&mut Worker)) {
    let agent = name(agent);
    let mut changed = worker(&agent, MILLICORES);
    change(&mut changed);
    world.cell.worker_seen(&agent, changed, world.now);
}

/// Starts one serving run, as job 1; returns its agent.
fn start_serving_run(world: &mut World) -> String {
    let serving = Step {
        lasting: true,
        latency_target: Some(Duration::from_millis(45)),
        image: Some(name("serving")),
        ..step(1, 4_000)
    };
    world.submit(job(1, vec![serving]));
    let starts = placed(world);
    assert_eq!(starts.len(), 1);
    let agent = starts[0].0.clone();
    // The headroom of a tail at 0.3 of its target.
    world.cell.take_headrooms(&name(&agent), vec![(name("serving"), 1.0)]);
    agent
}

/// Sets the effect of each core of filling images on the tail of the serving run.
fn set_effects(world: &mut World, effects: &[(&str, f64)]) {
    let known = |(filling, per_core): &(&str, f64)| {
        let pair = Pair { filling: name(filling), serving: name("serving") };
        (pair, Evidence { information: 1_000.0, weighted_effect: 1_000.0 * per_core })
    };
    world.cell.store_evidence(&name("agent-0"), effects.iter().map(known).collect());
    world.cell.merge_evidence();
}

/// The only run of a job.
fn run_of(world: &World, job: JobId) -> (TaskId, u64) {
    let running = world.all_running();
    let (_, task, run) = running.iter().find(|(_, task, _)| task.job == job).expect("the job runs");
    (*task, *run)
}

#[test]
fn room_is_never_exceeded() {
    let mut world = World::with_workers(2, MILLICORES);
    world.submit(job(1, vec![step(10, 3_000)]));
    assert_eq!(placed(&mut world).len(), 4);
    let (agent, task, run) = world.all_running()[0].clone();
    world.end(&agent, task, run, EndKind::Done);
    assert_eq!(placed(&mut world).len(), 1);
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let gang = Step { gang: true, ..step(3, 4_000) };
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(job(1, vec![gang.clone()]));
    assert_eq!(placed(&mut world), []);
    let mut world = World::with_workers(2, MILLICORES);
    world.submit(job(1, vec![gang]));
    let starts = placed(&mut world);
    assert_eq!(starts.len(), 3);
    assert!(starts.iter().all(|(_, _, run)| *run == starts[0].2), "{starts:?}");
}

#[rstest]
#[case::label(Step { required_label: Some(name("b")), ..step(1, 100) })]
#[case::rack_of_the_data(Step { data_rack: Some(name("r1-2")), ..step(1, 100) })]
fn labels_and_racks_are_heeded(#[case] step: Step) {
    let mut world = World::with_workers(4, MILLICORES);
    update_worker(&mut world, "agent-2", |worker| {
        worker.kind = Some(name("b"));
        worker.rack = Some(name("r1-2"));
    });
    world.submit(job(1, vec![step]));
    assert_eq!(placed(&mut world)[0].0, "agent-2");
}

#[test]
fn tasks_of_a_step_are_spread() {
    let mut world = World::with_workers(3, MILLICORES);
    world.submit(job(1, vec![Step { per_worker_max: Some(1), ..step(5, 100) }]));
    assert_eq!(placed(&mut world).len(), 3);
}

#[test]
fn a_later_step_waits_for_the_whole_earlier_one() {
    let mut world = World::with_workers(2, MILLICORES);
    world.submit(job(1, vec![step(2, 100), Step { after: vec![0], ..step(1, 100) }]));
    assert_eq!(placed(&mut world).len(), 2);
    let running = world.all_running();
    world.end(&running[0].0, running[0].1, running[0].2, EndKind::Done);
    assert_eq!(placed(&mut world).len(), 0);
    world.end(&running[1].0, running[1].1, running[1].2, EndKind::Done);
    assert_eq!(placed(&mut world).len(), 1);
}

#[test]
fn nothing_is_placed_on_a_worker_that_leaves() {
    let mut world = World::with_workers(2, MILLICORES);
    update_worker(&mut world, "agent-0", |worker| worker.leaves_in = Some(Duration::from_secs(2)));
    world.submit(job(1, vec![step(4, 100)]));
    assert!(placed(&mut world).iter().all(|(agent, ..)| agent == "agent-1"));
}

#[test]
fn a_failed_task_goes_elsewhere_and_fails_the_job_at_its_limit() {
    let mut world = World::with_workers(3, MILLICORES);
    world.submit(job(1, vec![step(1, 100)]));
    let mut agents = Vec::new();
    for _ in 0..3 {
        agents.extend(placed(&mut world).into_iter().map(|(agent, ..)| agent));
        let (agent, task, run) = world.all_running()[0].clone();
        world.end(&agent, task, run, EndKind::Failed);
        world.advance_ms(1_000);
    }
    agents.sort();
    agents.dedup();
    assert_eq!(agents.len(), 3, "each attempt on another worker");
    assert!(placed(&mut world).is_empty());
    let batch = world.cell.next_batch().expect("the failure is written");
    world.cell.committed(&batch, 50, world.now);
    assert_eq!(world.cell.state(JobId(1)), Some(chervilledge_cell::job::JobState::Failed));
}

/// Load of the booking site: serving runs fill the workers, and one of two filling images disturbs them.
#[test]
fn filling_tasks_go_where_they_disturb_nobody() {
    let mut world = World::with_workers(2, MILLICORES);
    let serving_agent = start_serving_run(&mut world);
    set_effects(&mut world, &[("heavy", 0.2), ("light", 0.0)]);
    let filling = |image: &str| Step { filling: true, image: Some(name(image)), ..step(2, 1_000) };
    world.submit(job(2, vec![filling("heavy")]));
    assert!(placed(&mut world).iter().all(|(agent, ..)| *agent != serving_agent));
    world.submit(job(3, vec![filling("light")]));
    assert_eq!(placed(&mut world).len(), 2);
}

/// In a burst of two jobs that can still be in time, the smaller one is placed first.
#[test]
fn the_job_with_the_least_work_left_goes_first() {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(job(1, vec![step(4, 8_000)]));
    world.submit(job(2, vec![step(1, 8_000)]));
    assert_eq!(placed(&mut world).iter().map(|(_, job, _)| *job).collect::<Vec<_>>(), [2]);
}

/// A worker on which every run fails is ejected, and comes back.
#[test]
fn a_worker_that_fails_everything_is_left_out_for_a_while() {
    let mut world = World::with_workers(2, MILLICORES);
    for id in 0..40 {
        world.submit(job(id, vec![step(1, 500)]));
    }
    placed(&mut world);
    for (agent, task, run) in world.all_running() {
        let kind = if &*agent == "agent-0" { EndKind::Failed } else { EndKind::Done };
        world.end(&agent, task, run, kind);
    }
    world.advance_ms(600);
    assert!(placed(&mut world).iter().all(|(agent, ..)| agent == "agent-1"));
    world.advance_ms(10_000);
    for id in 100..130 {
        world.submit(job(id, vec![step(1, 500)]));
    }
    assert!(placed(&mut world).iter().any(|(agent, ..)| agent == "agent-0"));
}

/// An agent without a worker gets no work, and doesn't hold up others.
#[test]
fn an_agent_without_worker_is_passed_over() {
    let mut world = World::with_workers(1, MILLICORES);
    world.cell.agent_known(&name("agent-9"), false, world.now);
    world.cell.agent_linked(&name("agent-9"), Inventory { is_empty: true, ..Inventory::default() }, world.now);
    world.submit(job(1, vec![step(2, 100)]));
    assert!(placed(&mut world).iter().all(|(agent, ..)| agent == "agent-0"));
}

/// Filling runs of a worker are slowed to a fifth of their pace; another job uses what they leave.
#[test]
fn room_that_slowed_runs_leave_is_used() {
    let mut world = World::with_workers(1, MILLICORES);
    let filling = |image: &str| Step { filling: true, image: Some(name(image)), ..step(4, 2_000) };
    world.submit(job(1, vec![filling("slow")]));
    let full = placed(&mut world);
    assert_eq!(full.len(), 4, "the worker's processors");
    world.submit(job(2, vec![filling("other")]));
    assert_eq!(placed(&mut world), []);
    let report = |(_, task, run): &(_, _, _), pace_percent| RunReport {
        task: *task,
        run: *run,
        checkpoint: name(""),
        percent: 10,
        measured: 400,
        pace_percent,
    };
    let running = world.all_running();
    let slowed: Vec<RunReport> = running.iter().map(|run| report(run, 20)).collect();
    world.cell.runs_reported(&slowed, world.now);
    assert_eq!(placed(&mut world).len(), 3, "6.4 cores are left");
    // When the runs are back at full pace, nothing more is placed.
    let restored: Vec<RunReport> = running.iter().map(|run| report(run, 100)).collect();
    world.cell.runs_reported(&restored, world.now);
    assert_eq!(placed(&mut world), []);
}

/// A burst of filling jobs disturbs the only worker's serving run: beyond a few cores, a slow place is worse than
/// waiting for another one, however long that takes.
#[test]
fn only_few_disturbing_runs_start_on_one_worker() {
    const PLENTY_MILLICORES: u64 = 64_000;
    let mut world = World::with_workers(1, PLENTY_MILLICORES);
    start_serving_run(&mut world);
    set_effects(&mut world, &[("heavy", 0.2)]);
    let filling = Step { filling: true, image: Some(name("heavy")), ..step(12, 3_500) };
    world.submit(job(2, vec![filling]));
    let at_once = placed(&mut world).len();
    assert!((1..=2).contains(&at_once), "{at_once}");
    world.now += Duration::from_secs(30);
    assert!(at_once + placed(&mut world).len() <= 3);
}

/// A disturbing run is slowed on its worker: another one would only share the little that is allowed there.
#[test]
fn nothing_joins_disturbing_runs_that_are_held_back() {
    let mut world = World::with_workers(1, 64_000);
    start_serving_run(&mut world);
    set_effects(&mut world, &[("heavy", 0.2)]);
    let filling = |image: &str| Step { filling: true, image: Some(name(image)), ..step(1, 1_000) };
    world.submit(job(2, vec![filling("heavy")]));
    assert_eq!(placed(&mut world).len(), 1);
    let (task, run) = run_of(&world, JobId(2));
    let report = |pace_percent| RunReport { task, run, checkpoint: name(""), percent: 10, measured: 400, pace_percent };
    world.cell.runs_reported(&[report(20)], world.now);
    world.submit(job(3, vec![filling("heavy")]));
    world.now += Duration::from_millis(1_900);
    assert_eq!(placed(&mut world), []);
    world.cell.runs_reported(&[report(90)], world.now);
    assert_eq!(placed(&mut world).len(), 1);
}

/// A worker has no processor time left for filling runs, because of runs that are slowed or that use all of it: a job
/// without any run must not wait until they have ended, but gets no more than one run.
#[rstest]
#[case::held_back(64_000, "heavy", 20)]
#[case::in_use(8_000, "light", 100)]
fn a_job_without_runs_is_not_starved_by_filling_runs(
    #[case] millicores: u64,
    #[case] image: &str,
    #[case] pace_percent: u32,
) {
    let mut world = World::with_workers(1, millicores);
    start_serving_run(&mut world);
    set_effects(&mut world, &[("heavy", 0.2), ("light", 0.0)]);
    let filling = |count| Step { filling: true, image: Some(name(image)), ..step(count, 2_000) };
    world.submit(job(2, vec![filling(3)]));
    assert!(!placed(&mut world).is_empty());
    for (_, task, run) in world.all_running().into_iter().filter(|(_, task, _)| task.job == JobId(2)) {
        let report = RunReport { task, run, checkpoint: name(""), percent: 10, measured: 400, pace_percent };
        world.cell.runs_reported(&[report], world.now);
    }
    world.submit(job(3, vec![filling(4)]));
    world.now += Duration::from_millis(1_900);
    assert_eq!(placed(&mut world), []);
    world.now += Duration::from_millis(600);
    let late: Vec<u64> = placed(&mut world).iter().map(|(_, job, _)| *job).collect();
    assert_eq!(late, [3]);
    world.now += Duration::from_secs(30);
    assert_eq!(placed(&mut world), []);
}

/// A run has been slowed for long: while others wait for capacity, it is stopped and waits with them in order of
/// urgency; when nobody waits, a slow place is better than none.
#[rstest]
#[case::others_wait(true, 1)]
#[case::nobody_waits(false, 0)]
fn a_run_that_is_stuck_waits_for_other_room(#[case] do_others_wait: bool, #[case] stops: usize) {
    let mut world = World::with_workers(1, MILLICORES);
    start_serving_run(&mut world);
    let filling = Step { filling: true, checkpointing: true, image: Some(name("heavy")), ..step(1, 2_000) };
    world.submit(job(2, vec![filling]));
    assert_eq!(placed(&mut world).len(), 1);
    if do_others_wait {
        world.submit(job(3, vec![step(1, MILLICORES)]));
        assert_eq!(placed(&mut world), []);
    }
    let (task, run) = run_of(&world, JobId(2));
    let report = RunReport { task, run, checkpoint: name("c"), percent: 10, measured: 400, pace_percent: 10 };
    world.cell.runs_reported(&[report], world.now);
    world.now += Duration::from_millis(1_400);
    world.cell.watch_runs(world.now);
    assert_eq!(world.cell.take_actions(), []);
    world.now += Duration::from_millis(200);
    world.cell.watch_runs(world.now);
    let is_stop = |action: &Action| matches!(action, Action::Stop { task: stopped, .. } if *stopped == task);
    assert_eq!(world.cell.take_actions().iter().filter(|action| is_stop(action)).count(), stops);
}

/// More tasks of more urgent jobs wait than one pass places: a job without any run still gets one.
///
/// Seed 11 of a small simulation of the large fleet, trouble-2: a task that had failed once waited for 24 s behind
/// 580 others.
#[test]
fn a_job_without_runs_is_not_starved_by_a_long_queue() {
    let mut world = World::with_workers(2, MILLICORES);
    let filling = |count| Step { filling: true, image: Some(name("light")), ..step(count, 2_000) };
    let running = Step { estimate: Duration::from_millis(100), ..filling(16) };
    world.submit(job(1, vec![running]));
    assert_eq!(placed(&mut world).len(), 8, "the workers' processors");
    // Both are soon entirely late, and then go in the order of submission.
    let short = |count| Step { estimate: Duration::from_micros(1), ..filling(count) };
    world.submit(job(2, vec![short(2_000)]));
    world.submit(job(3, vec![short(1)]));
    assert_eq!(placed(&mut world), []);
    world.now += Duration::from_millis(2_100);
    let late: Vec<u64> = placed(&mut world).iter().map(|(_, job, _)| *job).collect();
    assert_eq!(late, [2, 3]);
}

/// A wide job that fits nowhere is ahead of many narrow ones that fit: it must not hold up the others.
#[test]
fn a_wide_job_without_room_does_not_hold_up_others() {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(job(1, vec![Step { estimate: Duration::from_micros(1), ..step(2_000, MILLICORES + 1) }]));
    world.submit(job(2, vec![step(3, 1_000)]));
    let jobs: Vec<u64> = placed(&mut world).iter().map(|(_, job, _)| *job).collect();
    assert_eq!(jobs, [2, 2, 2]);
}

/// Runs are stuck on every worker while others wait: the number moved per pass scales with the cell. With a fixed
/// number, runs of 240 workers were stuck for 6 s on average before their turn came.
#[rstest]
#[case::small(11, 8)]
#[case::grown(70, 10)]
#[case::large(245, 35)]
fn moves_keep_up_with_the_size_of_the_cell(#[case] workers: usize, #[case] moves: usize) {
    let mut world = World::with_workers(workers, MILLICORES);
    let filling = Step { filling: true, checkpointing: true, image: Some(name("heavy")), ..step(1, MILLICORES) };
    let count = u32::try_from(workers).expect("a small number");
    world.submit(job(1, vec![Step { count, ..filling }]));
    assert_eq!(placed(&mut world).len(), workers);
    world.submit(job(2, vec![step(count + 1, MILLICORES)]));
    placed(&mut world);
    let report =
        |(_, task, run)| RunReport { task, run, checkpoint: name("c"), percent: 10, measured: 400, pace_percent: 10 };
    let stuck: Vec<RunReport> = world.all_running().into_iter().map(report).collect();
    world.cell.runs_reported(&stuck, world.now);
    world.now += Duration::from_millis(1_600);
    world.cell.watch_runs(world.now);
    let stops = world.cell.take_actions().iter().filter(|action| matches!(action, Action::Stop { .. })).count();
    assert_eq!(stops, moves);
}

/// Lasting jobs of several images, spread as their owners ask, hold three quarters of a fleet, and then a large job
/// arrives whose image disturbs one of theirs: all of its tasks start at once where they disturb nobody.
#[test]
fn serving_images_are_kept_apart_where_there_are_workers_enough() {
    const IMAGES: u64 = 4;
    const JOBS_PER_IMAGE: u64 = 5;
    let mut world = World::with_workers(32, 16_000);
    for number in 0..IMAGES * JOBS_PER_IMAGE {
        let serving = Step {
            lasting: true,
            image: Some(name(&format!("serving-{}", number % IMAGES))),
            latency_target: Some(Duration::from_millis(20)),
            per_worker_max: Some(1),
            ..step(6, 3_000)
        };
        world.submit(job(100 + number, vec![serving]));
    }
    assert_eq!(placed(&mut world).len(), 6 * 20);
    let pair = |serving: u64| (format!("serving-{serving}"), if serving == 0 { 0.3 } else { 0.0 });
    let effects: Vec<(String, f64)> = (0..IMAGES).map(pair).collect();
    set_effects_of(&mut world, "heavy", &effects);
    let serving = serving_by_worker(&world);
    let filling = Step { filling: true, image: Some(name("heavy")), ..step(80, 2_000) };
    world.submit(job(1, vec![filling]));
    let starts = placed(&mut world);
    assert_eq!(starts.len(), 80, "tasks that start at once");
    let is_undisturbing =
        |agent: &String| serving.get(agent).is_none_or(|images| images.iter().all(|image| image != "serving-0"));
    let disturbing: Vec<_> = starts.iter().filter(|(agent, _, _)| !is_undisturbing(agent)).collect();
    assert!(disturbing.is_empty(), "{disturbing:?} of {serving:?}");
}

/// A large task disturbs the serving run on each of two workers, on one of them only little: it is placed there,
/// where it is slowed less, although the other worker has more free capacity.
#[test]
fn a_filling_task_goes_where_it_disturbs_least() {
    let mut world = World::with_workers(2, 16_000);
    for (id, image, millicores) in [(100, "sensitive", 9_000), (101, "sturdy", 10_000)] {
        let serving = Step {
            lasting: true,
            image: Some(name(image)),
            latency_target: Some(Duration::from_millis(20)),
            ..step(1, millicores)
        };
        world.submit(job(id, vec![serving]));
        assert_eq!(placed(&mut world).len(), 1);
    }
    set_effects_of(&mut world, "heavy", &[("sensitive".to_owned(), 0.4), ("sturdy".to_owned(), 0.06)]);
    let serving = serving_by_worker(&world);
    for (agent, images) in &serving {
        world.cell.take_headrooms(&name(agent), images.iter().map(|image| (name(image), 1.0)).collect());
    }
    world.submit(job(1, vec![Step { filling: true, image: Some(name("heavy")), ..step(1, 2_000) }]));
    let starts = placed(&mut world);
    assert_eq!(starts.iter().map(|(agent, _, _)| serving[agent].clone()).collect::<Vec<_>>(), [["sturdy"]]);
}

/// A run whose progress can't be saved is slowed to a tenth of its pace, and another worker has capacity where it
/// disturbs nobody: while it has little progress it starts again there. In the incident inc-c1b3 such a run took 11 s
/// for 2 s of work.
#[rstest]
#[case::little_is_lost(20, 1)]
#[case::much_would_be_lost(50, 0)]
fn a_slowed_run_that_cannot_be_saved_begins_anew_elsewhere(#[case] percent: u32, #[case] stops: usize) {
    let mut world = World::with_workers(1, MILLICORES);
    start_serving_run(&mut world);
    set_effects(&mut world, &[("heavy", 0.2)]);
    world.submit(job(2, vec![Step { filling: true, image: Some(name("heavy")), ..step(1, 2_000) }]));
    assert_eq!(placed(&mut world).len(), 1);
    let idle_agent = name("agent-calm");
    let inventory = Inventory { worker: Some(worker(&idle_agent, MILLICORES)), ..Inventory::default() };
    world.cell.agent_linked(&idle_agent, inventory, world.now);
    let (task, run) = run_of(&world, JobId(2));
    let report = RunReport { task, run, checkpoint: name(""), percent, measured: 400, pace_percent: 10 };
    world.cell.runs_reported(&[report], world.now);
    world.now += Duration::from_millis(1_600);
    world.cell.watch_runs(world.now);
    let is_stop = |action: &Action| matches!(action, Action::Stop { task: stopped, .. } if *stopped == task);
    assert_eq!(world.cell.take_actions().iter().filter(|action| is_stop(action)).count(), stops);
}

/// One of two filling runs disturbs its worker's serving run and is slowed to a fifth of its pace.
#[test]
fn what_filling_runs_get_is_counted() {
    let mut world = World::with_workers(1, MILLICORES);
    start_serving_run(&mut world);
    set_effects(&mut world, &[("heavy", 0.2), ("light", 0.0)]);
    for (id, image) in [(2, "heavy"), (3, "light")] {
        world.submit(job(id, vec![Step { filling: true, image: Some(name(image)), ..step(1, 1_000) }]));
    }
    assert_eq!(placed(&mut world).len(), 2);
    let (task, run) = run_of(&world, JobId(2));
    let report = RunReport { task, run, checkpoint: name(""), percent: 5, measured: 200, pace_percent: 20 };
    world.cell.runs_reported(&[report], world.now);
    let expected = FillingUsage {
        runs: 2,
        asked_millicores: 2_000,
        paced_millicores: 1_200,
        disturbing_runs: 1,
        disturbing_paced_millicores: 200,
        serving_workers: 1,
        serving_images: 1,
    };
    assert_eq!(world.cell.filling(), expected);
}

/// Images that serve on each worker.
fn serving_by_worker(world: &World) -> BTreeMap<String, Vec<String>> {
    let mut serving: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (agent, runs) in &world.workers {
        let images = runs.running.values().filter(|order| order.traits.latency_target.is_some());
        let images = images.filter_map(|order| order.traits.image.as_ref().map(ToString::to_string));
        serving.insert(agent.to_string(), images.collect());
    }
    serving
}

/// Sets the effects of a filling image on serving ones, with high certainty.
fn set_effects_of(world: &mut World, filling: &str, effects: &[(String, f64)]) {
    const INFORMATION: f64 = 2_500.0;
    let evidence = |(serving, effect): &(String, f64)| {
        let pair = Pair { filling: name(filling), serving: name(serving) };
        (pair, Evidence { information: INFORMATION, weighted_effect: INFORMATION * effect })
    };
    world.cell.store_evidence(&name("observer"), effects.iter().map(evidence).collect());
    world.cell.merge_evidence();
}

/// The machine of a stopping agent may be removed with the worker and its runs.
#[test]
fn a_task_goes_to_the_worker_of_a_stopping_agent_while_another_has_room() {
    let mut world = World::with_workers(2, 1_000);
    world.cell.agent_retiring(&name("agent-0"), true);
    world.submit(job(1, vec![step(1, 600)]));
    world.place();
    let agents = |world: &World| world.all_running().into_iter().map(|(agent, ..)| agent).collect::<Vec<_>>();
    assert_eq!(agents(&world), [name("agent-1")]);
    world.submit(job(2, vec![step(1, 600)]));
    world.place();
    assert_eq!(agents(&world), [name("agent-0"), name("agent-1")]);
}
