//! Reports that don't come from the worker that an agent tracks.

mod support;

use std::time::Duration;

use chervilledge_cell::job::TaskId;
use chervilledge_cell::worker::{Life, RunReport};
use chervilledge_policy::id::Name;
use chervilledge_scheduler::agent::Message;
use chervilledge_scheduler::message::FromAgent;
use chervilledge_scheduler::worker::{PollError, PollResponse};
use rstest::rstest;
use support::agent::{Link, RunningAgent, idle_poll, life, link, spawn, spawn_without_report, task};

/// Time in which an unwanted message would arrive: several polls.
const QUIET: Duration = Duration::from_millis(900);

fn other(born_unix_ms: u64) -> Life {
    Life { worker: "worker-2".into(), born_unix_ms }
}

fn running(run: u64) -> PollResponse {
    let report = RunReport { task: task(1), run, checkpoint: "".into(), percent: 10, measured: 0, pace_percent: 100 };
    PollResponse { running: vec![report], ..idle_poll() }
}

/// Worker and running runs of the next inventory that has a worker.
async fn inventory(placer: &mut Link) -> (Life, Vec<(TaskId, u64)>) {
    let chosen = |message| match message {
        FromAgent::Inventory { worker: Some(worker), running, .. } => {
            Some((worker.life, running.into_iter().map(|report| (report.task, report.run)).collect()))
        }
        FromAgent::Inventory { worker: None, is_empty: true, .. } => panic!("the worker's runs are given up"),
        _ => None,
    };
    placer.wait_for("inventory", chosen).await
}

/// An agent whose worker has run 1 of a task and answers polls.
async fn agent_with_run() -> (RunningAgent, Link) {
    let agent = spawn().await;
    agent.worker.change(|script| {
        script.poll = Ok(running(1));
        script.other_polls.insert(Name::from("worker-2"), Err(PollError::NotThere));
    });
    let mut placer = link(&agent, 2).await;
    assert_eq!(inventory(&mut placer).await, (life(), vec![(task(1), 1)]));
    (agent, placer)
}

/// What the agent tells that makes the placer give up the runs of the worker.
fn given_up(message: FromAgent) -> Option<String> {
    match message {
        FromAgent::Gone(life) => Some(format!("{life:?} is gone")),
        FromAgent::Crashed(report) => Some(format!("{:?} has crashed", report.life)),
        FromAgent::Inventory { worker, .. } if worker.as_ref().is_none_or(|worker| worker.life != life()) => {
            Some(format!("the worker is {worker:?}"))
        }
        _ => None,
    }
}

async fn assert_kept(placer: &mut Link) {
    let told = tokio::time::timeout(QUIET, placer.wait_for("nothing", given_up)).await;
    assert!(told.is_err(), "{told:?}");
}

/// A worker that had started again was taken for the former incarnation for as long as a poll was waiting, and tasks that
/// crash workers weren't to blame for the crashes in that time.
#[tokio::test]
async fn a_restart_is_noticed_only_when_a_waiting_poll_ends() {
    let (agent, mut placer) = agent_with_run().await;
    let sent = agent.worker.change(|script| {
        script.poll_delay = Duration::from_secs(5);
        script.polls.len()
    });
    agent.worker.wait_for("a waiting poll", |script| script.polls.len() > sent).await;
    agent.worker.change(|script| {
        script.poll_delay = Duration::ZERO;
        script.poll = Ok(PollResponse { clock_ms: 20, born_unix_ms: Some(9), ..idle_poll() });
    });
    agent.report(Life { born_unix_ms: 9, ..life() });
    let crashed = |message| if let FromAgent::Crashed(report) = message { Some(report.life) } else { None };
    let noticed = tokio::time::timeout(Duration::from_secs(1), placer.wait_for("crash", crashed)).await;
    assert_eq!(noticed, Ok(life()));
    let waits: Vec<Duration> =
        agent.worker.change(|script| script.polls[sent + 1..].iter().map(|poll| poll.wait).collect());
    assert_eq!(waits.first(), Some(&Duration::ZERO));
}

/// One report of another writer, or one that comes late from a former lifetime, ended a worker that answered polls; its
/// tasks ran twice.
#[rstest]
#[case::other_worker(other(9))]
#[case::other_worker_of_the_same_age(other(7))]
#[case::other_worker_without_start_time(other(0))]
#[case::former_lifetime(Life { born_unix_ms: 3, ..life() })]
#[case::former_lifetime_before_the_clock_was_set_back(Life { born_unix_ms: 9, ..life() })]
#[tokio::test]
async fn a_foreign_report_ends_a_worker_that_answers(#[case] foreign: Life) {
    let (agent, mut placer) = agent_with_run().await;
    for _ in 0..3 {
        agent.report(foreign.clone());
    }
    assert_kept(&mut placer).await;
    agent.report(foreign);
    agent.report(life());
    assert_kept(&mut placer).await;
    // The worker obeys as before.
    placer.start(task(2), 1);
    placer.wait_for("start", |message| matches!(message, FromAgent::Started { .. }).then_some(())).await;
}

/// The same while the worker leaves a poll unanswered, as on a machine that is slow for a moment.
#[tokio::test]
async fn a_foreign_report_ends_a_worker_that_is_silent_for_a_moment() {
    let (agent, mut placer) = agent_with_run().await;
    agent.worker.change(|script| script.poll = Err(PollError::Unknown));
    let polls = agent.worker.change(|script| script.polls.len());
    agent.worker.wait_for("polls that fail", |script| script.polls.len() > polls + 2).await;
    agent.report(other(9));
    assert_kept(&mut placer).await;
    agent.worker.change(|script| script.poll = Ok(running(1)));
    assert_kept(&mut placer).await;
}

/// A withdrawal that names another worker ends nothing.
#[tokio::test]
async fn the_withdrawal_of_another_worker_ends_this_one() {
    let (agent, mut placer) = agent_with_run().await;
    agent.actor.cast(Message::Leave(other(9).worker)).expect("running");
    assert_kept(&mut placer).await;
}

/// A worker that was really replaced must be used soon, whatever shows that its predecessor has ended.
#[rstest]
#[case::other_life_at_its_address(PollError::OtherLife)]
#[case::nothing_at_its_address(PollError::NotThere)]
#[tokio::test]
async fn a_replaced_worker_is_never_used(#[case] error: PollError) {
    let (agent, mut placer) = agent_with_run().await;
    agent.worker.change(|script| {
        script.poll = Err(error);
        script.other_polls.insert(Name::from("worker-2"), Ok(PollResponse { born_unix_ms: Some(9), ..idle_poll() }));
    });
    agent.report(other(9));
    let gone = |message| if let FromAgent::Gone(gone) = message { Some(gone) } else { None };
    assert_eq!(placer.wait_for("the end", gone).await, life());
    let next = tokio::time::timeout(QUIET, inventory(&mut placer)).await;
    assert_eq!(next, Ok((other(9), Vec::new())));
}

/// An agent that has just started took the first report that it heard for its worker's, and told the placer that the
/// worker's runs were over when the worker itself reported.
#[rstest]
#[case::foreign_first(&[other(9), life()])]
#[case::foreign_last(&[life(), other(9)])]
#[case::foreign_first_and_older(&[other(3), life()])]
#[case::in_turn(&[other(9), life(), other(10), life()])]
#[tokio::test]
async fn an_agent_that_starts_again_takes_a_foreign_report_for_its_workers(#[case] reports: &[Life]) {
    let agent = spawn_without_report().await;
    agent.worker.change(|script| {
        script.poll = Ok(running(1));
        // Neither refused nor answered.
        script.other_polls.insert(Name::from("worker-2"), Err(PollError::Unknown));
    });
    let mut placer = link(&agent, 2).await;
    for report in reports {
        agent.report(report.clone());
    }
    let told = async {
        loop {
            agent.report(life());
            let chosen = |message| match message {
                FromAgent::Gone(gone) => Some(Err(gone)),
                FromAgent::Inventory { worker: Some(worker), running, .. } => Some(Ok((worker.life, running.len()))),
                _ => None,
            };
            if let Ok(told) = tokio::time::timeout(QUIET, placer.wait_for("the worker", chosen)).await {
                return told;
            }
        }
    };
    assert_eq!(told.await, Ok((life(), 1)));
}

/// The crash of a silent worker was confirmed by the report of another writer.
#[tokio::test]
async fn a_foreign_report_confirms_the_crash_of_a_silent_worker() {
    let (agent, mut placer) = agent_with_run().await;
    agent.worker.change(|script| script.poll = Err(PollError::Unknown));
    placer.wait_for("the end", |message| matches!(message, FromAgent::Gone(_)).then_some(())).await;
    agent.report(other(9));
    let crashed = |message| matches!(message, FromAgent::Crashed(_)).then_some(());
    assert!(tokio::time::timeout(QUIET, placer.wait_for("nothing", crashed)).await.is_err(), "a crash is reported");
}
