//! Series of events: drawn up front from a seed, so that a failing one can be shrunk and printed as a test case.

use std::fmt;
use std::time::Duration;

use chervilledge_cell::job::{Job, JobId, Step};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

use crate::support::{job, step};
use crate::world::World;
use crate::{AGENTS, FAULT_STEPS};

/// Events of a series at most.
const EVENTS_MAX: usize = 120;
/// Plays of a failing series while it is shrunk.
const SHRINK_PLAYS_MAX: u32 = 2_000;

/// Estimate of tasks that save their progress.
const LONG_ESTIMATE: Duration = Duration::from_millis(800);

/// What a caller, a fault or the operator does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A caller's job is stored.
    Submit(Kind),
    /// The newest placer can't reach the store.
    CutPlacer {
        for_ms: u64,
        is_cut_from_witness: bool,
    },
    /// Placers can't reach an agent.
    CutAgent {
        agent: usize,
        for_ms: u64,
        is_cut_from_newest_only: bool,
    },
    /// The agent's process restarts; its worker runs on.
    RestartAgent {
        agent: usize,
    },
    RestartWitness,
    /// A new placer claims the cell; the former ones don't know about it yet.
    TakeOver {
        is_released: bool,
        asks_witness: bool,
    },
}

/// Kind of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Two steps, in any order.
    Plain,
    /// A second step that waits for the first one.
    Chain,
    /// A gang that saves its progress.
    Gang { members: u32 },
    /// A task that saves its progress.
    Checkpointing,
}

impl Kind {
    pub fn job(self, id: JobId) -> Job {
        match self {
            Self::Plain => job(id.0, vec![step(2, 1_000), step(1, 1_000)]),
            Self::Chain => job(id.0, vec![step(2, 1_000), Step { after: vec![0], ..step(2, 1_000) }]),
            Self::Gang { members } => {
                let gang = Step { gang: true, checkpointing: true, estimate: LONG_ESTIMATE, ..step(members, 1_500) };
                job(id.0, vec![gang, Step { after: vec![0], ..step(1, 500) }])
            }
            Self::Checkpointing => {
                let saving = Step { checkpointing: true, estimate: LONG_ESTIMATE, ..step(2, 1_000) };
                job(id.0, vec![saving])
            }
        }
    }
}

/// Events with the numbers of the steps at which they happen; `seed` decides what no event names.
#[derive(Clone)]
pub struct Series {
    pub seed: u64,
    pub events: Vec<(u32, Event)>,
}

impl fmt::Debug for Series {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "Series {{ seed: {}, events: vec![", self.seed)?;
        let mut events = self.events.clone();
        events.sort_by_key(|(step, _)| *step);
        for event in events {
            writeln!(f, "    {event:?},")?;
        }
        f.write_str("] }")
    }
}

fn kind() -> impl Strategy<Value = Kind> {
    prop_oneof![
        4 => Just(Kind::Plain),
        2 => Just(Kind::Chain),
        2 => (2_u32..5).prop_map(|members| Kind::Gang { members }),
        2 => Just(Kind::Checkpointing),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    let agent = 0..AGENTS;
    let for_ms = 500_u64..30_000;
    prop_oneof![
        20 => kind().prop_map(Event::Submit),
        10 => (for_ms.clone(), any::<bool>())
            .prop_map(|(for_ms, is_cut_from_witness)| Event::CutPlacer { for_ms, is_cut_from_witness }),
        10 => (agent.clone(), for_ms, any::<bool>()).prop_map(|(agent, for_ms, is_cut_from_newest_only)| {
            Event::CutAgent { agent, for_ms, is_cut_from_newest_only }
        }),
        10 => agent.prop_map(|agent| Event::RestartAgent { agent }),
        10 => Just(Event::RestartWitness),
        4 => (prop::bool::weighted(0.2), prop::bool::weighted(0.7))
            .prop_map(|(is_released, asks_witness)| Event::TakeOver { is_released, asks_witness }),
    ]
}

fn events() -> impl Strategy<Value = Vec<(u32, Event)>> {
    vec((0..FAULT_STEPS, event()), 1..EVENTS_MAX)
}

/// Plays the series of a seed; fails with the shortest series that still fails.
pub fn play_seed(seed: u64) {
    let config =
        Config { cases: 1, failure_persistence: None, max_shrink_iters: SHRINK_PLAYS_MAX, ..Config::default() };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes));
    let played = runner.run(&events(), |events| World::play(&Series { seed, events }).map_err(TestCaseError::fail));
    match played {
        Ok(()) => {}
        Err(TestError::Fail(reason, events)) => panic!("seed {seed}: {reason}\n{:?}", Series { seed, events }),
        Err(error) => panic!("seed {seed}: {error}"),
    }
}

/// Time that an event names.
pub const fn milliseconds(for_ms: u64) -> Duration {
    Duration::from_millis(for_ms)
}
