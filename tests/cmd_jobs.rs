//! `chervilledge submit`, `jobs`, `cancel` and `explain` of tasks: what they send, and how they show the answer.

#[allow(dead_code, reason = "each test file uses its part")]
#[path = "support/work_dir.rs"]
mod work_dir;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use chervilledge_operator::listen::{self, Failure, Handle, Routes, Settings};
use chervilledge_operator::secret::Secrets;
use chervilledge_policy::code::Code;
use http::{Method, StatusCode};
use rstest::rstest;
use serde_json::{Value, json};
use tokio::runtime::Runtime;
use work_dir::{Run, WorkDir};

const SECRET: &str = "operator-secret-0123";

/// Listener with the routes for jobs; it keeps what it was sent.
struct Fixture {
    bodies: Arc<Mutex<Vec<Value>>>,
    dir: WorkDir,
    handle: Handle,
    _runtime: Runtime,
}

fn job(cancelled: bool) -> Value {
    json!({
        "id": "0f0f", "key": "mesh-1", "team": "supplier-orders", "kind": "mesh-orders", "priority": "urgent",
        "task_count": 2, "cancelled": cancelled,
    })
}

fn progress() -> Value {
    let mut value = job(false);
    value["counts"] = json!({ "done": 1, "failed": 1 });
    value["finished"] = json!(true);
    value["tasks"] = json!([
        { "index": 0, "state": "done", "epoch": 1, "worker": "hobart-1", "code": null, "text": null, "attempts": [] },
        { "index": 1, "state": "failed", "epoch": 3, "worker": null, "code": 3003, "text": "task failed on several workers",
          "attempts": [] },
    ]);
    value
}

fn explanation() -> Value {
    json!({ "task": "0f0f/1", "row": { "state": { "failed": 3003 } }, "events": [
        { "age_ms": 900, "what": "queued", "epoch": 1, "worker": null, "code": null, "text": null },
        { "age_ms": 200, "what": "evicted", "epoch": 2, "worker": "hobart-1", "code": 3007,
          "text": "evicted to protect request latency" },
    ] })
}

impl Fixture {
    fn bind(name: &str) -> Self {
        let bodies: Arc<Mutex<Vec<Value>>> = Arc::default();
        let kept = Arc::clone(&bodies);
        let keep = move |body: &[u8]| {
            kept.lock().expect("bodies").push(serde_json::from_slice(body).expect("a JSON body"));
        };
        let (submit, cancel) = (keep.clone(), keep);
        let routes = Routes::new()
            .route(Method::POST, "/jobs", move |request| {
                submit(&request.body);
                async { Ok(json!({ "id": "0f0f", "new": true })) }
            })
            .route(Method::GET, "/jobs", |_| async { Ok(json!({ "jobs": [job(false), job(true)] })) })
            .route(Method::POST, "/jobs/cancel", move |request| {
                cancel(&request.body);
                async { Ok(json!({ "cancelled": ["0f0f"] })) }
            })
            .route(Method::GET, "/jobs/", |request| async move {
                if request.rest == "0f0f" { Ok(progress()) } else { Err(unknown()) }
            })
            .route(Method::GET, "/explain/", |_| async { Ok(explanation()) });
        let settings = Settings::new(Secrets::new(vec![SECRET.to_owned()]).expect("a well-formed secret"));
        let runtime = Runtime::new().expect("a runtime");
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let handle = runtime.block_on(listen::bind(address, settings, routes)).expect("a free port");
        let dir = WorkDir::new(name);
        dir.write("secret", SECRET);
        Self { bodies, dir, handle, _runtime: runtime }
    }

    fn run(&self, arguments: &str) -> Run {
        self.dir.run(&format!("{arguments} --entry {} --secret-file secret", self.handle.address()))
    }

    fn sent(&self) -> Vec<Value> {
        self.bodies.lock().expect("bodies").clone()
    }
}

fn unknown() -> Failure {
    Failure::new(StatusCode::NOT_FOUND, Code::UnknownVersion)
}

#[test]
fn a_job_is_submitted() {
    let fixture = Fixture::bind("jobs_submit");
    let run = fixture.run("submit mesh-1 --team supplier-orders --kind mesh-orders --tasks 40");
    assert_eq!((run.status, run.out.as_str()), (0, "Job 0f0f submitted.\n"), "{run:?}");
    let run = fixture.run("submit x --team t --kind k --tasks 1 --priority urgent --effects at_most_once --json");
    assert_eq!(run.json(), json!({ "id": "0f0f", "new": true }));
    let first = json!({
        "key": "mesh-1", "team": "supplier-orders", "kind": "mesh-orders", "priority": "normal", "task_count": 40,
        "effects": "fenced",
    });
    let second = json!({
        "key": "x", "team": "t", "kind": "k", "priority": "urgent", "task_count": 1, "effects": "at_most_once",
    });
    assert_eq!(fixture.sent(), [first, second]);
}

#[test]
fn jobs_are_listed_and_shown() {
    let fixture = Fixture::bind("jobs_list");
    let listed = fixture.run("jobs").out;
    let lines: Vec<&str> = listed.lines().collect();
    assert_eq!(lines.len(), 3, "{listed}");
    assert!(lines[1].starts_with("0f0f ") && lines[1].ends_with(" mesh-1"), "{listed}");
    assert!(lines[2].ends_with(" mesh-1 (cancelled)"), "{listed}");
    let shown = fixture.run("jobs 0f0f").out;
    let lines: Vec<&str> = shown.lines().collect();
    assert!(lines[0].ends_with("key mesh-1: finished, 1 done, 1 failed."), "{shown}");
    assert!(lines[3].ends_with("task failed on several workers (3003)"), "{shown}");
    assert_eq!(fixture.run("jobs 0f0f --json").json(), progress());
    assert_ne!(fixture.run("jobs absent").status, 0);
}

#[rstest]
#[case::jobs("cancel 0f0f 0a0a", json!({ "jobs": ["0f0f", "0a0a"] }), "Cancelled 1 job.\n")]
#[case::task("cancel 0f0f/1", json!({ "task": "0f0f/1" }), "Task cancelled in 1 job.\n")]
#[case::team("cancel --team t", json!({ "team": "t", "kind": null }), "Cancelled 1 job.\n")]
fn jobs_are_cancelled(#[case] arguments: &str, #[case] sent: Value, #[case] out: &str) {
    let fixture = Fixture::bind(&format!("jobs_{}", arguments.replace([' ', '/', '-'], "_")));
    let run = fixture.run(arguments);
    assert_eq!((run.status, run.out.as_str()), (0, out), "{run:?}");
    assert_eq!(fixture.sent(), [sent]);
}

#[test]
fn a_task_is_explained() {
    let fixture = Fixture::bind("jobs_explain");
    let expected = "\
Task 0f0f/1, in the table: failed
    AGO MS  EVENT           DETAILS
       900  queued          epoch=1
       200  evicted         code=3007 epoch=2 text=evicted to protect request latency worker=hobart-1
";
    assert_eq!(fixture.run("explain 0f0f/1").out, expected);
    assert_eq!(fixture.run("explain 0f0f/1 --json").json(), explanation());
}

#[rstest]
#[case::no_key("submit --team t --kind k --tasks 1")]
#[case::no_team("submit x --kind k --tasks 1")]
#[case::no_count("submit x --team t --kind k --tasks many")]
#[case::priority("submit x --team t --kind k --tasks 1 --priority high")]
#[case::nothing("cancel")]
#[case::job_and_team("cancel 0f0f --team t")]
#[case::two_jobs("jobs one two")]
fn a_wrong_call_sends_nothing(#[case] arguments: &str) {
    let fixture = Fixture::bind(&format!("jobs_wrong_{}", arguments.replace([' ', '-'], "_")));
    let run = fixture.run(arguments);
    assert_eq!((run.status, run.out.as_str()), (61, ""), "{run:?}");
    assert!(fixture.sent().is_empty());
}
