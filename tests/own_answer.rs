//! Every caller receives the whole answer to its own request, or sees that it is broken.

mod harness;

use std::collections::BTreeMap;
use std::time::Duration;

use chervilledge_standins::network::Faults;
use chervilledge_standins::worker::{What, answer_bytes, checksum};
use harness::cluster::{self, Cluster};
use harness::{Answer, send};
use rstest::rstest;

/// Length of a long answer, above the window of a link.
const LONG_ANSWER_BYTES: usize = 1_000_000;

/// Length of a long request body, above what is sent inline and above the window of a link.
const LONG_BODY_BYTES: usize = 700_000;

/// Kind of a request, by what is long about it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Short,
    LongAnswer,
    LongBody,
}

impl Kind {
    fn of(number: usize) -> Self {
        [Self::Short, Self::LongAnswer, Self::LongBody, Self::Short][number % 4]
    }
}

fn body(number: usize) -> Vec<u8> {
    let length = if Kind::of(number) == Kind::LongBody { LONG_BODY_BYTES } else { 40 };
    answer_bytes(&format!("body {number}"), length)
}

async fn send_one(cluster: &Cluster, number: usize) -> Result<Answer, String> {
    let entry = &cluster.entries[number % cluster.entries.len()];
    let length = LONG_ANSWER_BYTES.to_string();
    let mut headers = vec![("x-work-ms", "30")];
    if Kind::of(number) == Kind::LongAnswer {
        headers.push(("x-answer-bytes", &length));
    }
    send(entry.callers(), "POST", &format!("/portal/{number}"), &headers, body(number)).await
}

/// Sends `count` requests, of which `at_once` are under way at the same time.
async fn send_many(cluster: &Cluster, count: usize, at_once: usize) -> Vec<Result<Answer, String>> {
    use futures_util::StreamExt;
    let sent = (0..count).map(|number| send_one(cluster, number));
    futures_util::stream::iter(sent).buffered(at_once).collect().await
}

/// Path that each identifier of a request belongs to, by the backend servers' ledgers.
fn paths(cluster: &Cluster) -> BTreeMap<String, String> {
    let entry = |what| match what {
        What::RequestStarted { request_id, path, .. } => Some((request_id.to_string(), path.to_string())),
        _ => None,
    };
    cluster.ledger().into_iter().filter_map(|event| entry(event.what)).collect()
}

/// Asserts that an answer is whole and the request's own, or visibly broken; tells whether it is whole.
fn assert_own(paths: &BTreeMap<String, String>, number: usize, answer: &Result<Answer, String>) -> bool {
    let Ok(answer) = answer else { return false };
    let Ok(bytes) = &answer.body else { return false };
    if answer.outcome().is_some() {
        return false;
    }
    let id = &answer.headers["x-request-id"];
    assert_eq!(paths.get(id).map(String::as_str), Some(format!("/{number}").as_str()), "{number}: another's answer");
    assert_eq!(answer.status, 200);
    if Kind::of(number) == Kind::LongAnswer {
        assert!(*bytes == answer_bytes(id, LONG_ANSWER_BYTES), "{number}: answer of {} bytes isn't whole", bytes.len());
    } else {
        let echo = answer.json();
        assert_eq!(echo["path"], format!("/{number}"));
        assert_eq!(echo["request_id"], **id);
        assert_eq!(echo["body_checksum"], checksum(&body(number)), "{number}: body arrived changed");
    }
    true
}

fn count_whole(cluster: &Cluster, answers: &[Result<Answer, String>]) -> usize {
    let paths = paths(cluster);
    answers.iter().enumerate().filter(|(number, answer)| assert_own(&paths, *number, answer)).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole_without_faults() {
    let cluster = cluster::start(2, 3).await;
    let answers = send_many(&cluster, 120, 12).await;
    assert_eq!(count_whole(&cluster, &answers), 120, "{answers:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole_over_a_slow_network() {
    let cluster = cluster::start(1, 2).await;
    let slow = Faults { delay: Duration::from_millis(8), bytes_per_s: Some(8_000_000), ..Faults::default() };
    cluster.entries[0].network.set(slow);
    let answers = send_many(&cluster, 40, 8).await;
    assert_eq!(count_whole(&cluster, &answers), 40, "{answers:?}");
}

#[derive(Clone, Copy, Debug)]
enum Fault {
    Cut,
    HalfOpen,
    KillAgent,
    StopAgent,
}

async fn disturb(cluster: &Cluster, fault: Fault) {
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(250)).await;
        match fault {
            Fault::Cut => cluster.entries[0].network.cut(),
            Fault::HalfOpen => cluster.entries[0].network.half_open(),
            Fault::KillAgent => {}
            Fault::StopAgent => cluster.workers[0].agent.signal("STOP"),
        }
        tokio::time::sleep(Duration::from_millis(250)).await;
        if matches!(fault, Fault::StopAgent) {
            cluster.workers[0].agent.signal("CONT");
        }
    }
    if matches!(fault, Fault::KillAgent) {
        cluster.workers[0].agent.signal("KILL");
    }
}

#[rstest]
#[case::cut(Fault::Cut)]
#[case::half_open(Fault::HalfOpen)]
#[case::agent_killed(Fault::KillAgent)]
#[case::agent_stopped(Fault::StopAgent)]
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_whole_or_visibly_broken_under_faults(#[case] fault: Fault) {
    let cluster = cluster::start(2, 3).await;
    let (answers, ()) = tokio::join!(send_many(&cluster, 160, 10), disturb(&cluster, fault));
    assert!(count_whole(&cluster, &answers) > 0, "{answers:?}");
}

#[rstest]
#[case::short("short")]
#[case::reset("reset")]
#[tokio::test(flavor = "multi_thread")]
async fn broken_answer_of_a_backend_server_is_never_passed_off_as_whole(#[case] fail: &str) {
    let cluster = cluster::start(1, 1).await;
    let headers = [("x-fail", fail), ("x-answer-bytes", "100000")];
    let answer = send(cluster.entries[0].callers(), "POST", "/portal/0", &headers, Vec::new()).await;
    let is_whole = answer.as_ref().is_ok_and(|answer| answer.status == 200 && answer.body.is_ok());
    assert!(!is_whole, "{answer:?}");
}
