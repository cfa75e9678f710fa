//! Calls that are meant for a former life of the worker and carried out by the next one.

mod support;

use std::time::{Duration, Instant};

use chervilledge_cell::worker::{End, EndKind, Life, RunReport};
use chervilledge_scheduler::message::{FromAgent, ToAgent};
use chervilledge_scheduler::worker::{PollError, PollResponse, StartOutcome};
use rstest::rstest;
use support::agent::{Link, RunningAgent, Script, idle_poll, life, link, link_without_grants, spawn, task};

/// Longest lease that the worker grants.
const WORKER_LEASE_MAX: Duration = Duration::from_secs(10);
/// Duration of a poll that is slow enough for a test to change the script during it.
const SLOW_POLL: Duration = Duration::from_millis(300);

/// What indicates that the worker may have restarted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Sign {
    PollFailed,
    StartUnanswered,
    YoungerClock,
    Report,
}

fn running(id: u64) -> RunReport {
    RunReport { task: task(id), run: 1, checkpoint: "".into(), percent: 10, measured: 400, pace_percent: 100 }
}

/// Starts an agent whose worker has a lease, and a placer.
async fn spawn_with_lease() -> (RunningAgent, Link) {
    let agent = spawn().await;
    let mut placer = link(&agent, 1).await;
    assert_eq!(placer.inventory().await, Vec::new());
    placer
        .serve_until(&agent.worker, "a lease", |script| script.polls.iter().any(|poll| poll.lease_end_ms.is_some()))
        .await;
    (agent, placer)
}

/// Returns the number of polls so far, once a slow one has been sent and the next one may be scripted.
async fn slow_down_polls(agent: &RunningAgent) -> usize {
    agent.worker.change(|script| script.poll_delay = SLOW_POLL);
    let polls = agent.worker.change(|script| script.polls.len());
    agent.worker.wait_for("a slow poll", |script| script.polls.len() > polls).await;
    agent.worker.change(|script| script.polls.len())
}

/// A lease ends at a time of the worker's clock: the next life takes that of the former one for its longest lease.
#[rstest]
#[tokio::test]
async fn the_next_life_of_a_worker_gets_no_lease_by_the_clock_of_the_former_one(
    #[values(Sign::PollFailed, Sign::StartUnanswered, Sign::YoungerClock, Sign::Report)] sign: Sign,
) {
    let (agent, placer) = spawn_with_lease().await;
    let polls = slow_down_polls(&agent).await;
    // The poll that fails was sent before.
    match sign {
        Sign::PollFailed => agent.worker.change(|script| script.poll = Err(PollError::Unknown)),
        Sign::StartUnanswered => agent.worker.change(|script| script.start = StartOutcome::Unknown),
        Sign::YoungerClock => {
            agent.worker.change(|script| script.start = StartOutcome::Running { clock_ms: Some(20) });
        }
        Sign::Report => agent.report(Life { born_unix_ms: 9, ..life() }),
    }
    if matches!(sign, Sign::StartUnanswered | Sign::YoungerClock) {
        placer.start(task(1), 1);
        agent.worker.wait_for("the start", |script| !script.starts.is_empty()).await;
    }
    let first = if sign == Sign::PollFailed { polls + 1 } else { polls };
    agent.worker.wait_for("a poll of the next life", |script| script.polls.len() > first).await;
    assert_eq!(agent.worker.change(|script| script.polls[first].lease_end_ms), None);
}

/// A start carries a lease as well.
#[tokio::test]
async fn a_start_waits_until_the_life_of_the_worker_is_known() {
    let (agent, mut placer) = spawn_with_lease().await;
    agent.worker.change(|script| script.poll = Err(PollError::Unknown));
    let polls = slow_down_polls(&agent).await;
    agent.worker.change(|script| script.poll = Ok(idle_poll()));
    placer.serve_until(&agent.worker, "the poll after the failed one", |script| script.polls.len() > polls).await;
    placer.start(task(1), 1);
    let ordered = Instant::now();
    placer.serve_until(&agent.worker, "the start", |script| !script.starts.is_empty()).await;
    assert!(ordered.elapsed() > SLOW_POLL / 2, "the start was sent before the worker answered");
}

/// A poll that waits is in flight when the worker crashes, and the next life may carry it out.
#[tokio::test]
async fn a_poll_that_waits_carries_neither_a_lease_nor_a_cursor() {
    let (agent, mut placer) = spawn_with_lease().await;
    let end = End { number: 1, task: task(1), run: 1, kind: EndKind::Done, checkpoint: "".into() };
    agent.worker.change(|script| script.poll = Ok(PollResponse { ends: vec![end], ..idle_poll() }));
    placer.wait_for("the end", |message| matches!(message, FromAgent::Ends { .. }).then_some(())).await;
    placer.sender.post(ToAgent::Settle { life: life(), cursor: 1 });
    agent.worker.change(|script| script.poll = Ok(idle_poll()));
    placer
        .serve_until(&agent.worker, "polls that wait", |script| {
            script.polls.iter().filter(|poll| !poll.wait.is_zero()).count() > 10
        })
        .await;
    agent.worker.change(|script| {
        assert!(script.polls.iter().any(|poll| poll.cursor == 1), "the end isn't settled");
        for poll in script.polls.iter().filter(|poll| !poll.wait.is_zero()) {
            assert_eq!((poll.lease_end_ms, poll.cursor), (None, 0));
        }
    });
}

/// A lease of the former life may keep runs going while the placer starts their tasks elsewhere.
#[tokio::test]
async fn runs_that_go_on_without_a_grant_are_stopped() {
    let (agent, placer) = spawn_with_lease().await;
    agent.worker.change(|script| script.poll = Ok(PollResponse { running: vec![running(1)], ..idle_poll() }));
    drop(placer);
    agent.worker.wait_for("the stop", |script| script.stops.contains(&(task(1), 1, 1))).await;
}

/// What became of the last call that carried a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LastCall {
    Answered,
    Unanswered,
    TakenByNextLife,
}

/// The placer takes the runs of a silent agent for ended when the leases that it has granted have ended.
#[rstest]
#[tokio::test]
async fn a_placer_is_told_of_the_lease_that_a_call_to_the_former_life_may_have_granted(
    #[values(LastCall::Answered, LastCall::Unanswered, LastCall::TakenByNextLife)] last_call: LastCall,
) {
    let (agent, mut placer) = spawn_with_lease().await;
    let since = Instant::now();
    if last_call != LastCall::Answered {
        agent.worker.change(|script| {
            script.start = match last_call {
                LastCall::Unanswered => StartOutcome::Unknown,
                _ => StartOutcome::Running { clock_ms: Some(20) },
            };
        });
        placer.start(task(1), 1);
        placer.serve_until(&agent.worker, "the start", |script| !script.starts.is_empty()).await;
    }
    agent.worker.change(|script| script.poll_delay = SLOW_POLL);
    let polls = agent.worker.change(|script| script.polls.len());
    let waits = |script: &Script| script.polls[polls..].last().is_some_and(|poll| !poll.wait.is_zero());
    placer.serve_until(&agent.worker, "a poll without a lease", waits).await;
    agent.worker.change(|script| script.poll = Ok(PollResponse { born_unix_ms: Some(9), ..idle_poll() }));
    agent.report(Life { born_unix_ms: 9, ..life() });
    let told = |message| match message {
        FromAgent::Inventory { worker: Some(worker), foreign_lease, .. } if worker.life != life() => {
            Some(foreign_lease)
        }
        _ => None,
    };
    let lease = placer.wait_for("an inventory of the next life", told).await.map(|left| since.elapsed() + left);
    match last_call {
        LastCall::Answered => assert_eq!(lease, None),
        LastCall::Unanswered => assert!(lease > Some(WORKER_LEASE_MAX + Duration::from_secs(12)), "{lease:?}"),
        LastCall::TakenByNextLife => assert!(lease > Some(WORKER_LEASE_MAX), "{lease:?}"),
    }
}

/// An agent that has just started took the empty grant of a placer that awaits its inventory for one that has ended.
#[tokio::test]
async fn runs_are_stopped_when_an_agent_starts_again_beside_them() {
    let agent = spawn().await;
    agent.worker.change(|script| script.poll = Ok(PollResponse { running: vec![running(1)], ..idle_poll() }));
    let mut placer = link_without_grants(&agent, 1).await;
    assert_eq!(placer.inventory().await, vec![(task(1), 1)]);
    let until = Instant::now() + Duration::from_secs(1);
    placer.wait_for("empty grants", |_| (Instant::now() > until).then_some(())).await;
    assert_eq!(agent.worker.change(|script| script.stops.clone()), Vec::new());
}
