//! What an agent tells a placer of its worker's runs.

mod support;

use std::time::Duration;

use chervilledge_cell::job::TaskId;
use chervilledge_cell::worker::{End, EndKind, Life, RunReport};
use chervilledge_scheduler::message::{FromAgent, ToAgent};
use chervilledge_scheduler::worker::{OrderOutcome, PollError, PollResponse, StartOutcome};
use rstest::rstest;
use support::agent::{Link, empty_look, life, link, spawn, spawn_without_report, task};

/// Attempts at a start that were sent may be carried out seconds later. A placer that doesn't know of them would start the
/// task elsewhere.
#[tokio::test]
async fn a_new_placer_is_told_of_starts_that_may_still_be_carried_out() {
    let agent = spawn().await;
    agent.worker.change(|script| (script.start, script.stop) = (StartOutcome::Unknown, OrderOutcome::Unknown));
    let mut former = link(&agent, 1).await;
    assert_eq!(former.inventory().await, Vec::new());
    former.start(task(1), 1);
    agent.worker.wait_for("the agent gives up the start", |script| !script.stops.is_empty()).await;
    let mut present = link(&agent, 2).await;
    assert_eq!(present.inventory().await, vec![(task(1), 1)]);
    // Once the worker has taken the stop, the run can't start any more.
    agent.worker.change(|script| script.stop = OrderOutcome::Taken);
    let absent = |message| match message {
        FromAgent::Absent { task, run } => Some((task, run)),
        _ => None,
    };
    assert_eq!(present.wait_for("absence", absent).await, (task(1), 1));
}

/// The worker may make up the answer to a look, and then take a start, before the answer arrives.
#[tokio::test]
async fn a_new_placer_is_told_of_starts_that_were_taken_during_the_look() {
    let agent = spawn().await;
    let mut former = link(&agent, 1).await;
    assert_eq!(former.inventory().await, Vec::new());
    agent.worker.change(|script| {
        script.holds_starts = true;
        script.look_takes = Duration::from_millis(400);
    });
    former.start(task(1), 1);
    agent.worker.wait_for("the start is called", |script| !script.starts.is_empty()).await;
    let mut present = link(&agent, 2).await;
    present.wait_for("the new term is obeyed", |message| matches!(message, FromAgent::Ask { .. }).then_some(())).await;
    let looks = agent.worker.change(|script| script.looks.len());
    agent.worker.wait_for("a look under the new term", |script| script.looks.len() > looks).await;
    agent.worker.change(|script| script.holds_starts = false);
    assert_eq!(present.inventory().await, vec![(task(1), 1)]);
}

async fn first_inventory_with_worker(link: &mut Link) -> Vec<u64> {
    let choose = |message| match message {
        FromAgent::Absent { .. } => panic!("a run may be on a worker that the agent doesn't know"),
        FromAgent::Inventory { worker: Some(_), running, .. } => {
            Some(running.into_iter().map(|report| report.run).collect())
        }
        _ => None,
    };
    link.wait_for("inventory", choose).await
}

/// An agent that has just started doesn't know its worker, on which runs of its predecessor go on; or it knows the worker's
/// former life by a report that was delayed. It can't say that a run isn't there. In a trial on the grown job portal the
/// task was started elsewhere within 10 ms.
#[rstest]
#[case::no_report(None)]
#[case::report_of_a_former_life(Some(3))]
#[tokio::test]
async fn an_agent_that_does_not_know_the_worker_says_nothing_of_its_runs(#[case] former_born_unix_ms: Option<u64>) {
    let agent = spawn_without_report().await;
    let running =
        RunReport { task: task(1), run: 1, checkpoint: "".into(), percent: 10, measured: 400, pace_percent: 100 };
    agent.worker.change(|script| {
        script.look = Ok(PollResponse { running: vec![running], ..empty_look() });
    });
    if let Some(born_unix_ms) = former_born_unix_ms {
        agent.report(Life { born_unix_ms, ..life() });
    }
    let mut placer = link(&agent, 1).await;
    placer.sender.post(ToAgent::Stop { life: life(), task: task(1), run: 1 });
    tokio::time::sleep(Duration::from_millis(200)).await;
    agent.report(life());
    let mut runs = first_inventory_with_worker(&mut placer).await;
    while runs != [1] {
        runs = first_inventory_with_worker(&mut placer).await;
    }
    placer.sender.post(ToAgent::Stop { life: life(), task: task(1), run: 1 });
    agent.worker.wait_for("the stop", |script| !script.stops.is_empty()).await;
}

/// What the placer is told until an inventory of the worker's next life; that the former one is gone must not come before.
async fn inventory_of_next_life(placer: &mut Link) -> Vec<(TaskId, u64)> {
    let choose = |message| match message {
        FromAgent::Gone(life) => panic!("{life:?} is said to be gone before its orders are accounted for"),
        FromAgent::Inventory { worker: Some(worker), running, starting, .. } if worker.life == next_life() => {
            Some(running.into_iter().map(|report| (report.task, report.run)).chain(starting).collect())
        }
        _ => None,
    };
    placer.wait_for("an inventory of the next life", choose).await
}

fn next_life() -> Life {
    Life { born_unix_ms: 9, ..life() }
}

/// A worker that comes back under its name may carry out what was meant for its former life.
#[rstest]
#[case::learnt_by_report(true)]
#[case::learnt_by_look(false)]
#[tokio::test]
async fn a_start_that_the_next_life_of_a_worker_took_is_not_lost(#[case] does_report: bool) {
    let agent = spawn().await;
    let mut placer = link(&agent, 1).await;
    assert_eq!(placer.inventory().await, Vec::new());
    placer.start(task(1), 1);
    agent.worker.wait_for("the start", |script| !script.starts.is_empty()).await;
    let running =
        RunReport { task: task(1), run: 1, checkpoint: "".into(), percent: 10, measured: 400, pace_percent: 100 };
    agent.worker.change(|script| {
        script.look = Ok(PollResponse { running: vec![running], born_unix_ms: Some(9), ..empty_look() });
    });
    if does_report {
        agent.report(next_life());
    }
    assert_eq!(inventory_of_next_life(&mut placer).await, vec![(task(1), 1)]);
}

/// A start without an answer may be carried out by the worker's next life.
#[tokio::test]
async fn a_start_without_an_answer_is_stopped_in_the_next_life_of_a_worker() {
    let agent = spawn().await;
    agent.worker.change(|script| (script.start, script.stop) = (StartOutcome::Unknown, OrderOutcome::Unknown));
    let mut placer = link(&agent, 1).await;
    assert_eq!(placer.inventory().await, Vec::new());
    placer.start(task(1), 1);
    agent.worker.wait_for("the agent gives up the start", |script| !script.stops.is_empty()).await;
    agent.worker.change(|script| {
        script.look = Ok(PollResponse { born_unix_ms: Some(9), ..empty_look() });
        script.stops.clear();
    });
    agent.report(next_life());
    assert_eq!(inventory_of_next_life(&mut placer).await, vec![(task(1), 1)]);
    agent.worker.change(|script| script.stop = OrderOutcome::Taken);
    let absent = |message| match message {
        FromAgent::Absent { task, run } => Some((task, run)),
        _ => None,
    };
    assert_eq!(placer.wait_for("absence", absent).await, (task(1), 1));
}

/// Ends of a worker's former life that are settled say nothing of its next one.
///
/// Seed 102 of the soak: the next life took a start, and ended it, before the agent knew of it; the look that followed let it
/// forget that end, so that the task ran again.
#[rstest]
#[case::start_answered_by_a_younger_clock(Case::YoungClock)]
#[case::look_without_an_answer(Case::LookFailed)]
#[case::start_without_an_answer(Case::StartUnanswered)]
#[tokio::test]
async fn the_next_life_of_a_worker_is_not_told_to_forget_ends(#[case] case: Case) {
    let agent = spawn().await;
    let mut placer = link(&agent, 1).await;
    assert_eq!(placer.inventory().await, Vec::new());
    let end = End { number: 1, task: task(1), run: 1, kind: EndKind::Done, checkpoint: "".into() };
    agent.worker.change(|script| script.look = Ok(PollResponse { ends: vec![end], ..empty_look() }));
    placer.wait_for("the end", |message| matches!(message, FromAgent::Ends { .. }).then_some(())).await;
    placer.sender.post(ToAgent::Settle { life: life(), cursor: 1 });
    agent.worker.change(|script| script.look = Ok(empty_look()));
    agent.worker.wait_for("the end is forgotten", |script| script.looks.iter().any(|ask| ask.cursor == 1)).await;
    // Looks are slow now, so that none is under way by chance when the next life begins.
    agent.worker.change(|script| script.look_takes = Duration::from_millis(300));
    let looks = agent.worker.change(|script| script.looks.len());
    agent.worker.wait_for("a slow look", |script| script.looks.len() > looks).await;
    agent.worker.change(|script| match case {
        Case::YoungClock => script.start = StartOutcome::Running { clock_ms: Some(20) },
        Case::LookFailed => script.look = Err(PollError::Unknown),
        Case::StartUnanswered => script.start = StartOutcome::Unknown,
    });
    placer.start(task(2), 2);
    agent.worker.wait_for("the start", |script| !script.starts.is_empty()).await;
    // The look that fails is sent before anything is known.
    let before = usize::from(case == Case::LookFailed);
    let first = agent.worker.change(|script| script.looks.len()) + before;
    agent.worker.wait_for("a look at the next life", |script| script.looks.len() > first).await;
    assert_eq!(agent.worker.change(|script| script.looks[first].cursor), 0);
    // The life is the same after all.
    agent.worker.change(|script| script.look = Ok(empty_look()));
    agent
        .worker
        .wait_for("ends are settled again", |script| script.looks.last().is_some_and(|ask| ask.cursor == 1))
        .await;
}

/// What shows that the worker may have begun a next life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Case {
    YoungClock,
    LookFailed,
    StartUnanswered,
}
