//! Daemon of an agent.

use std::process::ExitCode;
use std::sync::Arc;

use chervilledge::{agent, boot, clock, daemon, logs, settings};
use serde_json::json;

const USAGE: &str = "
Runs beside a backend server and decides what its worker holds.

Usage:
    chervilledge-agent --settings FILE [--check]

Options:
    --settings FILE    JSON settings; docs/OPERATIONS.md lists the fields.
    --check            Check the settings and end.
    -h, --help         Show this text.

Prints its address as one JSON line when it is ready. SIGTERM drains, a second one ends at once.

Example:
    chervilledge-agent --settings agent.json
";

fn main() -> ExitCode {
    daemon::main(USAGE, settings::read_agent, |settings| {
        let logs = match logs::open(settings.log_directory.as_deref(), &settings.worker) {
            Ok(logs) => logs,
            Err(error) => return daemon::fail(daemon::EXIT_FAILURE, &error.to_string()),
        };
        let status = daemon::block_on(settings.bounds.threads, run(settings));
        logs.flush();
        status
    })
}

async fn run(settings: settings::Agent) -> ExitCode {
    let name = Arc::clone(&settings.worker);
    let agent = match agent::spawn(settings, clock::system(), boot::new_id()).await {
        Ok(agent) => agent,
        Err(error) => return daemon::fail(daemon::EXIT_FAILURE, &error.to_string()),
    };
    let ready = json!({
        "role": "agent",
        "name": name,
        "process_id": std::process::id(),
        "operators_address": agent.operators_address(),
    });
    println!("{ready}");
    daemon::run_until_signal(agent.drain()).await
}
