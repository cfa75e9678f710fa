//! Daemon of an entry.

use std::process::ExitCode;
use std::sync::Arc;

use chervilledge::{boot, clock, daemon, entry, logs, settings};
use serde_json::json;

const USAGE: &str = "
Takes callers' requests and chooses where they run.

Usage:
    chervilledge-entry --settings FILE [--check]

Options:
    --settings FILE    JSON settings; docs/OPERATIONS.md lists the fields.
    --check            Check the settings and end.
    -h, --help         Show this text.

Prints its addresses as one JSON line when it is ready. SIGTERM drains, a second one ends at once.

Example:
    chervilledge-entry --settings entry.json
";

fn main() -> ExitCode {
    daemon::main(USAGE, settings::read_entry, |settings| {
        let logs = match logs::open(settings.log_directory.as_deref(), &settings.name) {
            Ok(logs) => logs,
            Err(error) => return daemon::fail(daemon::EXIT_FAILURE, &error.to_string()),
        };
        let status = daemon::block_on(settings.bounds.threads, run(settings));
        logs.flush();
        status
    })
}

async fn run(settings: settings::Entry) -> ExitCode {
    let name = Arc::clone(&settings.name);
    let entry = match entry::spawn(settings, clock::system(), boot::new_id()).await {
        Ok(entry) => entry,
        Err(error) => return daemon::fail(daemon::EXIT_FAILURE, &error.to_string()),
    };
    let ready = json!({
        "role": "entry",
        "name": name,
        "process_id": std::process::id(),
        "callers_address": entry.callers_address(),
        "links_address": entry.links_address(),
        "operators_address": entry.operators_address(),
    });
    println!("{ready}");
    daemon::run_until_signal(entry.drain()).await
}
