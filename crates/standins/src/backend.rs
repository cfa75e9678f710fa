//! Backend server of the worker's stand-in.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use chervilledge_policy::capacity::Capacity;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::id::Name;
use http::header::CONTENT_LENGTH;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, StatusCode};
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep_until};

use crate::ledger::{Ledger, What};
use crate::serve::{self, Answer, Hangup};

/// Time between two looks at how much the tasks beside a request slow it down.
const SLICE: Duration = Duration::from_millis(5);
/// Bytes that a short answer lacks.
const SHORT_BYTES: usize = 1;

/// Body of the backend server's answer, unless the request asks for bytes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Echo {
    /// Header `x-request-id` of the request.
    pub request_id: String,
    /// Worker that ran the request.
    pub worker: Name,
    /// Path and query of the request.
    pub path: String,
    /// Length of the request's body.
    pub body_length_bytes: u64,
    /// FNV-1a checksum of the request's body.
    pub body_checksum: u64,
}

/// Computes the FNV-1a checksum of bytes.
#[must_use]
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

/// Body of an answer to a request with `x-answer-bytes`, which only this request can have.
#[must_use]
pub fn answer_bytes(request_id: &str, length_bytes: usize) -> Vec<u8> {
    let mut state = checksum(request_id.as_bytes()) | 1;
    let mut body = Vec::with_capacity(length_bytes + 8);
    while body.len() < length_bytes {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        body.extend_from_slice(&state.to_le_bytes());
    }
    body.truncate(length_bytes);
    body
}

/// Limits and counts of the backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    pub(crate) worker: Name,
    pub(crate) capacity: Capacity,
    pub(crate) clock: Clock,
    pub(crate) ledger: Ledger,
    in_progress: AtomicU32,
    connections: Arc<AtomicU32>,
}

/// Connection that counts from its first request on.
#[derive(Debug)]
pub(crate) struct Connection {
    counted: AtomicBool,
    open: Arc<AtomicU32>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if *self.counted.get_mut() {
            self.open.fetch_sub(1, Ordering::Relaxed);
        }
    }
}

/// Request in progress; its end is recorded whichever way it ends.
#[derive(Debug)]
struct Running<'a> {
    backend: &'a Backend,
    request_id: Name,
    status: Option<u16>,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.backend.in_progress.fetch_sub(1, Ordering::Relaxed);
        let what = What::RequestEnded { request_id: Name::clone(&self.request_id), status: self.status };
        self.backend.ledger.record(self.backend.clock.now(), what);
    }
}

impl Backend {
    pub(crate) fn new(worker: Name, capacity: Capacity, clock: Clock, ledger: Ledger) -> Self {
        Self { worker, capacity, clock, ledger, in_progress: AtomicU32::new(0), connections: Arc::default() }
    }

    pub(crate) fn connect(&self) -> Connection {
        Connection { counted: AtomicBool::new(false), open: Arc::clone(&self.connections) }
    }

    /// Executes one request; `slowdown` tells by how much it is slowed down now.
    pub(crate) async fn execute(
        &self,
        connection: &Connection,
        parts: &Parts,
        body: &Bytes,
        fail_all: bool,
        slowdown: impl Fn() -> f64,
    ) -> Result<Answer, Hangup> {
        self.count_connection(connection);
        let mut running = self.begin(parts);
        let work = header(&parts.headers, "x-work-ms").map_or(Duration::ZERO, Duration::from_millis);
        if !fail_all {
            work_for(work, slowdown).await;
        }
        let fail = if fail_all { "500" } else { text_header(&parts.headers, "x-fail") };
        let answer = match fail {
            "reset" => return Err(Hangup),
            "500" => serve::text(StatusCode::INTERNAL_SERVER_ERROR, "failed on command"),
            "short" => short(self.whole(parts, body, &running.request_id)),
            _ => self.whole(parts, body, &running.request_id),
        };
        running.status = Some(answer.status().as_u16());
        Ok(answer)
    }

    fn count_connection(&self, connection: &Connection) {
        if connection.counted.swap(true, Ordering::Relaxed) {
            return;
        }
        let open = self.connections.fetch_add(1, Ordering::Relaxed) + 1;
        if open > self.capacity.connections {
            self.ledger.record(self.clock.now(), What::OverConnections { open });
        }
    }

    fn begin(&self, parts: &Parts) -> Running<'_> {
        let headers = &parts.headers;
        let now = self.clock.now();
        let request_id = Name::from(text_header(headers, "x-request-id"));
        let key = Some(text_header(headers, "idempotency-key")).filter(|key| !key.is_empty()).map(Name::from);
        let path = Name::from(path_of(parts));
        let what = What::RequestStarted { request_id: Name::clone(&request_id), idempotency_key: key, path };
        self.ledger.record(now, what);
        let in_progress = self.in_progress.fetch_add(1, Ordering::Relaxed) + 1;
        if in_progress > self.capacity.slots {
            self.ledger.record(now, What::OverSlots { in_progress });
        }
        Running { backend: self, request_id, status: None }
    }

    fn whole(&self, parts: &Parts, body: &Bytes, request_id: &str) -> Answer {
        if let Some(length) = header(&parts.headers, "x-answer-bytes") {
            let length_bytes = usize::try_from(length).unwrap_or(0);
            return serve::bytes(StatusCode::OK, Bytes::from(answer_bytes(request_id, length_bytes)));
        }
        let echo = Echo {
            request_id: request_id.to_owned(),
            worker: Name::clone(&self.worker),
            path: path_of(parts),
            body_length_bytes: body.len() as u64,
            body_checksum: checksum(body),
        };
        serve::json(StatusCode::OK, &echo)
    }
}

/// Holds the slot for the time of the work, stretched by the slowdown as it changes.
async fn work_for(work: Duration, slowdown: impl Fn() -> f64) {
    let mut left = work;
    let mut until = Instant::now();
    while !left.is_zero() {
        let slice = left.min(SLICE);
        left -= slice;
        until += slice.mul_f64(slowdown());
        sleep_until(until).await;
    }
}

/// Announces more bytes than follow.
fn short(mut answer: Answer) -> Answer {
    let length = hyper::body::Body::size_hint(answer.body()).lower();
    answer.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length + SHORT_BYTES as u64));
    answer
}

fn path_of(parts: &Parts) -> String {
    parts.uri.path_and_query().map_or_else(String::new, ToString::to_string)
}

fn text_header<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn header(headers: &HeaderMap, name: &str) -> Option<u64> {
    text_header(headers, name).parse().ok()
}
