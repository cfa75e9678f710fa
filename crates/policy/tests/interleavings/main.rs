//! Interleavings of two entries, two agents and a store, with lost, delayed and reordered messages.

mod world;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use world::{Action, Coverage, World};

const WALKS: u64 = 3_000;
const WALK_STEPS: usize = 400;
const WALK_TICKS: u64 = 30;
/// Minimum number of walks that must reach each kind of event.
const COVERED_WALKS_MIN: usize = 20;
const SEARCH_TICKS: u64 = 7;
const SEARCH_STATES: usize = 12_000;

/// Weights of the actions in a random walk, chosen so that walks reach rare events.
type WeightFn = fn(&Action) -> u32;

/// Weights that cover every way in which a claim can end.
fn mixed(action: &Action) -> u32 {
    match action {
        Action::Cancel => 1,
        Action::AgentCompletes { .. } | Action::AgentRestarts { .. } | Action::Lose(_) => 10,
        Action::AgentEvicts { .. } | Action::Exclude { .. } => 30,
        Action::Deliver(_) | Action::Expire { .. } => 300,
        Action::Tick => 40,
        _ => 100,
    }
}

/// Weights with which claims end only because their leases end.
fn lapsing(action: &Action) -> u32 {
    match action {
        Action::Cancel
        | Action::AgentCompletes { .. }
        | Action::AgentEvicts { .. }
        | Action::SendFence { .. }
        | Action::TakeOver { .. } => 0,
        Action::AgentRestarts { .. } | Action::Lose(_) => 10,
        Action::Deliver(_) | Action::Claim { .. } => 300,
        Action::WorkerPolls { .. } | Action::Expire { .. } => 600,
        Action::Exclude { .. } | Action::Admit { .. } => 50,
        Action::Tick => 40,
        _ => 100,
    }
}

fn walk(seed: u64, weight_of: WeightFn) -> World {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut world = if seed.is_multiple_of(2) { World::open(WALK_TICKS) } else { running(WALK_TICKS) };
    let mut trace = Vec::new();
    for _ in 0..WALK_STEPS {
        let action = *world.actions().choose_weighted(&mut random, weight_of).expect("some action is always possible");
        world.step(action);
        trace.push(action);
        if let Some(violation) = world.violation() {
            panic!("seed {seed}: {violation} after {trace:#?}");
        }
    }
    world
}

#[test]
fn lapsing_walks_never_run_the_task_twice() {
    let restarted = (0..WALKS).filter(|seed| walk(*seed, lapsing).coverage().runs > 1).count();
    assert!(restarted >= COVERED_WALKS_MIN, "too few walks run the task again: {restarted}");
}

#[test]
fn random_walks_never_run_the_task_twice() {
    let coverages: Vec<Coverage> = (0..WALKS).map(|seed| walk(seed, mixed).coverage()).collect();
    let count = |select: fn(&&Coverage) -> bool| coverages.iter().filter(select).count();
    let counts = [
        count(|coverage| coverage.runs > 1),
        count(|coverage| coverage.is_done),
        count(|coverage| coverage.expirations > 0),
        count(|coverage| coverage.adoptions > 0),
        count(|coverage| coverage.expirations > 0 && coverage.runs > 1),
    ];
    assert!(counts.iter().all(|count| *count >= COVERED_WALKS_MIN), "too few walks reach an event: {counts:?}");
}

fn fingerprint(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{world:?}").hash(&mut hasher);
    hasher.finish()
}

/// Returns the initial state of the search, in which the task runs on one worker.
fn running(ticks_max: u64) -> World {
    let mut world = World::open(ticks_max);
    let (entry, agent) = (0, 0);
    for agent in 0..2 {
        world.step(Action::AgentRequestsRenewal { agent, entry });
        world.step(Action::Deliver(0));
        world.step(Action::Admit { entry, agent });
    }
    for action in [
        Action::RenewalWritten { entry },
        Action::RenewalAnswered { entry },
        Action::Deliver(0),
        Action::Deliver(0),
        Action::Claim { entry, agent },
        Action::SendStart { entry },
        Action::Deliver(0),
        Action::WorkerPolls { agent },
    ] {
        world.step(action);
    }
    assert_eq!(world.coverage().runs, 1);
    world
}

#[test]
fn breadth_first_search_never_runs_the_task_twice() {
    let mut seen = HashSet::from([fingerprint(&running(SEARCH_TICKS))]);
    let mut level = vec![running(SEARCH_TICKS)];
    while !level.is_empty() && seen.len() < SEARCH_STATES {
        let mut next = Vec::new();
        for world in &level {
            for action in world.actions() {
                let mut after = world.clone();
                after.step(action);
                assert_eq!(after.violation(), None, "{action:?} in {world:#?}");
                if seen.len() < SEARCH_STATES && seen.insert(fingerprint(&after)) {
                    next.push(after);
                }
            }
        }
        level = next;
    }
}

/// Actions by which the first entry grants the agent a renewal; `at` is the number of messages left undelivered.
fn renew(agent: usize, at: usize) -> [Action; 6] {
    let entry = 0;
    [
        Action::AgentRequestsRenewal { agent, entry },
        Action::Deliver(at),
        Action::Admit { entry, agent },
        Action::RenewalWritten { entry },
        Action::RenewalAnswered { entry },
        Action::Deliver(at),
    ]
}

/// Actions that assign the task to an agent with a grant and run it there.
fn run_on(agent: usize, at: usize) -> [Action; 4] {
    let entry = 0;
    [Action::Claim { entry, agent }, Action::SendStart { entry }, Action::Deliver(at), Action::WorkerPolls { agent }]
}

/// Actions that wait until the lease of the first worker has certainly ended, and expire the claim.
fn lapse() -> [Action; 6] {
    let (entry, agent) = (0, 0);
    [Action::Exclude { entry, agent }, Action::Tick, Action::Tick, Action::Tick, Action::Tick, Action::Expire { entry }]
}

/// Applies the actions and returns the number of runs started.
fn apply_all(world: &mut World, actions: &[Action]) -> usize {
    for action in actions {
        // Skip the delivery of a message that wasn't sent.
        if matches!(action, Action::Deliver(at) if *at >= world.message_count()) {
            continue;
        }
        world.step(*action);
        assert_eq!(world.violation(), None, "{action:?} in {world:#?}");
    }
    world.coverage().runs
}

#[test]
fn a_start_that_arrives_after_its_claim_expired_is_refused() {
    let mut world = World::open(SEARCH_TICKS);
    apply_all(&mut world, &renew(0, 0));
    apply_all(&mut world, &[Action::Claim { entry: 0, agent: 0 }, Action::SendStart { entry: 0 }]);
    apply_all(&mut world, &lapse());
    apply_all(&mut world, &renew(1, 1));
    assert_eq!(apply_all(&mut world, &run_on(1, 1)), 1);
    apply_all(&mut world, &renew(0, 1));
    assert_eq!(apply_all(&mut world, &[Action::Deliver(0), Action::WorkerPolls { agent: 0 }]), 1);
}

#[test]
fn a_restarted_agent_does_not_begin_an_epoch_that_may_have_ended() {
    let mut world = running(SEARCH_TICKS);
    let (entry, agent) = (0, 0);
    // The completion message is lost, and the restarted agent doesn't know of it.
    apply_all(&mut world, &[Action::AgentCompletes { agent }, Action::Lose(0), Action::AgentRestarts { agent }]);
    apply_all(&mut world, &renew(agent, 0));
    assert_eq!(apply_all(&mut world, &[Action::SendStart { entry }, Action::Deliver(0)]), 1);
}

#[test]
fn an_agent_that_comes_back_does_not_revive_an_expired_claim() {
    let mut world = running(SEARCH_TICKS);
    apply_all(&mut world, &lapse());
    apply_all(&mut world, &renew(1, 0));
    assert_eq!(apply_all(&mut world, &run_on(1, 0)), 2);
    apply_all(&mut world, &renew(0, 0));
    apply_all(&mut world, &[Action::WorkerPolls { agent: 0 }]);
}
