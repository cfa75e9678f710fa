//! Operator API routes for jobs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_operator::config::Document;
use chervilledge_operator::listen::{Answer, Failure, Request, Routes};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::Name;
use chervilledge_policy::shard::shard_of;
use chervilledge_policy::task::{Effects, JobRow, Priority, TaskId, TaskState};
use chervilledge_store::client::Client;
use chervilledge_store::error::{Outcome, Reason};
use chervilledge_store::table::{Expect, Row, Write};
use http::{Method, StatusCode};
use ractor::ActorRef;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::entry::batch::poll::scan_all;
use crate::entry::batch::rows::{JOBS_PREFIX, JobRecord, TaskRecord, decode_row, job_key, queue_key, tasks_prefix};
use crate::entry::batch::{Context, Message};

/// Maximum number of tasks of a job.
const TASKS_PER_JOB_MAX: u32 = 100_000;

/// Maximum number of jobs in one cancellation.
const CANCEL_MAX: usize = 1_000;

/// Maximum length of a submission key, in bytes.
const KEY_BYTES_MAX: usize = 200;

/// Time limit for determining the outcome of a write.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Attempts at a write that fails on version conflicts.
const WRITE_ATTEMPTS: usize = 8;

/// Maximum number of tasks listed in a job's details.
const TASKS_LISTED: usize = 200;

/// Time limit for a response from the actor.
const ASK_TIMEOUT_MS: u64 = 1_000;

/// `Retry-After` of responses to requests that failed because the table was unavailable, in seconds.
const RETRY_AFTER_S: u64 = 5;

/// Body of `POST /jobs`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Submission {
    /// Key chosen by the submitter; unique within the team.
    key: Name,
    team: Name,
    kind: Name,
    priority: Priority,
    task_count: u32,
    #[serde(default = "fenced")]
    effects: Effects,
}

const fn fenced() -> Effects {
    Effects::Fenced
}

/// Body of `POST /jobs/cancel`: jobs by identifier, every job of a team, of a kind or of both, or one task.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Cancellation {
    jobs: Vec<Name>,
    team: Option<Name>,
    kind: Option<Name>,
    task: Option<Name>,
}

/// Adds the routes for jobs.
#[must_use]
pub fn routes(routes: Routes, context: &Context, batch: &ActorRef<Message>) -> Routes {
    let shared = Arc::new((context.clone(), batch.clone()));
    let (for_submit, for_list, for_get, for_cancel) =
        (Arc::clone(&shared), Arc::clone(&shared), Arc::clone(&shared), shared);
    routes
        .route(Method::POST, "/jobs", move |request| {
            let shared = Arc::clone(&for_submit);
            async move { submit(&shared.0, &shared.1, &request).await }
        })
        .route(Method::GET, "/jobs", move |_| {
            let shared = Arc::clone(&for_list);
            async move { list(&shared.0).await }
        })
        .route(Method::POST, "/jobs/cancel", move |request| {
            let shared = Arc::clone(&for_cancel);
            async move { cancel(&shared.0, &shared.1, &request).await }
        })
        .route(Method::GET, "/jobs/", move |request| {
            let shared = Arc::clone(&for_get);
            async move { get(&shared.0, &request.rest).await }
        })
}

async fn submit(context: &Context, batch: &ActorRef<Message>, request: &Request) -> Answer {
    let submission: Submission = parse_body(request)?;
    let in_force = context.enforced.in_force().map_err(unavailable)?;
    let record = validate(&submission, &in_force.document)?;
    let shard_count = context.settings.shard_count;
    let mut shards: Vec<u32> = (0..record.row.task_count)
        .map(|index| shard_of(&TaskId { job: Name::clone(&record.row.id), index }, shard_count))
        .collect();
    shards.sort_unstable();
    shards.dedup();
    let mut writes = vec![Write::put(job_key(&record.row.id), Expect::Absent, json!(record))];
    let markers = shards.iter().map(|shard| Write::put(queue_key(*shard, &record.row.id), Expect::Any, json!({})));
    writes.extend(markers);
    let is_new = match commit_writes(&context.platform, writes).await? {
        None => true,
        Some(current) => {
            check_repeated(&record, current.as_ref())?;
            false
        }
    };
    drop(batch.cast(Message::Changed));
    log::info!(event = "job_submitted", job = &*record.row.id, is_new = is_new; "");
    Ok(json!({ "id": record.row.id, "new": is_new }))
}

/// Validates a submission against the configuration, and builds the job's record.
fn validate(submission: &Submission, document: &Document) -> Result<JobRecord, Failure> {
    let kind = document.batch_kinds.get(&submission.kind).ok_or_else(|| unknown_name("kind"))?;
    let team = document.teams.get(&submission.team).ok_or_else(|| unknown_name("team"))?;
    let is_valid = (1..=TASKS_PER_JOB_MAX).contains(&submission.task_count)
        && !submission.key.is_empty()
        && submission.key.len() <= KEY_BYTES_MAX;
    if !is_valid {
        let detail = json!({ "task_count_max": TASKS_PER_JOB_MAX, "key_bytes_max": KEY_BYTES_MAX });
        return Err(Failure::with_detail(StatusCode::BAD_REQUEST, Code::OutOfRange, detail));
    }
    let reject = |code, detail| Err(Failure::with_detail(StatusCode::UNPROCESSABLE_ENTITY, code, detail));
    if !team.quota.resources().covers(&kind.resources) {
        return reject(Code::QuotaTooSmall, json!({ "quota": team.quota, "task": kind.resources }));
    }
    if let Some(lacking_resource) = lacking_resource(document, &kind.resources) {
        return reject(Code::Unschedulable, json!({ "lacking": lacking_resource, "task": kind.resources }));
    }
    let row = JobRow {
        id: job_id(&submission.team, &submission.key),
        submit_key: Name::clone(&submission.key),
        team: Name::clone(&submission.team),
        priority: submission.priority,
        kind: Name::clone(&submission.kind),
        declared: kind.resources,
        run_time: kind.run_time_ms,
        effects: submission.effects,
        task_count: submission.task_count,
        attempts_max: kind.worker_attempts,
    };
    Ok(JobRecord {
        row,
        checkpoint_interval_ms: kind.checkpoint_interval_ms,
        may_throttle: kind.may_throttle,
        may_evict: kind.may_evict,
        cancelled: false,
        cancelled_tasks: std::collections::BTreeSet::new(),
    })
}

/// Returns the resource that no declared worker has enough of; `None` if one could hold the task, or none is declared.
fn lacking_resource(document: &Document, needed: &Resources) -> Option<&'static str> {
    let shapes: Vec<Resources> =
        document.sites.values().flat_map(|site| site.worker_shapes.values()).map(|shape| shape.resources).collect();
    if shapes.is_empty() || shapes.iter().any(|shape| shape.covers(needed)) {
        return None;
    }
    let no_shape = |is_enough: &dyn Fn(&Resources) -> bool| !shapes.iter().any(is_enough);
    Some(if no_shape(&|shape| shape.processor_millicores >= needed.processor_millicores) {
        "processor_millicores"
    } else if no_shape(&|shape| shape.memory_bytes >= needed.memory_bytes) {
        "memory_bytes"
    } else if no_shape(&|shape| shape.accelerators >= needed.accelerators) {
        "accelerators"
    } else {
        "combination"
    })
}

/// Derives a job's identifier, which is the same for every submission with the same team and key.
fn job_id(team: &str, key: &str) -> Name {
    let bytes = team.bytes().chain([0]).chain(key.bytes());
    let hash =
        |seed: u64| bytes.clone().fold(seed, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3));
    Name::from(format!("{:016x}{:016x}", hash(0xcbf2_9ce4_8422_2325), hash(0x9e37_79b9_7f4a_7c15)))
}

/// Checks that a submission equals the existing job with its identifier.
fn check_repeated(record: &JobRecord, current: Option<&Row>) -> Result<(), Failure> {
    let known = current.and_then(decode_row::<JobRecord>);
    let is_same = known.as_ref().is_some_and(|known| {
        let (new, old) = (&record.row, &known.row);
        (&new.team, &new.submit_key, &new.kind, new.priority, new.task_count, new.effects)
            == (&old.team, &old.submit_key, &old.kind, old.priority, old.task_count, old.effects)
    });
    if is_same { Ok(()) } else { Err(Failure::new(StatusCode::CONFLICT, Code::JobKeyInUse)) }
}

async fn list(context: &Context) -> Answer {
    let rows = scan_all(&context.platform, JOBS_PREFIX).await.or(Err(unavailable(Code::PlatformUnavailable)))?;
    let jobs: Vec<Value> = rows.iter().filter_map(decode_row::<JobRecord>).map(|job| summary(&job)).collect();
    Ok(json!({ "jobs": jobs }))
}

async fn get(context: &Context, id: &str) -> Answer {
    let job = read_job(&context.platform, id).await?;
    let mut rows: BTreeMap<u32, TaskRecord> = BTreeMap::new();
    for shard in 0..context.settings.shard_count {
        let found = scan_all(&context.platform, &tasks_prefix(shard, id)).await;
        let found = found.or(Err(unavailable(Code::PlatformUnavailable)))?;
        rows.extend(found.iter().filter_map(decode_row::<TaskRecord>).map(|task| (task.row.id.index, task)));
    }
    let mut counts: BTreeMap<&'static str, u32> = BTreeMap::new();
    let mut tasks = Vec::new();
    for index in 0..job.row.task_count {
        let record = rows.get(&index);
        let state = state_name(&job, index, record);
        *counts.entry(state).or_default() += 1;
        if tasks.len() < TASKS_LISTED {
            tasks.push(task_value(index, state, record));
        }
    }
    let is_finished = counts.keys().all(|state| matches!(*state, "done" | "cancelled" | "failed"));
    let mut value = summary(&job);
    value["counts"] = json!(counts);
    value["finished"] = json!(is_finished);
    value["tasks"] = json!(tasks);
    Ok(value)
}

fn summary(job: &JobRecord) -> Value {
    json!({
        "id": job.row.id,
        "key": job.row.submit_key,
        "team": job.row.team,
        "kind": job.row.kind,
        "priority": job.row.priority,
        "task_count": job.row.task_count,
        "cancelled": job.cancelled,
    })
}

fn state_name(job: &JobRecord, index: u32, record: Option<&TaskRecord>) -> &'static str {
    match record.map(|record| &record.row.state) {
        None | Some(TaskState::Queued | TaskState::Unschedulable(_)) if job.is_cancelled(index) => "cancelled",
        None | Some(TaskState::Queued) => "queued",
        Some(TaskState::Claimed(_)) => "claimed",
        Some(TaskState::Running(_)) => "running",
        Some(TaskState::Done) => "done",
        Some(TaskState::Cancelled) => "cancelled",
        Some(TaskState::Failed(_)) => "failed",
        Some(TaskState::Unschedulable(_)) => "unschedulable",
    }
}

fn task_value(index: u32, state: &str, record: Option<&TaskRecord>) -> Value {
    let code = match record.map(|record| &record.row.state) {
        Some(TaskState::Failed(code) | TaskState::Unschedulable(code)) => Some(*code),
        _ => None,
    };
    json!({
        "index": index,
        "state": state,
        "epoch": record.map_or(1, |record| record.row.epoch.0),
        "worker": record.and_then(|record| record.row.state.claim()).map(|claim| &claim.worker),
        "code": code.map(Code::number),
        "text": code.map(Code::text),
        "attempts": record.map(|record| &record.row.attempts),
    })
}

async fn cancel(context: &Context, batch: &ActorRef<Message>, request: &Request) -> Answer {
    let cancellation: Cancellation = parse_body(request)?;
    let ids = match &cancellation.task {
        Some(task) => vec![parse_task(task)?.job],
        None if !cancellation.jobs.is_empty() => cancellation.jobs.clone(),
        None => matching_jobs(context, &cancellation).await?,
    };
    if ids.len() > CANCEL_MAX {
        let detail = json!({ "jobs_max": CANCEL_MAX });
        return Err(Failure::with_detail(StatusCode::BAD_REQUEST, Code::OutOfRange, detail));
    }
    let mut cancelled = Vec::new();
    for id in ids {
        cancel_job(&context.platform, &id, cancellation.task.as_deref()).await?;
        cancelled.push(id);
    }
    drop(batch.cast(Message::Changed));
    Ok(json!({ "cancelled": cancelled }))
}

/// Returns the uncancelled jobs of a team, of a kind or of both.
async fn matching_jobs(context: &Context, cancellation: &Cancellation) -> Result<Vec<Name>, Failure> {
    if cancellation.team.is_none() && cancellation.kind.is_none() {
        return Err(Failure::new(StatusCode::BAD_REQUEST, Code::MissingField));
    }
    let rows = scan_all(&context.platform, JOBS_PREFIX).await.or(Err(unavailable(Code::PlatformUnavailable)))?;
    let is_selected = |job: &JobRecord| {
        !job.cancelled
            && cancellation.team.as_ref().is_none_or(|team| *team == job.row.team)
            && cancellation.kind.as_ref().is_none_or(|kind| *kind == job.row.kind)
    };
    Ok(rows.iter().filter_map(decode_row::<JobRecord>).filter(is_selected).map(|job| job.row.id).collect())
}

async fn cancel_job(platform: &Client, id: &str, task: Option<&str>) -> Result<(), Failure> {
    for _ in 0..WRITE_ATTEMPTS {
        let row = platform.read_one(job_key(id)).await.or(Err(unavailable(Code::PlatformUnavailable)))?;
        let row = row.ok_or_else(unknown_job)?;
        let mut job = decode_row::<JobRecord>(&row).ok_or_else(unknown_job)?;
        match task {
            Some(task) => drop(job.cancelled_tasks.insert(parse_task(task)?.index)),
            None => job.cancelled = true,
        }
        let job_write = Write::put(job_key(id), Expect::Version(row.version), json!(job));
        if commit_writes(platform, vec![job_write]).await?.is_none() {
            return Ok(());
        }
    }
    Err(unavailable(Code::PlatformUnavailable))
}

/// Returns a task's row and its recent events.
///
/// # Errors
///
/// The identifier is malformed, or the actor doesn't respond.
pub async fn explain(context: &Context, batch: &ActorRef<Message>, id: &str) -> Answer {
    let task = parse_task(id)?;
    let events = ractor::call_t!(batch, Message::Explain, ASK_TIMEOUT_MS, task.clone());
    let events = events.or(Err(unavailable(Code::PlatformUnavailable)))?;
    let key = crate::entry::batch::rows::task_key(&task, context.settings.shard_count);
    let row = context.platform.read_one(key).await.ok().flatten().and_then(|row| decode_row::<TaskRecord>(&row));
    Ok(json!({ "task": id, "row": row, "events": events }))
}

async fn read_job(platform: &Client, id: &str) -> Result<JobRecord, Failure> {
    let row = platform.read_one(job_key(id)).await.or(Err(unavailable(Code::PlatformUnavailable)))?;
    row.as_ref().and_then(decode_row).ok_or_else(unknown_job)
}

/// Commits writes; returns the current row of the first version conflict, if there was one.
async fn commit_writes(platform: &Client, writes: Vec<Write>) -> Result<Option<Option<Row>>, Failure> {
    let committed = platform.commit_and_resolve(platform.next_write_id(), writes);
    let outcome_unknown = || unavailable(Code::WriteUnknown);
    match tokio::time::timeout(WRITE_TIMEOUT, committed).await.or(Err(outcome_unknown()))? {
        Outcome::Done(_) => Ok(None),
        Outcome::NotDone(Reason::Conflict(conflict)) => Ok(Some(conflict.current)),
        Outcome::NotDone(_) => Err(unavailable(Code::PlatformUnavailable)),
        Outcome::Unknown => Err(outcome_unknown()),
    }
}

fn parse_body<T: DeserializeOwned>(request: &Request) -> Result<T, Failure> {
    serde_json::from_slice(&request.body).map_err(|error| {
        Failure::with_detail(StatusCode::BAD_REQUEST, Code::RequestMalformed, json!(error.to_string()))
    })
}

fn parse_task(id: &str) -> Result<TaskId, Failure> {
    let (job, index) = id.rsplit_once('/').ok_or_else(unknown_job)?;
    Ok(TaskId { job: Name::from(job), index: index.parse().or(Err(unknown_job()))? })
}

fn unknown_name(field: &str) -> Failure {
    Failure::with_detail(StatusCode::BAD_REQUEST, Code::UnknownName, json!({ "field": field }))
}

fn unknown_job() -> Failure {
    Failure::new(StatusCode::NOT_FOUND, Code::UnknownJob)
}

fn unavailable(code: Code) -> Failure {
    Failure { retry_after_s: Some(RETRY_AFTER_S), ..Failure::new(StatusCode::SERVICE_UNAVAILABLE, code) }
}
