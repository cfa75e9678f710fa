//! Answers that the scheduler gives callers itself.

use std::convert::Infallible;
use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::RequestId;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use serde::Serialize;

use crate::{OUTCOME_HEADER, REQUEST_ID_HEADER};

/// Error that ends the body of an answer early, so that the caller sees it broken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Broken(pub Code);

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "answer broken: {}", self.0)
    }
}

impl std::error::Error for Broken {}

/// Body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Broken>;

/// What became of a request without an answer of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request was not run and never will be.
    NotRun,
    /// The request may have been run.
    Unknown,
    /// An earlier request with the same idempotency key was run and answered; this one was not run.
    Answered,
}

impl Outcome {
    /// Form used in header fields.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::Answered => "answered",
        }
    }
}

/// Final answer to a request that the scheduler has given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub code: Code,
    /// Whether the request may have been run.
    pub outcome: Outcome,
    /// Identifier of the request, by which an operator finds what happened.
    pub request: RequestId,
    /// Time after which the caller may come back.
    pub retry_after: Duration,
}

#[derive(Serialize)]
struct RefusalBody {
    code: u16,
    text: &'static str,
    outcome: Outcome,
    retry_after_ms: u64,
}

impl Refusal {
    /// HTTP status of the refusal.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match (self.outcome, self.code) {
            (Outcome::Answered, _) | (_, Code::KeyInUse) => StatusCode::CONFLICT,
            (_, Code::BodyTooLarge) => StatusCode::PAYLOAD_TOO_LARGE,
            (Outcome::Unknown, _) => StatusCode::BAD_GATEWAY,
            (_, Code::UnknownService) => StatusCode::NOT_FOUND,
            (_, Code::BadRequest) => StatusCode::BAD_REQUEST,
            (_, Code::Overloaded) => StatusCode::TOO_MANY_REQUESTS,
            (_, Code::DeadlineBeforeStart) => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Writes the refusal as an HTTP answer.
    #[must_use]
    pub fn response(&self) -> Response<Body> {
        let body = RefusalBody {
            code: self.code.number(),
            text: self.code.text(),
            outcome: self.outcome,
            retry_after_ms: u64::try_from(self.retry_after.as_millis()).unwrap_or(u64::MAX),
        };
        let bytes = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(full(bytes.into()));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers.insert(OUTCOME_HEADER, HeaderValue::from_static(self.outcome.as_str()));
        if let Ok(value) = HeaderValue::try_from(self.request.to_string()) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
        headers.insert(header::RETRY_AFTER, HeaderValue::from(whole_seconds(self.retry_after)));
        response
    }
}

/// Makes a body of bytes that are all there.
#[must_use]
pub fn full(bytes: Bytes) -> Body {
    Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync()
}

/// Rounds up to whole seconds, the unit of `Retry-After`.
fn whole_seconds(duration: Duration) -> u64 {
    duration.as_secs() + u64::from(duration.subsec_nanos() > 0)
}
