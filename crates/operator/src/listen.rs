//! Operators' HTTP listener: state, metrics and the routes that a daemon registers.
//!
//! Every request needs a valid secret as `Authorization: Bearer SECRET`. Failures are answered as JSON with the
//! number of the code.

use std::convert::Infallible;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chervilledge_policy::code::Code;
use http::header::{AUTHORIZATION, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Method, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::{GracefulShutdown, Watcher};
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, oneshot};
use tokio::task::JoinHandle;
use tokio::time;

use crate::metrics::{self, Reader};
use crate::secret::Secrets;

/// Time that requests in progress get when the listener shuts down.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(5);
/// Longest part of a refused path that is logged.
const PATH_LOGGED_BYTES: usize = 64;
/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Secrets and limits of the listener.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Secrets of the operators; all of them are valid.
    pub secrets: Secrets,
    /// Largest request head.
    pub head_limit_bytes: usize,
    /// Largest request body.
    pub body_limit_bytes: usize,
    /// Connections at the same time; further ones wait.
    pub connections: usize,
    /// Time for a whole request head to arrive.
    pub head_timeout_ms: Duration,
    /// Time for a request body to arrive and be handled.
    pub request_timeout_ms: Duration,
    /// Time after which a connection is closed, whatever it does; longer than both other times together.
    pub connection_lifetime_ms: Duration,
}

impl Settings {
    /// Usual limits with the given secrets.
    #[must_use]
    pub fn new(secrets: Secrets) -> Self {
        Self {
            secrets,
            head_limit_bytes: 16 * 1024,
            body_limit_bytes: 512 * 1024,
            connections: 64,
            head_timeout_ms: Duration::from_secs(10),
            request_timeout_ms: Duration::from_secs(30),
            connection_lifetime_ms: Duration::from_mins(1),
        }
    }
}

/// Operator's request, whole.
#[derive(Clone, Debug)]
pub struct Request {
    /// Part of the path after the route's prefix; empty where the route names the whole path.
    pub rest: String,
    /// Query, without the question mark; empty if there is none.
    pub query: String,
    /// Body.
    pub body: Bytes,
}

/// Answer to a request that failed.
#[derive(Clone, Debug)]
pub struct Failure {
    /// HTTP status.
    pub status: StatusCode,
    /// Code of the failure.
    pub code: Code,
    /// Particulars, such as a list of faults; `null` if there are none.
    pub detail: Value,
    /// Seconds after which the request may be repeated.
    pub retry_after_s: Option<u64>,
}

impl Failure {
    /// Failure without particulars.
    #[must_use]
    pub fn new(status: StatusCode, code: Code) -> Self {
        Self { status, code, detail: Value::Null, retry_after_s: None }
    }

    /// Failure with particulars.
    #[must_use]
    pub fn with_detail(status: StatusCode, code: Code, detail: Value) -> Self {
        Self { detail, ..Self::new(status, code) }
    }
}

/// Outcome of a handler.
pub type Answer = Result<Value, Failure>;

type AnswerFuture = Pin<Box<dyn Future<Output = Answer> + Send>>;
type Handler = Arc<dyn Fn(Request) -> AnswerFuture + Send + Sync>;

#[derive(Clone)]
struct Route {
    method: Method,
    path: &'static str,
    handler: Handler,
}

/// Routes of the listener.
#[derive(Clone, Default)]
pub struct Routes {
    routes: Vec<Route>,
    reader: Option<Reader>,
}

impl Routes {
    /// Starts without any route.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Answers `GET /state` with the value that `dump` gives.
    #[must_use]
    pub fn state(self, dump: impl Fn() -> Value + Send + Sync + 'static) -> Self {
        let dump = Arc::new(dump);
        self.route(Method::GET, "/state", move |_| {
            let dump = Arc::clone(&dump);
            async move { Ok(dump()) }
        })
    }

    /// Answers `GET /metrics` with all metrics of `reader`.
    #[must_use]
    pub fn metrics(mut self, reader: Reader) -> Self {
        self.reader = Some(reader);
        self
    }

    /// Adds a route; a path that ends in `/` is a prefix, any other path is matched whole.
    #[must_use]
    pub fn route<F, A>(mut self, method: Method, path: &'static str, handler: F) -> Self
    where
        F: Fn(Request) -> A + Send + Sync + 'static,
        A: Future<Output = Answer> + Send + 'static,
    {
        let handler: Handler = Arc::new(move |request| -> AnswerFuture { Box::pin(handler(request)) });
        self.routes.push(Route { method, path, handler });
        self
    }

    fn find(&self, method: &Method, path: &str) -> Result<(Handler, String), Failure> {
        let mut known = false;
        for route in &self.routes {
            let Some(rest) = rest_of(route.path, path) else { continue };
            if route.method == method {
                return Ok((Arc::clone(&route.handler), rest.to_owned()));
            }
            known = true;
        }
        if known {
            return Err(Failure::new(StatusCode::METHOD_NOT_ALLOWED, Code::MethodNotAllowed));
        }
        Err(Failure::new(StatusCode::NOT_FOUND, Code::UnknownRoute))
    }
}

impl fmt::Debug for Routes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.routes.iter().map(|route| (&route.method, route.path))).finish()
    }
}

fn rest_of<'a>(pattern: &str, path: &'a str) -> Option<&'a str> {
    let rest = path.strip_prefix(pattern)?;
    (pattern.ends_with('/') != rest.is_empty()).then_some(rest)
}

/// Running listener.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    stop: oneshot::Sender<()>,
    task: JoinHandle<()>,
}

impl Handle {
    /// Address that the listener is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting, lets requests in progress finish within a bound, and ends.
    pub async fn shutdown(self) {
        if self.stop.send(()).is_err() {
            log::debug!(event = "operator_listener_already_ended"; "");
        }
        if let Err(error) = self.task.await {
            log::error!(event = "operator_listener_failed", error:% = error; "");
        }
    }
}

/// Binds the listener and starts to answer; dropping the handle stops it.
///
/// # Errors
///
/// The address can't be bound.
pub async fn bind(address: SocketAddr, settings: Settings, routes: Routes) -> io::Result<Handle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let (stop, stopped) = oneshot::channel();
    let shared = Arc::new(Shared { settings, routes });
    let task = tokio::spawn(accept_until(listener, shared, stopped));
    Ok(Handle { address, stop, task })
}

#[derive(Debug)]
struct Shared {
    settings: Settings,
    routes: Routes,
}

async fn accept_until(listener: TcpListener, shared: Arc<Shared>, mut stopped: oneshot::Receiver<()>) {
    let graceful = GracefulShutdown::new();
    let places = Arc::new(Semaphore::new(shared.settings.connections));
    loop {
        tokio::select! {
            accepted = accept(&listener, &places) => match accepted {
                Ok((stream, place)) => {
                    tokio::spawn(serve(stream, Arc::clone(&shared), graceful.watcher(), place));
                }
                Err(error) => {
                    log::warn!(event = "operator_accept_failed", error:% = error; "");
                    time::sleep(ACCEPT_PAUSE).await;
                }
            },
            _ = &mut stopped => break,
        }
    }
    drop(listener);
    if time::timeout(SHUTDOWN_GRACE, graceful.shutdown()).await.is_err() {
        log::warn!(event = "operator_requests_cut_off"; "");
    }
}

async fn accept(listener: &TcpListener, places: &Arc<Semaphore>) -> io::Result<(TcpStream, OwnedSemaphorePermit)> {
    let place = Arc::clone(places).acquire_owned().await.map_err(io::Error::other)?;
    let (stream, _) = listener.accept().await?;
    Ok((stream, place))
}

async fn serve(stream: TcpStream, shared: Arc<Shared>, watcher: Watcher, place: OwnedSemaphorePermit) {
    let lifetime = shared.settings.connection_lifetime_ms;
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new());
    // One request a connection: operators ask seldom, and a connection then never ends between two requests.
    builder.keep_alive(false);
    builder.header_read_timeout(shared.settings.head_timeout_ms);
    builder.max_buf_size(shared.settings.head_limit_bytes);
    let service = service_fn(move |request| respond(Arc::clone(&shared), request));
    let connection = watcher.watch(builder.serve_connection(TokioIo::new(stream), service));
    match time::timeout(lifetime, connection).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => log::debug!(event = "operator_connection_failed", error:% = error; ""),
        Err(_) => log::debug!(event = "operator_connection_expired"; ""),
    }
    drop(place);
}

async fn respond(
    shared: Arc<Shared>,
    request: http::Request<Incoming>,
) -> Result<http::Response<Full<Bytes>>, Infallible> {
    let bound = shared.settings.request_timeout_ms;
    let outcome = time::timeout(bound, handle(&shared, request)).await;
    let timed_out = || Err(Failure::new(StatusCode::REQUEST_TIMEOUT, Code::RequestTimeout));
    Ok(outcome.unwrap_or_else(|_| timed_out()).unwrap_or_else(|failure| failure_response(&failure)))
}

async fn handle(shared: &Shared, request: http::Request<Incoming>) -> Result<http::Response<Full<Bytes>>, Failure> {
    let (head, body) = request.into_parts();
    authorize(&shared.settings.secrets, &head)?;
    if let Some(reader) = &shared.routes.reader
        && (&head.method, head.uri.path()) == (&Method::GET, "/metrics")
    {
        return Ok(response(StatusCode::OK, metrics::CONTENT_TYPE, reader.render()));
    }
    let (handler, rest) = shared.routes.find(&head.method, head.uri.path())?;
    let query = head.uri.query().unwrap_or_default().to_owned();
    let body = whole_body(body, shared.settings.body_limit_bytes).await?;
    let value = handler(Request { rest, query, body }).await?;
    Ok(json_response(StatusCode::OK, &value))
}

fn authorize(secrets: &Secrets, head: &http::request::Parts) -> Result<(), Failure> {
    let presented = head.headers.get(AUTHORIZATION);
    if presented.is_some_and(|value| secrets.accepts_bearer(value.as_bytes())) {
        return Ok(());
    }
    let path = head.uri.path();
    let path = path.get(..PATH_LOGGED_BYTES).unwrap_or(path);
    log::warn!(event = "operator_request_refused", code = Code::OperatorSecret.number(), path; "");
    Err(Failure::new(StatusCode::UNAUTHORIZED, Code::OperatorSecret))
}

/// Reads a whole body into one buffer, since each frame of its own would keep a read buffer.
async fn whole_body(body: Incoming, limit: usize) -> Result<Bytes, Failure> {
    let mut body = Limited::new(body, limit);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            if error.is::<http_body_util::LengthLimitError>() {
                Failure::new(StatusCode::PAYLOAD_TOO_LARGE, Code::RequestTooLarge)
            } else {
                Failure::new(StatusCode::BAD_REQUEST, Code::RequestMalformed)
            }
        })?;
        if let Ok(part) = frame.into_data() {
            bytes.extend_from_slice(&part);
        }
    }
    Ok(bytes.freeze())
}

fn failure_response(failure: &Failure) -> http::Response<Full<Bytes>> {
    let body = json!({
        "code": failure.code.number(),
        "text": failure.code.text(),
        "detail": failure.detail,
    });
    let mut response = json_response(failure.status, &body);
    if let Some(seconds) = failure.retry_after_s {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}

fn json_response(status: StatusCode, value: &Value) -> http::Response<Full<Bytes>> {
    response(status, "application/json", value.to_string())
}

fn response(status: StatusCode, content_type: &'static str, body: String) -> http::Response<Full<Bytes>> {
    let mut response = http::Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
