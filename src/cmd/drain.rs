//! `chervilledge drain`.

use std::io::Write;

use serde_json::Value;

use super::args;
use super::error::Error;

const USAGE: &str = "\
Usage: chervilledge drain WORKER --entry ADDRESS --secret-file FILE [OPTIONS]

Tells the agent of a worker to take no new work and to finish what is in progress. The order goes over the link of the
entry; every entry learns of it from the agent's next heartbeat. 'workers' shows how much is left. The agent goes on
running until it is ended; a start of the agent takes new work again. Repeating the command is safe.

Options:
    --entry ADDRESS       Entry that has a link to the worker, as IP:PORT
    --secret-file FILE    File with an operators' secret of the entry
    --json                Write JSON
    -h, --help            Show this text

Example:
    chervilledge drain hobart-1 --entry 10.1.0.5:7100 --secret-file operator.secret
";

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let Some(matches) = args::parse(argv, &args::entry_options(), USAGE, out)? else { return Ok(()) };
    let worker = args::path_argument(&matches, USAGE)?;
    let answer = args::client(&matches, USAGE)?.post(&format!("/drain/{worker}"), &Value::Null)?;
    if matches.opt_present("json") {
        return Ok(writeln!(out, "{answer}")?);
    }
    Ok(writeln!(out, "Worker {worker} drains.")?)
}
