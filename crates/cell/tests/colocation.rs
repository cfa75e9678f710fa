//! Filling tasks that wait for capacity where they disturb nobody, or start beside serving runs.

mod support;

use std::time::Duration;

use chervilledge_cell::cell::Inventory;
use chervilledge_cell::colocation::{Disturbance, expected_pace_percent, is_worth_starting};
use chervilledge_cell::interference::{Evidence, Pair};
use chervilledge_cell::job::{JobId, Step, TaskId};
use chervilledge_cell::worker::RunReport;
use rstest::rstest;
use support::{World, job, name, step, worker};

const MILLICORES: u64 = 16_000;
/// Run time of a filling task at full pace.
const ESTIMATE_MS: u64 = 2_000;
/// Interval between placement passes.
const TICK_MS: u64 = 100;

fn filling(count: u32) -> Step {
    Step {
        filling: true,
        checkpointing: true,
        image: Some(name("heavy")),
        estimate: Duration::from_millis(ESTIMATE_MS),
        ..step(count, 2_000)
    }
}

/// A cell whose workers each have one serving run, as job 100; one core of the filling image raises its tail by a
/// fifth.
fn world(workers: usize) -> World {
    let mut world = World::with_workers(workers, MILLICORES);
    let serving = Step {
        lasting: true,
        latency_target: Some(Duration::from_millis(45)),
        image: Some(name("serving")),
        per_worker_max: Some(1),
        ..step(u32::try_from(workers).expect("few"), 4_000)
    };
    world.submit(job(100, vec![serving]));
    world.place();
    let pair = Pair { filling: name("heavy"), serving: name("serving") };
    let evidence = Evidence { information: 1_000.0, weighted_effect: 200.0 };
    world.cell.store_evidence(&name("agent-0"), vec![(pair, evidence)]);
    world.cell.merge_evidence();
    world
}

fn report_headroom(world: &mut World, agent: &str, headroom: f64) {
    world.cell.take_headrooms(&name(agent), vec![(name("serving"), headroom)]);
}

/// Filling runs by agent.
fn started(world: &World) -> Vec<String> {
    let running = world.all_running();
    running.iter().filter(|(_, task, _)| task.job != JobId(100)).map(|(agent, _, _)| agent.to_string()).collect()
}

/// Places until the filling task starts; returns the time that it waited.
fn wait_for_start(world: &mut World, at_most_ms: u64) -> Option<u64> {
    for waited_ms in (0..=at_most_ms).step_by(usize::try_from(TICK_MS).expect("small")) {
        world.place();
        if !started(world).is_empty() {
            return Some(waited_ms);
        }
        world.advance_ms(TICK_MS);
    }
    None
}

#[rstest]
#[case::room_for_all(&[(1.0, 0.4)], 100)]
#[case::half(&[(0.2, 0.4)], 50)]
#[case::the_smallest_decides(&[(1.0, 0.4), (0.1, 0.4)], 25)]
#[case::others_take_more_than_there_is(&[(-0.3, 0.4)], 0)]
#[case::disturbs_nobody(&[], 100)]
fn the_pace_follows_from_what_is_left(#[case] disturbances: &[(f64, f64)], #[case] expected: u32) {
    let disturbances = disturbances.iter().map(|(left, added)| Disturbance { headroom: *left, added: *added });
    assert_eq!(expected_pace_percent(disturbances), expected);
}

/// A task waits as long as the slow place would cost it, whatever the time scale.
#[rstest]
fn a_task_waits_as_long_as_a_slow_place_costs(#[values(1, 2, 10, 600)] factor: u32) {
    let estimate = Duration::from_secs(2) * factor;
    for (pace_percent, wait_fraction) in [(100, 0.0), (80, 0.25), (50, 1.0), (20, 4.0)] {
        let wait = estimate.mul_f64(wait_fraction);
        assert!(is_worth_starting(estimate, pace_percent, wait), "{pace_percent}");
        let earlier = wait.checked_sub(Duration::from_millis(1));
        assert!(earlier.is_none_or(|earlier| !is_worth_starting(estimate, pace_percent, earlier)), "{pace_percent}");
    }
    assert!(!is_worth_starting(estimate, 0, Duration::from_hours(1)), "it would be halted");
}

/// Something serves on every worker and leaves little headroom, and a worker without serving runs becomes available
/// after a while or never. The task must never lose more than twice what the better choice would have lost, had it
/// been known beforehand.
#[rstest]
fn a_task_loses_little_whenever_an_undisturbing_worker_comes(
    #[values(0, 300, 900, 1_900, 2_500, 60_000)] idle_after_ms: u64,
    #[values(0.4, 0.3, 0.2, 0.1)] headroom: f64,
) {
    let mut world = world(3);
    (0..3).for_each(|number| report_headroom(&mut world, &format!("agent-{number}"), headroom));
    // A job with some run isn't treated as starved.
    world.submit(job(1, vec![Step { image: None, filling: false, ..filling(1) }, filling(1)]));
    let (mut start, mut has_idle_worker) = (None, false);
    for now_ms in (0..20_000).step_by(usize::try_from(TICK_MS).expect("small")) {
        if now_ms >= idle_after_ms && !has_idle_worker {
            has_idle_worker = true;
            let idle_agent = name("agent-calm");
            let inventory = Inventory { worker: Some(worker(&idle_agent, MILLICORES)), ..Inventory::default() };
            world.cell.agent_linked(&idle_agent, inventory, world.now);
        }
        world.place();
        let agent = world.all_running().into_iter().find(|(_, task, _)| task.key.step == 1).map(|(agent, ..)| agent);
        if let Some(agent) = agent {
            start = Some((now_ms, &*agent == "agent-calm"));
            break;
        }
        world.advance_ms(TICK_MS);
    }
    let (waited_ms, is_on_idle_worker) = start.expect("it starts");
    let slow_ms = 0.4 / headroom * 2_000.0 - 2_000.0;
    let lost_ms = as_ms(waited_ms) + if is_on_idle_worker { 0.0 } else { slow_ms };
    let best_ms = slow_ms.min(as_ms(idle_after_ms));
    assert!(lost_ms <= 2.0 * best_ms + 2.0 * as_ms(TICK_MS), "lost {lost_ms} ms, at best {best_ms} ms");
}

#[expect(clippy::cast_precision_loss, reason = "some seconds")]
fn as_ms(milliseconds: u64) -> f64 {
    milliseconds as f64
}

/// Tasks placed in the same round share a worker's headroom. Each worker gets only as many as can all run at full pace;
/// with more, all of them would be halted.
#[test]
fn tasks_that_start_at_once_leave_room_for_one_another() {
    let mut world = world(3);
    (0..3).for_each(|number| report_headroom(&mut world, &format!("agent-{number}"), 0.9));
    world.submit(job(1, vec![filling(12)]));
    world.place();
    let starts = started(&world);
    for agent in ["agent-0", "agent-1", "agent-2"] {
        let count = starts.iter().filter(|start| *start == agent).count();
        assert_eq!(count, 2, "0.4 each of 0.9: {starts:?}");
    }
}

/// A restarted worker has other runs: the headroom reported in its former life must not let a task start there.
#[test]
fn the_room_of_a_former_life_does_not_count() {
    let mut world = world(1);
    report_headroom(&mut world, "agent-0", 1.0);
    world.cell.worker_gone(&name("agent-0"), world.now);
    world.workers.get_mut(&name("agent-0")).expect("known").running.clear();
    let agent = name("agent-0");
    world.cell.agent_linked(
        &agent,
        Inventory { worker: Some(worker(&agent, MILLICORES)), ..Inventory::default() },
        world.now,
    );
    world.place();
    assert_eq!(world.all_running().len(), 1, "the serving run");
    world.submit(job(1, vec![filling(1)]));
    assert_eq!(wait_for_start(&mut world, 1_500), None, "its agent hasn't told the room");
    report_headroom(&mut world, "agent-0", 1.0);
    assert_eq!(wait_for_start(&mut world, 0), Some(0));
}

/// An agent that never reports headroom, for instance beside serving runs without measurements, must not keep a job
/// from running at all.
#[test]
fn a_job_starts_where_the_room_stays_unknown() {
    let mut world = world(1);
    world.submit(job(1, vec![filling(1)]));
    assert!(wait_for_start(&mut world, 2_500).is_some_and(|waited_ms| waited_ms >= 1_900));
}

/// Fails if a run is stopped for lack of progress right after it was halted and got its pace back.
#[test]
fn a_run_that_goes_on_after_a_halt_is_not_standing_still() {
    let mut world = world(2);
    (0..2).for_each(|number| report_headroom(&mut world, &format!("agent-{number}"), 1.0));
    world.submit(job(1, vec![filling(1)]));
    world.place();
    let (_, task, run): (_, TaskId, u64) =
        world.all_running().into_iter().find(|(_, task, _)| task.job == JobId(1)).expect("it runs");
    let report =
        |percent, pace_percent| RunReport { task, run, checkpoint: name("c"), percent, measured: 0, pace_percent };
    world.advance_ms(500);
    world.cell.runs_reported(&[report(20, 0)], world.now);
    world.advance_ms(2_500);
    world.cell.runs_reported(&[report(20, 60)], world.now);
    world.cell.watch_runs(world.now);
    assert_eq!(world.cell.counters().restarts, 0);
    // A worker on which it stalls at that pace is detected nevertheless.
    world.advance_ms(1_900);
    world.cell.watch_runs(world.now);
    assert_eq!(world.cell.counters().restarts, 1);
}
