//! A new placer continues where the former one stopped.

mod support;

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::authority::{lapse_after, leases_end, takeover_wait};
use chervilledge_cell::cell::{Action, Cell, Inventory};
use chervilledge_cell::job::{JobId, JobState, Step};
use chervilledge_cell::progress::Progress;
use chervilledge_cell::worker::EndKind;
use rstest::rstest;
use support::{LEASE, World, configuration, job, name, step};

const MILLICORES: u64 = 16_000;

/// The cell of a new placer that has read the rows, before any agent has answered.
fn successor(world: &World, term: u64, rows: &[(JobId, Progress, u64)]) -> Cell {
    let mut cell = Cell::new(term, LEASE);
    cell.configure(Arc::new(configuration()));
    for agent in world.workers.keys() {
        cell.agent_known(agent, true, world.now);
    }
    for (id, progress, revision) in rows {
        let job = job(id.0, vec![step(1, 1_000)]);
        cell.load(job, progress.clone(), *revision, Duration::ZERO, world.now);
    }
    cell
}

/// At the grown booking site a job was shown as failed after two failures of three: the third was reported to two
/// placers.
#[test]
fn a_failure_that_two_placers_are_told_of_counts_once() {
    let mut world = World::with_workers(3, MILLICORES);
    world.submit(job(1, vec![step(1, 1_000)]));
    for _ in 0..2 {
        world.place();
        let (agent, task, run) = world.all_running()[0].clone();
        world.end(&agent, task, run, EndKind::Failed);
        world.advance_ms(1_000);
    }
    let batch = world.cell.next_batch().expect("failures have to be stored");
    let rows: Vec<_> = batch.writes.iter().map(|write| (write.job, write.progress.clone(), 20)).collect();
    // The rows are durable, and the former placer ends before the run ends are settled.
    world.cell = successor(&world, 2, &rows);
    for agent in world.workers.keys().cloned().collect::<Vec<_>>() {
        let inventory = world.inventory(&agent, MILLICORES);
        world.cell.agent_linked(&agent, inventory, world.now);
    }
    world.advance_ms(1_000);
    assert_eq!(world.cell.state(JobId(1)), Some(JobState::Running));
    world.place();
    assert_eq!(world.all_running().len(), 1, "the third attempt is due");
}

/// No task that may run on the worker of a silent agent starts elsewhere before every lease has ended.
#[rstest]
#[case::predecessor_may_act(false, takeover_wait(LEASE))]
#[case::predecessor_is_over(true, lapse_after(LEASE))]
fn runs_of_a_silent_agent_are_waited_for(#[case] is_over: bool, #[case] wait: Duration) {
    let mut world = World::with_workers(2, MILLICORES);
    world.submit(job(1, vec![step(1, 1_000)]));
    world.place();
    let (holder, task, _) = world.all_running()[0].clone();
    let other = world.workers.keys().find(|agent| **agent != holder).cloned().expect("two agents");
    world.cell = successor(&world, 2, &[(JobId(1), Progress::default(), 0)]);
    if is_over {
        world.cell.predecessor_over(world.now);
    }
    let inventory = world.inventory(&other, MILLICORES);
    world.cell.agent_linked(&other, inventory, world.now);
    let begin = world.now;
    let last = wait.saturating_sub(Duration::from_millis(20));
    while world.now < begin + last {
        world.advance_ms(10);
        world.cell.lapse_agents(Some(world.now), world.now);
        world.cell.place(world.now);
        let starts = world.cell.take_actions();
        assert!(starts.is_empty(), "{starts:?} after {:?}", world.now.saturating_sub(begin));
    }
    world.advance_ms(40);
    world.cell.lapse_agents(Some(world.now), world.now);
    world.cell.place(world.now);
    let actions = world.cell.take_actions();
    assert!(
        matches!(&*actions, [Action::Start { agent, order, .. }] if *agent == other && order.task == task && order.run > 10_000),
        "{actions:?}"
    );
}

/// Users count the third second without a run beside free capacity, after four calm ones since the placer was lost.
#[test]
fn a_silent_agent_keeps_a_waiting_lasting_task_from_free_room() {
    const TICK_MS: u64 = 100;
    let mut world = World::with_workers(2, MILLICORES);
    let lost_at = world.now;
    world.cell = successor(&world, 2, &[]);
    let lasting = job(1, vec![Step { lasting: true, ..step(1, 1_000) }]);
    world.cell.load(lasting, Progress::default(), 20, Duration::ZERO, world.now);
    let answering = name("agent-1");
    let inventory = world.inventory(&answering, MILLICORES);
    world.cell.agent_linked(&answering, inventory, world.now);
    world.cell.former_leases_end(leases_end(lost_at, LEASE));
    while world.cell.take_actions().is_empty() {
        let waited = world.now.saturating_sub(lost_at);
        assert!(waited < Duration::from_secs(7), "not started after {waited:?}");
        world.advance_ms(TICK_MS);
        world.cell.lapse_agents(Some(world.now), world.now);
        world.cell.place(world.now);
    }
}

/// While an agent hasn't answered, a job is placed only if its row is newer than the end of the former placer.
#[rstest]
#[case::older(Some(30), false)]
#[case::unknown(None, false)]
#[case::younger(Some(31), true)]
fn only_jobs_that_the_predecessor_cannot_know_are_placed(#[case] revision: Option<u64>, #[case] is_placed: bool) {
    let world = World::with_workers(2, MILLICORES);
    let mut cell = successor(&world, 2, &[]);
    cell.agent_linked(&name("agent-0"), world.inventory(&name("agent-0"), MILLICORES), world.now);
    cell.predecessor_over(world.now);
    cell.set_fresh_from(30);
    cell.submit(job(5, vec![step(1, 1_000)]), revision, world.now);
    cell.place(world.now);
    assert_eq!(!cell.take_actions().is_empty(), is_placed);
}

/// Runs are adopted, even if no progress of the job was ever written.
#[test]
fn running_tasks_go_on() {
    let mut world = World::with_workers(2, MILLICORES);
    world.submit(job(1, vec![step(1, 1_000)]));
    world.place();
    let running = world.all_running();
    world.cell = successor(&world, 2, &[(JobId(1), Progress::default(), 0)]);
    for agent in world.workers.keys().cloned().collect::<Vec<_>>() {
        let inventory = world.inventory(&agent, MILLICORES);
        world.cell.agent_linked(&agent, inventory, world.now);
    }
    world.place();
    assert_eq!(world.all_running(), running);
    assert_eq!(world.cell.state(JobId(1)), Some(JobState::Running));
}

/// A task must not start elsewhere because its job's row was read only after its run was reported.
#[rstest]
#[case::runs(None)]
#[case::is_done(Some(EndKind::Done))]
fn a_task_started_by_the_predecessor_of_a_job_read_later_runs_once(#[case] ended: Option<EndKind>) {
    let mut world = World::with_workers(3, MILLICORES);
    world.submit(job(1, vec![step(1, 1_000)]));
    world.place();
    let running = world.all_running();
    let (agent, task, run) = running[0].clone();
    if let Some(kind) = ended {
        world.end(&agent, task, run, kind);
    }
    world.cell = successor(&world, 2, &[]);
    for agent in world.workers.keys().cloned().collect::<Vec<_>>() {
        let inventory = world.inventory(&agent, MILLICORES);
        world.cell.agent_linked(&agent, inventory, world.now);
    }
    assert_eq!(world.cell.next_batch(), None);
    assert_eq!(world.cell.take_actions(), [], "nothing is stopped or settled before the rows are read");
    world.submit(job(1, vec![step(1, 1_000)]));
    world.cell.place(world.now);
    assert_eq!(world.cell.take_actions(), [], "the task isn't started, nor its run stopped");
    if ended.is_none() {
        world.end(&agent, task, run, EndKind::Done);
    }
    let batch = world.cell.next_batch().expect("the end has to be stored");
    world.cell.committed(&batch, 40, world.now);
    assert_eq!(world.cell.state(JobId(1)), Some(JobState::Completed));
    assert!(matches!(&*world.cell.take_actions(), [Action::Settle { cursor: 1, .. }]));
}

/// Runs and ends of a job whose rows are gone are stopped and settled, but not before that is certain.
#[test]
fn runs_and_ends_without_a_job_go_once_the_rows_are_read() {
    let mut world = World::with_workers(3, MILLICORES);
    world.submit(job(1, vec![step(2, 1_000)]));
    world.place();
    let (agent, task, run) = world.all_running()[0].clone();
    world.end(&agent, task, run, EndKind::Done);
    world.cell = successor(&world, 2, &[]);
    for agent in world.workers.keys().cloned().collect::<Vec<_>>() {
        let inventory = world.inventory(&agent, MILLICORES);
        world.cell.agent_linked(&agent, inventory, world.now);
    }
    let reported_at = world.now;
    world.cell.store_revision_seen(reported_at.saturating_sub(Duration::from_millis(1)), 30);
    world.cell.jobs_read(35);
    assert_eq!(world.cell.next_batch(), None);
    assert_eq!(world.cell.take_actions(), [], "that revision is from before the news");
    world.cell.store_revision_seen(reported_at, 40);
    world.cell.jobs_read(39);
    assert_eq!(world.cell.next_batch(), None);
    assert_eq!(world.cell.take_actions(), [], "the rows are read to an earlier revision");
    world.cell.jobs_read(40);
    assert_eq!(world.cell.next_batch(), None);
    let actions = world.cell.take_actions();
    assert!(actions.iter().any(|action| matches!(action, Action::Stop { .. })), "{actions:?}");
    assert!(actions.iter().any(|action| matches!(action, Action::Settle { cursor: 1, .. })), "{actions:?}");
}

/// A worker lists 500 ends at a time; the tasks of the others ran again after a takeover (`review/3`).
#[test]
fn tasks_whose_ends_are_not_listed_yet_start_again() {
    let mut world = World::with_workers(2, MILLICORES);
    world.submit(job(1, vec![step(3, 1_000)]));
    world.place();
    let runs = world.all_running();
    let agent = Arc::clone(&runs[0].0);
    for (holder, task, run) in &runs {
        let kind = if *holder == agent { EndKind::Done } else { EndKind::Stopped };
        world.end(holder, *task, *run, kind);
    }
    let done = runs.iter().filter(|(holder, ..)| *holder == agent).count();
    let mut cell = Cell::new(2, LEASE);
    cell.configure(Arc::new(configuration()));
    cell.agent_known(&agent, true, world.now);
    cell.load(job(1, vec![step(3, 1_000)]), Progress::default(), 7, Duration::ZERO, world.now);
    let whole = world.inventory(&agent, MILLICORES);
    let partial = Inventory { ends: whole.ends[..1].to_vec(), is_partial: true, ..whole.clone() };
    cell.agent_linked(&agent, partial, world.now);
    cell.place(world.now);
    let starts = cell.take_actions();
    assert!(starts.is_empty(), "{starts:?}");
    let batch = cell.next_batch().expect("the listed end has to be stored");
    cell.committed(&batch, 20, world.now);
    assert!(matches!(&*cell.take_actions(), [Action::Settle { cursor: 1, .. }]));
    cell.agent_linked(&agent, whole, world.now);
    cell.place(world.now);
    let starts = cell.take_actions().into_iter().filter(|action| matches!(action, Action::Start { .. })).count();
    assert_eq!(starts, 3 - done, "only tasks without an end `done`");
}

/// A run that ended behind the listed ends counted as an order that was lost when the link was opened again.
#[test]
fn a_run_that_ended_behind_the_listed_ends_is_stopped() {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(job(1, vec![step(1, 1_000)]));
    world.place();
    let (agent, task, run) = world.all_running()[0].clone();
    world.cell.agent_silent(&agent);
    let whole = Inventory { running: Vec::new(), ..world.inventory(&agent, MILLICORES) };
    world.cell.agent_linked(&agent, Inventory { is_partial: true, ..whole.clone() }, world.now);
    assert_eq!(world.cell.take_actions(), []);
    assert_eq!(world.cell.runs_on(&agent), [(task, run)]);
    world.cell.agent_linked(&agent, whole, world.now);
    assert!(matches!(&*world.cell.take_actions(), [Action::Stop { reason: "order_lost", .. }]));
}

/// A worker that is lost before it has listed its other ends keeps no task waiting.
#[test]
fn a_partial_inventory_is_forgotten_with_the_worker() {
    let mut world = World::with_workers(1, MILLICORES);
    let agent = name("agent-0");
    world.cell = successor(&world, 2, &[(JobId(1), Progress::default(), 0)]);
    let partial = Inventory { is_partial: true, ..world.inventory(&agent, MILLICORES) };
    world.cell.agent_linked(&agent, partial, world.now);
    world.cell.agent_silent(&agent);
    assert_eq!(world.cell.unresolved(), 1);
    world.advance_ms(60_000);
    world.cell.lapse_agents(Some(world.now), world.now);
    assert_eq!(world.cell.unresolved(), 0);
}

/// A lease that was meant for a former life of the worker outlasts those that the placer has granted.
#[test]
fn a_task_does_not_run_elsewhere_while_a_lease_of_a_former_life_may_last() {
    let mut world = World::with_workers(2, MILLICORES);
    let agent = name("agent-0");
    let foreign_lease = Some(Duration::from_secs(9));
    let whole = Inventory { foreign_lease, ..world.inventory(&agent, MILLICORES) };
    world.cell.agent_linked(&agent, whole, world.now);
    world.submit_plain(1, 20);
    world.place();
    let on_agent = world.all_running().iter().filter(|(name, ..)| *name == agent).count();
    assert!(on_agent > 0);
    world.cell.grant(&agent, world.now + LEASE, world.now);
    world.cell.agent_silent(&agent);
    world.advance_ms(8_900);
    world.cell.lapse_agents(Some(world.now), world.now);
    assert!(!world.cell.is_lapsed(&agent));
    world.advance_ms(200);
    world.cell.lapse_agents(Some(world.now), world.now);
    assert!(world.cell.is_lapsed(&agent));
}
