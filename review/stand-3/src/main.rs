//! Scripts of the cases 11 to 15: starts the project's programs beside stand-ins, and judges what clients and workers saw.
//!
//! `review-stand-3 NAME RECORD`; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod cluster;
mod crashing_jobs;
mod door;
mod late_order;
mod record;
mod site;
#[path = "../../../platform/tests/soak/store.rs"]
#[allow(dead_code)]
mod store;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use cluster::Places;
use record::Record;
use tokio::signal::unix::{SignalKind, signal};

/// Result of a script: the rule held, or how it was broken; an error if the script couldn't run.
pub type Verdict = Result<Vec<String>, String>;

/// Longest time that a script takes.
const TIME_MAX: Duration = Duration::from_secs(115);

/// Waits for a signal that asks the script to end.
async fn asked_to_end() -> &'static str {
    let [mut terminate, mut interrupt, mut hangup] =
        [SignalKind::terminate(), SignalKind::interrupt(), SignalKind::hangup()]
            .map(|kind| signal(kind).expect("signals can be received"));
    tokio::select! {
        _ = terminate.recv() => "SIGTERM",
        _ = interrupt.recv() => "SIGINT",
        _ = hangup.recv() => "SIGHUP",
    }
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, path] = &arguments[..] else {
        eprintln!("review-stand-3 NAME RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let temporary = std::env::temp_dir().join(format!("review-stand-3-{}", std::process::id()));
    std::fs::create_dir_all(&temporary).expect("a temporary folder");
    let places = Places { root: cluster::root(), temporary };
    let record = Record::create(&PathBuf::from(path));
    let script = async {
        match name.as_str() {
            "crashing-jobs" => crashing_jobs::run(&places, record.clone(), has_trouble).await,
            "late-order" => late_order::run(&places, record.clone(), has_trouble, false).await,
            "late-order-agent" => late_order::run(&places, record.clone(), has_trouble, true).await,
            other => Err(format!("no script {other}")),
        }
    };
    // The processes end with the script's state, also when the script is asked to end.
    let verdict = tokio::select! {
        verdict = script => verdict,
        () = tokio::time::sleep(TIME_MAX) => Err("out of time".to_owned()),
        name = asked_to_end() => Err(format!("ended by {name}")),
    };
    cluster::clean(&places);
    match verdict {
        Ok(broken) if broken.is_empty() => {
            record.add("verdict", "held", serde_json::json!({}));
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(broken) => {
            for line in &broken {
                record.add("verdict", "broken", serde_json::json!(line));
                println!("broken: {line}");
            }
            ExitCode::from(1)
        }
        Err(error) => {
            record.add("verdict", "not run", serde_json::json!(error));
            println!("couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}
