//! A worker with more ends than it lists at a time.

mod support;

use std::time::Duration;

use chervilledge_cell::worker::{End, EndKind};
use chervilledge_scheduler::message::{FromAgent, ToAgent};
use chervilledge_scheduler::worker::PollResponse;
use support::agent::{Link, RunningAgent, idle_poll, life, link, spawn, task};

/// Time in which an unwanted message would arrive: several polls.
const QUIET: Duration = Duration::from_millis(800);

fn end(number: u64) -> End {
    End { number, task: task(number), run: 1, kind: EndKind::Done, checkpoint: "".into() }
}

/// The worker lists the end of task 1 only.
fn first_page() -> PollResponse {
    PollResponse { ends: vec![end(1)], has_more_ends: true, ..idle_poll() }
}

/// Numbers of the ends in the next inventory, and whether it is partial.
async fn inventory(placer: &mut Link) -> (Vec<u64>, bool) {
    let chosen = |message| match message {
        FromAgent::Inventory { ends, is_partial, .. } => Some((numbers(&ends), is_partial)),
        _ => None,
    };
    placer.wait_for("inventory", chosen).await
}

fn numbers(ends: &[End]) -> Vec<u64> {
    ends.iter().map(|end| end.number).collect()
}

async fn agent_with_many_ends() -> (RunningAgent, Link) {
    let agent = spawn().await;
    agent.worker.change(|script| script.poll = Ok(first_page()));
    let mut placer = link(&agent, 2).await;
    assert_eq!(inventory(&mut placer).await, (vec![1], true));
    (agent, placer)
}

/// A new placer took the first page of ends for all of them, and started the tasks of the others again (`review/3`).
#[tokio::test]
async fn the_first_page_of_ends_is_taken_for_all_of_them() {
    let (agent, mut placer) = agent_with_many_ends().await;
    placer.sender.post(ToAgent::Settle { life: life(), cursor: 1 });
    agent.worker.wait_for("the end is settled", |script| script.polls.iter().any(|poll| poll.cursor == 1)).await;
    // A second page, and the last one.
    agent.worker.change(|script| script.poll = Ok(PollResponse { ends: vec![end(2)], ..first_page() }));
    let ends = |message| match message {
        FromAgent::Ends { ends, .. } => Some(numbers(&ends)),
        FromAgent::Inventory { .. } => panic!("not all ends are known"),
        _ => None,
    };
    assert_eq!(placer.wait_for("the second page", ends).await, [2]);
    placer.sender.post(ToAgent::Settle { life: life(), cursor: 2 });
    agent.worker.change(|script| script.poll = Ok(PollResponse { ends: vec![end(3)], ..idle_poll() }));
    assert_eq!(inventory(&mut placer).await, (vec![3], false));
}

/// While the store is down, the ends of the first page must not be sent with every poll.
#[tokio::test]
async fn a_partial_inventory_is_sent_once() {
    let (_agent, mut placer) = agent_with_many_ends().await;
    let unwanted = |message| matches!(message, FromAgent::Inventory { .. } | FromAgent::Ends { .. }).then_some(());
    let repeated = tokio::time::timeout(QUIET, placer.wait_for("nothing", unwanted)).await;
    assert!(repeated.is_err(), "the same ends are sent again");
}

/// Each new link gets an inventory of its own.
#[tokio::test]
async fn the_next_placer_is_told_that_ends_are_missing() {
    let (agent, placer) = agent_with_many_ends().await;
    drop(placer);
    let mut next = link(&agent, 3).await;
    assert_eq!(inventory(&mut next).await, (vec![1], true));
    agent.worker.change(|script| script.poll = Ok(PollResponse { ends: vec![end(1), end(2)], ..idle_poll() }));
    assert_eq!(inventory(&mut next).await, (vec![1, 2], false));
}

/// A stopped run whose end isn't listed yet was reported as absent, and its task started again.
#[tokio::test]
async fn a_run_whose_end_is_not_listed_counts_as_absent() {
    let (agent, mut placer) = agent_with_many_ends().await;
    placer.sender.post(ToAgent::Stop { life: life(), task: task(2), run: 1 });
    agent.worker.wait_for("the stop", |script| !script.stops.is_empty()).await;
    let absent = |message| matches!(message, FromAgent::Absent { .. }).then_some(());
    assert!(tokio::time::timeout(QUIET, placer.wait_for("nothing", absent)).await.is_err(), "the run may have ended");
    agent.worker.change(|script| script.poll = Ok(PollResponse { ends: vec![end(1)], ..idle_poll() }));
    placer.wait_for("absence", absent).await;
}
