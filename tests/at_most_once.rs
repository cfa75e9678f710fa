//! A request that must not be repeated runs at most once, and what was told not run was not run.

mod harness;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use chervilledge_standins::platform::Faults as PlatformFaults;
use harness::cluster::{self, Cluster};
use harness::{Answer, PATIENCE, send};
use rstest::rstest;
use serde_json::json;

/// Counts how often each path was begun.
fn begun(cluster: &Cluster) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for path in cluster.executed() {
        *counts.entry(path).or_default() += 1;
    }
    counts
}

/// Sends `count` requests, of which `at_once` are under way at the same time.
async fn send_many(cluster: &Cluster, count: usize, at_once: usize, work_ms: &'static str) -> Vec<Answer> {
    send_many_within(cluster, count, at_once, work_ms, "4000").await
}

/// Does the same with callers that wait for `timeout_ms`.
async fn send_many_within(
    cluster: &Cluster,
    count: usize,
    at_once: usize,
    work_ms: &'static str,
    timeout_ms: &'static str,
) -> Vec<Answer> {
    use futures_util::StreamExt;
    let sent = (0..count).map(|number| async move {
        let callers = cluster.entries[number % cluster.entries.len()].callers();
        let path = format!("/portal/{number}");
        send(callers, "POST", &path, &[("x-work-ms", work_ms), ("x-timeout-ms", timeout_ms)], Vec::new()).await
    });
    let answers: Vec<Result<Answer, String>> = futures_util::stream::iter(sent).buffered(at_once).collect().await;
    answers.into_iter().map(|answer| answer.expect("answer")).collect()
}

/// Asserts that no request was begun twice, and that none of those told not run was begun.
fn assert_told_truly(cluster: &Cluster, answers: &[Answer]) {
    let begun = begun(cluster);
    assert!(begun.values().all(|times| *times == 1), "{begun:?}");
    for (number, answer) in answers.iter().enumerate() {
        let was_begun = begun.contains_key(&format!("/{number}"));
        match answer.outcome() {
            None => assert!(was_begun, "{number}: answered without being run"),
            Some("not-run") => {
                assert!(!was_begun, "{number}: told not run");
                assert!(answer.headers.contains_key("retry-after"), "{number}: {answer:?}");
            }
            Some(_) => {}
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    KillAgents,
    CutLinks,
    HalfOpenLinks,
    StopAgent,
    Drain,
}

async fn disturb(cluster: &Cluster, fault: Fault) {
    for round in 0..4 {
        tokio::time::sleep(Duration::from_millis(300)).await;
        match fault {
            Fault::KillAgents if round < 2 => cluster.workers[round].agent.signal("KILL"),
            Fault::Drain if round < 2 => cluster.workers[round].agent.signal("TERM"),
            Fault::CutLinks => cluster.entries.iter().for_each(|entry| entry.network.cut()),
            Fault::HalfOpenLinks => cluster.entries[0].network.half_open(),
            Fault::StopAgent => {
                cluster.workers[0].agent.signal("STOP");
                tokio::time::sleep(Duration::from_millis(1_900)).await;
                cluster.workers[0].agent.signal("CONT");
            }
            Fault::KillAgents | Fault::Drain => {}
        }
    }
}

#[rstest]
#[case::agents_killed(Fault::KillAgents)]
#[case::links_cut(Fault::CutLinks)]
#[case::links_half_open(Fault::HalfOpenLinks)]
#[case::agent_stopped(Fault::StopAgent)]
#[case::agents_drained(Fault::Drain)]
#[tokio::test(flavor = "multi_thread")]
async fn requests_run_at_most_once_under_faults(#[case] fault: Fault) {
    let cluster = cluster::start(2, 3).await;
    let (answers, ()) = tokio::join!(send_many(&cluster, 150, 16, "80"), disturb(&cluster, fault));
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_told_truly(&cluster, &answers);
    assert!(answers.iter().any(|answer| answer.status == 200), "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn overload_is_refused_at_once_and_not_run() {
    let cluster = cluster::start(1, 1).await;
    let started = Instant::now();
    let answers = send_many_within(&cluster, 60, 60, "1500", "120000").await;

    assert_told_truly(&cluster, &answers);
    let refused = answers.iter().filter(|answer| answer.outcome() == Some("not-run")).count();
    assert!(refused >= 60 - 8 - 16, "only {refused} of 60 refused by 8 slots and a queue of 16");
    assert!(started.elapsed() < PATIENCE, "the refused were held towards their deadline of two minutes");
}

#[tokio::test(flavor = "multi_thread")]
async fn request_whose_caller_went_away_while_it_waited_never_runs() {
    let cluster = cluster::start_with(1, 1, |_| {}, |agent| agent["capacity"]["slots"] = json!(1)).await;
    let callers = cluster.entries[0].callers();
    let busy = send(callers, "POST", "/portal/busy", &[("x-work-ms", "200")], Vec::new());
    let leaves = async {
        harness::wait_until("the slot is taken", || async { !cluster.executed().is_empty() }).await;
        let waiting = send(callers, "POST", "/portal/left", &[], Vec::new());
        let left = tokio::time::timeout(Duration::from_millis(50), waiting).await;
        assert!(left.is_err(), "it waits for the slot: {left:?}");
    };
    let (busy, ()) = tokio::join!(busy, leaves);
    assert_eq!(busy.expect("answer").status, 200);

    let after = send(callers, "POST", "/portal/after", &[], Vec::new()).await.expect("answer");
    assert_eq!(after.status, 200, "{after:?}");
    assert_eq!(cluster.executed(), ["/busy", "/after"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn restarted_agent_is_not_taken_for_its_predecessor() {
    let mut cluster = cluster::start(1, 1).await;
    let callers = cluster.entries[0].callers();
    let lost = tokio::spawn(async move {
        send(callers, "POST", "/portal/lost", &[("x-work-ms", "1500")], Vec::new()).await.expect("answer")
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.restart_agent(0);
    let lost = lost.await.expect("task");

    assert_eq!(lost.outcome(), Some("unknown"), "{lost:?}");
    cluster.wait_for_workers(1).await;
    assert_eq!(cluster.executed(), ["/lost"]);
}

const KEY: &str = "idempotency-key";

#[tokio::test(flavor = "multi_thread")]
async fn retries_with_one_key_through_any_entry_run_once() {
    let cluster = cluster::start(2, 3).await;
    let sent = (0..12).map(|number| {
        let callers = cluster.entries[number % 2].callers();
        async move {
            send(callers, "POST", "/portal/order", &[(KEY, "order-7"), ("x-work-ms", "50")], b"mesh".to_vec()).await
        }
    });
    let answers = futures_util::future::join_all(sent).await;
    let answers: Vec<Answer> = answers.into_iter().map(|answer| answer.expect("answer")).collect();

    assert_eq!(cluster.executed(), ["/order"]);
    assert_eq!(answers.iter().filter(|answer| answer.status == 200).count(), 1, "{answers:?}");
    assert!(answers.iter().all(|answer| answer.outcome() != Some("not-run")), "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_request_that_was_not_run_is_free_again() {
    let mut cluster = cluster::start(1, 1).await;
    cluster.workers[0].agent.kill();
    let callers = cluster.entries[0].callers();
    let refused = send(callers, "POST", "/portal/order", &[(KEY, "order-8")], Vec::new()).await.expect("answer");
    assert_eq!(refused.outcome(), Some("not-run"), "{refused:?}");
    cluster.restart_agent(0);
    cluster.wait_for_workers(1).await;

    harness::wait_until("the key is free", || async {
        let retry = send(callers, "POST", "/portal/order", &[(KEY, "order-8")], Vec::new()).await.expect("answer");
        retry.status == 200
    })
    .await;
    assert_eq!(cluster.executed(), ["/order"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_request_under_a_used_key_is_refused() {
    let cluster = cluster::start(1, 1).await;
    let callers = cluster.entries[0].callers();
    let first = send(callers, "POST", "/portal/a", &[(KEY, "order-9")], Vec::new()).await.expect("answer");
    let other = send(callers, "POST", "/portal/b", &[(KEY, "order-9")], Vec::new()).await.expect("answer");

    assert_eq!(first.status, 200);
    assert_eq!((other.status, other.json()["code"].as_u64()), (409, Some(1010)), "{other:?}");
    assert_eq!(cluster.executed(), ["/a"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_with_a_key_is_not_run_while_the_platform_is_away() {
    let cluster = cluster::start(1, 1).await;
    cluster.platform.control(PlatformFaults { down: true, ..PlatformFaults::default() });
    let callers = cluster.entries[0].callers();
    let started = Instant::now();
    let headers = [(KEY, "order-10"), ("x-timeout-ms", "120000")];
    let keyed = send(callers, "POST", "/portal/keyed", &headers, Vec::new()).await.expect("answer");

    assert_eq!(keyed.outcome(), Some("not-run"), "{keyed:?}");
    assert_eq!(keyed.json()["code"], json!(1009));
    assert!(started.elapsed() < PATIENCE, "held towards its deadline of two minutes");
    let plain = send(callers, "POST", "/portal/plain", &[], Vec::new()).await.expect("answer");
    assert_eq!(plain.status, 200, "requests without a key go on: {plain:?}");
    assert_eq!(cluster.executed(), ["/plain"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_reply_to_a_claim_neither_runs_twice_nor_blocks_the_key() {
    let cluster = cluster::start(1, 1).await;
    cluster.platform.control(PlatformFaults { lose_reply_next: 3, ..PlatformFaults::default() });
    let callers = cluster.entries[0].callers();
    harness::wait_until("the request is answered", || async {
        let answer = send(callers, "POST", "/portal/order", &[(KEY, "order-11")], Vec::new()).await.expect("answer");
        answer.status == 200 || answer.outcome() == Some("answered")
    })
    .await;
    assert_eq!(cluster.executed(), ["/order"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_that_takes_effect_late_is_released() {
    let cluster = cluster::start(1, 1).await;
    // The write takes effect and its reply is lost; the read that proves it ends after the bound on a claim.
    let slow = Duration::from_millis(850);
    cluster.platform.control(PlatformFaults { lose_reply_next: 1_000, slow, ..PlatformFaults::default() });
    let callers = cluster.entries[0].callers();
    let refused = send(callers, "POST", "/portal/order", &[(KEY, "order-12")], Vec::new()).await.expect("answer");
    assert_eq!(refused.outcome(), Some("not-run"), "{refused:?}");
    cluster.platform.control(PlatformFaults::default());

    harness::wait_until("the key is free", || async {
        let retry = send(callers, "POST", "/portal/order", &[(KEY, "order-12")], Vec::new()).await.expect("answer");
        retry.status == 200
    })
    .await;
    assert_eq!(cluster.executed(), ["/order"]);
}
