//! Time and calls of a takeover with many ends that wait on workers, and bytes written for an end, measured by hand:
//!
//!     cargo test -p chervilledge-scheduler --test takeover_size -- --ignored --nocapture --test-threads 1

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chervilledge_cell::job::{Job, JobId, JobState, Step, TaskId, TaskKey};
use chervilledge_cell::progress::Progress;
use chervilledge_cell::worker::{End, EndKind, Life};
use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;
use chervilledge_scheduler::placer::{self, Context, Message};
use chervilledge_scheduler::roster::Roster;
use chervilledge_scheduler::rows::{self, PLACER_KEY};
use chervilledge_scheduler::store::Table;
use chervilledge_scheduler::{clock, metrics, progress_rows};
use ractor::ActorRef;
use rstest::rstest;
use support::agent::{RunningAgent, spawn_named};
use support::{Fault, MemoryStore, configuration_of, job};
use tokio::sync::watch;

const AGENTS: usize = 20;
const ENDS: u32 = 100_000;
/// Time after which the measurement is given up.
const WAIT_LIMIT: Duration = Duration::from_mins(5);

fn placer_row() -> rows::Placer {
    rows::Placer { term: 2, holder: Some(Arc::from("entry-1")), address: SocketAddr::from(([127, 0, 0, 1], 1)) }
}

fn context(store: &MemoryStore, agents: &[(Name, SocketAddr)]) -> Context {
    let revision = store.revision(Table::Cell, PLACER_KEY);
    let agents = agents.iter().cloned().collect();
    let roster = Roster { placer: Some((placer_row(), revision)), agents, ..Roster::default() };
    let clock = clock::system();
    Context {
        name: Arc::from("entry-1"),
        claimed: clock.now(),
        operator_rows_read: watch::channel(clock.now()).1,
        clock,
        store: store.store(),
        roster: watch::channel(Some(Arc::new(roster))).1,
        configuration: watch::channel(Some(configuration_of(&job(1)))).1,
        evacuated: watch::channel(Arc::default()).1,
        evacuation_apply: None,
        term: 2,
        revision,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        predecessor: Some(rows::Placer { term: 1, holder: None, ..placer_row() }),
        is_predecessor_alone: true,
        former_witnesses: None,
        former_renewed: Duration::ZERO,
        handed_over_leases: Map::default(),
        lease: Duration::from_secs(5),
        cancellation_apply: Duration::from_secs(3),
        metrics: metrics::open(),
        ended_jobs_kept: Duration::from_mins(2),
    }
}

async fn agents_with_ends(tasks_per_job: u32) -> Vec<(Name, RunningAgent)> {
    let mut agents = Vec::new();
    for number in 0..AGENTS {
        let name = Name::from(format!("agent-{number}"));
        let agent = spawn_named(&name, MemoryStore::with_fault(Fault::None)).await;
        let own = (0..ENDS).filter(|task| *task as usize % AGENTS == number);
        let end = |(number, task): (u64, u32)| {
            let key = TaskKey { occurrence: 0, step: 0, index: task % tasks_per_job };
            let task = TaskId { job: JobId(u64::from(task / tasks_per_job) + 1), key };
            End { number, task, run: 1, kind: EndKind::Done, checkpoint: Arc::from("") }
        };
        let ends = (1..).zip(own).map(end).collect();
        agent.worker.change(|script| script.paged_ends = ends);
        agent.report(Life { worker: Name::from(format!("worker-{number}")), born_unix_ms: 7 });
        agents.push((name, agent));
    }
    agents
}

async fn is_completed(placer: &ActorRef<Message>, id: u64) -> bool {
    ractor::call_t!(placer, Message::State, 500, JobId(id)).ok().flatten() == Some(JobState::Completed)
}

#[rstest]
#[case::large_jobs(10, 10_000)]
#[case::small_jobs(4_000, 25)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
#[ignore = "a measurement, by hand"]
async fn takeover_with_100_000_ends(#[case] jobs: u64, #[case] tasks_per_job: u32) {
    let store = MemoryStore::with_fault(Fault::None);
    store.write(Table::Cell, PLACER_KEY, Some(rows::encode(&placer_row())));
    for id in 1..=jobs {
        let content = Job { steps: vec![Step { count: tasks_per_job, ..Step::default() }], ..job(id) };
        store.write(Table::Jobs, &rows::job_key(JobId(id)), Some(rows::encode(&content)));
    }
    let agents = agents_with_ends(tasks_per_job).await;
    let addresses: Vec<(Name, SocketAddr)> =
        agents.iter().map(|(name, agent)| (Arc::clone(name), agent.address)).collect();
    let (began, before) = (Instant::now(), store.revision(Table::Jobs, &rows::job_key(JobId(jobs))));
    let placer = placer::spawn(context(&store, &addresses)).await.expect("placer");
    let mut last = 1;
    while last <= jobs {
        assert!(began.elapsed() < WAIT_LIMIT, "job {last} of {jobs} isn't completed");
        if is_completed(&placer, last).await {
            last += 1;
        } else {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let took = began.elapsed();
    let newest = (1..=jobs).map(|id| store.revision(Table::Progress, &rows::job_key(JobId(id)))).max();
    let polls: usize = agents.iter().map(|(_, agent)| agent.worker.change(|script| script.polls.len())).sum();
    let starts: usize = agents.iter().map(|(_, agent)| agent.worker.change(|script| script.starts.len())).sum();
    println!("{jobs} jobs: {took:?}, {polls} polls, {} transactions, {starts} starts", newest.unwrap_or(0) - before);
    assert_eq!(starts, 0, "a task that is done was started again");
}

/// Progress of a job whose ends are written one by one, as it is written and as versions before 0.5.0 wrote it.
#[test]
#[ignore = "a measurement, by hand"]
fn bytes_written_for_an_end() {
    const TASKS: u32 = 10_000;
    let (mut progress, mut present, mut plain) = (Progress::default(), 0, 0);
    for index in 0..TASKS {
        progress.done.insert(TaskKey { occurrence: 0, step: 0, index });
        let changes = progress_rows::changes(JobId(1), &progress);
        present += changes.iter().filter_map(|change| change.value.as_ref()).map(Vec::len).sum::<usize>();
        plain += rows::encode(&progress).len();
    }
    let ends = TASKS as usize;
    println!("{ends} tasks: {} bytes for an end, {} in the plain form", present / ends, plain / ends);
}
