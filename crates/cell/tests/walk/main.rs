//! Random sequences of takeovers, disconnections, restarts and outages: no task runs twice, none is stranded, and no
//! accepted job is lost.
//!
//! Placers, agents, workers and the store are modelled; every decision is made by the cell's own code. The test fails
//! without any one of these safeguards: the wait for agents that haven't answered, the wait for a silent agent's
//! lease, the bound on leases from the last renewal, the witness's promise and its first answer after a restart, the end
//! of the authority, the order of writing and settling.

mod agent;
mod placer;
mod store;
#[path = "../support/mod.rs"]
mod support;
mod world;

use std::time::Duration;

use chervilledge_cell::job::{Job, JobId, JobState};
use rstest::rstest;
use support::{job, step};
use world::World;

const STEP: Duration = Duration::from_millis(50);
const AGENTS: usize = 3;
const JOBS: u64 = 12;
const MILLICORES: u64 = 4_000;
/// Time that a worker takes to stop a run.
const STOP_TIME: Duration = Duration::from_millis(400);
/// Time with faults, and then time without, in which everything has to end.
const FAULT_PERIOD: Duration = Duration::from_mins(1);
const RECOVERY_PERIOD: Duration = Duration::from_mins(1);

fn content(id: JobId) -> Job {
    job(id.0, vec![step(2, 1_000), step(1, 1_000)])
}

#[rstest]
fn nothing_runs_twice_and_all_jobs_end(#[values(1, 2, 3, 4, 5, 6, 7, 8)] group: u64) {
    for seed in group * 100..group * 100 + 25 {
        let mut world = World::new(seed);
        let recovery = world.now + FAULT_PERIOD;
        while world.now < recovery {
            world.step();
        }
        world.is_recovering = true;
        let end = world.now + RECOVERY_PERIOD;
        while world.now < end {
            world.step();
        }
        let placer = world.placers.last().expect("a placer is left");
        for id in 0..JOBS {
            assert_eq!(placer.cell.state(JobId(id)), Some(JobState::Completed), "seed {seed}: job {id}");
        }
    }
}
