//! Urgencies of filling runs, as sent to agents.

mod support;

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::Action;
use chervilledge_cell::configuration::{Configuration, Queue};
use chervilledge_cell::job::{Job, JobId, Step, TaskId, Terms};
use chervilledge_cell::progress::Progress;
use chervilledge_cell::urgency::Urgency;
use chervilledge_cell::worker::RunReport;
use rstest::rstest;
use support::{World, configuration, job, name, step, terms};

const MILLICORES: u64 = 64_000;

fn filling(id: u64, count: u32) -> Job {
    let estimate = Duration::from_secs(6);
    let step = Step { estimate, filling: true, checkpointing: true, image: Some(name("heavy")), ..step(count, 1_000) };
    job(id, vec![step])
}

/// Places waiting tasks; returns the started runs with their urgencies.
fn placed(world: &mut World) -> Vec<(TaskId, u64, Urgency)> {
    world.cell.place(world.now);
    let actions = world.cell.take_actions();
    let mut starts = Vec::new();
    for action in &actions {
        if let Action::Start { order, .. } = action {
            starts.push((order.task, order.run, order.traits.urgency));
        }
        world.carry_out(action);
    }
    starts
}

fn report(task: TaskId, run: u64, percent: u32, pace_percent: u32) -> RunReport {
    RunReport { task, run, checkpoint: name("c"), percent, measured: 400, pace_percent }
}

/// A job with three times the work has three times the urgency, a late one comes after both, and one that is entirely
/// late comes last; otherwise a large job would take the headroom of one that can still be in time.
#[test]
fn jobs_in_time_come_first_and_among_them_the_smallest() {
    let mut world = World::with_workers(1, MILLICORES);
    // 6 s of work times 1.5 and 250 ms make an objective of 9.25 s.
    for (id, count, age_ms) in [(1, 6, 0), (2, 2, 0), (3, 1, 5_000), (4, 1, 30_000)] {
        world.cell.load(filling(id, count), Progress::default(), 0, Duration::from_millis(age_ms), world.now);
    }
    let starts = placed(&mut world);
    let urgency = |id: u64| starts.iter().find(|(task, ..)| task.job == JobId(id)).expect("a start").2;
    assert_eq!(urgency(1), Urgency(36_000));
    assert_eq!(urgency(2), Urgency(12_000));
    assert!(urgency(1) < urgency(3) && urgency(3) < urgency(4), "{starts:?}");
    assert!(urgency(4) < Urgency::UNKNOWN);
}

/// Without an objective it is undefined whether a job is in time, and its runs are paced without regard to urgency.
#[test]
fn jobs_without_an_objective_have_no_urgency() {
    let mut world = World::with_workers(1, MILLICORES);
    let terms = Terms { stretch: 0.0, latency_objective: Duration::ZERO, ..terms() };
    let queues = configuration().queues.into_iter().map(|queue| Queue { terms: terms.clone(), ..queue }).collect();
    world.cell.configure(Arc::new(Configuration { version: 2, queues, ..configuration() }));
    world.submit(filling(1, 1));
    assert_eq!(placed(&mut world)[0].2, Urgency::UNKNOWN);
}

/// Messages to agents stay few: nothing is sent while every run is at full pace, for a change below a step, or twice.
/// After its link was lost, the agent is sent the same urgencies again.
#[test]
fn only_steps_are_told_and_only_where_runs_are_slowed_down() {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(filling(1, 10));
    let starts = placed(&mut world);
    let agent = name("agent-0");
    let reports = |percent: u32, pace_percent: u32| -> Vec<RunReport> {
        starts.iter().map(|(task, run, _)| report(*task, *run, percent, pace_percent)).collect()
    };
    // The runs progress as their estimate of 6 s and their pace say, so that the expected run time stays the same.
    let mut from = (0, 100);
    let mut changes = |world: &mut World, percent: u32, pace_percent: u32| {
        let (done, pace) = std::mem::replace(&mut from, (percent, pace_percent));
        world.advance_ms(u64::from((percent - done) * 6_000 / pace));
        world.cell.runs_reported(&reports(percent, pace_percent), world.now);
        world.advance_ms(480);
        from.0 += 480 * pace_percent / 6_000;
        world.cell.runs_reported(&reports(from.0, pace_percent), world.now);
        world.cell.changed_urgencies(world.now)
    };
    assert_eq!(changes(&mut world, 2, 100), [], "every run is at its full pace");
    assert_eq!(changes(&mut world, 10, 50), [], "a tenth is less than a step");
    let sent = changes(&mut world, 26, 50);
    assert_eq!(sent.len(), 1);
    assert_eq!((&sent[0].0, sent[0].1.len()), (&agent, 10));
    assert!(sent[0].1.iter().all(|(_, _, urgency)| *urgency == Urgency(42_000)), "{sent:?}");
    assert_eq!(changes(&mut world, 31, 50), []);
    let described = world.cell.run_traits(&agent);
    assert!(described.iter().all(|(_, _, traits)| traits.urgency == Urgency(42_000)), "{described:?}");
    assert_eq!(world.cell.counters().urgencies, 10);
}

/// The progress of a job at its limit is reported in steps, so that it would alternate between in time and late; each
/// change would affect the paces of all runs on its workers.
#[test]
fn a_job_at_its_limit_does_not_change_its_place_with_every_report() {
    const LATE: u64 = 1 << 31;
    let mut world = World::with_workers(1, MILLICORES);
    // Its run starts so late that it ends at its limit, and its reported progress lags by up to a sixth.
    world.cell.load(filling(1, 1), Progress::default(), 0, Duration::from_secs(3), world.now);
    let (task, run, first) = placed(&mut world)[0];
    let mut sent = vec![first];
    for tenths in 0..60_u32 {
        world.advance_ms(100);
        world.cell.runs_reported(&[report(task, run, tenths / 10 * 17, 99)], world.now);
        let changes = world.cell.changed_urgencies(world.now);
        sent.extend(changes.iter().flat_map(|(_, changes)| changes).map(|(_, _, urgency)| *urgency));
    }
    let turns = sent.windows(2).filter(|pair| (pair[0].0 >= LATE) != (pair[1].0 >= LATE)).count();
    assert_eq!(turns, 1, "{sent:?}");
}

/// A worker accepts another disturbing run while those that it has get half of their pace in total. Counted per run,
/// a single halted one would close every worker on which the most urgent run gets full pace.
#[rstest]
#[case::shared([60, 60], 1)]
#[case::in_order([100, 20], 1)]
#[case::shared_and_crowded([40, 40], 0)]
#[case::in_order_and_crowded([80, 0], 0)]
fn what_disturbing_runs_get_together_decides_on_further_ones(#[case] paces: [u32; 2], #[case] starts: usize) {
    let mut world = World::with_workers(1, 8_000);
    let latency_target = Some(Duration::from_millis(45));
    let serving = Step { lasting: true, latency_target, image: Some(name("serving")), ..step(1, 4_000) };
    world.submit(job(9, vec![serving]));
    assert_eq!(placed(&mut world).len(), 1);
    world.cell.take_headrooms(&name("agent-0"), vec![(name("serving"), 2.0)]);
    world.submit(filling(1, 2));
    let started = placed(&mut world);
    let reports: Vec<RunReport> =
        started.iter().zip(paces).map(|((task, run, _), pace)| report(*task, *run, 10, pace)).collect();
    assert_eq!(reports.len(), 2);
    world.cell.runs_reported(&reports, world.now);
    world.submit(filling(2, 1));
    assert_eq!(placed(&mut world).len(), starts);
}
