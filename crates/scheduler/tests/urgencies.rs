//! Urgencies from the placer to the paces of runs.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::configuration::{Configuration, Limits, Queue, Service};
use chervilledge_cell::interference::{Evidence, Pair};
use chervilledge_cell::job::{Job, Step, TaskId};
use chervilledge_cell::urgency::Urgency;
use chervilledge_cell::worker::{RunReport, RunTraits, StartOrder};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::collections::Map;
use chervilledge_scheduler::message::ToAgent;
use chervilledge_scheduler::placer::{self, Message};
use chervilledge_scheduler::roster::Roster;
use chervilledge_scheduler::rows::{self, EFFECTS_KEY, Effect};
use chervilledge_scheduler::store::Table;
use chervilledge_scheduler::worker::PollResponse;
use chervilledge_scheduler::{clock, metrics};
use support::agent::{Link, RunningAgent, idle_poll, life, link, spawn, task};
use support::{Fault, MemoryStore, job};
use tokio::sync::watch;

const TARGET_MS: u64 = 1_000;
/// Tail latency that leaves a headroom of 0.208, as a logarithm, below 0.8 of the target; slightly more than the 0.2
/// that one filling run adds.
const TAIL_MS: u64 = 650;
const EFFECT: f64 = 0.1;
/// Time in which several polls are processed.
const OBSERVATION_TIME: Duration = Duration::from_millis(1_200);

fn serving() -> RunTraits {
    let latency_target = Some(Duration::from_millis(TARGET_MS));
    RunTraits { latency_target, image: Some(Arc::from("serving")), ..RunTraits::default() }
}

fn filling(urgency: u64) -> RunTraits {
    RunTraits {
        is_filling: true,
        image: Some(Arc::from("heavy")),
        processor_millicores: 2_000,
        urgency: Urgency(urgency),
        ..RunTraits::default()
    }
}

fn report(task: TaskId, measured: u64) -> RunReport {
    RunReport { task, run: 1, checkpoint: Arc::from(""), percent: 10, measured, pace_percent: 100 }
}

/// Agent on whose worker a serving run leaves headroom for one of two filling runs; the first of these is more urgent.
async fn contended() -> (RunningAgent, Link) {
    let agent = spawn().await;
    let mut placer = link(&agent, 1).await;
    assert_eq!(placer.inventory().await, Vec::new());
    placer.sender.post(ToAgent::Effects(vec![effect()]));
    for (id, traits) in [(1, serving()), (2, filling(1_000)), (3, filling(9_000))] {
        let order = StartOrder { task: task(id), run: 1, spec: Arc::from(""), checkpoint: Arc::from(""), traits };
        placer.sender.post(ToAgent::Start { life: life(), order });
    }
    agent.worker.wait_for("the starts", |script| script.starts.len() == 3).await;
    let running = vec![report(task(1), TAIL_MS), report(task(2), 0), report(task(3), 0)];
    agent.worker.change(|script| script.poll = Ok(PollResponse { running, ..idle_poll() }));
    wait_for_paces(&agent, [100, 0]).await;
    (agent, placer)
}

/// Pace last ordered for a filling run.
fn pace(paces: &[(TaskId, u32)], id: u64) -> u32 {
    paces.iter().rev().find(|(paced, _)| *paced == task(id)).map_or(100, |(_, percent)| *percent)
}

async fn wait_for_paces(agent: &RunningAgent, expected: [u32; 2]) {
    let what = format!("paces of {expected:?}");
    agent.worker.wait_for(&what, |script| [2, 3].map(|id| pace(&script.paces, id)) == expected).await;
}

/// When the placer ends, the order that it sent last stays in force without further orders to the worker, until a
/// successor describes the runs again. If a message names a run that is gone, the rest of the message still applies.
#[tokio::test]
async fn urgencies_outlast_the_placer() {
    let (agent, previous_placer) = contended().await;
    previous_placer.sender.post(ToAgent::Urgencies(vec![(task(9), 1, Urgency(1)), (task(3), 1, Urgency(500))]));
    wait_for_paces(&agent, [0, 100]).await;
    drop(previous_placer);
    let orders = agent.worker.change(|script| script.paces.len());
    tokio::time::sleep(OBSERVATION_TIME).await;
    assert_eq!(agent.worker.change(|script| script.paces.len()), orders);
    let mut new_placer = link(&agent, 2).await;
    assert_eq!(new_placer.inventory().await.len(), 3);
    new_placer.sender.post(ToAgent::Describe(vec![(task(2), 1, filling(1_000)), (task(3), 1, filling(9_000))]));
    wait_for_paces(&agent, [100, 0]).await;
}

/// A run that the placer hasn't described isn't slowed down, and doesn't affect the order of the others.
#[tokio::test]
async fn a_run_without_traits_is_left_alone() {
    let (agent, _placer) = contended().await;
    agent.worker.change(|script| {
        if let Ok(poll) = &mut script.poll {
            poll.running.push(report(task(4), 500));
        }
    });
    tokio::time::sleep(OBSERVATION_TIME).await;
    let paces = agent.worker.change(|script| script.paces.clone());
    assert_eq!([2, 3, 4].map(|id| pace(&paces, id)), [100, 0, 100]);
}

fn effect() -> Effect {
    let pair = Pair { filling: Arc::from("heavy"), serving: Arc::from("serving") };
    Effect::from_evidence(&(pair, Evidence { information: 1e9, weighted_effect: 1e9 * EFFECT }))
}

/// Placer of the first term with one agent.
fn context(agent: &RunningAgent) -> placer::Context {
    let queue = Queue { name: job(1).queue, host: Arc::from("host"), path_prefix: Arc::from("/"), terms: job(1).terms };
    let limits = Limits { body_bytes_max: 1 << 20, head_bytes_max: 1 << 14, head_timeout: Duration::from_secs(5) };
    let services = [(Arc::from("portal"), Service::default())].into_iter().collect();
    let configuration = Configuration { version: 1, queues: vec![queue], services, limits };
    let row = rows::Placer { term: 1, holder: Some(Arc::from("entry-1")), address: agent.address };
    let rows = MemoryStore::with_fault(Fault::None);
    rows.write(Table::Cell, rows::PLACER_KEY, Some(rows::encode(&row)));
    rows.write(Table::Progress, EFFECTS_KEY, Some(rows::encode(&vec![effect()])));
    let agents = [(Arc::from("agent-1"), agent.address)].into_iter().collect();
    let roster = Arc::new(Roster { placer: Some((row, 1)), agents, ..Roster::default() });
    placer::Context {
        name: Arc::from("entry-1"),
        claimed: clock::system().now(),
        clock: clock::system(),
        store: rows.store(),
        roster: watch::channel(Some(roster)).1,
        configuration: watch::channel(Some(Arc::new(configuration))).1,
        evacuated: watch::channel(Arc::default()).1,
        operator_rows_read: watch::channel(Duration::ZERO).1,
        evacuation_apply: None,
        term: 1,
        revision: 1,
        address: SocketAddr::from(([127, 0, 0, 1], 1)),
        predecessor: None,
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

/// Runs two jobs on one worker, of which the larger one is nearly done while the smaller one is halted or slow. Covers
/// everything from the worker's reports to the paces that it is ordered.
#[tokio::test]
async fn a_job_that_is_nearly_done_overtakes_a_smaller_one() {
    let agent = spawn().await;
    let placer = placer::spawn(context(&agent)).await.expect("placer");
    while ractor::call_t!(placer, Message::Pending, 500).expect("running").is_none() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let resources = Resources { processor_millicores: 2_000, ..Resources::default() };
    let filling = |seconds: u64| Step {
        count: 1,
        filling: true,
        image: Some(Arc::from("heavy")),
        estimate: Duration::from_secs(seconds),
        resources,
        ..Step::default()
    };
    let latency_target = Some(Duration::from_millis(TARGET_MS));
    let serving = Step {
        count: 1,
        lasting: true,
        latency_target,
        image: Some(Arc::from("serving")),
        resources,
        ..Step::default()
    };
    for (id, step) in [(1, serving), (2, filling(60)), (3, filling(90))] {
        let job = Job { steps: vec![step], ..job(id) };
        placer.cast(Message::Submitted(Box::new(job))).expect("running");
        agent.worker.wait_for("a start", |script| script.starts.len() as u64 == id).await;
    }
    let poll = |percent: u32| {
        let nearly_done = RunReport { percent, ..report(task(3), 0) };
        Ok(PollResponse { running: vec![report(task(1), TAIL_MS), report(task(2), 0), nearly_done], ..idle_poll() })
    };
    agent.worker.change(|script| script.poll = poll(10));
    wait_for_paces(&agent, [100, 0]).await;
    agent.worker.change(|script| script.poll = poll(90));
    wait_for_paces(&agent, [0, 100]).await;
}
