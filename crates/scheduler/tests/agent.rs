//! What an agent tells a placer of its worker's runs.

mod support;

use std::time::Duration;

use chervilledge_scheduler::message::FromAgent;
use chervilledge_scheduler::worker::{Ordered, Started};
use support::agent::{link, spawn, task};

/// Attempts at a start that were sent may be carried out seconds later. A placer that doesn't know of them would start the
/// task elsewhere.
#[tokio::test]
async fn a_new_placer_is_told_of_starts_that_may_still_be_carried_out() {
    let agent = spawn().await;
    agent.worker.change(|script| (script.start, script.stop) = (Started::Unknown, Ordered::Unknown));
    let mut former = link(&agent, 1).await;
    assert_eq!(former.inventory().await, Vec::new());
    former.start(task(1), 1);
    agent.worker.wait_for("the agent gives up the start", |script| !script.stops.is_empty()).await;
    let mut present = link(&agent, 2).await;
    assert_eq!(present.inventory().await, vec![(task(1), 1)]);
    // Once the worker has taken the stop, the run can't start any more.
    agent.worker.change(|script| script.stop = Ordered::Taken);
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
