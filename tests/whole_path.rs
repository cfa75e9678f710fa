//! A request goes from a caller through entry and agent to a backend server and back.

mod harness;

use std::net::SocketAddr;

use chervilledge_standins::{platform, worker};
use harness::{
    WorkDir, accept, agent_settings, documents, entry_settings, send, spawn_agent, spawn_entry, wait_for_version,
    wait_for_workers,
};

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_answered_by_a_backend_server() {
    let directory = WorkDir::new();
    let platform = platform::bind(any_port(), platform::Settings::default()).await.expect("platform");
    accept(platform.address(), 1, documents()).await;
    let backend = worker::bind(any_port(), worker::Settings::default()).await.expect("worker");
    let entry = spawn_entry(&directory, &entry_settings("entry-1", platform.address()));
    let settings = agent_settings("worker-1", &[entry.address("links_address")], backend.address());
    let agent = spawn_agent(&directory, &settings);
    wait_for_version(&agent, "agent", 1).await;
    wait_for_workers(&entry, 1).await;

    let callers = entry.address("callers_address");
    let answer = send(callers, "POST", "/portal/quotes?width_mm=900", &[], b"mesh".to_vec()).await.expect("answer");

    assert_eq!(answer.status, 200, "{answer:?}");
    let echo = answer.json();
    assert_eq!(echo["path"], "/quotes?width_mm=900");
    assert_eq!(echo["body_length_bytes"], 4);
    assert_eq!(echo["request_id"].as_str(), answer.headers.get("x-request-id").map(String::as_str));
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_service_is_refused_at_once() {
    let directory = WorkDir::new();
    let platform = platform::bind(any_port(), platform::Settings::default()).await.expect("platform");
    accept(platform.address(), 1, documents()).await;
    let entry = spawn_entry(&directory, &entry_settings("entry-1", platform.address()));
    wait_for_version(&entry, "entry", 1).await;

    let answer = send(entry.address("callers_address"), "GET", "/nothing/here", &[], Vec::new()).await.expect("answer");

    assert_eq!(answer.status, 404);
    assert_eq!(answer.json()["code"], 1001);
    assert_eq!(answer.outcome(), Some("not-run"));
    assert!(answer.headers.contains_key("retry-after"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn process_without_an_accepted_configuration_takes_no_work() {
    let directory = WorkDir::new();
    let platform = platform::bind(any_port(), platform::Settings::default()).await.expect("platform");
    let entry = spawn_entry(&directory, &entry_settings("entry-1", platform.address()));

    let answer = send(entry.address("callers_address"), "GET", "/portal/x", &[], Vec::new()).await.expect("answer");

    assert_eq!(answer.json()["code"], 1011);
    assert_eq!(answer.outcome(), Some("not-run"));
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_configuration_reaches_both_roles() {
    let directory = WorkDir::new();
    let platform = platform::bind(any_port(), platform::Settings::default()).await.expect("platform");
    accept(platform.address(), 1, documents()).await;
    let backend = worker::bind(any_port(), worker::Settings::default()).await.expect("worker");
    let entry = spawn_entry(&directory, &entry_settings("entry-1", platform.address()));
    let settings = agent_settings("worker-1", &[entry.address("links_address")], backend.address());
    let agent = spawn_agent(&directory, &settings);
    wait_for_version(&agent, "agent", 1).await;

    accept(platform.address(), 2, documents()).await;

    wait_for_version(&entry, "entry", 2).await;
    wait_for_version(&agent, "agent", 2).await;
}
