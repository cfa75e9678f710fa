//! `chervilledge workers`.

use std::io::Write;

use chervilledge_policy::id::Name;
use chervilledge_policy::membership::Load;
use serde::Deserialize;

use super::args;
use super::error::Error;

const USAGE: &str = "\
Usage: chervilledge workers --entry ADDRESS --secret-file FILE [OPTIONS]

Lists the workers that the entry knows, one line for each:

    STANDING       live, suspect (silent past its bound) or draining
    READY          whether it takes new requests
    IN PROGRESS    requests that occupy a slot, of all entries
    QUEUED         requests that wait for a slot
    EJECTED        whether the entry avoids it for failing or being slow
    SILENT MS      time since the agent was last heard

Options:
    --entry ADDRESS       Entry to ask, as IP:PORT
    --secret-file FILE    File with an operators' secret of the entry
    --json                Write JSON
    -h, --help            Show this text

Example:
    chervilledge workers --entry 10.1.0.5:7100 --secret-file operator.secret
";

/// Worker as an entry lists it, without what the table doesn't show.
#[derive(Debug, Deserialize)]
struct Listed {
    #[serde(rename = "worker")]
    name: Name,
    service: Name,
    failure_domain: Name,
    standing: String,
    load: Load,
    silent_ms: u64,
    ejected: Option<bool>,
}

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let Some(matches) = args::parse(argv, &args::entry_options(), USAGE, out)? else { return Ok(()) };
    args::no_argument(&matches, USAGE)?;
    let client = args::client(&matches, USAGE)?;
    let answer = client.get("/workers")?;
    if matches.opt_present("json") {
        return Ok(writeln!(out, "{answer}")?);
    }
    let mut workers: Vec<Listed> =
        serde_json::from_value(answer).map_err(|error| client.fault(format!("answer: {error}")))?;
    workers.sort_by(|left, right| left.name.cmp(&right.name));
    if workers.is_empty() {
        return Ok(writeln!(out, "The entry knows no worker.")?);
    }
    writeln!(
        out,
        "{:20}  {:16}  {:20}  {:8}  {:5}  {:>11}  {:>6}  {:7}  {:>9}",
        "WORKER", "SERVICE", "FAILURE DOMAIN", "STANDING", "READY", "IN PROGRESS", "QUEUED", "EJECTED", "SILENT MS"
    )?;
    workers.iter().try_for_each(|worker| write_worker(worker, out))
}

fn write_worker(worker: &Listed, out: &mut dyn Write) -> Result<(), Error> {
    let Listed { name, service, failure_domain, load, silent_ms, .. } = worker;
    let standing = if load.draining { "draining".to_owned() } else { worker.standing.to_lowercase() };
    let (ready, ejected) = (yes_or_no(load.ready && standing == "live"), yes_or_no(worker.ejected == Some(true)));
    Ok(writeln!(
        out,
        "{name:20}  {service:16}  {failure_domain:20}  {standing:8}  {ready:5}  {:>11}  {:>6}  {ejected:7}  {silent_ms:>9}",
        load.in_progress, load.queued
    )?)
}

const fn yes_or_no(value: bool) -> &'static str {
    if value { "yes" } else { "no" }
}
