//! Takes callers' requests in.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chervilledge_caller::answer::Body;
use chervilledge_caller::body::{self, Start};
use chervilledge_caller::request::{Head, is_passed_on, read_head};
use chervilledge_caller::{Outcome, Refusal};
use chervilledge_link::message::Header;
use chervilledge_operator::config::Service;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::{Name, RequestId};
use chervilledge_policy::request::Spec;
use chervilledge_policy::retry;
use http::request::Parts;
use http::{Method, Request, Response};
use hyper::body::{Body as _, Incoming};

use crate::entry::exchange::{self, Context};
use crate::entry::journal::{Trace, What};
use crate::entry::keys::{Keys, Refused};
use crate::entry::work::{Streamed, Work, WorkBody};
use crate::rollout::Enforced;
use crate::settings::Bounds;

/// Longest time for which an agent is asked what became of a request.
const ASK_FOR: Duration = Duration::from_secs(5);

/// Time after which a caller may come back when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Greatest priority of a service whose requests are shed before others.
const SHEDDABLE_PRIORITY_MAX: u8 = 3;

/// What the listener for callers needs.
#[derive(Debug)]
pub struct Requests {
    /// What drivers share.
    pub context: Arc<Context>,
    /// Configuration that the entry enforces.
    pub enforced: Arc<Enforced>,
    /// Claims idempotency keys.
    pub keys: Keys,
    /// Bounds of the entry.
    pub bounds: Bounds,
    /// Whether new requests are refused.
    pub is_draining: AtomicBool,
}

/// Request that may be handed to a worker.
struct Prepared {
    work: Work,
    spec: Spec,
    key: Option<String>,
}

/// Answers a caller's request.
pub async fn serve(requests: &Requests, request: Request<Incoming>) -> Response<Body> {
    let context = &requests.context;
    let id = context.next_id();
    let (parts, body) = request.into_parts();
    let prepared = match prepare(requests, &parts, body).await {
        Ok(prepared) => prepared,
        Err(code) => return refuse(context, id, &Name::from(""), code, Outcome::NotRun),
    };
    let Some(key) = &prepared.key else {
        return exchange::run(Arc::clone(context), id, prepared.work, prepared.spec, None).await;
    };
    let fingerprint = prepared.work.fingerprint();
    match requests.keys.claim(&prepared.work.service, key, id, fingerprint).await {
        Ok(claim) => exchange::run(Arc::clone(context), id, prepared.work, prepared.spec, Some(claim)).await,
        Err(Refused::NotRun(code)) => refuse(context, id, &prepared.work.service, code, Outcome::NotRun),
        Err(Refused::Earlier(Code::KeyAnswered)) => {
            refuse(context, id, &prepared.work.service, Code::KeyAnswered, Outcome::Answered)
        }
        Err(Refused::Earlier(code)) => refuse(context, id, &prepared.work.service, code, Outcome::Unknown),
    }
}

/// Refuses a request before it is handed to a worker.
fn refuse(context: &Context, id: RequestId, service: &Name, code: Code, outcome: Outcome) -> Response<Body> {
    context.ends.not_run.fetch_add(1, Ordering::Relaxed);
    let now = context.clock.now();
    let mut trace = Trace::new(id, Name::clone(service), now);
    trace.add(now, What::NotRun { code });
    context.journal.keep(trace);
    Refusal { code, outcome, request: id, retry_after: RETRY_AFTER }.response()
}

async fn prepare(requests: &Requests, parts: &Parts, body: Incoming) -> Result<Prepared, Code> {
    if requests.is_draining.load(Ordering::Relaxed) {
        return Err(Code::Draining);
    }
    let in_force = requests.enforced.in_force()?;
    let head = read_head(parts)?;
    let service = in_force.document.services.get(head.service.as_str()).ok_or(Code::UnknownService)?;
    let arrived = requests.context.clock.now();
    let bounds = &requests.bounds;
    let body_bytes_max = service.request_body_limit_bytes.min(bounds.body_bytes_max);
    let body = read_body(body, body_bytes_max, bounds.inline_body_bytes_max).await?;
    let timeout = head.timeout.unwrap_or(bounds.request_timeout_ms).min(bounds.request_timeout_max_ms);
    // A body that was handed on in part can't be handed to another worker, and a key asks for at most one run.
    let may_repeat = matches!(body, WorkBody::Whole(_)) && head.idempotency_key.is_none();
    let idempotent = may_repeat && is_idempotent(service, &parts.method);
    let spec = Spec { idempotent, deadline: arrived + timeout, outcome_timeout: ASK_FOR };
    let key = head.idempotency_key.clone();
    let mut work = work(head, parts, body);
    work.sheddable = service.priority <= SHEDDABLE_PRIORITY_MAX;
    work.retry.budget_ratio = f64::from(service.retry_budget_percent) / 100.0;
    Ok(Prepared { work, spec, key })
}

async fn read_body(body: Incoming, bytes_max: u64, inline_bytes_max: usize) -> Result<WorkBody, Code> {
    if body.size_hint().lower() > bytes_max {
        return Err(Code::BodyTooLarge);
    }
    match body::read_start(body, inline_bytes_max).await {
        Ok(Start::Whole(bytes)) if u64::try_from(bytes.len()).is_ok_and(|length| length <= bytes_max) => {
            Ok(WorkBody::Whole(bytes))
        }
        Ok(Start::Whole(_)) => Err(Code::BodyTooLarge),
        Ok(Start::Longer { prefix, rest }) => Ok(WorkBody::Streamed(Streamed { prefix, rest: Some(rest), bytes_max })),
        Err(_) => Err(Code::BadRequest),
    }
}

fn work(head: Head, parts: &Parts, body: WorkBody) -> Work {
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| is_passed_on(name))
        .map(|(name, value)| Header { name: name.as_str().to_owned(), value: value.as_bytes().to_vec() })
        .collect();
    Work {
        service: Name::from(head.service),
        method: parts.method.as_str().to_owned(),
        target: head.target,
        headers,
        sheddable: false,
        retry: retry::Settings::default(),
        body,
    }
}

fn is_idempotent(service: &Service, method: &Method) -> bool {
    service.idempotent_methods.iter().any(|idempotent| **idempotent == *method.as_str())
}
