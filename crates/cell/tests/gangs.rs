//! Gangs that end and start again.

mod support;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::{Action, Cell, Inventory};
use chervilledge_cell::job::{Job, Step, TaskId};
use chervilledge_cell::worker::{End, EndKind, RunReport, Worker};
use chervilledge_policy::id::Name;
use rstest::rstest;
use support::{LEASE, World, configuration, job, name, step, worker};

const MILLICORES: u64 = 4_000;
/// What the members of a gang started with, by task.
type Checkpoints = Vec<(TaskId, Name)>;

fn gang_job() -> Job {
    let estimate = Duration::from_secs(10);
    job(1, vec![Step { gang: true, checkpointing: true, estimate, ..step(3, MILLICORES) }])
}

/// A gang whose members have reported two checkpoints, the last of them only the first.
fn world_with_gang() -> (World, Vec<(Name, TaskId, u64)>) {
    let mut world = World::with_workers(4, MILLICORES);
    world.submit(gang_job());
    world.place();
    let members = world.all_running();
    let last = members.len() - 1;
    for (position, (_, task, run)) in members.iter().enumerate() {
        let reports = [(21, "2s"), (41, "4s")];
        for (percent, checkpoint) in &reports[..if position == last { 1 } else { 2 }] {
            let checkpoint = name(checkpoint);
            let report =
                RunReport { task: *task, run: *run, checkpoint, percent: *percent, measured: 0, pace_percent: 100 };
            world.cell.runs_reported(&[report], world.now);
        }
    }
    (world, members)
}

/// Ends runs with the checkpoints that their workers name.
fn end(world: &mut World, ends: &[((Name, TaskId, u64), &str)], kind: EndKind) {
    for ((agent, task, run), checkpoint) in ends {
        let runs = world.workers.get_mut(agent).expect("a worker");
        runs.running.remove(&(*task, *run));
        runs.next_end += 1;
        let end = End { number: runs.next_end, task: *task, run: *run, kind, checkpoint: name(checkpoint) };
        world.cell.runs_ended(agent, vec![end], world.now);
    }
}

fn reborn(agent: &Name) -> Worker {
    let mut worker = worker(agent, MILLICORES);
    worker.life.born_unix_ms += 1;
    worker
}

fn starts(cell: &mut Cell, now: Duration) -> Checkpoints {
    cell.place(now);
    let start = |action| match action {
        Action::Start { order, .. } => Some((order.task, order.checkpoint)),
        _ => None,
    };
    cell.take_actions().into_iter().filter_map(start).collect()
}

/// The worker of the last member crashes, which breaks the others.
fn after_a_crash() -> Checkpoints {
    let (mut world, members) = world_with_gang();
    let agent = Arc::clone(&members[2].0);
    world.cell.worker_seen(&agent, reborn(&agent), world.now);
    end(&mut world, &[(members[0].clone(), "4s"), (members[1].clone(), "4s")], EndKind::Broken);
    starts(&mut world.cell, world.now)
}

/// The same, and then a placer that knows only what is stored.
fn after_a_takeover() -> Checkpoints {
    let (mut world, members) = world_with_gang();
    let agent = Arc::clone(&members[2].0);
    world.cell.worker_seen(&agent, reborn(&agent), world.now);
    end(&mut world, &[(members[0].clone(), "4s"), (members[1].clone(), "4s")], EndKind::Broken);
    let batch = world.cell.next_batch().expect("the ends");
    let mut cell = Cell::new(2, LEASE);
    cell.configure(Arc::new(configuration()));
    cell.load(gang_job(), batch.writes[0].progress.clone(), 20, Duration::ZERO, world.now);
    for agent in world.workers.keys() {
        let inventory = Inventory { worker: Some(reborn(agent)), ..Inventory::default() };
        cell.agent_linked(agent, inventory, world.now);
    }
    starts(&mut cell, world.now)
}

/// The worker of the last member is to leave, and its run is stopped: each member saves a checkpoint of its own.
fn after_a_planned_move() -> Checkpoints {
    let (mut world, members) = world_with_gang();
    end(&mut world, &[(members[2].clone(), "5.0s of 2")], EndKind::Stopped);
    end(&mut world, &[(members[0].clone(), "5.1s of 0"), (members[1].clone(), "5.1s of 1")], EndKind::Broken);
    starts(&mut world.cell, world.now)
}

/// The last member saved nothing before all of them ended.
fn after_a_member_that_saved_nothing() -> Checkpoints {
    let mut world = World::with_workers(4, MILLICORES);
    world.submit(gang_job());
    world.place();
    let members = world.all_running();
    end(
        &mut world,
        &[(members[0].clone(), "1s"), (members[1].clone(), "1s"), (members[2].clone(), "")],
        EndKind::Alone,
    );
    starts(&mut world.cell, world.now)
}

/// Members that start from different checkpoints never work together, and the gang starts again without end
/// (`review/4`).
#[rstest]
#[case::crash(after_a_crash(), Some("4s"))]
#[case::takeover(after_a_takeover(), Some("4s"))]
#[case::planned_move(after_a_planned_move(), None)]
#[case::member_that_saved_nothing(after_a_member_that_saved_nothing(), Some("1s"))]
fn members_of_a_gang_start_from_different_checkpoints(#[case] starts: Checkpoints, #[case] expected: Option<&str>) {
    let checkpoints: BTreeSet<&str> = starts.iter().map(|(_, checkpoint)| &**checkpoint).collect();
    assert_eq!((starts.len(), checkpoints.len()), (3, 1), "{starts:?}");
    let checkpoint = checkpoints.first().expect("a checkpoint");
    assert!(!checkpoint.is_empty() && expected.is_none_or(|expected| *checkpoint == expected), "{checkpoint}");
}
