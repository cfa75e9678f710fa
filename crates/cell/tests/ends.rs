//! Consequences of the end of a run.

mod support;

use chervilledge_cell::cell::Action;
use chervilledge_cell::worker::EndKind;
use support::{World, job, step};

/// In an incident of the job portal, a stop was ordered for every run that was done; each costs a call and a poll.
#[test]
fn a_run_that_is_done_is_not_stopped() {
    let mut world = World::with_workers(2, 16_000);
    world.submit(job(1, vec![step(3, 1_000)]));
    world.place();
    for (agent, task, run) in world.all_running() {
        world.end(&agent, task, run, EndKind::Done);
    }
    let stops = world.cell.take_actions().into_iter().filter(|action| matches!(action, Action::Stop { .. })).count();
    assert_eq!(stops, 0);
}

/// When one run of a task is done, its copy is stopped.
#[test]
fn the_other_run_of_a_task_that_is_done_is_stopped() {
    let mut world = World::with_workers(2, 16_000);
    let mut speculative = step(1, 1_000);
    speculative.speculative = true;
    world.submit(job(1, vec![speculative]));
    world.place();
    world.advance_ms(3_000);
    world.cell.watch_runs(world.now);
    for action in world.cell.take_actions() {
        world.carry_out(&action);
    }
    let running = world.all_running();
    assert_eq!(running.len(), 2, "a slow run has a copy");
    let (agent, task, run) = running[0].clone();
    world.end(&agent, task, run, EndKind::Done);
    let stopped: Vec<u64> = world
        .cell
        .take_actions()
        .into_iter()
        .filter_map(|action| if let Action::Stop { run, .. } = action { Some(run) } else { None })
        .collect();
    assert_eq!(stopped, [running[1].2]);
}

/// A caller waits for the end of its job; ends of single tasks may be batched.
#[test]
fn only_the_end_of_a_job_is_urgent_to_write() {
    let mut world = World::with_workers(2, 16_000);
    world.submit(job(1, vec![step(2, 1_000)]));
    world.place();
    let running = world.all_running();
    let end = |world: &mut World, at: usize| {
        let (agent, task, run) = running[at].clone();
        world.end(&agent, task, run, EndKind::Done);
    };
    end(&mut world, 0);
    assert!(!world.cell.has_urgent_write());
    end(&mut world, 1);
    assert!(world.cell.has_urgent_write());
    let batch = world.cell.next_batch().expect("a batch");
    assert!(!world.cell.has_urgent_write(), "it is under way");
    world.cell.requeue_batch(&batch);
    assert!(world.cell.has_urgent_write(), "it wasn't written");
}
