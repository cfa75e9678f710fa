//! `chervilledge status`.

use std::io::Write;

use chervilledge_operator::status::Status;
use chervilledge_policy::rollout::Laggard;

use super::args;
use super::error::Error;

const USAGE: &str = "\
Usage: chervilledge status --entry ADDRESS --secret-file FILE [OPTIONS]

Shows the version that the entry enforces, and which of the agents linked to it and of the other entries don't enforce
that version yet. Other entries are named 'entries/NAME'; they report every 2 seconds.

Options:
    --entry ADDRESS       Entry to ask, as IP:PORT
    --secret-file FILE    File with an operators' secret of the entry
    --json                Write JSON
    -h, --help            Show this text

Example:
    chervilledge status --entry 10.1.0.5:7100 --secret-file operator.secret
";

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let Some(matches) = args::parse(argv, &args::entry_options(), USAGE, out)? else { return Ok(()) };
    args::no_argument(&matches, USAGE)?;
    let client = args::client(&matches, USAGE)?;
    let answer = client.get("/status")?;
    if matches.opt_present("json") {
        return Ok(writeln!(out, "{answer}")?);
    }
    let status: Status = serde_json::from_value(answer).map_err(|error| client.fault(format!("answer: {error}")))?;
    write_status(&status, out)
}

fn write_status(status: &Status, out: &mut dyn Write) -> Result<(), Error> {
    let Some(enforced) = status.enforced else {
        return Ok(writeln!(out, "The entry knows no accepted version and takes no work.")?);
    };
    let current = status.processes.saturating_sub(status.laggards.len());
    let (version, checksum) = (enforced.version, enforced.checksum);
    writeln!(out, "Version {version} ({checksum}) is in force at {current} of {} processes.", status.processes)?;
    if let Some(contradiction) = status.contradiction {
        writeln!(out, "Refused {}: the same version with other documents.", contradiction.refused)?;
    }
    if !status.laggards.is_empty() {
        writeln!(out, "{:24}  {:16}  {:>8}  {:>10}", "LAGGING PROCESS", "BOOT", "VERSION", "SILENT MS")?;
    }
    status.laggards.iter().try_for_each(|laggard| write_laggard(laggard, out))
}

fn write_laggard(laggard: &Laggard, out: &mut dyn Write) -> Result<(), Error> {
    let version = laggard.enforced.map_or_else(|| "none".to_owned(), |stamp| stamp.version.to_string());
    let (name, boot) = (&laggard.process.name, laggard.process.boot);
    Ok(writeln!(out, "{name:24}  {boot}  {version:>8}  {:>10}", laggard.silent_ms)?)
}
