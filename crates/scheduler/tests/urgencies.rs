//! Urgencies on their way from placers to the paces of runs.

mod support;

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::configuration::{Configuration, Limits, Queue, Service};
use chervilledge_cell::interference::{Evidence, Pair};
use chervilledge_cell::job::{Job, Step, TaskId};
use chervilledge_cell::urgency::Urgency;
use chervilledge_cell::worker::{RunReport, RunTraits, StartOrder};
use chervilledge_policy::capacity::Resources;
use chervilledge_scheduler::message::ToAgent;
use chervilledge_scheduler::placer::{self, Message};
use chervilledge_scheduler::roster::Roster;
use chervilledge_scheduler::rows::{self, EFFECTS, Effect};
use chervilledge_scheduler::store::Table;
use chervilledge_scheduler::worker::PollResponse;
use chervilledge_scheduler::{clock, metrics};
use support::agent::{Link, Running, empty_look, life, link, spawn, task};
use support::{Fault, Rows, job};
use tokio::sync::watch;

const TARGET_MS: u64 = 1_000;
/// Tail at which 0.208 is left, in logarithms, below 0.8 of the target: a little more than the 0.2 that a filling run adds.
const TAIL_MS: u64 = 650;
const EFFECT: f64 = 0.1;
/// Time in which several looks are taken in.
const A_WHILE: Duration = Duration::from_millis(1_200);

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

/// An agent on whose worker a serving run leaves room for one of two filling runs, the first of which is more urgent.
async fn contended() -> (Running, Link) {
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
    agent.worker.change(|script| script.look = Ok(PollResponse { running, ..empty_look() }));
    wait_for_paces(&agent, [100, 0]).await;
    (agent, placer)
}

/// Pace of a filling run as ordered last.
fn pace(paces: &[(TaskId, u32)], id: u64) -> u32 {
    paces.iter().rev().find(|(paced, _)| *paced == task(id)).map_or(100, |(_, percent)| *percent)
}

async fn wait_for_paces(agent: &Running, expected: [u32; 2]) {
    let what = format!("paces of {expected:?}");
    agent.worker.wait_for(&what, |script| [2, 3].map(|id| pace(&script.paces, id)) == expected).await;
}

/// The placer ends: the order that it told last stays in force, without further orders to the worker, until a successor
/// describes the runs anew. A message that names a run that isn't there any more counts for the others.
#[tokio::test]
async fn urgencies_outlast_the_placer() {
    let (agent, former) = contended().await;
    former.sender.post(ToAgent::Urgencies(vec![(task(9), 1, Urgency(1)), (task(3), 1, Urgency(500))]));
    wait_for_paces(&agent, [0, 100]).await;
    drop(former);
    let orders = agent.worker.change(|script| script.paces.len());
    tokio::time::sleep(A_WHILE).await;
    assert_eq!(agent.worker.change(|script| script.paces.len()), orders);
    let mut present = link(&agent, 2).await;
    assert_eq!(present.inventory().await.len(), 3);
    present.sender.post(ToAgent::Describe(vec![(task(2), 1, filling(1_000)), (task(3), 1, filling(9_000))]));
    wait_for_paces(&agent, [100, 0]).await;
}

/// A run that the placer doesn't describe isn't slowed down, and doesn't keep the others from their order.
#[tokio::test]
async fn a_run_without_traits_is_left_alone() {
    let (agent, _placer) = contended().await;
    agent.worker.change(|script| {
        if let Ok(look) = &mut script.look {
            look.running.push(report(task(4), 500));
        }
    });
    tokio::time::sleep(A_WHILE).await;
    let paces = agent.worker.change(|script| script.paces.clone());
    assert_eq!([2, 3, 4].map(|id| pace(&paces, id)), [100, 0, 100]);
}

fn effect() -> Effect {
    let pair = Pair { filling: Arc::from("heavy"), serving: Arc::from("serving") };
    Effect::of(&(pair, Evidence { information: 1e9, weighted_effect: 1e9 * EFFECT }))
}

/// A placer of the first term, with one agent.
fn context(agent: &Running) -> placer::Context {
    let queue = Queue { name: job(1).queue, host: Arc::from("host"), path_prefix: Arc::from("/"), terms: job(1).terms };
    let limits = Limits { body_bytes_max: 1 << 20, head_bytes_max: 1 << 14, head_timeout: Duration::from_secs(5) };
    let services = [(Arc::from("portal"), Service::default())].into_iter().collect();
    let configuration = Configuration { version: 1, queues: vec![queue], services, limits };
    let row = rows::Placer { term: 1, holder: Some(Arc::from("entry-1")), address: agent.address };
    let rows = Rows::with(Fault::None);
    rows.write(Table::Cell, rows::PLACER, Some(rows::encode(&row)));
    rows.write(Table::Progress, EFFECTS, Some(rows::encode(&vec![effect()])));
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
        term: 1,
        revision: 1,
        former: None,
        is_former_alone: true,
        lease: Duration::from_secs(5),
        cancellation_apply: Duration::from_secs(3),
        metrics: metrics::open(),
        ended_jobs_kept: Duration::from_mins(2),
    }
}

/// Plays two jobs on one worker, of which the larger one is nearly done while the smaller one is halted or slow: the way from
/// what the worker reports to the paces that it is told.
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
    let look = |percent: u32| {
        let nearly_done = RunReport { percent, ..report(task(3), 0) };
        Ok(PollResponse { running: vec![report(task(1), TAIL_MS), report(task(2), 0), nearly_done], ..empty_look() })
    };
    agent.worker.change(|script| script.look = look(10));
    wait_for_paces(&agent, [100, 0]).await;
    agent.worker.change(|script| script.look = look(90));
    wait_for_paces(&agent, [0, 100]).await;
}
