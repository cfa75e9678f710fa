//! Random sequences of ends, refusals, lost orders and lost workers: every task that is due waits or has a run.

mod support;

use std::sync::Arc;

use chervilledge_cell::cell::Action;
use chervilledge_cell::job::{JobId, Step};
use chervilledge_cell::worker::{EndKind, Refusal};
use chervilledge_policy::id::Name;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{WorkerRuns, World, job, step};

const AGENTS: usize = 3;
const MILLICORES: u64 = 4_000;
const SEEDS: u64 = 40;
const STEPS: u64 = 400;
const KINDS: [EndKind; 6] =
    [EndKind::Done, EndKind::Failed, EndKind::Stopped, EndKind::Lapsed, EndKind::Broken, EndKind::Alone];

fn random_steps(rng: &mut SmallRng) -> Vec<Step> {
    let first = Step {
        lasting: rng.random_bool(0.3),
        gang: rng.random_bool(0.3),
        speculative: rng.random_bool(0.3),
        checkpointing: rng.random_bool(0.5),
        ..step(rng.random_range(1..4), 500)
    };
    vec![first, Step { after: vec![0], ..step(2, 500) }]
}

/// Carries out the orders, or loses or refuses some of them.
fn carry_out(world: &mut World, rng: &mut SmallRng) {
    for action in world.cell.take_actions() {
        match (&action, rng.random_range(0..10)) {
            (_, 0) => {}
            (Action::Start { agent, order, .. }, 1) => {
                world.cell.run_refused(agent, order.task, order.run, Refusal::Late, world.now);
            }
            _ => world.carry_out(&action),
        }
    }
}

fn change(world: &mut World, rng: &mut SmallRng, number: u64) {
    let agents: Vec<Name> = world.workers.keys().cloned().collect();
    let agent = Arc::clone(&agents[rng.random_range(0..AGENTS)]);
    match rng.random_range(0..12) {
        0 => world.submit(job(number, random_steps(rng))),
        1 => world.cell.cancel(JobId(rng.random_range(0..=number)), world.now),
        2 => world.cell.agent_silent(&agent),
        3 => {
            let inventory = world.inventory(&agent, MILLICORES);
            world.cell.agent_linked(&agent, inventory, world.now);
        }
        4 if rng.random_bool(0.3) => {
            world.workers.insert(Arc::clone(&agent), WorkerRuns::default());
            world.cell.worker_gone(&agent, world.now);
        }
        5 => {
            world.advance_ms(rng.random_range(0..2_000));
            world.cell.watch_runs(world.now);
        }
        6 => world.cell.lapse_agents(Some(world.now), world.now),
        7..9 => world.cell.place(world.now),
        _ => {
            let kind = KINDS[rng.random_range(0..KINDS.len())];
            world.end_random(rng, kind);
        }
    }
}

/// A task that nothing starts again, though its job goes on, is lost.
#[rstest]
fn no_task_is_stranded(#[values(1, 2, 3, 4)] group: u64) {
    for seed in group * 100..group * 100 + SEEDS {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::with_workers(AGENTS, MILLICORES);
        for number in 0..STEPS {
            change(&mut world, &mut rng, number);
            assert_eq!(world.cell.stranded(), [], "seed {seed}, change {number}");
            carry_out(&mut world, &mut rng);
            assert_eq!(world.cell.stranded(), [], "seed {seed}, orders after change {number}");
        }
    }
}
