//! HTTP client with a timeout for each call, which leaves connections that have gone silent.
//!
//! A timeout bounds the time without any part of the answer and not that of the whole answer, which on a narrow link grows
//! with the answer's size.

use std::net::SocketAddr;
use std::pin::pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client as Pool;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;

/// Time without an answer, beyond that for which it may be held back, after which open connections are used no more.
///
/// Below the time after which the scheduler repeats a call, so that the repetition takes a new connection.
const SUSPECT_AFTER: Duration = Duration::from_millis(250);
/// Time for which an unused connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// Bounds of a client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Time for opening a connection; a machine that has no power never answers.
    pub connect_timeout: Duration,
    /// Largest answer that is read, in bytes.
    pub answer_bytes_max: usize,
}

/// Answer with its whole body.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Header fields.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Failure of a call, by what it proves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// Nothing listens at the address.
    NotThere,
    /// Nothing left the process.
    NeverSent,
    /// No answer came in time; the call may have been carried out, or may still be.
    Silent,
    /// The connection broke; the call may have been carried out, or may still be.
    Broken,
}

/// How long a call waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Patience {
    /// Time for which the other side was asked to hold the answer back.
    pub held: Duration,
    /// Time without any part of the answer after which the call is given up; for the first part, beyond `held`.
    pub timeout: Duration,
}

impl Patience {
    /// Patience for an answer that isn't held back.
    #[must_use]
    pub const fn at_once(timeout: Duration) -> Self {
        Self { held: Duration::ZERO, timeout }
    }
}

/// Client; clones share its connections.
#[derive(Clone, Debug)]
pub struct Client {
    bounds: Bounds,
    connections: Arc<Mutex<Connections>>,
}

/// Connections that new calls may use.
#[derive(Debug)]
struct Connections {
    /// Counts how often they were replaced.
    generation: u64,
    pool: Pool<HttpConnector, Full<Bytes>>,
}

/// Opens a client; connections are made when calls need them.
#[must_use]
pub fn open(bounds: Bounds) -> Client {
    let connections = Connections { generation: 0, pool: pool(bounds) };
    Client { bounds, connections: Arc::new(Mutex::new(connections)) }
}

fn pool(bounds: Bounds) -> Pool<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(bounds.connect_timeout));
    Pool::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        // A call that is sent twice could be carried out twice.
        .retry_canceled_requests(false)
        .build(connector)
}

impl Client {
    /// Sends a request and reads the whole answer.
    ///
    /// A connection that something between the two ends has lost track of stays silent, and others that were open then
    /// may as well. So calls that follow an overdue one open new connections.
    ///
    /// # Errors
    ///
    /// What the failure proves.
    pub async fn call(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        patience: Patience,
    ) -> Result<Answer, Failure> {
        self.call_counted(address, method, path, headers, body, patience, |_| {}).await
    }

    /// As [`Client::call`]; `on_part` is told the length of each part of the answer's body as it comes.
    ///
    /// # Errors
    ///
    /// What the failure proves.
    #[expect(clippy::too_many_arguments, reason = "those of a request")]
    pub async fn call_counted(
        &self,
        address: SocketAddr,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
        patience: Patience,
        on_part: impl Fn(usize) + Send + Sync,
    ) -> Result<Answer, Failure> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.headers_mut() = headers;
        *request.uri_mut() = format!("http://{address}{path}").parse().or(Err(Failure::NeverSent))?;
        let (generation, pool) = self.current();
        let parts = AtomicU64::new(0);
        let count = |length| {
            parts.fetch_add(1, Ordering::Relaxed);
            on_part(length);
        };
        let mut answer = pin!(exchange(&pool, request, self.bounds.answer_bytes_max, count));
        let suspect = SUSPECT_AFTER.min(patience.timeout);
        if let Ok(answer) = tokio::time::timeout(patience.held + suspect, &mut answer).await {
            return answer;
        }
        let mut known = parts.load(Ordering::Relaxed);
        if known == 0 {
            self.replace(generation, address);
        }
        let mut left = patience.timeout.saturating_sub(suspect);
        loop {
            if let Ok(answer) = tokio::time::timeout(left, &mut answer).await {
                return answer;
            }
            let present = parts.load(Ordering::Relaxed);
            if std::mem::replace(&mut known, present) == present {
                return Err(Failure::Silent);
            }
            left = patience.timeout;
        }
    }

    /// Sends a JSON body.
    ///
    /// # Errors
    ///
    /// As [`Client::call`].
    pub async fn post<T: Serialize>(
        &self,
        address: SocketAddr,
        path: &str,
        mut headers: HeaderMap,
        body: &T,
        patience: Patience,
    ) -> Result<Answer, Failure> {
        let Ok(body) = serde_json::to_vec(body) else { return Err(Failure::NeverSent) };
        headers.insert(header::CONTENT_TYPE, http::HeaderValue::from_static("application/json"));
        self.call(address, Method::POST, path, headers, body.into(), patience).await
    }

    fn current(&self) -> (u64, Pool<HttpConnector, Full<Bytes>>) {
        let connections = lock(&self.connections);
        (connections.generation, connections.pool.clone())
    }

    /// Leaves the connections of a generation to the calls that use them, unless that was done before.
    fn replace(&self, generation: u64, address: SocketAddr) {
        let mut connections = lock(&self.connections);
        if connections.generation == generation {
            *connections = Connections { generation: generation + 1, pool: pool(self.bounds) };
            log::info!(event = "connections_replaced", address:% = address, generation = generation + 1; "");
        }
    }
}

fn lock(connections: &Mutex<Connections>) -> MutexGuard<'_, Connections> {
    connections.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn exchange(
    pool: &Pool<HttpConnector, Full<Bytes>>,
    request: Request<Full<Bytes>>,
    answer_bytes_max: usize,
    on_part: impl Fn(usize),
) -> Result<Answer, Failure> {
    let response = pool.request(request).await.map_err(|error| failure(&error))?;
    on_part(0);
    let (head, body) = response.into_parts();
    let mut body = Limited::new(body, answer_bytes_max);
    let mut content = BytesMut::new();
    while let Some(frame) = body.frame().await {
        // Trailers say nothing that is used.
        let Ok(part) = frame.or(Err(Failure::Broken))?.into_data() else { continue };
        on_part(part.len());
        content.extend_from_slice(&part);
    }
    Ok(Answer { status: head.status, headers: head.headers, body: content.freeze() })
}

fn failure(error: &hyper_util::client::legacy::Error) -> Failure {
    if !error.is_connect() {
        return Failure::Broken;
    }
    let mut cause: Option<&(dyn std::error::Error + 'static)> = Some(error);
    while let Some(present) = cause {
        let is_refused = present
            .downcast_ref::<std::io::Error>()
            .is_some_and(|error| error.kind() == std::io::ErrorKind::ConnectionRefused);
        if is_refused {
            return Failure::NotThere;
        }
        cause = present.source();
    }
    Failure::NeverSent
}
