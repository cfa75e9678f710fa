//! Tasks that start again and again without progress.

mod support;

use chervilledge_cell::cell::{Note, RestartCounts};
use chervilledge_cell::job::{Step, TaskId};
use chervilledge_cell::worker::{EndKind, Refusal, RunReport};
use rstest::rstest;
use support::{World, job, name, step};

const MILLICORES: u64 = 4_000;

/// How the only run of a world ends.
#[derive(Clone, Copy)]
enum Over {
    Ended(EndKind),
    Refused,
    WorkerGone,
}

fn world(step: Step) -> World {
    let mut world = World::with_workers(1, MILLICORES);
    world.submit(job(1, vec![step]));
    world
}

/// Starts the task and ends its run without progress, `times` times.
fn restart(world: &mut World, over: Over, times: u32) -> TaskId {
    let mut started = None;
    for _ in 0..times {
        world.advance_ms(1_000);
        world.place();
        let (agent, task, run) = world.all_running().pop().expect("a run");
        started = Some(task);
        match over {
            Over::Ended(kind) => world.end(&agent, task, run, kind),
            Over::Refused => world.cell.run_refused(&agent, task, run, Refusal::Room, world.now),
            Over::WorkerGone => {
                world.cell.worker_gone(&agent, world.now);
                world.cell.worker_seen(&agent, support::worker(&agent, MILLICORES), world.now);
            }
        }
        world.workers.get_mut(&agent).expect("a worker").running.clear();
    }
    started.expect("a start")
}

/// Reports of the present pass: starts and how the last run ended.
fn reports(world: &mut World) -> Vec<(u32, &'static str)> {
    world.cell.take_notes();
    world.cell.watch_restarts(world.now);
    let report = |note| if let Note::TaskRestarts { starts, how, .. } = note { Some((starts, how)) } else { None };
    world.cell.take_notes().into_iter().filter_map(report).collect()
}

/// A job whose runs end again and again without progress looked like one that is at work (`review/4`).
#[rstest]
#[case::alone(Over::Ended(EndKind::Alone), "alone")]
#[case::broken(Over::Ended(EndKind::Broken), "broken")]
#[case::stopped(Over::Ended(EndKind::Stopped), "stopped")]
#[case::lapsed(Over::Ended(EndKind::Lapsed), "lapsed")]
#[case::refused(Over::Refused, "refused")]
#[case::worker_gone(Over::WorkerGone, "worker_gone")]
fn a_task_that_starts_in_vain_is_not_reported(#[case] over: Over, #[case] how: &'static str) {
    let mut world = world(step(1, MILLICORES));
    restart(&mut world, over, 4);
    assert_eq!(reports(&mut world), []);
    let task = restart(&mut world, over, 1);
    assert_eq!(reports(&mut world), [(5, how)]);
    assert_eq!(world.cell.restart_counts(), RestartCounts { tasks: 1, jobs: 1 });
    let listed = world.cell.restarting_tasks();
    assert_eq!(listed.iter().map(|known| (known.task, known.starts, known.how)).collect::<Vec<_>>(), [(task, 5, how)]);
}

/// Each restart of a large step would be logged.
#[test]
fn a_job_is_reported_before_its_starts_have_doubled() {
    let mut world = world(step(1, MILLICORES));
    let mut reported = Vec::new();
    for _ in 0..21 {
        restart(&mut world, Over::Ended(EndKind::Alone), 1);
        reported.extend(reports(&mut world));
    }
    assert_eq!(reported, [(5, "alone"), (10, "alone"), (20, "alone")]);
}

/// A task that gets on, however slowly, or a lasting one that was at work, would be reported.
#[rstest]
#[case::checkpoint(Step { checkpointing: true, ..step(1, MILLICORES) }, "saved")]
#[case::lasting_at_work(Step { lasting: true, ..step(1, MILLICORES) }, "")]
fn a_task_with_progress_is_reported(#[case] step: Step, #[case] checkpoint: &str) {
    let mut world = world(step);
    restart(&mut world, Over::Ended(EndKind::Lapsed), 5);
    world.advance_ms(1_000);
    world.place();
    let (_, task, run) = world.all_running().pop().expect("a run");
    let checkpoint = name(checkpoint);
    let report = RunReport { task, run, checkpoint, percent: 100, measured: 0, pace_percent: 100 };
    world.cell.runs_reported(&[report], world.now);
    assert_eq!(reports(&mut world), []);
    assert_eq!(world.cell.restart_counts(), RestartCounts::default());
    restart(&mut world, Over::Ended(EndKind::Lapsed), 4);
    assert_eq!(reports(&mut world), []);
}
