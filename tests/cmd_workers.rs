//! `chervilledge workers`, `chervilledge drain` and `chervilledge explain` against running daemons.

mod harness;

use std::net::SocketAddr;

use harness::cluster::{self, Cluster};
use harness::operator::{self, Run};
use harness::{send, wait_for_version, wait_until};
use rstest::rstest;
use serde_json::json;

fn operators(cluster: &Cluster, entry: usize) -> SocketAddr {
    cluster.entries[entry].process.address("operators_address")
}

async fn run(cluster: &Cluster, entry: usize, arguments: &str) -> Run {
    let options = operator::options(&cluster.directory, operators(cluster, entry));
    operator::run(&cluster.directory, &format!("{arguments} {options}")).await
}

#[tokio::test(flavor = "multi_thread")]
async fn workers_are_listed() {
    let cluster = cluster::start(1, 3).await;
    let listed = run(&cluster, 0, "workers").await;
    assert_eq!((listed.status, listed.err.as_str()), (0, ""));
    let rows: Vec<Vec<&str>> = listed.out.lines().map(|line| line.split_whitespace().collect()).collect();
    assert_eq!(rows.len(), 4, "{}", listed.out);
    for (number, row) in rows[1..].iter().enumerate() {
        let worker = format!("worker-{}", number + 1);
        assert_eq!(row[..8], [&*worker, "portal", "hobart-1", "live", "yes", "0", "0", "no"], "{}", listed.out);
    }
    let json = run(&cluster, 0, "workers --json").await.json();
    assert_eq!(json.as_array().map(Vec::len), Some(3), "{json}");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_without_workers_says_so() {
    let cluster = cluster::start(1, 0).await;
    assert_eq!(run(&cluster, 0, "workers").await.out, "The entry knows no worker.\n");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_worker_gets_no_new_requests_from_any_entry() {
    let cluster = cluster::start(2, 2).await;
    let drained = run(&cluster, 0, "drain worker-1").await;
    assert_eq!((drained.status, drained.out.as_str()), (0, "Worker worker-1 drains.\n"), "{drained:?}");
    for entry in 0..2 {
        wait_until("the entry knows of the drain", || async {
            let listed = run(&cluster, entry, "workers").await.out;
            listed.lines().any(|line| line.starts_with("worker-1 ") && line.contains(" draining "))
        })
        .await;
    }
    for number in 0..20 {
        let callers = cluster.entries[number % 2].callers();
        let answer = send(callers, "GET", &format!("/portal/after-{number}"), &[], Vec::new()).await.expect("answer");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert_eq!(cluster.executed_on("/after-"), ["worker-2".to_owned()].into());
    let again = run(&cluster, 1, "drain worker-1 --json").await;
    assert_eq!((again.status, again.json()), (0, json!({ "worker": "worker-1", "draining": true })));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_explained_step_by_step() {
    let cluster = cluster::start(1, 1).await;
    let answer = send(cluster.entries[0].callers(), "GET", "/portal/x", &[], Vec::new()).await.expect("answer");
    let id = &answer.headers["x-request-id"];
    let explained = run(&cluster, 0, &format!("explain {id}")).await;
    assert_eq!(explained.status, 0, "{explained:?}");
    let lines: Vec<&str> = explained.out.lines().collect();
    assert_eq!(lines[0], format!("Request {id} of service portal:"));
    let steps: Vec<&str> = lines[2..].iter().filter_map(|line| line.split_whitespace().nth(1)).collect();
    assert_eq!(steps, ["dispatched", "head", "answered"], "{}", explained.out);
    assert!(lines[2].contains("worker=worker-1"), "{}", explained.out);
    let json = run(&cluster, 0, &format!("explain {id} --json")).await.json();
    assert_eq!(json["request"], json!(id));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_is_explained_with_its_reason() {
    let cluster = cluster::start(1, 0).await;
    wait_for_version(&cluster.entries[0].process, "entry", 1).await;
    let refused = send(cluster.entries[0].callers(), "GET", "/portal/x", &[], Vec::new()).await.expect("answer");
    assert_eq!(refused.outcome(), Some("not-run"));
    let id = &refused.headers["x-request-id"];
    let explained = run(&cluster, 0, &format!("explain {id}")).await;
    let last = explained.out.lines().last().unwrap_or_default();
    assert!(last.contains("not_run") && last.contains("code=1002"), "{explained:?}");
    assert!(last.contains("reason=no backend server available"), "{explained:?}");
}

#[rstest]
#[case::no_worker("drain", 61)]
#[case::two_workers("drain one two", 61)]
#[case::unknown_worker("drain absent", 69)]
#[case::path("drain ../state?x", 61)]
#[case::no_id("explain", 61)]
#[case::not_an_id("explain x", 68)]
#[case::unknown_id("explain 0000000000000001-1", 69)]
#[case::argument("workers one", 61)]
#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_call_is_refused(#[case] arguments: &str, #[case] status: i32) {
    let cluster = cluster::start(1, 0).await;
    let refused = run(&cluster, 0, arguments).await;
    assert_eq!((refused.status, refused.out.as_str()), (status, ""), "{refused:?}");
    assert!(!refused.err.is_empty());
    let json = run(&cluster, 0, &format!("{arguments} --json")).await;
    assert!(json.json()["code"].is_u64(), "{json:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_refused_before_its_service_is_known_is_explained() {
    let cluster = cluster::start(1, 0).await;
    wait_for_version(&cluster.entries[0].process, "entry", 1).await;
    let refused = send(cluster.entries[0].callers(), "GET", "/absent/x", &[], Vec::new()).await.expect("answer");
    let id = &refused.headers["x-request-id"];
    let explained = run(&cluster, 0, &format!("explain {id}")).await.out;
    assert!(explained.starts_with(&format!("Request {id}")), "{explained}");
    assert!(explained.contains("code=1001"), "{explained}");
}
