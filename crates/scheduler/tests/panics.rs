//! Panics in the parts of a process, which the tests cause in a process of their own.

use std::process::{Command, Output};
use std::time::Duration;

use chervilledge_scheduler::{logs, panics};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use rstest::rstest;

/// Names the part that panics, in the process in which it does.
const PART: &str = "CHERVILLEDGE_TEST_PANICKING_PART";
/// Exit status of a process that goes on.
const GOES_ON: i32 = 42;
const WAIT: Duration = Duration::from_secs(10);

struct Panicking;

impl Actor for Panicking {
    type Msg = ();
    type State = ();
    type Arguments = ();

    async fn pre_start(&self, _: ActorRef<()>, (): ()) -> Result<(), ActorProcessingErr> {
        Ok(())
    }

    async fn handle(&self, _: ActorRef<()>, (): (), (): &mut ()) -> Result<(), ActorProcessingErr> {
        panic!("in an actor")
    }
}

async fn panic_in(part: &str) {
    match part {
        "task" => drop(tokio::spawn(async { panic!("in a task") })),
        "actor" => {
            let (actor, _) = Actor::spawn(None, Panicking, ()).await.expect("an actor");
            actor.cast(()).expect("a message");
        }
        "thread" => drop(std::thread::spawn(|| panic!("in a thread"))),
        "request" => {
            let request = async {
                tokio::task::yield_now().await;
                panic!("in a request")
            };
            assert_eq!(panics::contain(request).await, None::<()>);
            std::process::exit(GOES_ON);
        }
        "task of a request" => {
            panics::contain(async { drop(tokio::spawn(async { panic!("in a task of a request") })) }).await;
        }
        other => panic!("{other}"),
    }
    tokio::time::sleep(WAIT).await;
    std::process::exit(GOES_ON);
}

/// The process in which a part panics; another one runs this test as it runs all.
#[test]
fn panicking_process() {
    let Ok(part) = std::env::var(PART) else { return };
    let _logs = logs::open("node-1", "entry").expect("a logger");
    panics::end_process_on_panic();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(panic_in(&part));
}

fn run(part: &str) -> Output {
    let program = std::env::current_exe().expect("this program");
    let arguments = ["--exact", "panicking_process", "--nocapture"];
    Command::new(program).args(arguments).env(PART, part).output().expect("a process")
}

/// A process went on without a part of it that had panicked, and nothing did that part's work.
#[rstest]
#[case::task("task", panics::EXIT_PANICKED, "in a task")]
#[case::actor("actor", panics::EXIT_PANICKED, "in an actor")]
#[case::thread("thread", panics::EXIT_PANICKED, "in a thread")]
#[case::task_of_a_request("task of a request", panics::EXIT_PANICKED, "in a task of a request")]
#[case::request("request", GOES_ON, "in a request")]
fn a_process_goes_on_without_a_part(#[case] part: &str, #[case] status: i32, #[case] text: &str) {
    let output = run(part);
    let log = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(status), "{log}");
    let is_logged = |line: &str| line.contains(r#""event":"panicked""#) && line.contains(&format!(r#""{text}""#));
    assert!(log.lines().any(is_logged), "{log}");
}
