//! Routes of an entry's listener for configuration and status.

use std::sync::Arc;

use chervilledge_policy::code::Code;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use crate::accept::{self, Outcome, Proposal, ReadError, Summary};
use crate::documents::Accepted;
use crate::listen::{Answer, Failure, Request, Routes};
use crate::store::Store;

/// Seconds after which a call is repeated that the platform kept from an answer.
const RETRY_AFTER_S: u64 = 2;

/// What the routes need of an entry.
#[derive(Clone)]
pub struct Entry {
    /// Platform's table.
    pub store: Store,
    /// Gives the version that the entry enforces.
    pub enforced: Arc<dyn Fn() -> Option<Accepted> + Send + Sync>,
    /// Takes a version that was accepted here, so that it is in force without waiting for a poll.
    pub adopt: Arc<dyn Fn(Accepted) + Send + Sync>,
    /// Gives the answer to `GET /status`: which process enforces which version.
    pub status: Arc<dyn Fn() -> Value + Send + Sync>,
}

impl std::fmt::Debug for Entry {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Entry").finish_non_exhaustive()
    }
}

/// Adds `GET /config`, `POST /config/accept`, `GET /config/history`, `GET /config/history/VERSION` and `GET /status`.
#[must_use]
pub fn routes(routes: Routes, entry: &Entry) -> Routes {
    let status = Arc::clone(&entry.status);
    let routes = routes.route(Method::GET, "/status", move |_| {
        let status = Arc::clone(&status);
        async move { Ok(status()) }
    });
    let routes = add(routes, Method::GET, "/config", entry, current);
    let routes = add(routes, Method::POST, "/config/accept", entry, accept_plan);
    let routes = add(routes, Method::GET, "/config/history", entry, history);
    add(routes, Method::GET, "/config/history/", entry, version)
}

fn add<F, A>(routes: Routes, method: Method, path: &'static str, entry: &Entry, handler: F) -> Routes
where
    F: Fn(Entry, Request) -> A + Send + Sync + 'static,
    A: Future<Output = Answer> + Send + 'static,
{
    let entry = entry.clone();
    routes.route(method, path, move |request| handler(entry.clone(), request))
}

/// The accepted version, from the table or, if the entry knows a higher one or the table is away, from memory.
async fn current(entry: Entry, _: Request) -> Answer {
    let enforced = (entry.enforced)();
    let (accepted, source) = match accept::current(&entry.store).await {
        Ok(table) if version_of(table.as_ref()) >= version_of(enforced.as_ref()) => (table, "table"),
        Err(error) if enforced.is_none() => return Err(read_failure(&error)),
        Ok(_) | Err(_) => (enforced, "memory"),
    };
    Ok(json!({ "accepted": accepted, "source": source }))
}

fn version_of(accepted: Option<&Accepted>) -> u64 {
    accepted.map_or(0, |accepted| accepted.version)
}

async fn accept_plan(entry: Entry, request: Request) -> Answer {
    let proposal: Proposal = serde_json::from_slice(&request.body).map_err(|error| {
        let detail = json!(error.to_string());
        Failure::with_detail(StatusCode::BAD_REQUEST, Code::RequestMalformed, detail)
    })?;
    let known = (entry.enforced)().map(|accepted| accepted.stamp());
    let outcome = accept::accept(&entry.store, &proposal, known).await;
    report(&proposal, &outcome);
    if let Outcome::Accepted(accepted) = &outcome {
        (entry.adopt)(Accepted::clone(accepted));
    }
    answer(outcome)
}

fn report(proposal: &Proposal, outcome: &Outcome) {
    let code = code(outcome).map_or(0, Code::number);
    let operator = &*proposal.operator;
    log::info!(event = "plan_answered", operator, plan:% = proposal.plan, code; "");
}

/// Code of an outcome; none if the plan is accepted.
fn code(outcome: &Outcome) -> Option<Code> {
    match outcome {
        Outcome::Accepted(_) => None,
        Outcome::Conflict(_) => Some(Code::PlanConflict),
        Outcome::Invalid(_) => Some(Code::ConfigurationInvalid),
        Outcome::Mismatch { .. } => Some(Code::PlanMismatch),
        Outcome::Malformed => Some(Code::RequestMalformed),
        Outcome::Contradiction { .. } => Some(Code::VersionContradiction),
        Outcome::Unavailable => Some(Code::PlatformUnavailable),
        Outcome::Unknown => Some(Code::WriteUnknown),
    }
}

fn answer(outcome: Outcome) -> Answer {
    let Some(code) = code(&outcome) else { return Ok(detail(outcome)) };
    let status = match code {
        Code::PlanConflict | Code::PlanMismatch | Code::VersionContradiction => StatusCode::CONFLICT,
        Code::ConfigurationInvalid => StatusCode::UNPROCESSABLE_ENTITY,
        Code::RequestMalformed => StatusCode::BAD_REQUEST,
        Code::PlatformUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::GATEWAY_TIMEOUT,
    };
    let retry_after_s = status.is_server_error().then_some(RETRY_AFTER_S);
    Err(Failure { retry_after_s, ..Failure::with_detail(status, code, detail(outcome)) })
}

fn detail(outcome: Outcome) -> Value {
    match outcome {
        Outcome::Accepted(accepted) => json!({ "accepted": Summary::from(&*accepted) }),
        Outcome::Conflict(winner) => json!({ "winner": winner }),
        Outcome::Invalid(faults) => json!({ "faults": faults }),
        Outcome::Mismatch { expected } => json!({ "expected": expected }),
        Outcome::Contradiction { table, known } => json!({ "table": table, "known": known }),
        Outcome::Malformed => json!("operator and time need 1 to 63 bytes without control characters"),
        Outcome::Unavailable => json!("this call wrote nothing"),
        Outcome::Unknown => json!("repeat the same acceptance to learn the outcome"),
    }
}

async fn history(entry: Entry, request: Request) -> Answer {
    let newest = match request.query.strip_prefix("newest=") {
        Some(version) => Some(parse_version(version)?),
        None => None,
    };
    let versions = accept::history(&entry.store, newest).await.map_err(|error| read_failure(&error))?;
    Ok(json!({ "versions": versions }))
}

async fn version(entry: Entry, request: Request) -> Answer {
    let number = parse_version(&request.rest)?;
    let accepted = accept::version(&entry.store, number).await.map_err(|error| read_failure(&error))?;
    match accepted {
        Some(accepted) => Ok(json!({ "accepted": accepted })),
        None => Err(Failure::new(StatusCode::NOT_FOUND, Code::UnknownVersion)),
    }
}

fn parse_version(text: &str) -> Result<u64, Failure> {
    text.parse().map_err(|error: std::num::ParseIntError| {
        let detail = json!(format!("version {text:?}: {error}"));
        Failure::with_detail(StatusCode::BAD_REQUEST, Code::RequestMalformed, detail)
    })
}

fn read_failure(error: &ReadError) -> Failure {
    let detail = json!(error.to_string());
    let failure = Failure::with_detail(StatusCode::SERVICE_UNAVAILABLE, Code::PlatformUnavailable, detail);
    Failure { retry_after_s: Some(RETRY_AFTER_S), ..failure }
}
