//! `chervilledge cancel`.

use std::io::Write;

use getopts::Matches;
use serde_json::{Value, json};

use super::args;
use super::error::Error;

const USAGE: &str = "\
Usage: chervilledge cancel JOB... --entry ADDRESS --secret-file FILE [OPTIONS]
       chervilledge cancel JOB/INDEX --entry ADDRESS --secret-file FILE [OPTIONS]
       chervilledge cancel --team TEAM [--kind KIND] --entry ADDRESS --secret-file FILE [OPTIONS]

Cancels jobs, one task of a job, or every job of a team or kind. Tasks that run are stopped; tasks that are done stay
done. Repeating the command is safe.

Options:
    --team TEAM           Cancel every job of this team
    --kind KIND           Cancel every job of this kind
    --entry ADDRESS       Entry to cancel at, as IP:PORT
    --secret-file FILE    File with an operators' secret of the entry
    --json                Write JSON
    -h, --help            Show this text

Example:
    chervilledge cancel --team supplier-orders --kind mesh-orders --entry 10.1.0.5:7100 --secret-file operator.secret
";

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let mut options = args::entry_options();
    options.optopt("", "team", "", "TEAM").optopt("", "kind", "", "KIND");
    let Some(matches) = args::parse(argv, &options, USAGE, out)? else { return Ok(()) };
    let cancellation = cancellation(&matches)?;
    let client = args::client(&matches, USAGE)?;
    let answer = client.post("/jobs/cancel", &cancellation)?;
    if matches.opt_present("json") {
        return Ok(writeln!(out, "{answer}")?);
    }
    let cancelled = answer["cancelled"].as_array().ok_or_else(|| client.fault("answer: no list of jobs".to_owned()))?;
    let what = if cancellation.get("task").is_some() { "Task cancelled in" } else { "Cancelled" };
    match cancelled.len() {
        1 => Ok(writeln!(out, "{what} 1 job.")?),
        count => Ok(writeln!(out, "{what} {count} jobs.")?),
    }
}

fn cancellation(matches: &Matches) -> Result<Value, Error> {
    let (team, kind) = (matches.opt_str("team"), matches.opt_str("kind"));
    match (matches.free.as_slice(), team.is_some() || kind.is_some()) {
        ([], true) => Ok(json!({ "team": team, "kind": kind })),
        ([task], false) if task.contains('/') => Ok(json!({ "task": task })),
        ([_, ..], false) => Ok(json!({ "jobs": matches.free })),
        _ => Err(Error::Usage(format!("either jobs or --team and --kind are required\n\n{USAGE}"))),
    }
}
