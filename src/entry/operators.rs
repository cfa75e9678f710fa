//! Operator API routes of an entry.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use chervilledge_link::message::ToAgent;
use chervilledge_operator::api;
use chervilledge_operator::listen::{Answer, Failure, Request, Routes};
use chervilledge_operator::status::Status;
use chervilledge_operator::store::{self, Commit, Store, Unavailable};
use chervilledge_policy::code::Code;
use chervilledge_policy::id::{Name, RequestId};
use chervilledge_policy::rollout::Source;
use chervilledge_store::client::Client;
use chervilledge_store::error::{Outcome, Reason};
use chervilledge_store::table::{Expect, Write};
use http::{Method, StatusCode};
use ractor::ActorRef;
use serde_json::{Value, json};

use crate::entry::batch::{self, jobs};
use crate::entry::metrics::Metrics;
use crate::entry::requests::Requests;

/// Time limit for a response from the batch actor.
const ASK_TIMEOUT_MS: u64 = 1_000;

/// Builds the routes of the entry `name`.
#[must_use]
pub fn routes(
    requests: &Arc<Requests>,
    platform: &Client,
    metrics: &Metrics,
    (context, batch): (&batch::Context, &ActorRef<batch::Message>),
    name: Name,
) -> Routes {
    let for_state = Arc::clone(requests);
    let for_workers = Arc::clone(requests);
    let for_drain = Arc::clone(requests);
    let for_explain = (Arc::clone(requests), context.clone(), batch.clone());
    let batch_for_state = batch.clone();
    let routes = Routes::new()
        .route(Method::GET, "/state", move |_| {
            let (requests, batch, name) = (Arc::clone(&for_state), batch_for_state.clone(), Name::clone(&name));
            async move {
                let tasks = ractor::call_t!(batch, batch::Message::Dump, ASK_TIMEOUT_MS).unwrap_or_default();
                Ok(json!({ "role": "entry", "name": name, "entry": dump(&requests), "batch": tasks }))
            }
        })
        .metrics(metrics.reader())
        .route(Method::GET, "/workers", move |_| {
            let workers = for_workers.context.fleet.dump()["workers"].clone();
            async move { Ok(workers) }
        })
        .route(Method::POST, "/drain/", move |request| {
            let answer = drain(&for_drain, &request);
            async move { answer }
        })
        .route(Method::GET, "/explain/", move |request| {
            let (requests, context, batch) = for_explain.clone();
            async move {
                // A task identifier is `JOB/INDEX`; a request identifier contains no slash.
                if request.rest.contains('/') {
                    jobs::explain(&context, &batch, &request.rest).await
                } else {
                    explain(&requests, &request)
                }
            }
        });
    let routes = jobs::routes(routes, context, batch);
    api::routes(routes, &configuration(requests, platform))
}

fn dump(requests: &Requests) -> Value {
    let context = &requests.context;
    let counters = &context.counters;
    json!({
        "boot": context.boot,
        "draining": requests.is_draining.load(Ordering::Relaxed),
        "answered": counters.answered.load(Ordering::Relaxed),
        "not_run": counters.not_run.load(Ordering::Relaxed),
        "unknown": counters.unknown.load(Ordering::Relaxed),
        "retries": counters.retries.load(Ordering::Relaxed),
        "dropped_replies": counters.dropped_replies.load(Ordering::Relaxed),
        "configuration": requests.enforced.dump(),
        "fleet": context.fleet.dump(),
    })
}

/// Sends a drain command to a worker's agent over the entry's own link.
fn drain(requests: &Requests, request: &Request) -> Answer {
    let Some(link) = requests.context.fleet.link(&request.rest) else {
        return Err(Failure::new(StatusCode::NOT_FOUND, Code::UnknownWorker));
    };
    link.post(ToAgent::Drain);
    log::info!(event = "drain_ordered", worker = &*link.worker; "");
    Ok(json!({ "worker": link.worker, "draining": true }))
}

fn explain(requests: &Requests, request: &Request) -> Answer {
    let id: RequestId = request.rest.parse().or(Err(Failure::new(StatusCode::BAD_REQUEST, Code::RequestMalformed)))?;
    match requests.context.journal.find(id) {
        Some(trace) => Ok(json!(trace)),
        None => Err(Failure::new(StatusCode::NOT_FOUND, Code::UnknownRequest)),
    }
}

fn configuration(requests: &Arc<Requests>, platform: &Client) -> api::Entry {
    let enforced = Arc::clone(&requests.enforced);
    let adopting = Arc::clone(&requests.enforced);
    let reporting = Arc::clone(requests);
    api::Entry {
        store: store(platform),
        enforced: Arc::new(move || enforced.accepted()),
        adopt: Arc::new(move |accepted| adopting.offer(&accepted, Source::Table)),
        status: Arc::new(move || json!(status(&reporting))),
    }
}

fn status(requests: &Requests) -> Status {
    let context = &requests.context;
    let rollout = requests.enforced.rollout();
    context.fleet.with_versions(|versions| Status::new(context.clock.now(), &rollout, versions))
}

/// Builds the store for configuration rows.
#[must_use]
pub fn store(platform: &Client) -> Store {
    let reader = platform.clone();
    let writer = platform.clone();
    Store::new(
        move |keys| {
            let reader = reader.clone();
            async move { read(&reader, keys).await }
        },
        move |writes| {
            let writer = writer.clone();
            async move { commit(&writer, writes).await }
        },
    )
}

async fn read(platform: &Client, keys: Vec<String>) -> Result<Vec<Option<store::Row>>, Unavailable> {
    let names: Vec<Name> = keys.iter().map(|key| Name::from(key.as_str())).collect();
    let rows = platform.read(names.clone()).await.or(Err(Unavailable))?;
    let row = |key: &Name| {
        let row = rows.iter().find(|row| row.key == *key)?;
        Some(store::Row { version: row.version, value: row.value.clone() })
    };
    Ok(names.iter().map(row).collect())
}

async fn commit(platform: &Client, writes: Vec<store::Write>) -> Commit {
    let writes = writes
        .into_iter()
        .map(|write| Write::put(write.key, write.expected.map_or(Expect::Absent, Expect::Version), write.value))
        .collect();
    match platform.commit(platform.next_write_id(), writes).await {
        Outcome::Done(_) => Commit::Done,
        Outcome::NotDone(Reason::Conflict(_)) => Commit::Conflict,
        Outcome::NotDone(_) => Commit::Unavailable,
        Outcome::Unknown => Commit::Unknown,
    }
}
