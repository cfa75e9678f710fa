//! What an agent says of a worker's capacity, which may change while the worker runs.

mod support;

use std::time::{Duration, Instant};

use chervilledge_cell::worker::{Life, Worker};
use chervilledge_policy::capacity::Resources;
use chervilledge_scheduler::message::FromAgent;
use chervilledge_scheduler::worker::PollResponse;
use support::agent::{self, Link, idle_poll, life};

/// Interval at which workers report.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Users take a lasting task as lost that doesn't run for this long beside free capacity.
const LOST_AFTER: Duration = Duration::from_secs(3);
const CAPACITY: Resources = Resources { processor_millicores: 16_000, memory_bytes: 0, accelerators: 0 };

async fn inventory(link: &mut Link) -> Worker {
    link.wait_for("inventory", |message| match message {
        FromAgent::Inventory { worker, .. } => worker,
        _ => None,
    })
    .await
}

/// A restarted worker may be of another size: nothing may start there by the size of its former life.
#[tokio::test]
async fn a_restarted_worker_is_taken_to_have_its_former_capacity() {
    let agent = agent::spawn().await;
    let mut link = agent::link(&agent, 2).await;
    assert_eq!(inventory(&mut link).await.resources, CAPACITY);
    let next = Life { born_unix_ms: 8, ..life() };
    agent.worker.change(|script| script.poll = Ok(PollResponse { born_unix_ms: Some(8), ..idle_poll() }));
    let worker = inventory(&mut link).await;
    assert_eq!((worker.life, worker.resources), (next.clone(), Resources::default()));
    agent.report(next);
    let changed = |message: FromAgent| match message {
        FromAgent::Worker(worker) => Some(worker.resources),
        _ => None,
    };
    assert_eq!(link.wait_for("change", changed).await, CAPACITY);
}

/// A successor would start tasks by a capacity that the worker no longer has.
#[tokio::test]
async fn a_new_placer_learns_a_capacity_from_before_it_shrank() {
    let agent = agent::spawn().await;
    let mut link = agent::link(&agent, 2).await;
    inventory(&mut link).await;
    let shrunk = Resources { processor_millicores: 3_000, ..CAPACITY };
    agent.report_resources(life(), 2, shrunk);
    let changed = |message: FromAgent| matches!(message, FromAgent::Worker(_)).then_some(());
    link.wait_for("change", changed).await;
    let mut next = agent::link(&agent, 3).await;
    assert_eq!(inventory(&mut next).await.resources, shrunk);
}

fn changed_capacity(message: FromAgent) -> Option<Resources> {
    if let FromAgent::Worker(worker) = message { Some(worker.resources) } else { None }
}

/// One report of another writer with a high number hid all later ones of the worker, and its capacity went unused.
#[tokio::test]
async fn a_high_report_number_of_another_writer_hides_the_capacity_of_a_worker() {
    let agent = agent::spawn().await;
    let mut link = agent::link(&agent, 2).await;
    inventory(&mut link).await;
    let foreign = Resources { processor_millicores: 1, ..CAPACITY };
    agent.report_resources(life(), 1_000_000, foreign);
    assert_eq!(link.wait_for("the foreign report", changed_capacity).await, foreign);
    let hidden_since = Instant::now();
    let reports = async {
        for sequence in 2.. {
            agent.report_resources(life(), sequence, CAPACITY);
            tokio::time::sleep(REPORT_INTERVAL).await;
        }
    };
    let capacity = tokio::select! {
        () = reports => unreachable!("the worker goes on reporting"),
        capacity = link.wait_for("the capacity of the worker", changed_capacity) => capacity,
    };
    assert_eq!(capacity, CAPACITY);
    assert!(hidden_since.elapsed() < LOST_AFTER, "known after {:?}", hidden_since.elapsed());
}

/// Delayed reports brought back a capacity that the worker no longer has.
#[tokio::test]
async fn delayed_reports_restore_a_capacity_from_before_it_shrank() {
    let agent = agent::spawn().await;
    let mut link = agent::link(&agent, 2).await;
    inventory(&mut link).await;
    let shrunk = Resources { processor_millicores: 3_000, ..CAPACITY };
    agent.report_resources(life(), 5, shrunk);
    assert_eq!(link.wait_for("the change", changed_capacity).await, shrunk);
    for sequence in 2..5 {
        agent.report_resources(life(), sequence, CAPACITY);
    }
    let changed = tokio::time::timeout(REPORT_INTERVAL, link.wait_for("nothing", changed_capacity)).await;
    assert!(changed.is_err(), "{changed:?}");
}
