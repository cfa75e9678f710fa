//! Durable checkpoints of running tasks after the loss of all processes at once.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::{Action, Cell, Inventory};
use chervilledge_cell::job::{Job, JobId, TaskId};
use chervilledge_cell::progress::Progress;
use chervilledge_cell::worker::{End, EndKind, RunReport};
use chervilledge_policy::id::Name;
use support::{LEASE, World, configuration, job, life, name, step, worker};

const MILLICORES: u64 = 32_000;
const ESTIMATE: Duration = Duration::from_mins(1);

fn long_job(id: u64, tasks: u32) -> Job {
    let mut long = step(tasks, 2_000);
    long.estimate = ESTIMATE;
    long.checkpointing = true;
    job(id, vec![long])
}

fn report(task: TaskId, run: u64, percent: u32, checkpoint: &str) -> RunReport {
    RunReport { task, run, checkpoint: name(checkpoint), percent, measured: 0, pace_percent: 100 }
}

/// Checkpoint from which each task starts after a loss of everything but the workers' files and the rows.
fn checkpoints_after_loss(world: &World, jobs: &[Job], stored: &BTreeMap<JobId, Progress>) -> BTreeMap<TaskId, Name> {
    let mut cell = Cell::new(2, LEASE);
    cell.configure(Arc::new(configuration()));
    for job in jobs {
        let progress = stored.get(&job.id).cloned();
        let revision = u64::from(progress.is_some());
        cell.load(job.clone(), progress.unwrap_or_default(), revision, Duration::ZERO, world.now);
    }
    for agent in world.workers.keys() {
        let mut reborn = worker(agent, MILLICORES);
        reborn.life.born_unix_ms += 1;
        cell.agent_linked(agent, Inventory { worker: Some(reborn), ..Inventory::default() }, world.now);
    }
    cell.place(world.now);
    let started = |action| match action {
        Action::Start { order, .. } => Some((order.task, order.checkpoint)),
        _ => None,
    };
    cell.take_actions().into_iter().filter_map(started).collect()
}

/// All workers and entries lose power at once; without checkpoints in rows, all 640 cores would lose the work of 20
/// s. The store is unavailable for 2 s of that time, so that writes are lost and repeated.
#[test]
fn a_cell_that_is_lost_whole_loses_the_work_of_the_last_seconds() {
    const TICK_MS: u64 = 100;
    const TICKS: u64 = 200;
    let mut world = World::with_workers(20, MILLICORES);
    let jobs: Vec<Job> = (0..40).map(|id| long_job(id, 8)).collect();
    for job in &jobs {
        world.submit(job.clone());
    }
    world.place();
    let running = world.all_running();
    assert_eq!(running.len(), 320);
    let mut stored: BTreeMap<JobId, Progress> = BTreeMap::new();
    let (mut batches, mut rows) = (0, 0);
    let done_ms = |tick: u64| tick * TICK_MS;
    for tick in 1..=TICKS {
        world.advance_ms(TICK_MS);
        // Each worker saves once a second, at its own offset, and its agent reports twice a second.
        for (position, (_, task, run)) in running.iter().enumerate() {
            let tick_of_run = tick + position as u64 % 10;
            if tick_of_run.is_multiple_of(5) {
                let percent = u32::try_from(done_ms(tick) * 100 / 60_000).expect("a percentage");
                let saved_ms = done_ms(tick.saturating_sub(tick_of_run % 10));
                world.cell.runs_reported(&[report(*task, *run, percent, &format!("{saved_ms}"))], world.now);
            }
        }
        world.cell.save_checkpoints(world.now);
        let Some(batch) = world.cell.next_batch() else { continue };
        if (100..120).contains(&tick) {
            world.cell.requeue_batch(&batch);
            continue;
        }
        batches += 1;
        rows += batch.writes.len();
        for write in &batch.writes {
            stored.insert(write.job, write.progress.clone());
        }
        let revision = world.next_revision();
        world.cell.committed(&batch, revision, world.now);
    }
    let left = checkpoints_after_loss(&world, &jobs, &stored);
    assert_eq!(left.len(), 320);
    let lost_ms = |checkpoint: &Name| done_ms(TICKS) - checkpoint.parse::<u64>().unwrap_or(0);
    let worst_ms = left.values().map(lost_ms).max().expect("tasks");
    let mean_ms = left.values().map(lost_ms).sum::<u64>() / 320;
    println!("worst loss {worst_ms} ms, mean {mean_ms} ms; {batches} batches, {rows} rows in 20 s");
    assert!(worst_ms <= 3_500, "a task loses {worst_ms} ms");
    assert!(mean_ms <= 2_500, "tasks lose {mean_ms} ms on average");
    assert!(batches <= 20, "{batches} batches in 20 s");
    assert!(rows <= 400, "{rows} rows in 20 s");
}

/// Rows that save little work would take the place of rows that save more.
#[test]
fn less_than_a_core_second_is_not_written() {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(long_job(1, 1));
    world.place();
    let (_, task, run) = world.all_running()[0].clone();
    // One percent of a minute at two cores is 1.2 core-seconds.
    for (percent, is_written) in [(0, false), (1, true)] {
        world.advance_ms(1_000);
        world.cell.runs_reported(&[report(task, run, percent, &format!("at {percent}"))], world.now);
        world.cell.save_checkpoints(world.now);
        world.advance_ms(500);
        world.cell.save_checkpoints(world.now);
        assert_eq!(world.cell.next_batch().is_some(), is_written, "{percent}%");
    }
}

/// Ends that arrive together with checkpoints, including those of a failed batch, are written and settled first.
#[test]
fn no_end_waits_for_a_checkpoint() {
    let mut world = World::with_workers(30, MILLICORES);
    for id in 0..70 {
        world.submit(long_job(id, 2));
    }
    world.place();
    let running = world.all_running();
    let first_of = |id: u64| running.iter().find(|(_, task, _)| task.job == JobId(id)).cloned().expect("a run");
    for id in 0..20 {
        let (_, task, run) = first_of(id);
        world.cell.runs_reported(&[report(task, run, 50, "half")], world.now);
    }
    world.cell.save_checkpoints(world.now);
    assert_eq!(world.cell.next_batch(), None, "checkpoints wait for ends to go along with");
    world.advance_ms(400);
    world.cell.save_checkpoints(world.now);
    let failed = world.cell.next_batch().expect("checkpoints go alone");
    assert_eq!(failed.writes.len(), 20);
    for id in 20..65 {
        let (agent, task, run) = first_of(id);
        world.end(&agent, task, run, EndKind::Done);
    }
    let conflicts: Vec<(JobId, u64)> = failed.writes.iter().map(|write| (write.job, 9)).collect();
    world.cell.conflicted(&failed, &conflicts);
    let ends = world.cell.next_batch().expect("a batch of ends");
    assert!(ends.writes.iter().all(|write| write.job >= JobId(20)), "{:?}", ends.writes);
    world.cell.committed(&ends, 30, world.now);
    let rest = world.cell.next_batch().expect("the other ends, with checkpoints");
    let (checkpoints, others): (Vec<_>, Vec<_>) = rest.writes.iter().partition(|write| write.job < JobId(20));
    assert_eq!((checkpoints.len(), others.len()), (20, 5));
    assert!(checkpoints.iter().all(|write| write.revision == 9 && write.progress.checkpoints.len() == 1));
}

/// A worker that was given up comes back and reports the end of its run, while the task has more progress on another
/// worker.
#[test]
fn an_end_of_a_superseded_run_does_not_replace_the_checkpoint() {
    let mut world = World::with_workers(2, MILLICORES);
    world.submit(long_job(1, 1));
    world.place();
    let (first, task, old_run) = world.all_running()[0].clone();
    world.cell.runs_reported(&[report(task, old_run, 20, "at 20")], world.now);
    world.cell.agent_silent(&first);
    world.advance_ms(20_000);
    world.cell.lapse_agents(Some(world.now), world.now);
    world.place();
    let (second, _, run) = world.all_running().into_iter().find(|(_, _, run)| *run != old_run).expect("a second run");
    world.cell.runs_reported(&[report(task, run, 60, "at 60")], world.now);
    world.cell.save_checkpoints(world.now);
    let late = End { number: 1, task, run: old_run, kind: EndKind::Lapsed, checkpoint: name("at 20") };
    let back = Inventory { worker: Some(worker(&first, MILLICORES)), ends: vec![late.clone()], ..Inventory::default() };
    world.cell.agent_linked(&first, back.clone(), world.now);
    world.advance_ms(500);
    world.cell.save_checkpoints(world.now);
    let batch = world.cell.next_batch().expect("a checkpoint");
    let stored = batch.writes[0].progress.clone();
    assert_eq!(stored.checkpoints.get(&task.key), Some(&name("at 60")));
    world.cell.committed(&batch, 20, world.now);

    // The same end is reported to a new placer, which knows of the second run only by the row.
    let mut cell = Cell::new(2, LEASE);
    cell.configure(Arc::new(configuration()));
    cell.load(long_job(1, 1), stored, 20, Duration::ZERO, world.now);
    cell.agent_linked(&first, back, world.now);
    let mut reborn = worker(&second, MILLICORES);
    reborn.life.born_unix_ms = life(&second).born_unix_ms + 1;
    cell.agent_linked(&second, Inventory { worker: Some(reborn), ..Inventory::default() }, world.now);
    cell.place(world.now);
    let actions = cell.take_actions();
    let Some(Action::Start { order, .. }) = actions.iter().find(|action| matches!(action, Action::Start { .. })) else {
        panic!("the task isn't started: {actions:?}");
    };
    assert_eq!(order.checkpoint, name("at 60"));
}
