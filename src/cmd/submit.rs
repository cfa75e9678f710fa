//! `chervilledge submit`.

use std::io::Write;

use chervilledge_policy::task::{Effects, Priority};
use getopts::Matches;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::args;
use super::error::Error;

const USAGE: &str = "\
Usage: chervilledge submit KEY --team TEAM --kind KIND --tasks COUNT --entry ADDRESS --secret-file FILE [OPTIONS]

Submits a job of COUNT tasks. KEY is chosen by the submitter and unique within the team: repeating the command with the
same key and content submits nothing again and gives the same identifier; other content fails with code 3022. Team and
kind are those of the accepted configuration.

Options:
    --team TEAM           Team whose quota the tasks count against
    --kind KIND           Kind of the tasks, which tells their size
    --tasks COUNT         Tasks of the job
    --priority NAME       urgent, normal or background; normal by default
    --effects NAME        idempotent, fenced or at_most_once: what a second run of a task would do; fenced by
                          default
    --entry ADDRESS       Entry to submit at, as IP:PORT
    --secret-file FILE    File with an operators' secret of the entry
    --json                Write JSON
    -h, --help            Show this text

Example:
    chervilledge submit mesh-2026-12-03 --team supplier-orders --kind mesh-orders --tasks 40 --entry 10.1.0.5:7100 \\
        --secret-file operator.secret
";

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let mut options = args::entry_options();
    for (name, hint) in [("team", "TEAM"), ("kind", "KIND"), ("tasks", "COUNT"), ("priority", "NAME")] {
        options.optopt("", name, "", hint);
    }
    options.optopt("", "effects", "", "NAME");
    let Some(matches) = args::parse(argv, &options, USAGE, out)? else { return Ok(()) };
    let key = args::one_argument(&matches, USAGE)?.to_string_lossy().into_owned();
    let tasks = args::required(&matches, "tasks", USAGE)?;
    let count: u32 = tasks.parse().map_err(|error| Error::Usage(format!("--tasks {tasks:?}: {error}\n\n{USAGE}")))?;
    let priority: Priority = named(&matches, "priority", Priority::Normal)?;
    let effects: Effects = named(&matches, "effects", Effects::Fenced)?;
    let submission = json!({
        "key": key,
        "team": args::required(&matches, "team", USAGE)?,
        "kind": args::required(&matches, "kind", USAGE)?,
        "priority": priority,
        "task_count": count,
        "effects": effects,
    });
    let client = args::client(&matches, USAGE)?;
    let answer = client.post("/jobs", &submission)?;
    if matches.opt_present("json") {
        return Ok(writeln!(out, "{answer}")?);
    }
    let fault = || client.fault("answer: no identifier of a job".to_owned());
    let id = answer["id"].as_str().ok_or_else(fault)?;
    let note = if answer["new"] == true { "submitted" } else { "was submitted before" };
    Ok(writeln!(out, "Job {id} {note}.")?)
}

/// Value of an option that names one of a few values.
fn named<T: DeserializeOwned>(matches: &Matches, option: &str, default: T) -> Result<T, Error> {
    let Some(name) = matches.opt_str(option) else { return Ok(default) };
    serde_json::from_value(json!(name))
        .map_err(|error| Error::Usage(format!("--{option} {name:?}: {error}\n\n{USAGE}")))
}
