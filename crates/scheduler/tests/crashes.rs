//! What an agent reports of a worker that crashed.

mod support;

use std::sync::Arc;
use std::time::Duration;

use chervilledge_cell::cell::{Cell, Note};
use chervilledge_cell::crashes::SUSPECT_AGE_MAX;
use chervilledge_cell::job::TaskId;
use chervilledge_cell::progress::Progress;
use chervilledge_cell::worker::{CrashReport, CrashedRun, End, EndKind, Life, Refusal, RunReport};
use chervilledge_scheduler::agent::Message;
use chervilledge_scheduler::clock::unix_ms;
use chervilledge_scheduler::message::{FromAgent, ToAgent};
use chervilledge_scheduler::worker::{PollError, PollResponse, StartOutcome};
use support::agent::{self, Link, RunningAgent, idle_poll, life, task};

/// Time in which an unwanted message would arrive.
const QUIET: Duration = Duration::from_millis(600);

fn running(run: u64) -> PollResponse {
    let report =
        RunReport { task: task(1), run, checkpoint: Arc::from(""), percent: 10, measured: 0, pace_percent: 100 };
    PollResponse { running: vec![report], ..idle_poll() }
}

/// An agent whose worker has run 1 of a task.
async fn agent_with_run(version: Option<&str>) -> (RunningAgent, Link) {
    let agent = agent::spawn().await;
    let mut link = agent::link_of_version(&agent, 2, version).await;
    link.inventory().await;
    link.start(task(1), 1);
    link.wait_for("start", |message| matches!(message, FromAgent::Started { .. }).then_some(())).await;
    agent.worker.change(|script| script.poll = Ok(running(1)));
    agent.worker.wait_for("polls of the run", |script| script.polls.len() > 4).await;
    (agent, link)
}

async fn crashed(link: &mut Link) -> CrashReport {
    link.wait_for("crash", |message| match message {
        FromAgent::Crashed(report) => Some(report),
        FromAgent::Gone(_) => panic!("the end came before the crash"),
        _ => None,
    })
    .await
}

fn runs(report: &CrashReport) -> Vec<(TaskId, u64)> {
    report.runs.iter().map(|run| (run.task, run.run)).collect()
}

/// The placer couldn't tell which runs a crashed worker had, nor for how long.
#[tokio::test]
async fn the_runs_of_a_crashed_worker_are_lost_without_a_word() {
    let (agent, mut link) = agent_with_run(Some("0.4.0")).await;
    tokio::time::sleep(QUIET).await;
    agent.worker.change(|script| script.poll = Err(PollError::NotThere));
    let report = crashed(&mut link).await;
    assert_eq!((report.life.clone(), runs(&report)), (life(), vec![(task(1), 1)]));
    assert!(report.runs[0].age >= QUIET, "{report:?}");
    link.wait_for("end", |message| matches!(message, FromAgent::Gone(_)).then_some(())).await;
}

/// A crash must survive the placer that it was reported to, until one has made it durable.
#[tokio::test]
async fn a_crash_is_lost_with_the_placer() {
    let (agent, mut link) = agent_with_run(Some("0.4.0")).await;
    agent.worker.change(|script| script.poll = Err(PollError::NotThere));
    crashed(&mut link).await;
    drop(link);
    agent.worker.change(|script| script.poll = Ok(PollResponse { born_unix_ms: Some(8), ..idle_poll() }));
    agent.report(Life { born_unix_ms: 8, ..life() });
    let reported = |message: FromAgent| match message {
        FromAgent::Inventory { worker: Some(_), crashes, .. } => Some(crashes),
        _ => None,
    };
    let mut next = agent::link(&agent, 3).await;
    let crashes = next.wait_for("inventory", reported).await;
    assert_eq!(crashes.iter().map(runs).collect::<Vec<_>>(), [vec![(task(1), 1)]]);
    next.sender.post(ToAgent::SettleCrash(life()));
    tokio::time::sleep(QUIET).await;
    let mut last = agent::link(&agent, 4).await;
    assert_eq!(last.wait_for("inventory", reported).await, []);
}

/// A run whose order never reached the worker didn't crash it.
#[tokio::test]
async fn a_refused_start_counts_as_a_crashed_run() {
    let (agent, mut link) = agent_with_run(Some("0.4.0")).await;
    agent.worker.change(|script| script.start = StartOutcome::Refused(Refusal::Unhealthy));
    link.start(task(2), 1);
    link.wait_for("refusal", |message| matches!(message, FromAgent::Refused { .. }).then_some(())).await;
    agent.worker.change(|script| script.poll = Err(PollError::NotThere));
    assert_eq!(runs(&crashed(&mut link).await), [(task(1), 1)]);
}

/// A start without an answer may be what crashed the worker.
#[tokio::test]
async fn a_start_that_crashes_the_worker_before_its_answer_is_forgotten() {
    let (agent, mut link) = agent_with_run(Some("0.4.0")).await;
    agent.worker.change(|script| {
        script.start = StartOutcome::Unknown;
        script.poll = Err(PollError::NotThere);
    });
    link.start(task(2), 1);
    let report = crashed(&mut link).await;
    let young = report.runs.iter().find(|run| run.task == task(2)).expect("the unanswered start");
    assert!(young.age < Duration::from_millis(100), "{report:?}");
}

/// End of a run that isn't settled, so that the agent pauses between polls.
fn other_end() -> End {
    End { number: 1, task: task(8), run: 1, kind: EndKind::Done, checkpoint: Arc::from("") }
}

/// Response of a worker in its next life, which has just begun.
fn next_life() -> PollResponse {
    PollResponse { clock_ms: 0, born_unix_ms: Some(8), ..idle_poll() }
}

/// Starts a run while a poll waits for ends; returns the crash when the worker's next life begins.
async fn crash_after_start(run: u64, answer: StartOutcome) -> CrashReport {
    let agent = agent::spawn().await;
    let mut link = agent::link(&agent, 2).await;
    link.inventory().await;
    let polls = agent.worker.change(|script| {
        script.poll_delay = Duration::from_mins(1);
        script.start = answer;
        script.delays_start_responses = answer == StartOutcome::Unknown;
        script.polls.len()
    });
    link.serve_until(&agent.worker, "a poll that waits", |script| script.polls.len() > polls).await;
    link.start(task(9), run);
    agent.worker.wait_for("start", |script| !script.starts.is_empty()).await;
    if answer != StartOutcome::Unknown {
        link.wait_for("start", |message| matches!(message, FromAgent::Started { .. }).then_some(())).await;
    }
    agent.worker.change(|script| {
        script.poll_delay = Duration::ZERO;
        script.poll = Ok(next_life());
    });
    agent.report(Life { born_unix_ms: 8, ..life() });
    crashed(&mut link).await
}

/// Crashes under run 1 and 2 of a task.
async fn two_crashes(answer: StartOutcome) -> Vec<CrashReport> {
    let reports = vec![crash_after_start(1, answer).await, crash_after_start(2, answer).await];
    assert_eq!(reports.iter().map(runs).collect::<Vec<_>>(), [[(task(9), 1)], [(task(9), 2)]]);
    reports
}

/// Whether a placer gives the task up for these crashes, soon after each start however long the test took.
fn is_given_up(reports: &[CrashReport]) -> bool {
    let job = support::job(9);
    let mut cell = Cell::new(2, Duration::from_secs(5));
    let mut now = Duration::from_secs(100);
    cell.configure(support::configuration_of(&job));
    cell.load(job, Progress::default(), 5, Duration::ZERO, now);
    for report in reports {
        let young = |run: &CrashedRun| CrashedRun { age: Duration::from_millis(10), ..run.clone() };
        let report = CrashReport { runs: report.runs.iter().map(young).collect(), ..report.clone() };
        cell.worker_crashed(&report.life.worker, &report, now);
        now += Duration::from_secs(2);
        cell.place(now);
    }
    cell.take_notes().iter().any(|note| matches!(note, Note::TaskGivenUp { .. }))
}

/// A task was given up for two restarts of workers that had never run it.
#[tokio::test]
async fn starts_without_an_answer_convict_a_task() {
    assert!(!is_given_up(&two_crashes(StartOutcome::Unknown).await));
}

/// The answer of a worker's next life says nothing about the life that has crashed.
#[tokio::test]
async fn starts_that_the_next_life_answers_convict_a_task() {
    assert!(!is_given_up(&two_crashes(StartOutcome::Running { clock_ms: Some(0) }).await));
}

/// A task that crashes its workers at once was taken for one that may have ended before.
#[tokio::test]
async fn a_start_that_crashes_the_worker_between_two_polls_is_unconfirmed() {
    let agent = agent::spawn().await;
    let mut link = agent::link(&agent, 2).await;
    link.inventory().await;
    agent.worker.change(|script| {
        script.delays_start_responses = true;
        script.poll = Ok(PollResponse { ends: vec![other_end()], ..idle_poll() });
    });
    link.wait_for("end", |message| matches!(message, FromAgent::Ends { .. }).then_some(())).await;
    link.start(task(9), 1);
    agent.worker.wait_for("start", |script| !script.starts.is_empty()).await;
    agent.worker.change(|script| {
        script.delays_start_responses = false;
        script.poll = Ok(PollResponse { born_unix_ms: Some(unix_ms()), ..next_life() });
    });
    let report = crashed(&mut link).await;
    assert_eq!(report.runs.iter().map(|run| (run.task, run.is_unconfirmed)).collect::<Vec<_>>(), [(task(9), false)]);
}

/// Runs that had ended unseen were taken for the cause of a crash after their ends.
#[tokio::test]
async fn a_run_that_ended_before_the_crash_convicts_its_task() {
    let mut reports = Vec::new();
    for run in [1, 2] {
        let agent = agent::spawn().await;
        let mut link = agent::link(&agent, 2).await;
        link.inventory().await;
        link.start(task(9), run);
        link.wait_for("start", |message| matches!(message, FromAgent::Started { .. }).then_some(())).await;
        let report = RunReport { task: task(9), run, ..running(run).running[0].clone() };
        let listed = PollResponse { running: vec![report], ends: vec![other_end()], ..idle_poll() };
        agent.worker.change(|script| script.poll = Ok(listed));
        link.wait_for("end", |message| matches!(message, FromAgent::Ends { .. }).then_some(())).await;
        agent.worker.change(|script| script.poll = Ok(next_life()));
        reports.push(crashed(&mut link).await);
    }
    assert_eq!(reports.iter().map(runs).collect::<Vec<_>>(), [[(task(9), 1)], [(task(9), 2)]]);
    assert!(!is_given_up(&reports));
}

/// Users allow a task to be given up under which two workers have crashed.
#[tokio::test]
async fn a_task_is_started_again_after_two_crashes_of_its_own() {
    assert!(is_given_up(&two_crashes(StartOutcome::Running { clock_ms: None }).await));
}

/// A task that crashed its workers at the second attempt of each start counted as a bystander, and was started without end.
#[tokio::test]
async fn a_run_is_as_old_as_its_first_start_without_an_answer() {
    let (agent, mut link) = agent_with_run(Some("0.4.0")).await;
    agent.worker.change(|script| script.unanswered_orders = 1);
    link.start(task(2), 1);
    let started = |message| matches!(message, FromAgent::Started { task: id, .. } if id == task(2)).then_some(());
    link.wait_for("start", started).await;
    agent.worker.change(|script| script.poll = Err(PollError::NotThere));
    let report = crashed(&mut link).await;
    let young = report.runs.iter().find(|run| run.task == task(2)).expect("the repeated start");
    assert!(young.age <= SUSPECT_AGE_MAX, "{report:?}");
}

/// A slow worker may execute a start seconds later and crash then; an old run would refute the crashes before.
#[tokio::test]
async fn a_start_that_is_executed_late_looks_like_a_long_run() {
    let (agent, mut link) = agent_with_run(Some("0.4.0")).await;
    agent.worker.change(|script| script.delays_start_responses = true);
    link.start(task(2), 1);
    agent.worker.wait_for("start", |script| !script.starts.is_empty()).await;
    tokio::time::sleep(SUSPECT_AGE_MAX + Duration::from_millis(200)).await;
    let next = PollResponse { clock_ms: 0, born_unix_ms: Some(8), ..idle_poll() };
    agent.worker.change(|script| script.poll = Ok(next));
    let report = crashed(&mut link).await;
    let late = report.runs.iter().find(|run| run.task == task(2)).expect("the unanswered start");
    assert!(late.age <= SUSPECT_AGE_MAX, "{report:?}");
}

/// A start that reached the next life of the worker didn't crash the one before.
#[tokio::test]
async fn a_run_of_the_next_life_is_blamed_for_the_crash_before() {
    let (agent, mut link) = agent_with_run(Some("0.4.0")).await;
    tokio::time::sleep(QUIET).await;
    link.start(task(2), 1);
    link.wait_for("start", |message| matches!(message, FromAgent::Started { .. }).then_some(())).await;
    let next = PollResponse { clock_ms: 300, born_unix_ms: Some(8), ..idle_poll() };
    agent.worker.change(|script| script.poll = Ok(next));
    assert_eq!(runs(&crashed(&mut link).await), [(task(1), 1)]);
}

/// An agent that notices a restart late would report a run that crashed the worker at its start as an old one.
#[tokio::test]
async fn the_age_of_a_crashed_run_grows_until_the_agent_notices() {
    let (agent, mut link) = agent_with_run(Some("0.4.0")).await;
    tokio::time::sleep(QUIET).await;
    let next = PollResponse { clock_ms: 500, born_unix_ms: Some(8), ..idle_poll() };
    agent.worker.change(|script| script.poll = Ok(next));
    let age = crashed(&mut link).await.runs[0].age;
    assert!(age < QUIET, "{age:?}");
}

/// An agent that was suspended reads how old the worker's next life was when it answered, which may be seconds ago.
#[tokio::test]
async fn a_crash_is_dated_from_an_answer_that_was_read_late() {
    let (agent, mut link) = agent_with_run(Some("0.4.0")).await;
    link.start(task(2), 1);
    let started = |message| matches!(message, FromAgent::Started { task: id, .. } if id == task(2)).then_some(());
    link.wait_for("start", started).await;
    agent.worker.change(|script| {
        script.poll_delay = SUSPECT_AGE_MAX * 3;
        // Later than the polls that the former life has answered.
        let born_unix_ms = Some(unix_ms() + 50);
        script.poll = Ok(PollResponse { clock_ms: 20, born_unix_ms, ..idle_poll() });
    });
    let report = crashed(&mut link).await;
    let young = report.runs.iter().find(|run| run.task == task(2)).expect("the run that was started last");
    assert!(young.age <= SUSPECT_AGE_MAX, "{report:?}");
}

/// A worker that left as announced hasn't crashed.
#[tokio::test]
async fn a_planned_end_is_reported_as_a_crash() {
    let (agent, mut link) = agent_with_run(Some("0.4.0")).await;
    agent.actor.cast(Message::Leave(life().worker)).expect("leave");
    let first = link.wait_for("end", |message| match message {
        FromAgent::Crashed(_) => Some("crashed"),
        FromAgent::Gone(_) => Some("gone"),
        _ => None,
    });
    assert_eq!(first.await, "gone");
}

/// A placer of a version before 0.4.0 would close the link.
#[tokio::test]
async fn an_older_placer_is_told_of_a_crash() {
    let (agent, mut link) = agent_with_run(None).await;
    agent.worker.change(|script| script.poll = Err(PollError::NotThere));
    let first = link.wait_for("end", |message| match message {
        FromAgent::Crashed(_) => Some("crashed"),
        FromAgent::Gone(_) => Some("gone"),
        _ => None,
    });
    assert_eq!(first.await, "gone");
}
