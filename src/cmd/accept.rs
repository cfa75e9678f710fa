//! `chervilledge accept`.

use std::io::Write;
use std::thread;
use std::time::{Duration, SystemTime};

use chervilledge_operator::accept::{Proposal, Summary};
use chervilledge_operator::fault::Fault;
use chervilledge_policy::code::Code;
use serde_json::{Value, json};

use super::args;
use super::client::{Client, Failure};
use super::error::Error;
use super::plan::{PlanFile, read_json};
use super::timestamp::rfc3339;

/// Attempts while the outcome isn't known.
const ATTEMPTS: u32 = 3;
/// Pause between two attempts.
const PAUSE: Duration = Duration::from_secs(1);

const USAGE: &str = "\
Usage: chervilledge accept PLAN --entry ADDRESS --secret-file FILE --operator NAME [OPTIONS]

Accepts a plan that 'plan --output' wrote. The configuration changes if, and only if, no other plan was accepted since
the plan was made; otherwise the command fails with code 4002 and names the winner. Repeating the command is safe and
answers the same, also after an unknown outcome (code 5002).

Options:
    --entry ADDRESS       Entry to accept the plan at, as IP:PORT
    --secret-file FILE    File with an operators' secret of the entry
    --operator NAME       Name to be kept with the version
    --json                Write JSON
    -h, --help            Show this text

Example:
    chervilledge accept plan.json --entry 10.1.0.5:7100 --secret-file operator.secret --operator ana
";

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let mut options = args::entry_options();
    options.optopt("", "operator", "", "NAME");
    let Some(matches) = args::parse(argv, &options, USAGE, out)? else { return Ok(()) };
    let path = args::one_argument(&matches, USAGE)?;
    let operator = args::required(&matches, "operator", USAGE)?;
    let client = args::client(&matches, USAGE)?;
    let file: PlanFile = read_json(&path)?;
    if file.documents.checksum() != file.plan.documents {
        return Err(Error::PlanMismatch(path));
    }
    let proposal = Proposal {
        base: file.plan.base,
        plan: file.plan.checksum,
        documents: file.documents,
        operator: operator.into(),
        accepted_at: rfc3339(SystemTime::now()).into(),
    };
    let answer = send(&client, &json!(proposal))?;
    write_answer(&client, &answer, matches.opt_present("json"), out)
}

fn write_answer(client: &Client, answer: &Value, as_json: bool, out: &mut dyn Write) -> Result<(), Error> {
    if as_json {
        return Ok(writeln!(out, "{answer}")?);
    }
    let accepted = answer.get("accepted").cloned().unwrap_or_default();
    let accepted: Summary =
        serde_json::from_value(accepted).map_err(|error| client.fault(format!("answer: {error}")))?;
    let Summary { version, accepted_by, accepted_at, .. } = accepted;
    Ok(writeln!(out, "Version {version} accepted by {accepted_by} at {accepted_at}.")?)
}

/// Sends the acceptance, again while its outcome isn't known.
fn send(client: &Client, proposal: &Value) -> Result<Value, Error> {
    let mut uncertain = false;
    for attempt in 0..ATTEMPTS {
        if attempt > 0 {
            thread::sleep(PAUSE);
        }
        match client.post("/config/accept", proposal) {
            Ok(answer) => return Ok(answer),
            Err(Failure::Lost(_)) => uncertain = true,
            Err(Failure::Refused(error)) if is_uncertain(&error) => uncertain = true,
            // Other refusals are answers of the table or concern the request alone.
            Err(Failure::Refused(error)) if !uncertain || is_final(&error) => return Err(explained(error)),
            Err(Failure::NotSent(error)) if !uncertain => return Err(error),
            Err(Failure::Refused(_) | Failure::NotSent(_)) => {}
        }
    }
    Err(Error::Unknown)
}

/// The entry doesn't know whether the plan is accepted.
fn is_uncertain(error: &Error) -> bool {
    matches!(error.code(), Code::WriteUnknown | Code::RequestTimeout)
}

/// The refusal holds whatever became of an earlier attempt.
fn is_final(error: &Error) -> bool {
    matches!(error.code(), Code::PlanConflict | Code::ConfigurationInvalid | Code::PlanMismatch)
}

/// Typed form of a refusal.
fn explained(error: Error) -> Error {
    let Error::Refused { code, detail } = error else { return error };
    let typed = match code {
        Code::PlanConflict => winner(&detail).map(Error::Conflict),
        Code::ConfigurationInvalid => faults(&detail).map(Error::Faults),
        _ => None,
    };
    typed.unwrap_or(Error::Refused { code, detail })
}

fn winner(detail: &Value) -> Option<Summary> {
    serde_json::from_value(detail.get("winner")?.clone()).ok()
}

fn faults(detail: &Value) -> Option<Vec<Fault>> {
    serde_json::from_value(detail.get("faults")?.clone()).ok()
}
