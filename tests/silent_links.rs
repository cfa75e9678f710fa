//! Links that go silent while new ones work: requests are neither lost nor run twice, and the path recovers.

mod harness;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilledge_standins::network::Faults;
use harness::cluster::{self, Cluster};
use harness::{Answer, send};
use rstest::rstest;

/// Counts how often each path was begun.
fn begun(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for path in cluster.executed() {
        *counts.entry(path).or_default() += 1;
    }
    counts
}

/// Sends `count` requests at once, each with a path of its own.
async fn send_many(cluster: &Cluster, method: &'static str, count: usize, work_ms: &'static str) -> Vec<Answer> {
    let callers = cluster.entries[0].callers();
    let sent = (0..count).map(|number| async move {
        let path = format!("/portal/{number}");
        send(callers, method, &path, &[("x-work-ms", work_ms)], Vec::new()).await.expect("answer")
    });
    futures_util::future::join_all(sent).await
}

/// Asserts that each answer tells the truth about its request.
fn assert_true(cluster: &Cluster, answers: &[Answer]) {
    let begun = begun(cluster);
    for (number, answer) in answers.iter().enumerate() {
        let times = begun.get(&format!("/{number}")).copied().unwrap_or(0);
        match answer.outcome() {
            None => assert_eq!(times, 1, "{number}: answered {answer:?}"),
            Some("not-run") => assert_eq!(times, 0, "{number}: told that it wasn't run"),
            Some(_) => assert!(times <= 1, "{number}: begun {times} times"),
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Silence {
    /// Open connections are silent for good, new ones work.
    HalfOpen,
    /// What agents send is lost, for open and new connections.
    ToEntry,
    /// What entries send is lost, for open and new connections.
    ToAgent,
    /// Open connections are closed.
    Cut,
}

fn silence(cluster: &Cluster, silence: Silence) {
    let network = &cluster.entries[0].network;
    match silence {
        Silence::HalfOpen => network.half_open(),
        Silence::ToEntry => network.set(Faults { silent_to_target: true, ..Faults::default() }),
        Silence::ToAgent => network.set(Faults { silent_to_caller: true, ..Faults::default() }),
        Silence::Cut => network.cut(),
    }
}

#[rstest]
#[case::half_open(Silence::HalfOpen)]
#[case::to_entry(Silence::ToEntry)]
#[case::to_agent(Silence::ToAgent)]
#[case::cut(Silence::Cut)]
#[tokio::test(flavor = "multi_thread")]
async fn requests_under_way_have_true_ends(#[case] kind: Silence) {
    let cluster = cluster::start(1, 3).await;
    let faults = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        silence(&cluster, kind);
        tokio::time::sleep(Duration::from_secs(3)).await;
        cluster.entries[0].network.set(Faults::default());
        // What was silent stays silent; the agents have opened links beside it.
        cluster.entries[0].network.cut();
    };
    let (answers, ()) = tokio::join!(send_many(&cluster, "POST", 20, "400"), faults);
    tokio::time::sleep(Duration::from_millis(600)).await;

    assert_true(&cluster, &answers);
    cluster.wait_for_workers(3).await;
    let after = send(cluster.entries[0].callers(), "POST", "/portal/after", &[], Vec::new()).await.expect("answer");
    assert_eq!(after.status, 200, "{after:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_cross_to_the_link_that_takes_the_place_of_a_silent_one() {
    let cluster = cluster::start(1, 3).await;
    let faults = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        cluster.entries[0].network.half_open();
    };
    let (answers, ()) = tokio::join!(send_many(&cluster, "POST", 12, "4000"), faults);

    assert_true(&cluster, &answers);
    let statuses: Vec<u16> = answers.iter().map(|answer| answer.status).collect();
    assert_eq!(statuses, [200; 12], "the backend servers were reachable again before they answered: {answers:?}");
}
