//! `chervilledge explain`.

use std::io::Write;

use serde_json::{Map, Value};

use super::args;
use super::client::Client;
use super::error::Error;

const USAGE: &str = "\
Usage: chervilledge explain ID --entry ADDRESS --secret-file FILE [OPTIONS]

Tells what happened to a request or a task and why, one line for each step in order.

The ID of a request is what the caller got as 'x-request-id', or an identifier that a backend server saw. The entry that
took the request answers, with the time since it came; it remembers the latest 4096 requests that have ended.

The ID of a task is JOB/INDEX. The entry that places the task answers, with the time since each event.

Options:
    --entry ADDRESS       Entry that took the request or places the task, as IP:PORT
    --secret-file FILE    File with an operators' secret of the entry
    --json                Write JSON
    -h, --help            Show this text

Example:
    chervilledge explain 00065f2a8c1b4c01-2a --entry 10.1.0.5:7100 --secret-file operator.secret
";

/// Microseconds of a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let Some(matches) = args::parse(argv, &args::entry_options(), USAGE, out)? else { return Ok(()) };
    let id = args::path_argument(&matches, USAGE)?;
    let client = args::client(&matches, USAGE)?;
    let answer = client.get(&format!("/explain/{id}"))?;
    if matches.opt_present("json") {
        return Ok(writeln!(out, "{answer}")?);
    }
    if answer.get("task").is_some() { write_task(&client, &answer, out) } else { write_request(&client, &answer, out) }
}

fn write_task(client: &Client, answer: &Value, out: &mut dyn Write) -> Result<(), Error> {
    let fault = || client.fault("answer: not the events of a task".to_owned());
    let (task, events) = answer["task"].as_str().zip(answer["events"].as_array()).ok_or_else(fault)?;
    writeln!(out, "Task {task}, in the table: {}", state_name(&answer["row"]["state"]))?;
    writeln!(out, "{:>10}  {:14}  DETAILS", "AGO MS", "EVENT")?;
    for event in events {
        let event = event.as_object().ok_or_else(fault)?;
        let age_ms = event.get("age_ms").and_then(Value::as_u64).unwrap_or_default();
        let name = event.get("what").map(plain).unwrap_or_default();
        let details = details(event, &["age_ms", "what"]);
        writeln!(out, "{}", format!("{age_ms:>10}  {name:14}  {details}").trim_end())?;
    }
    Ok(())
}

/// Name of a task's state, whose particulars the events tell.
fn state_name(state: &Value) -> &str {
    match state {
        Value::String(name) => name,
        Value::Object(named) => named.keys().next().map_or("unknown", String::as_str),
        _ => "none",
    }
}

fn write_request(client: &Client, answer: &Value, out: &mut dyn Write) -> Result<(), Error> {
    let fault = || client.fault("answer: not the steps of a request".to_owned());
    let (request, service) = (&answer["request"], &answer["service"]);
    let (request, service) = request.as_str().zip(service.as_str()).ok_or_else(fault)?;
    let steps = answer["steps"].as_array().ok_or_else(fault)?;
    // A request that was refused early has no service.
    let service = if service.is_empty() { String::new() } else { format!(" of service {service}") };
    writeln!(out, "Request {request}{service}:")?;
    writeln!(out, "{:>10}  {:14}  DETAILS", "AFTER MS", "STEP")?;
    for step in steps {
        write_step(step.as_object().ok_or_else(fault)?, out)?;
    }
    match answer["steps_left_out"].as_u64() {
        Some(count) if count > 0 => Ok(writeln!(out, "{count} further steps weren't kept.")?),
        _ => Ok(()),
    }
}

fn write_step(step: &Map<String, Value>, out: &mut dyn Write) -> Result<(), Error> {
    let after_ms = step.get("after_us").and_then(Value::as_f64).unwrap_or_default() / US_PER_MS;
    let name = step.get("step").map(plain).unwrap_or_default();
    let details = details(step, &["after_us", "step"]);
    Ok(writeln!(out, "{}", format!("{after_ms:>10.3}  {name:14}  {details}").trim_end())?)
}

/// Fields other than the given ones, as `name=value`.
fn details(fields: &Map<String, Value>, shown: &[&str]) -> String {
    let others = fields.iter().filter(|(name, value)| !shown.contains(&name.as_str()) && !value.is_null());
    others.map(|(name, value)| format!("{name}={}", plain(value))).collect::<Vec<_>>().join(" ")
}

/// Text without quotes, other values as JSON.
fn plain(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}
