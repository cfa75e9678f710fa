//! `chervilledge history`.

use std::io::Write;

use chervilledge_operator::accept::Summary;
use getopts::Matches;
use serde_json::Value;

use super::args;
use super::client::Client;
use super::error::Error;

const USAGE: &str = "\
Usage: chervilledge history [VERSION] --entry ADDRESS --secret-file FILE [OPTIONS]

Lists the accepted versions, newest first and 20 at a time. With VERSION, prints that version with its documents as
JSON, which 'plan --against' takes. The platform keeps the last 1000 versions.

Options:
    --entry ADDRESS       Entry to ask, as IP:PORT
    --secret-file FILE    File with an operators' secret of the entry
    --newest VERSION      Start the list at this version
    --json                Write JSON
    -h, --help            Show this text

Example:
    chervilledge history --entry 10.1.0.5:7100 --secret-file operator.secret
";

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let mut options = args::entry_options();
    options.optopt("", "newest", "", "VERSION");
    let Some(matches) = args::parse(argv, &options, USAGE, out)? else { return Ok(()) };
    let client = args::client(&matches, USAGE)?;
    if !matches.free.is_empty() {
        return write_version(&client, &matches, out);
    }
    let newest = matches.opt_str("newest").map(|version| number(&version)).transpose()?;
    let query = newest.map(|version| format!("?newest={version}")).unwrap_or_default();
    let answer = client.get(&format!("/config/history{query}"))?;
    if matches.opt_present("json") {
        return Ok(writeln!(out, "{answer}")?);
    }
    write_list(&client, &answer, out)
}

fn write_version(client: &Client, matches: &Matches, out: &mut dyn Write) -> Result<(), Error> {
    let argument = args::one_argument(matches, USAGE)?;
    let version = number(&argument.to_string_lossy())?;
    let answer = client.get(&format!("/config/history/{version}"))?;
    let accepted = answer.get("accepted").ok_or_else(|| client.fault("answer: no version".to_owned()))?;
    Ok(writeln!(out, "{accepted:#}")?)
}

fn write_list(client: &Client, answer: &Value, out: &mut dyn Write) -> Result<(), Error> {
    let versions = answer.get("versions").cloned().unwrap_or_default();
    let versions: Vec<Summary> =
        serde_json::from_value(versions).map_err(|error| client.fault(format!("answer: {error}")))?;
    if versions.is_empty() {
        return Ok(writeln!(out, "No version is accepted yet.")?);
    }
    writeln!(out, "{:>8}  {:16}  {:16}  {:20}  OPERATOR", "VERSION", "CHECKSUM", "PLAN", "TIME")?;
    for Summary { version, checksum, plan, accepted_by, accepted_at } in versions {
        writeln!(out, "{version:>8}  {checksum}  {plan}  {accepted_at:20}  {accepted_by}")?;
    }
    Ok(())
}

fn number(text: &str) -> Result<u64, Error> {
    text.parse().map_err(|error| Error::Usage(format!("version {text:?}: {error}\n\n{USAGE}")))
}
