//! Reports of lasting tasks that don't run name what the tasks wait for.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::{Cell, LastingWaits, Note, RuledOut, Suitability, WaitReason};
use chervilledge_cell::evacuation::{EvacuatedDomains, Standing};
use chervilledge_cell::job::{Job, JobId, Step, TaskId, TaskKey};
use chervilledge_cell::progress::Progress;
use chervilledge_cell::worker::{CrashReport, CrashedRun, EndKind, Life, Refusal, RunReport, Worker};
use rstest::rstest;
use support::{LEASE, World, configuration, job, name, step, worker};

const MILLICORES: u64 = 16_000;
const INTERVAL_MS: u64 = 300;

fn lasting_step(count: u32, millicores: u64) -> Step {
    Step { lasting: true, ..step(count, millicores) }
}

fn lasting_job(id: u64) -> Job {
    job(id, vec![lasting_step(2, 1_000)])
}

/// Lets time pass without placement, and returns the reports.
fn watch(world: &mut World, milliseconds: u64) -> Vec<Note> {
    let is_report = |note: &Note| matches!(note, Note::LastingTasksWaiting { .. } | Note::LastingTasksRunning { .. });
    for _ in 0..=milliseconds / INTERVAL_MS {
        world.cell.watch_lasting(true, world.now);
        world.advance_ms(INTERVAL_MS);
    }
    world.cell.take_notes().into_iter().filter(is_report).collect()
}

fn reasons(notes: &[Note]) -> Vec<(WaitReason, usize)> {
    let reason = |note: &Note| match note {
        Note::LastingTasksWaiting { reason, tasks, .. } => Some((*reason, *tasks)),
        _ => None,
    };
    notes.iter().filter_map(reason).collect()
}

fn report_work(world: &mut World) {
    for (_, task, run) in world.all_running() {
        let report = RunReport { task, run, checkpoint: name(""), percent: 100, measured: 0, pace_percent: 100 };
        world.cell.runs_reported(&[report], world.now);
    }
}

#[test]
fn a_successor_tells_a_wait_for_unheard_agents_from_a_lack_of_capacity() {
    let mut world = World::with_workers(2, MILLICORES);
    world.cell = Cell::new(2, LEASE);
    world.cell.configure(Arc::new(configuration()));
    for agent in world.workers.keys() {
        world.cell.agent_known(agent, true, world.now);
    }
    world.cell.load(lasting_job(1), Progress::default(), 5, Duration::ZERO, world.now);
    let inventory = world.inventory(&name("agent-0"), MILLICORES);
    world.cell.agent_linked(&name("agent-0"), inventory, world.now);
    world.place();
    let notes = watch(&mut world, 2_400);
    let [Note::LastingTasksWaiting { reason: WaitReason::AgentsUnheard, tasks: 2, workers, .. }] = &*notes else {
        panic!("{notes:?}")
    };
    assert_eq!(*workers, BTreeMap::from([(Suitability::HasCapacity, 1), (Suitability::Unheard, 1)]));
}

fn evacuated() -> EvacuatedDomains {
    let mut domains = EvacuatedDomains::default();
    domains.note(&name("hobart"), Standing { revision: 1, is_requested: true });
    domains
}

fn seen(world: &mut World, change: impl Fn(&mut Worker)) {
    let mut changed = worker(&name("agent-0"), MILLICORES);
    change(&mut changed);
    world.cell.worker_seen(&name("agent-0"), changed, world.now);
}

fn eject(world: &mut World) {
    let absent = TaskId { job: JobId(9), key: TaskKey { occurrence: 0, step: 0, index: 0 } };
    world.advance_ms(2_000);
    (0..3).for_each(|_| world.cell.run_refused(&name("agent-0"), absent, 1, Refusal::Unhealthy, world.now));
    world.advance_ms(400);
}

#[rstest]
#[case::full(|_: &mut World| (), lasting_step(2, MILLICORES + 1), Suitability::NoCapacity)]
#[case::service(|w: &mut World| seen(w, |worker| worker.service = name("other")), lasting_step(2, 1), Suitability::OtherService)]
#[case::leaving(|w: &mut World| seen(w, |worker| worker.leaves_in = Some(LEASE)), lasting_step(2, 1), Suitability::Leaving)]
#[case::evacuated(|w: &mut World| w.cell.evacuate(&evacuated(), w.now), lasting_step(2, 1), Suitability::Evacuated)]
#[case::not_linked(|w: &mut World| w.cell.agent_silent(&name("agent-0")), lasting_step(2, 1), Suitability::NotLinked)]
#[case::label(|_: &mut World| (), Step { required_label: Some(name("gpu")), ..lasting_step(2, 1) }, Suitability::NoLabel)]
#[case::spread(|_: &mut World| (), Step { per_worker_max: Some(0), ..lasting_step(2, 1) }, Suitability::PerWorkerMax)]
#[case::ejected(eject, lasting_step(2, 1), Suitability::Ejected)]
fn workers_without_capacity_are_counted_by_what_rules_them_out(
    #[case] prepare: impl Fn(&mut World),
    #[case] step: Step,
    #[case] expected: Suitability,
) {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(job(1, vec![step]));
    if expected == Suitability::Ejected {
        watch(&mut world, 0);
    }
    prepare(&mut world);
    let notes = watch(&mut world, 2_400);
    let [Note::LastingTasksWaiting { reason, tasks: 2, workers, .. }] = &*notes else { panic!("{notes:?}") };
    assert_eq!((*reason, workers.clone()), (WaitReason::NoCapacity, BTreeMap::from([(expected, 1)])));
}

#[test]
fn a_task_that_no_pass_has_placed_beside_capacity_is_told_apart() {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(lasting_job(1));
    assert_eq!(reasons(&watch(&mut world, 2_400)), [(WaitReason::NotPlaced, 2)]);
}

/// The placer counts on a run that the worker may not have.
#[rstest]
#[case::start(WaitReason::StartUnconfirmed)]
#[case::idle(WaitReason::RunIdle)]
#[case::stop(WaitReason::StopUnconfirmed)]
#[case::silent(WaitReason::AgentSilent)]
fn runs_that_are_not_known_to_work_are_reported(#[case] expected: WaitReason) {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(lasting_job(1));
    if expected == WaitReason::StartUnconfirmed {
        world.cell.place(world.now);
    } else {
        world.place();
    }
    if matches!(expected, WaitReason::StopUnconfirmed | WaitReason::AgentSilent) {
        report_work(&mut world);
    }
    match expected {
        WaitReason::StopUnconfirmed => seen(&mut world, |worker| worker.leaves_in = Some(LEASE)),
        WaitReason::AgentSilent => world.cell.agent_silent(&name("agent-0")),
        _ => {}
    }
    let notes = watch(&mut world, 2_400);
    let [Note::LastingTasksWaiting { reason, tasks: 2, run: Some((agent, 1)), .. }] = &*notes else {
        panic!("{notes:?}")
    };
    assert_eq!((*reason, &**agent), (expected, "agent-0"));
}

#[test]
fn a_task_that_fails_again_and_again_is_reported_as_backing_off() {
    let mut world = World::with_workers(16, MILLICORES);
    world.submit(job(1, vec![lasting_step(1, 1_000)]));
    let mut notes = Vec::new();
    while world.now < Duration::from_secs(103) {
        world.place();
        for (agent, task, run) in world.all_running() {
            world.end(&agent, task, run, EndKind::Failed);
        }
        notes.extend(watch(&mut world, 0));
    }
    let [Note::LastingTasksWaiting { reason: WaitReason::BackingOff, failures, .. }] = &*notes else {
        panic!("{notes:?}")
    };
    assert!(*failures >= 3, "{failures}");
}

#[test]
fn a_paused_placer_is_named_as_the_reason() {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(lasting_job(1));
    world.cell.watch_lasting(false, world.now);
    world.advance_ms(2_000);
    world.cell.watch_lasting(false, world.now);
    assert_eq!(reasons(&world.cell.take_notes()), [(WaitReason::PlacementPaused, 2)]);
}

#[test]
fn many_waiting_tasks_write_few_lines() {
    let mut world = World::with_workers(1, 1);
    world.submit(job(1, vec![lasting_step(10_000, 1_000)]));
    assert_eq!(reasons(&watch(&mut world, 6_600)), [(WaitReason::NoCapacity, 10_000)]);
    assert_eq!(reasons(&watch(&mut world, 600)), [(WaitReason::NoCapacity, 10_000)], "repeated while it lasts");
    (2..102).for_each(|id| world.submit(lasting_job(id)));
    watch(&mut world, 1_800);
    assert_eq!(watch(&mut world, 0).len(), 16, "a limit for one pass");
    assert_eq!(watch(&mut world, 1_800).len(), 84, "the other jobs follow");
}

#[test]
fn tasks_that_run_again_are_reported_once_with_their_longest_wait() {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(lasting_job(1));
    watch(&mut world, 4_500);
    let waits = world.cell.lasting_waits();
    assert_eq!(waits, LastingWaits { tasks: 2, longest: Duration::from_millis(4_500) });
    world.place();
    report_work(&mut world);
    let notes = watch(&mut world, 9_000);
    let [Note::LastingTasksRunning { tasks: 2, waited, .. }] = &*notes else { panic!("{notes:?}") };
    assert_eq!(*waited, Duration::from_millis(4_500));
    assert_eq!(world.cell.lasting_waits(), LastingWaits::default());
}

/// Starts a run on the only worker, as whose task's second in a crash makes it suspect.
fn start_suspect(world: &mut World) {
    let task = TaskId { job: JobId(9), key: TaskKey { occurrence: 0, step: 0, index: 0 } };
    world.submit(job(9, vec![step(1, 1)]));
    let crashed = CrashedRun { task, run: 50, age: Duration::from_millis(10), is_unconfirmed: false };
    let former_life = Life { worker: name("other"), born_unix_ms: 1 };
    let report = CrashReport { life: former_life, runs: vec![crashed] };
    world.cell.worker_crashed(&name("agent-0"), &report, world.now);
    // The start isn't confirmed.
    world.cell.place(world.now);
}

#[rstest]
#[case::ejected(eject, Suitability::Ejected, MILLICORES)]
#[case::suspect(start_suspect, Suitability::SuspectStarting, MILLICORES - 1)]
#[case::not_linked(|w: &mut World| w.cell.agent_silent(&name("agent-0")), Suitability::NotLinked, MILLICORES)]
fn room_on_a_worker_that_is_ruled_out_is_not_told(
    #[case] prepare: impl Fn(&mut World),
    #[case] reason: Suitability,
    #[case] free_millicores: u64,
) {
    let mut world = World::with_workers(1, MILLICORES);
    if reason == Suitability::Ejected {
        world.submit(lasting_job(1));
        watch(&mut world, 0);
        prepare(&mut world);
    } else {
        prepare(&mut world);
        world.submit(lasting_job(1));
    }
    let notes = watch(&mut world, 2_400);
    let capacity = notes.iter().find_map(|note| match note {
        Note::LastingTasksWaiting { capacity, .. } => capacity.as_ref(),
        _ => None,
    });
    let expected = RuledOut { workers: 1, roomiest: name("agent-0"), free_millicores };
    assert_eq!(capacity.map(|capacity| &capacity.ruled_out), Some(&BTreeMap::from([(reason, expected)])), "{notes:?}");
}

#[test]
fn a_lack_of_capacity_is_told_with_the_need_and_what_was_started_meanwhile() {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(job(1, vec![lasting_step(1, 12_000)]));
    world.place();
    world.submit(job(2, vec![lasting_step(1, 8_000)]));
    watch(&mut world, 0);
    world.submit(job(3, vec![step(3, 1_000)]));
    world.place();
    let notes = watch(&mut world, 2_400);
    let [.., Note::LastingTasksWaiting { capacity: Some(capacity), .. }] = &*notes else { panic!("{notes:?}") };
    let (agent, free) = capacity.roomiest.as_ref().expect("an open worker");
    assert_eq!((&**agent, free.processor_millicores), ("agent-0", 1_000));
    assert_eq!(capacity.need.processor_millicores, 8_000);
    assert_eq!((capacity.starts_meanwhile, capacity.started_millicores), (3, 3_000));
}
