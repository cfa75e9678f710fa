//! Wrong and missing secrets are refused on both listeners, a secret can be replaced without an interruption, and
//! nothing of a secret is shown anywhere.

mod harness;

use std::net::SocketAddr;
use std::path::PathBuf;

use chervilledge::settings;
use chervilledge_link::connection;
use chervilledge_link::error::Error;
use chervilledge_policy::code::Code;
use harness::cluster::{self, Cluster};
use harness::{LINK_SECRET, OPERATOR_SECRET, Process, send, spawn_agent, state, wait_until};
use rstest::rstest;
use serde_json::{Value, json};

const NEW_LINK_SECRET: &str = "newer-link-value-0123";
const NEW_OPERATOR_SECRET: &str = "newer-operator-value-0123";

/// Routes of entries and agents.
const ROUTES: &[(&str, &str)] = &[
    ("GET", "/state"),
    ("GET", "/metrics"),
    ("GET", "/status"),
    ("GET", "/config"),
    ("POST", "/config/accept"),
    ("POST", "/drain/worker-1"),
    ("GET", "/absent"),
];

async fn ask(operators: SocketAddr, secret: &str, path: &str) -> u16 {
    let authorization = format!("Bearer {secret}");
    let headers = [("authorization", authorization.as_str())];
    send(operators, "GET", path, &headers, Vec::new()).await.expect("answer").status
}

fn operators(cluster: &Cluster) -> [SocketAddr; 2] {
    [&cluster.entries[0].process, &cluster.workers[0].agent].map(|process| process.address("operators_address"))
}

#[rstest]
#[case::missing(None)]
#[case::empty(Some(""))]
#[case::wrong(Some("Bearer wrong-secret-0123456789"))]
#[case::start_of_the_right_one(Some("Bearer operator-secret-for-test"))]
#[case::link_secret(Some("Bearer link-secret-for-tests"))]
#[case::other_scheme(Some("Basic operator-secret-for-tests"))]
#[tokio::test(flavor = "multi_thread")]
async fn operators_without_the_secret_are_refused(#[case] authorization: Option<&str>) {
    let cluster = cluster::start(1, 1).await;
    let headers: Vec<(&str, &str)> = authorization.map(|value| ("authorization", value)).into_iter().collect();
    for operators in operators(&cluster) {
        for (method, path) in ROUTES {
            let refused = send(operators, method, path, &headers, b"{}".to_vec()).await.expect("answer");
            assert_eq!((refused.status, &refused.json()["code"]), (401, &json!(6003)), "{method} {path}");
        }
        assert_eq!(ask(operators, OPERATOR_SECRET, "/state").await, 200, "the right secret is taken");
    }
    // The refused drain has drained nothing.
    cluster.wait_for_workers(1).await;
}

#[rstest]
#[case::wrong("wrong-secret-0123456789")]
#[case::start_of_the_right_one("link-secret-for-test")]
#[case::operator_secret(OPERATOR_SECRET)]
#[tokio::test(flavor = "multi_thread")]
async fn links_without_the_secret_are_refused(#[case] secret: &str) {
    let mut cluster = cluster::start(1, 0).await;
    let links = cluster.entries[0].process.address("links_address");
    let refused = connection::open(links, secret).await.expect_err("refused");
    assert!(matches!(refused, Error::Refused(Code::LinkSecret)), "{refused}");

    cluster.add_worker("worker-stranger", |settings| settings["link_secrets"] = json!([{ "value": secret }])).await;
    let directory = cluster.directory.path().to_owned();
    wait_until("the stranger is refused", || async {
        let log = std::fs::read_to_string(directory.join("worker-stranger.log")).unwrap_or_default();
        log.contains("2002")
    })
    .await;
    let entry = state(cluster.entries[0].process.address("operators_address")).await;
    assert_eq!(entry["entry"]["fleet"]["workers"], json!([]));
    let agent = state(cluster.workers[0].agent.address("operators_address")).await;
    assert_eq!(agent["agent"]["links"], json!([]));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_without_any_secret_is_refused() {
    let cluster = cluster::start(1, 0).await;
    let links = cluster.entries[0].process.address("links_address");
    let headers = [
        ("connection", "upgrade"),
        ("upgrade", "websocket"),
        ("sec-websocket-version", "13"),
        ("sec-websocket-key", "dGhlIHNhbXBsZSBub25jZQ=="),
    ];
    let refused = send(links, "GET", "/", &headers, Vec::new()).await.expect("answer");
    assert_eq!(refused.status, 401, "{refused:?}");
}

/// Starts the agent of the only worker with other secrets and waits for its link.
async fn restart_agent(cluster: &mut Cluster, link_secrets: Value) {
    let mut settings = cluster.workers[0].settings.clone();
    settings["link_secrets"] = link_secrets;
    cluster.workers[0].agent.kill();
    cluster.workers[0].agent = Process::none();
    cluster.workers[0].agent = spawn_agent(&cluster.directory, &settings);
    cluster.wait_for_workers(1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn secrets_are_replaced_while_two_are_valid() {
    let both = |old: &str, new: &str| json!([{ "value": old }, { "value": new }]);
    let adjust = |settings: &mut Value| {
        settings["link_secrets"] = both(LINK_SECRET, NEW_LINK_SECRET);
        settings["operator_secrets"] = both(OPERATOR_SECRET, NEW_OPERATOR_SECRET);
    };
    let mut cluster = cluster::start_with(1, 1, adjust, |_| {}).await;
    let entry = cluster.entries[0].process.address("operators_address");
    assert_eq!(ask(entry, OPERATOR_SECRET, "/state").await, 200);
    assert_eq!(ask(entry, NEW_OPERATOR_SECRET, "/state").await, 200);
    restart_agent(&mut cluster, json!([{ "value": NEW_LINK_SECRET }])).await;

    // An entry that no longer takes the old ones.
    let last = |settings: &mut Value| {
        settings["link_secrets"] = json!([{ "value": NEW_LINK_SECRET }]);
        settings["operator_secrets"] = json!([{ "value": NEW_OPERATOR_SECRET }]);
    };
    cluster.add_entry("entry-2", last).await;
    let entry = cluster.entries[1].process.address("operators_address");
    assert_eq!(ask(entry, OPERATOR_SECRET, "/state").await, 401);
    wait_until("the agent is linked to the new entry", || async move {
        let authorization = format!("Bearer {NEW_OPERATOR_SECRET}");
        let headers = [("authorization", authorization.as_str())];
        let state = send(entry, "GET", "/state", &headers, Vec::new()).await.expect("answer").json();
        !state["entry"]["fleet"]["workers"][0]["link"].is_null()
    })
    .await;
    let links = cluster.entries[1].process.address("links_address");
    assert!(matches!(connection::open(links, LINK_SECRET).await, Err(Error::Refused(Code::LinkSecret))));
}

fn assert_shows_no_secret(what: &str, text: &str) {
    for secret in [LINK_SECRET, OPERATOR_SECRET, "wrong-secret-0123456789"] {
        assert!(!text.contains(secret), "{what} shows {secret}: {text}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_shows_a_secret() {
    let mut cluster = cluster::start(1, 1).await;
    for operators in operators(&cluster) {
        ask(operators, "wrong-secret-0123456789", "/state").await;
        for path in ["/state", "/metrics"] {
            let authorization = format!("Bearer {OPERATOR_SECRET}");
            let headers = [("authorization", authorization.as_str())];
            let shown = send(operators, "GET", path, &headers, Vec::new()).await.expect("answer");
            assert_shows_no_secret(
                path,
                &format!("{shown:?} {}", String::from_utf8_lossy(&shown.body.clone().unwrap())),
            );
        }
    }
    let links = cluster.entries[0].process.address("links_address");
    drop(connection::open(links, "wrong-secret-0123456789").await);
    send(cluster.entries[0].callers(), "GET", "/portal/x", &[], Vec::new()).await.expect("answer");
    for process in [&mut cluster.workers[0].agent, &mut cluster.entries[0].process] {
        process.signal("TERM");
        assert_eq!(process.wait(), Some(0));
    }
    let files: Vec<PathBuf> = ["entry-1.log", "worker-1.log"].map(|name| cluster.directory.path().join(name)).into();
    for file in files {
        let log = std::fs::read_to_string(&file).expect("log");
        assert!(log.contains("6003"), "the refusals are logged in {}", file.display());
        assert_shows_no_secret(&file.display().to_string(), &log);
    }
    let directory = cluster.directory.path();
    let entry = settings::read_entry(&directory.join("entry-1.json")).expect("settings");
    let agent = settings::read_agent(&directory.join("worker-1.json")).expect("settings");
    assert_shows_no_secret("Debug", &format!("{entry:?} {agent:?}"));
}
