//! Series of events: drawn up front from a seed, so that a failing one can be shrunk and printed as a test case.

use std::fmt;
use std::time::Duration;

use chervilledge_cell::job::{Job, JobId, Schedule, Step};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

use crate::support::{job, step};
use crate::world::World;
use crate::{AGENTS, FAULT_STEPS};

/// Wall clock at the time 0.
const UNIX_START_MS: u64 = 1_800_000_000_000;
/// Capacities of workers; the smallest ones have room for a gang together.
const MILLICORES_MIN: u64 = 3_000;
const MILLICORES_MAX: u64 = 6_000;
/// Submissions and cancellations of a series.
const SUBMISSIONS_MAX: usize = 40;
/// Clusters of faults of a series.
const CLUSTERS_MAX: usize = 8;
/// Faults of a cluster, and the steps within which they begin.
const CLUSTER_FAULTS_MAX: usize = 8;
const CLUSTER_STEPS: u32 = 100;
/// Identifiers of jobs; with few of them, some are submitted again or cancelled.
const JOBS_MAX: u64 = 100;
/// Plays of a failing series while it is shrunk.
const SHRINK_PLAYS_MAX: u32 = 2_000;

/// Estimate of tasks that save their progress.
const LONG_ESTIMATE: Duration = Duration::from_millis(800);

/// Time from the submission to the first occurrence of a schedule, and between two occurrences.
const SCHEDULE_DELAY: Duration = Duration::from_secs(1);
const SCHEDULE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Longest time for which a machine is off.
const OFF_MAX_MS: u64 = 20_000;

/// What a caller, a fault or the operator does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A caller's job is stored.
    Submit {
        job: u64,
        kind: Kind,
    },
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
    /// A worker crashes; its agent notices it.
    CrashWorker {
        agent: usize,
        for_ms: u64,
    },
    /// SIGTERM for an agent, whose machine is off for some time afterwards.
    StopAgent {
        agent: usize,
        off_for_ms: u64,
    },
    /// A machine with an agent and its worker is off for some time.
    LoseMachine {
        agent: usize,
        off_for_ms: u64,
    },
    /// A worker reports another capacity.
    ResizeWorker {
        agent: usize,
        millicores: u64,
    },
    /// A caller cancels one of the jobs.
    Cancel {
        job: u64,
    },
    /// A new placer claims the cell; the former ones don't know about it yet.
    TakeOver {
        former_cut_ms: u64,
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
    /// Tasks that run until the job is cancelled.
    Lasting,
    /// Three occurrences, the first of them due a while after the job was stored.
    Scheduled,
}

impl Kind {
    pub fn job(self, id: JobId, now: Duration) -> Job {
        match self {
            Self::Plain => job(id.0, vec![step(2, 1_000), step(1, 1_000)]),
            Self::Chain => job(id.0, vec![step(2, 1_000), Step { after: vec![0], ..step(2, 1_000) }]),
            Self::Gang { members } => {
                let gang = Step { gang: true, checkpointing: true, estimate: LONG_ESTIMATE, ..step(members, 1_500) };
                job(id.0, vec![gang, Step { after: vec![0], ..step(1, 500) }])
            }
            Self::Scheduled => {
                let first_unix_ms = unix_ms(now + SCHEDULE_DELAY);
                let schedule = Schedule { first_unix_ms, interval: SCHEDULE_INTERVAL, occurrences: 3 };
                Job {
                    schedule: Some(schedule),
                    ..job(id.0, vec![step(2, 500), Step { after: vec![0], ..step(1, 500) }])
                }
            }
            Self::Lasting => job(id.0, vec![Step { lasting: true, ..step(2, 400) }]),
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
        let Self { seed, .. } = self;
        writeln!(f, "Series {{ seed: {seed}, events: vec![")?;
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
        2 => Just(Kind::Lasting),
        2 => Just(Kind::Scheduled),
    ]
}

fn submission() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..JOBS_MAX, kind()).prop_map(|(job, kind)| Event::Submit { job, kind }),
        1 => (0..JOBS_MAX).prop_map(|job| Event::Cancel { job }),
    ]
}

fn fault() -> impl Strategy<Value = Event> {
    let agent = 0..AGENTS;
    let for_ms = 500_u64..30_000;
    let off_for_ms = 500_u64..OFF_MAX_MS;
    prop_oneof![
        5 => (for_ms.clone(), any::<bool>())
            .prop_map(|(for_ms, is_cut_from_witness)| Event::CutPlacer { for_ms, is_cut_from_witness }),
        5 => (agent.clone(), for_ms, any::<bool>()).prop_map(|(agent, for_ms, is_cut_from_newest_only)| {
            Event::CutAgent { agent, for_ms, is_cut_from_newest_only }
        }),
        3 => Just(Event::RestartWitness),
        4 => agent.clone().prop_map(|agent| Event::RestartAgent { agent }),
        4 => (agent.clone(), 100_u64..3_000).prop_map(|(agent, for_ms)| Event::CrashWorker { agent, for_ms }),
        4 => (agent.clone(), off_for_ms.clone())
            .prop_map(|(agent, off_for_ms)| Event::StopAgent { agent, off_for_ms }),
        4 => (agent.clone(), MILLICORES_MIN..MILLICORES_MAX)
            .prop_map(|(agent, millicores)| Event::ResizeWorker { agent, millicores }),
        4 => (agent, off_for_ms).prop_map(|(agent, off_for_ms)| Event::LoseMachine { agent, off_for_ms }),
        6 => (0_u64..15_000, prop::bool::weighted(0.2), prop::bool::weighted(0.7)).prop_map(
            |(former_cut_ms, is_released, asks_witness)| Event::TakeOver { former_cut_ms, is_released, asks_witness }
        ),
    ]
}

/// Submissions at any time, and faults in clusters, with calm between some of them.
fn events() -> impl Strategy<Value = Vec<(u32, Event)>> {
    let submissions = vec((0..FAULT_STEPS, submission()).no_shrink(), 1..SUBMISSIONS_MAX);
    let cluster = ((0..FAULT_STEPS).no_shrink(), vec((0..CLUSTER_STEPS, fault()).no_shrink(), 1..CLUSTER_FAULTS_MAX));
    let clusters = vec(cluster, 0..CLUSTERS_MAX);
    (submissions, clusters).prop_map(|(mut events, clusters)| {
        for (first_step, faults) in clusters {
            events.extend(faults.into_iter().map(|(step, fault)| (first_step + step, fault)));
        }
        events
    })
}

/// Series of a seed and of events that were drawn.
const fn drawn(seed: u64, events: Vec<(u32, Event)>) -> Series {
    Series { seed, events }
}

/// Plays the series of a seed; fails with the shortest series that still fails.
pub fn play_seed(seed: u64) {
    let config =
        Config { cases: 1, failure_persistence: None, max_shrink_iters: SHRINK_PLAYS_MAX, ..Config::default() };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let mut runner = TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes));
    let played = runner.run(&events(), |events| World::play(&drawn(seed, events)).map_err(TestCaseError::fail));
    match played {
        Ok(()) => {}
        Err(TestError::Fail(reason, events)) => panic!("seed {seed}: {reason}\n{:?}", drawn(seed, events)),
        Err(error) => panic!("seed {seed}: {error}"),
    }
}

/// Wall clock of a machine that is right, in milliseconds since 1970.
pub fn unix_ms(now: Duration) -> u64 {
    UNIX_START_MS + u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}

/// Time that an event names.
pub const fn milliseconds(for_ms: u64) -> Duration {
    Duration::from_millis(for_ms)
}
