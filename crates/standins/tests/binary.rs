//! Stand-ins as processes.

mod support;

use std::io::{BufRead, BufReader};
use std::process::{Child, Command, Stdio};

use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use support::call;

/// Process that is ended with the test.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        self.0.kill().expect("the process can be ended");
        self.0.wait().expect("the process ends");
    }
}

/// Starts a stand-in and reads the address that it prints.
fn spawn(program: &str, options: &[&str]) -> (Process, std::net::SocketAddr) {
    let mut child = Command::new(program).args(options).stdout(Stdio::piped()).spawn().unwrap();
    let mut line = String::new();
    BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
    let ready: Value = serde_json::from_str(&line).unwrap();
    (Process(child), ready["address"].as_str().unwrap().parse().unwrap())
}

#[tokio::test]
async fn the_platform_serves_at_the_address_that_it_prints() {
    let program = env!("CARGO_BIN_EXE_chervilledge-standin-platform");
    let (_process, address) = spawn(program, &["--writes-per-s", "100"]);
    let (status, rows) = call(address, Method::POST, "/table/read", &json!({ "keys": ["a"] })).await;
    assert_eq!((status, rows), (StatusCode::OK, json!({ "rows": [] })));
}

#[tokio::test]
async fn the_worker_serves_at_the_address_that_it_prints() {
    let program = env!("CARGO_BIN_EXE_chervilledge-standin-worker");
    let (_process, address) = spawn(program, &["--worker", "hobart-1", "--slowdown", "orders=1.5"]);
    let (status, echo) = call(address, Method::GET, "/quote", &Value::Null).await;
    assert_eq!((status, &echo["worker"]), (StatusCode::OK, &json!("hobart-1")));
    let (status, tasks) = call(address, Method::GET, "/tasks", &Value::Null).await;
    assert_eq!((status, tasks), (StatusCode::OK, json!([])));
}

#[rstest]
#[case::unknown_option(env!("CARGO_BIN_EXE_chervilledge-standin-platform"), &["--colour", "red"])]
#[case::not_a_number(env!("CARGO_BIN_EXE_chervilledge-standin-platform"), &["--writes-per-s", "many"])]
#[case::slowdown(env!("CARGO_BIN_EXE_chervilledge-standin-worker"), &["--slowdown", "orders"])]
#[case::address(env!("CARGO_BIN_EXE_chervilledge-standin-worker"), &["--listen", "nowhere"])]
fn wrong_options_end_the_process(#[case] program: &str, #[case] options: &[&str]) {
    let output = Command::new(program).args(options).output().unwrap();
    assert!(!output.status.success() && output.stdout.is_empty() && !output.stderr.is_empty());
}
