//! Interleavings of two entries, two agents and a store with lost, late and reordered messages.

mod world;

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use world::{Action, Reach, World};

const WALKS: u64 = 3_000;
const WALK_STEPS: usize = 400;
const WALK_TICKS: u64 = 30;
/// Walks that must get to each kind of event.
const REACHED_MIN: usize = 20;
const SEARCH_TICKS: u64 = 7;
const SEARCH_STATES: usize = 12_000;

/// Weights with which actions are drawn, so that walks get far.
type Weigh = fn(&Action) -> u32;

/// Every kind of end of a claim.
fn mixed(action: &Action) -> u32 {
    match action {
        Action::Cancel => 1,
        Action::AgentCompletes { .. } | Action::AgentRestarts { .. } | Action::Lose(_) => 10,
        Action::AgentEvicts { .. } | Action::Bar { .. } => 30,
        Action::Deliver(_) | Action::Expire { .. } => 300,
        Action::Tick => 40,
        _ => 100,
    }
}

/// Claims that end only because leases do.
fn lapsing(action: &Action) -> u32 {
    match action {
        Action::Cancel
        | Action::AgentCompletes { .. }
        | Action::AgentEvicts { .. }
        | Action::SendFence { .. }
        | Action::Take { .. } => 0,
        Action::AgentRestarts { .. } | Action::Lose(_) => 10,
        Action::Deliver(_) | Action::Claim { .. } => 300,
        Action::WorkerPolls { .. } | Action::Expire { .. } => 600,
        Action::Bar { .. } | Action::Admit { .. } => 50,
        Action::Tick => 40,
        _ => 100,
    }
}

fn walk(seed: u64, weigh: Weigh) -> World {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut world = if seed.is_multiple_of(2) { World::open(WALK_TICKS) } else { running(WALK_TICKS) };
    let mut trace = Vec::new();
    for _ in 0..WALK_STEPS {
        let action = *world.actions().choose_weighted(&mut random, weigh).expect("something can always happen");
        world.step(action);
        trace.push(action);
        if let Some(fault) = world.fault() {
            panic!("seed {seed}: {fault} after {trace:#?}");
        }
    }
    world
}

#[test]
fn lapsing_walks_never_run_the_task_twice() {
    let restarted = (0..WALKS).filter(|seed| walk(*seed, lapsing).reach().runs > 1).count();
    assert!(restarted >= REACHED_MIN, "walks reach too little: {restarted}");
}

#[test]
fn random_walks_never_run_the_task_twice() {
    let reached: Vec<Reach> = (0..WALKS).map(|seed| walk(seed, mixed).reach()).collect();
    let count = |select: fn(&&Reach) -> bool| reached.iter().filter(select).count();
    let counts = [
        count(|reach| reach.runs > 1),
        count(|reach| reach.is_done),
        count(|reach| reach.expirations > 0),
        count(|reach| reach.adoptions > 0),
        count(|reach| reach.expirations > 0 && reach.runs > 1),
    ];
    assert!(counts.iter().all(|count| *count >= REACHED_MIN), "walks reach too little: {counts:?}");
}

fn fingerprint(world: &World) -> u64 {
    let mut hasher = DefaultHasher::new();
    format!("{world:?}").hash(&mut hasher);
    hasher.finish()
}

/// Runs the task on one worker, as the state from which the search starts.
fn running(ticks_max: u64) -> World {
    let mut world = World::open(ticks_max);
    let (entry, agent) = (0, 0);
    for agent in 0..2 {
        world.step(Action::AgentAsks { agent, entry });
        world.step(Action::Deliver(0));
        world.step(Action::Admit { entry, agent });
    }
    for action in [
        Action::RenewalLands { entry },
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
    assert_eq!(world.reach().runs, 1);
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
                assert_eq!(after.fault(), None, "{action:?} in {world:#?}");
                if seen.len() < SEARCH_STATES && seen.insert(fingerprint(&after)) {
                    next.push(after);
                }
            }
        }
        level = next;
    }
}

/// Gives the agent a grant by the first entry; `at` is the number of messages that stay undelivered.
fn renew(agent: usize, at: usize) -> [Action; 6] {
    let entry = 0;
    [
        Action::AgentAsks { agent, entry },
        Action::Deliver(at),
        Action::Admit { entry, agent },
        Action::RenewalLands { entry },
        Action::RenewalAnswered { entry },
        Action::Deliver(at),
    ]
}

/// Gives the task to an agent that has a grant, and runs it there.
fn run_on(agent: usize, at: usize) -> [Action; 4] {
    let entry = 0;
    [Action::Claim { entry, agent }, Action::SendStart { entry }, Action::Deliver(at), Action::WorkerPolls { agent }]
}

/// Waits until the claim on the first worker has surely ended, and ends it.
fn lapse() -> [Action; 6] {
    let (entry, agent) = (0, 0);
    [Action::Bar { entry, agent }, Action::Tick, Action::Tick, Action::Tick, Action::Tick, Action::Expire { entry }]
}

/// Takes the steps and gives the number of runs begun.
fn play(world: &mut World, actions: &[Action]) -> usize {
    for action in actions {
        // A message that was never sent can't be delivered.
        if matches!(action, Action::Deliver(at) if *at >= world.message_count()) {
            continue;
        }
        world.step(*action);
        assert_eq!(world.fault(), None, "{action:?} in {world:#?}");
    }
    world.reach().runs
}

#[test]
fn a_start_that_arrives_after_its_claim_expired_is_refused() {
    let mut world = World::open(SEARCH_TICKS);
    play(&mut world, &renew(0, 0));
    play(&mut world, &[Action::Claim { entry: 0, agent: 0 }, Action::SendStart { entry: 0 }]);
    play(&mut world, &lapse());
    play(&mut world, &renew(1, 1));
    assert_eq!(play(&mut world, &run_on(1, 1)), 1);
    play(&mut world, &renew(0, 1));
    assert_eq!(play(&mut world, &[Action::Deliver(0), Action::WorkerPolls { agent: 0 }]), 1);
}

#[test]
fn a_restarted_agent_does_not_begin_an_epoch_that_may_have_ended() {
    let mut world = running(SEARCH_TICKS);
    let (entry, agent) = (0, 0);
    // The completion is lost, and with the agent the memory of it.
    play(&mut world, &[Action::AgentCompletes { agent }, Action::Lose(0), Action::AgentRestarts { agent }]);
    play(&mut world, &renew(agent, 0));
    assert_eq!(play(&mut world, &[Action::SendStart { entry }, Action::Deliver(0)]), 1);
}

#[test]
fn an_agent_that_comes_back_does_not_revive_an_expired_claim() {
    let mut world = running(SEARCH_TICKS);
    play(&mut world, &lapse());
    play(&mut world, &renew(1, 0));
    assert_eq!(play(&mut world, &run_on(1, 0)), 2);
    play(&mut world, &renew(0, 0));
    play(&mut world, &[Action::WorkerPolls { agent: 0 }]);
}
