//! `chervilledge dump`.

use std::io::Write;

use super::args;
use super::error::Error;

const USAGE: &str = "\
Usage: chervilledge dump --entry ADDRESS --secret-file FILE [OPTIONS]

Prints the state of a process, an entry or an agent, as JSON.

Options:
    --entry ADDRESS       Operators' listener of the process, as IP:PORT
    --secret-file FILE    File with an operators' secret of the process
    --json                Write JSON on one line
    -h, --help            Show this text

Example:
    chervilledge dump --entry 10.1.0.5:7100 --secret-file operator.secret
";

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let Some(matches) = args::parse(argv, &args::entry_options(), USAGE, out)? else { return Ok(()) };
    args::no_argument(&matches, USAGE)?;
    let state = args::client(&matches, USAGE)?.get("/state")?;
    if matches.opt_present("json") {
        return Ok(writeln!(out, "{state}")?);
    }
    Ok(writeln!(out, "{state:#}")?)
}
