//! `chervilledge jobs`.

use std::collections::BTreeMap;
use std::io::Write;

use chervilledge_policy::id::Name;
use chervilledge_policy::task::Priority;
use serde::Deserialize;
use serde_json::Value;

use super::args;
use super::client::Client;
use super::error::Error;

const USAGE: &str = "\
Usage: chervilledge jobs [JOB] --entry ADDRESS --secret-file FILE [OPTIONS]

Lists the jobs, or shows one job with the states of its tasks: the first 200 of them, and how many are in each state. A
task's identifier, for 'explain' and 'cancel', is JOB/INDEX.

Options:
    --entry ADDRESS       Entry to ask, as IP:PORT
    --secret-file FILE    File with an operators' secret of the entry
    --json                Write JSON
    -h, --help            Show this text

Example:
    chervilledge jobs --entry 10.1.0.5:7100 --secret-file operator.secret
";

/// Job as an entry lists it.
#[derive(Debug, Deserialize)]
struct Job {
    id: Name,
    key: Name,
    team: Name,
    kind: Name,
    priority: Priority,
    task_count: u32,
    cancelled: bool,
}

/// What an entry tells of one job beside that.
#[derive(Debug, Deserialize)]
struct Progress {
    counts: BTreeMap<Name, u32>,
    finished: bool,
    tasks: Vec<Task>,
}

#[derive(Debug, Deserialize)]
struct Task {
    index: u32,
    state: Name,
    epoch: u64,
    worker: Option<Name>,
    code: Option<u16>,
    text: Option<Name>,
}

#[derive(Debug, Deserialize)]
struct Jobs {
    jobs: Vec<Job>,
}

/// Runs the subcommand.
pub(crate) fn run(argv: &[String], out: &mut dyn Write) -> Result<(), Error> {
    let Some(matches) = args::parse(argv, &args::entry_options(), USAGE, out)? else { return Ok(()) };
    let path = match matches.free.as_slice() {
        [] => "/jobs".to_owned(),
        _ => format!("/jobs/{}", args::path_argument(&matches, USAGE)?),
    };
    let client = args::client(&matches, USAGE)?;
    let answer = client.get(&path)?;
    if matches.opt_present("json") {
        return Ok(writeln!(out, "{answer}")?);
    }
    if matches.free.is_empty() { write_jobs(&client, answer, out) } else { write_job(&client, &answer, out) }
}

fn write_jobs(client: &Client, answer: Value, out: &mut dyn Write) -> Result<(), Error> {
    let Jobs { jobs } = parse(client, answer)?;
    if jobs.is_empty() {
        return Ok(writeln!(out, "No jobs.")?);
    }
    writeln!(out, "{:32}  {:20}  {:20}  {:10}  {:>6}  KEY", "JOB", "TEAM", "KIND", "PRIORITY", "TASKS")?;
    for Job { id, key, team, kind, priority, task_count, cancelled } in jobs {
        let priority = name(priority);
        let note = if cancelled { " (cancelled)" } else { "" };
        writeln!(out, "{id:32}  {team:20}  {kind:20}  {priority:10}  {task_count:>6}  {key}{note}")?;
    }
    Ok(())
}

fn write_job(client: &Client, answer: &Value, out: &mut dyn Write) -> Result<(), Error> {
    let job: Job = parse(client, answer.clone())?;
    let progress: Progress = parse(client, answer.clone())?;
    let counts: Vec<String> = progress.counts.iter().map(|(state, count)| format!("{count} {state}")).collect();
    let end = if progress.finished { "finished" } else { "not finished" };
    writeln!(
        out,
        "Job {} of team {}, kind {}, key {}: {end}, {}.",
        job.id,
        job.team,
        job.kind,
        job.key,
        counts.join(", ")
    )?;
    writeln!(out, "{:>6}  {:13}  {:>5}  {:20}  REASON", "INDEX", "STATE", "EPOCH", "WORKER")?;
    progress.tasks.iter().try_for_each(|task| write_task(task, out))
}

fn write_task(task: &Task, out: &mut dyn Write) -> Result<(), Error> {
    let Task { index, state, epoch, .. } = task;
    let worker = task.worker.as_deref().unwrap_or("-");
    let reason = match (&task.text, task.code) {
        (Some(text), Some(code)) => format!("{text} ({code})"),
        _ => String::new(),
    };
    let line = format!("{index:>6}  {state:13}  {epoch:>5}  {worker:20}  {reason}");
    Ok(writeln!(out, "{}", line.trim_end())?)
}

fn parse<T: for<'de> Deserialize<'de>>(client: &Client, answer: Value) -> Result<T, Error> {
    serde_json::from_value(answer).map_err(|error| client.fault(format!("answer: {error}")))
}

const fn name(priority: Priority) -> &'static str {
    match priority {
        Priority::Urgent => "urgent",
        Priority::Normal => "normal",
        Priority::Background => "background",
    }
}
