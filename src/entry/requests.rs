//! Handler of callers' requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use chervilledge_caller::answer::Body;
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

use crate::entry::bodies::{self, Start};
use crate::entry::exchange::{self, Context};
use crate::entry::journal::{StepKind, Trace};
use crate::entry::keys::{ClaimRefused, Keys};
use crate::entry::work::{ForwardedBody, ForwardedRequest, StreamedBody};
use crate::rollout::Enforced;
use crate::settings::Bounds;

/// Maximum time for which an agent is queried for the outcome of a request.
const OUTCOME_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry delay for callers when no better estimate is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Highest priority of services whose requests are shed before others.
const SHEDDABLE_PRIORITY_MAX: u8 = 3;

/// State of the listener for callers.
#[derive(Debug)]
pub struct Requests {
    /// State shared by request drivers.
    pub context: Arc<Context>,
    /// Configuration that the entry enforces.
    pub enforced: Arc<Enforced>,
    /// Claims idempotency keys.
    pub keys: Keys,
    /// Limits of the entry.
    pub bounds: Bounds,
    /// Whether new requests are refused.
    pub is_draining: AtomicBool,
}

/// Validated request, ready to be dispatched.
struct PreparedRequest {
    forwarded: ForwardedRequest,
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
        return exchange::run(Arc::clone(context), id, prepared.forwarded, prepared.spec, None).await;
    };
    let fingerprint = prepared.forwarded.fingerprint();
    match requests.keys.claim(&prepared.forwarded.service, key, id, fingerprint).await {
        Ok(claim) => exchange::run(Arc::clone(context), id, prepared.forwarded, prepared.spec, Some(claim)).await,
        Err(ClaimRefused::NotRun(code)) => refuse(context, id, &prepared.forwarded.service, code, Outcome::NotRun),
        Err(ClaimRefused::EarlierRequest(Code::KeyAnswered)) => {
            refuse(context, id, &prepared.forwarded.service, Code::KeyAnswered, Outcome::Answered)
        }
        Err(ClaimRefused::EarlierRequest(code)) => {
            refuse(context, id, &prepared.forwarded.service, code, Outcome::Unknown)
        }
    }
}

/// Refuses a request before it is dispatched.
fn refuse(context: &Context, id: RequestId, service: &Name, code: Code, outcome: Outcome) -> Response<Body> {
    context.counters.not_run.fetch_add(1, Ordering::Relaxed);
    let now = context.clock.now();
    let mut trace = Trace::new(id, Name::clone(service), now);
    trace.add(now, StepKind::NotRun { code });
    context.journal.store(trace);
    Refusal { code, outcome, request: id, retry_after: DEFAULT_RETRY_AFTER }.response()
}

async fn prepare(requests: &Requests, parts: &Parts, body: Incoming) -> Result<PreparedRequest, Code> {
    if requests.is_draining.load(Ordering::Relaxed) {
        return Err(Code::Draining);
    }
    let in_force = requests.enforced.in_force()?;
    let head = read_head(parts)?;
    let service = in_force.document.services.get(head.service.as_str()).ok_or(Code::UnknownService)?;
    let arrived = requests.context.clock.now();
    let bounds = &requests.bounds;
    let body_bytes_max = service.request_body_limit_bytes.min(bounds.body_bytes_max);
    let timeout = head.timeout.unwrap_or(bounds.request_timeout_ms).min(bounds.request_timeout_max_ms);
    if body.size_hint().lower() > body_bytes_max {
        return Err(Code::BodyTooLarge);
    }
    let start = bodies::read_start(body, parts, bounds.inline_body_bytes_max, timeout).await?;
    let body = forwarded_body(start, body_bytes_max)?;
    // A body forwarded in part can't be sent to another worker, and a key requires at most one run.
    let is_repeatable = matches!(body, ForwardedBody::Whole(_)) && head.idempotency_key.is_none();
    let idempotent = is_repeatable && is_idempotent(service, &parts.method);
    let spec = Spec { idempotent, deadline: arrived + timeout, outcome_timeout: OUTCOME_TIMEOUT };
    let key = head.idempotency_key.clone();
    let mut forwarded = build_forwarded(head, parts, body);
    forwarded.sheddable = service.priority <= SHEDDABLE_PRIORITY_MAX;
    forwarded.retry.budget_ratio = f64::from(service.retry_budget_percent) / 100.0;
    Ok(PreparedRequest { forwarded, spec, key })
}

fn forwarded_body(start: Start, bytes_max: u64) -> Result<ForwardedBody, Code> {
    match start {
        Start::Whole(bytes) if u64::try_from(bytes.len()).is_ok_and(|length| length <= bytes_max) => {
            Ok(ForwardedBody::Whole(bytes))
        }
        Start::Whole(_) => Err(Code::BodyTooLarge),
        Start::Longer { prefix, rest } => {
            Ok(ForwardedBody::Streamed(StreamedBody { prefix: Some(prefix), rest: Some(rest), bytes_max }))
        }
    }
}

fn build_forwarded(head: Head, parts: &Parts, body: ForwardedBody) -> ForwardedRequest {
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| is_passed_on(name))
        .map(|(name, value)| Header { name: name.as_str().to_owned(), value: value.as_bytes().to_vec() })
        .collect();
    ForwardedRequest {
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
