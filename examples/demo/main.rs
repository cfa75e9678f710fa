//! Runs the whole system on one machine for about ten seconds, with faults on the way.
//!
//! Ends with one JSON line on standard output; the exit status is 1 when something happened that must never happen, or
//! when the job didn't finish.

mod callers;
mod system;

use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chervilledge_standins::judge;
use serde_json::json;
use system::System;

/// Time from the start to the drain of the first worker.
const DRAIN_AFTER: Duration = Duration::from_secs(3);

/// Time from the drain to the death of the second worker's agent.
const KILL_AFTER: Duration = Duration::from_secs(2);

/// Time from the death to the end of the callers.
const END_AFTER: Duration = Duration::from_secs(4);

/// Tasks of the demo's one job.
const TASKS: u64 = 12;

#[tokio::main]
async fn main() -> ExitCode {
    let system = match System::start().await {
        Ok(system) => system,
        Err(error) => {
            eprintln!("the system didn't start: {error}");
            return ExitCode::FAILURE;
        }
    };
    eprintln!("2 entries and 3 workers run; callers on {:?}", system.callers());
    run(system).await
}

async fn run(mut system: System) -> ExitCode {
    let is_over = Arc::new(AtomicBool::new(false));
    let job = system.submit_job(TASKS).await;
    let sending = tokio::spawn(callers::send_until(system.callers(), Arc::clone(&is_over)));
    tokio::time::sleep(DRAIN_AFTER).await;
    eprintln!("worker-1 drains");
    system.drain(0).await;
    tokio::time::sleep(KILL_AFTER).await;
    eprintln!("the agent of worker-2 dies and starts again");
    system.restart_agent(1).await;
    tokio::time::sleep(END_AFTER).await;
    is_over.store(true, Ordering::Relaxed);
    let tally = sending.await.unwrap_or_default();
    eprintln!("callers have ended; waiting for the job");
    let tasks_done = match job {
        Ok(job) => system.wait_for_tasks(&job, TASKS).await,
        Err(error) => {
            eprintln!("the job wasn't taken: {error}");
            0
        }
    };
    report(&system, &tally, tasks_done)
}

fn report(system: &System, tally: &callers::Tally, tasks_done: u64) -> ExitCode {
    let ledger = system.ledger();
    let not_run = tally.told_not_run.iter().map(String::as_str);
    let mut violations: Vec<String> =
        judge::violations(&ledger).iter().map(|violation| format!("{violation:?}")).collect();
    violations.extend(judge::executed_but_not_run(&ledger, not_run).iter().map(|violation| format!("{violation:?}")));
    violations.extend(tally.violations.iter().cloned());
    for violation in &violations {
        eprintln!("violation: {violation}");
    }
    let line = json!({
        "requests_answered": tally.answered,
        "requests_not_run": tally.not_run,
        "requests_unknown": tally.unknown,
        "tasks_done": tasks_done,
        "evictions": system::evictions(&ledger),
        "p50_ms": tally.quantile_ms(0.5),
        "p99_ms": tally.quantile_ms(0.99),
        "violations": violations.len(),
    });
    println!("{line}");
    if violations.is_empty() && tasks_done == TASKS { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
