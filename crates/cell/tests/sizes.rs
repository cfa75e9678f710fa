//! Large tasks on workers of different size.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilledge_cell::cell::Inventory;
use chervilledge_cell::job::{JobId, Step};
use chervilledge_cell::worker::RunReport;
use rstest::rstest;
use support::{World, job, name, step, worker};

const SMALL_MILLICORES: u64 = 32_000;
const LARGE_MILLICORES: u64 = 48_000;

/// Of three workers, the last one is one and a half times as large as the others.
fn world(has_priorities: bool) -> World {
    let mut world = if has_priorities {
        World::with_priorities(2, SMALL_MILLICORES)
    } else {
        World::with_workers(2, SMALL_MILLICORES)
    };
    let large = name("agent-large");
    let inventory = Inventory { worker: Some(worker(&large, LARGE_MILLICORES)), ..Inventory::default() };
    world.cell.agent_linked(&large, inventory, world.now);
    world
}

fn filling(count: u32) -> Step {
    Step { filling: true, estimate: Duration::from_secs(10), ..step(count, 3_000) }
}

/// Runs of a job on each worker.
fn counts(world: &World, id: u64) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for (agent, _, _) in world.all_running().iter().filter(|(_, task, _)| task.job == JobId(id)) {
        *counts.entry(agent.to_string()).or_default() += 1;
    }
    counts
}

/// Places a wide step on workers of two sizes: each worker provides the same share of its processors, so that no task
/// is slow because of its worker. Without priorities, free cores decide.
#[rstest]
#[case::filling(true, filling(28), [8, 8, 12])]
#[case::short(true, Step { filling: false, ..filling(28) }, [8, 8, 12])]
#[case::without_priorities(false, filling(28), [8, 7, 13])]
fn a_wide_step_is_spread_in_proportion_to_size(
    #[case] has_priorities: bool,
    #[case] step: Step,
    #[case] expected: [usize; 3],
) {
    let mut world = world(has_priorities);
    world.submit(job(1, vec![step]));
    world.place();
    assert_eq!(counts(&world, 1).into_values().collect::<Vec<_>>(), expected);
}

/// Fails if only the present load decides: a worker whose runs are about to end has more capacity over a task's run
/// time than one that is emptier now and stays so.
#[rstest]
#[case::end_soon(95, "agent-large")]
#[case::have_begun(5, "agent-0")]
fn runs_that_are_about_to_end_count_as_room(#[case] percent: u32, #[case] expected: &str) {
    let mut world = world(true);
    world.submit(job(1, vec![filling(30)]));
    world.place();
    let mut kept = BTreeMap::from([("agent-0", 5), ("agent-1", 9), ("agent-large", 10)]);
    let mut reports = Vec::new();
    for (agent, task, run) in world.all_running() {
        let left = kept.get_mut(&*agent).expect("a known agent");
        if *left == 0 {
            world.end(&agent, task, run, chervilledge_cell::worker::EndKind::Done);
            continue;
        }
        *left -= 1;
        let percent = if &*agent == "agent-large" { percent } else { 5 };
        reports.push(RunReport { task, run, checkpoint: name(""), percent, measured: 0, pace_percent: 100 });
    }
    world.cell.runs_reported(&reports, world.now);
    world.submit(job(2, vec![filling(1)]));
    world.place();
    assert_eq!(counts(&world, 2), BTreeMap::from([(expected.to_owned(), 1)]));
}
