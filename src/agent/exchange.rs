//! Runs one admitted request on the backend server and sends the answer to its entry.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilledge_caller::body::next_data;
use chervilledge_link::connection::Sender;
use chervilledge_link::message::{CHUNK_BYTES, Header, Reply, Start, StartBody, ToEntry, WINDOW_BYTES};
use chervilledge_policy::admission::Finished;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::RequestId;
use chervilledge_policy::request::Origin;
use chervilledge_worker::backend::{self, Backend, BodyAborted};
use futures_util::stream;
use http::response::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, header};
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Body, Frame, Incoming};
use tokio::sync::{Semaphore, mpsc, oneshot, watch};

use crate::body::{Joined, read_whole};

/// Time that a backend server gets to finish a request whose answer is no longer wanted.
const ABANDON_GRACE: Duration = Duration::from_secs(10);

/// Time for which an answer is held whose entry has no open link; above the time for which entries ask.
const ANSWER_HOLD: Duration = Duration::from_secs(6);

/// Header field with the identifier of the request, for the backend server.
const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Part of a streamed request body.
#[derive(Debug)]
pub enum BodyPart {
    /// Bytes at a position of the whole body.
    Chunk {
        /// Position of the first byte.
        offset_bytes: u64,
        /// The bytes.
        bytes: Bytes,
    },
    /// End of the whole body.
    End {
        /// Length of the whole body.
        total_bytes: u64,
    },
}

/// Where an answer goes, and the mark that its frames carry.
#[derive(Debug)]
pub struct Route {
    /// Link of the entry that waits for the answer.
    pub sender: Sender<ToEntry>,
    /// Mark of the answer.
    pub origin: Origin,
}

/// Question for the route of an answer whose head is there; dropped unanswered if nobody waits for it.
pub type RouteAsked = oneshot::Sender<Route>;

/// Request that has been admitted.
#[derive(Debug)]
pub struct Exchange {
    /// The request.
    pub start: Start,
    /// Parts of a streamed body.
    pub body: mpsc::UnboundedReceiver<BodyPart>,
    /// Link that carried the request, for windows of its body.
    pub sender: Sender<ToEntry>,
    /// Bytes of the answer that may be sent.
    pub credit: Arc<Semaphore>,
    /// Turns true when the answer is no longer wanted.
    pub abandoned: watch::Receiver<bool>,
}

impl Exchange {
    /// Runs the request; `ask_route` passes the question for the answer's route on.
    pub async fn run(self, backend: Backend, ask_route: impl FnOnce(RouteAsked)) -> Finished {
        let mut abandoned = self.abandoned.clone();
        let give_up = async move {
            // The sender lives until the exchange has ended.
            drop(abandoned.wait_for(|abandoned| *abandoned).await);
            tokio::time::sleep(ABANDON_GRACE).await;
        };
        tokio::select! {
            finished = self.exchange(backend, ask_route) => finished,
            () = give_up => Finished::Ran,
        }
    }

    async fn exchange(self, backend: Backend, ask_route: impl FnOnce(RouteAsked)) -> Finished {
        let Self { start, body, sender, credit, abandoned } = self;
        let id = start.request;
        let target = start.target.clone();
        let request = backend_request(start, body, sender);
        let answer = match backend.send(&target, request).await {
            Ok(answer) => Some(answer),
            Err(error) if error.is_unsent() => return Finished::NotRun(Code::NoBackendServer),
            Err(error) => {
                log::warn!(event = "answer_lost", request:% = id, error:% = error; "");
                None
            }
        };
        let (asked, route) = oneshot::channel();
        ask_route(asked);
        let route = tokio::time::timeout(ANSWER_HOLD, route).await.ok().and_then(Result::ok);
        match (route, answer) {
            (Some(route), Some(answer)) => send_answer(&route, answer, &credit, &abandoned).await,
            (Some(route), None) => send_broken(&route).await,
            (None, Some(answer)) => discard(answer).await,
            (None, None) => {}
        }
        Finished::Ran
    }
}

fn backend_request(
    start: Start,
    parts: mpsc::UnboundedReceiver<BodyPart>,
    sender: Sender<ToEntry>,
) -> Request<backend::Body> {
    let (body, length_bytes) = match start.body {
        StartBody::Inline(bytes) => (inline(bytes), None),
        StartBody::Streamed { length_bytes } => (streamed(start.request, parts, sender), length_bytes),
    };
    let mut request = Request::new(body);
    // The entry's HTTP library has parsed the method already.
    *request.method_mut() = Method::from_bytes(start.method.as_bytes()).unwrap_or(Method::GET);
    copy_headers(request.headers_mut(), &start.headers);
    if let Ok(value) = HeaderValue::try_from(start.request.to_string()) {
        request.headers_mut().insert(REQUEST_ID, value);
    }
    if let Some(length_bytes) = length_bytes {
        request.headers_mut().insert(header::CONTENT_LENGTH, HeaderValue::from(length_bytes));
    }
    request
}

fn inline(bytes: Vec<u8>) -> backend::Body {
    Full::new(Bytes::from(bytes)).map_err(|never| match never {}).boxed_unsync()
}

/// State of a body that is read from a link.
struct Streaming {
    request: RequestId,
    parts: mpsc::UnboundedReceiver<BodyPart>,
    sender: Sender<ToEntry>,
    position_bytes: u64,
    has_ended: bool,
}

fn streamed(request: RequestId, parts: mpsc::UnboundedReceiver<BodyPart>, sender: Sender<ToEntry>) -> backend::Body {
    let streaming = Streaming { request, parts, sender, position_bytes: 0, has_ended: false };
    let frames = stream::unfold(streaming, |mut streaming| async move {
        let frame = next_part(&mut streaming).await?;
        Some((frame.map(Frame::data), streaming))
    });
    StreamBody::new(frames).boxed_unsync()
}

/// Gives the next bytes of a body, an error when it can't be made whole, or `None` at its end.
async fn next_part(streaming: &mut Streaming) -> Option<Result<Bytes, BodyAborted>> {
    if streaming.has_ended {
        return None;
    }
    let part = streaming.parts.recv().await;
    streaming.has_ended = true;
    match part {
        Some(BodyPart::Chunk { offset_bytes, bytes }) if offset_bytes == streaming.position_bytes => {
            streaming.has_ended = false;
            let count = length(&bytes);
            streaming.position_bytes += count;
            let window = Reply::Window { request: streaming.request, bytes: count };
            // A link that has ended breaks the body off by itself.
            drop(streaming.sender.send(ToEntry::Request(window)).await);
            Some(Ok(bytes))
        }
        Some(BodyPart::End { total_bytes }) if total_bytes == streaming.position_bytes => None,
        _ => Some(Err(BodyAborted)),
    }
}

fn copy_headers(to: &mut HeaderMap, from: &[Header]) {
    for field in from {
        let name = HeaderName::try_from(field.name.as_str());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            to.append(name, value);
        }
    }
}

async fn send_answer(route: &Route, answer: Response<Incoming>, credit: &Semaphore, abandoned: &watch::Receiver<bool>) {
    let (parts, body) = answer.into_parts();
    if body.size_hint().upper().is_some_and(|length| length <= CHUNK_BYTES as u64) {
        return send_whole(route, &parts, body).await;
    }
    let head = Reply::Head {
        origin: route.origin,
        status: parts.status.as_u16(),
        headers: passed_on(&parts.headers),
        length_bytes: body.size_hint().exact(),
    };
    if !send(route, head).await {
        return discard_body(body).await;
    }
    send_body(route, body, credit, abandoned).await;
}

/// Sends a short answer in one message, once its whole body is there.
async fn send_whole(route: &Route, parts: &Parts, body: Incoming) {
    let body = match read_whole(body).await {
        Ok(body) => body,
        Err(error) => {
            log::warn!(event = "answer_broken", request:% = route.origin.id, error:% = error; "");
            return send_broken(route).await;
        }
    };
    let whole =
        Reply::Whole { origin: route.origin, status: parts.status.as_u16(), headers: passed_on(&parts.headers), body };
    send(route, whole).await;
}

async fn send_body(route: &Route, body: Incoming, credit: &Semaphore, abandoned: &watch::Receiver<bool>) {
    let mut offset_bytes = 0;
    let mut body = Joined::new(body);
    loop {
        let bytes = match body.next().await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => {
                send(route, Reply::End { origin: route.origin, total_bytes: offset_bytes }).await;
                return;
            }
            Err(error) => {
                log::warn!(event = "answer_broken", request:% = route.origin.id, error:% = error; "");
                send_broken(route).await;
                return;
            }
        };
        if !send_chunks(route, &mut offset_bytes, bytes, credit, abandoned).await {
            return discard_body(body.into_inner()).await;
        }
    }
}

/// Sends bytes as the entry's window allows; tells whether the answer is still wanted.
async fn send_chunks(
    route: &Route,
    offset_bytes: &mut u64,
    mut bytes: Bytes,
    credit: &Semaphore,
    abandoned: &watch::Receiver<bool>,
) -> bool {
    while !bytes.is_empty() {
        let part = bytes.split_to(bytes.len().min(CHUNK_BYTES));
        if !take_credit(credit, part.len(), abandoned).await {
            return false;
        }
        let chunk = Reply::Chunk { origin: route.origin, offset_bytes: *offset_bytes, bytes: part.to_vec() };
        *offset_bytes += length(&part);
        if !send(route, chunk).await {
            return false;
        }
    }
    true
}

async fn take_credit(credit: &Semaphore, count: usize, abandoned: &watch::Receiver<bool>) -> bool {
    let mut abandoned = abandoned.clone();
    let count = u32::try_from(count).unwrap_or(u32::MAX);
    tokio::select! {
        _ = abandoned.wait_for(|abandoned| *abandoned) => false,
        permit = credit.acquire_many(count) => permit.map(tokio::sync::SemaphorePermit::forget).is_ok(),
    }
}

async fn send(route: &Route, reply: Reply) -> bool {
    route.sender.send(ToEntry::Request(reply)).await.is_ok()
}

async fn send_broken(route: &Route) {
    send(route, Reply::Broken { origin: route.origin, code: Code::OutcomeUnknown }).await;
}

/// Reads an answer that nobody wants, so that the slot is held for as long as the backend server works.
async fn discard(answer: Response<Incoming>) {
    discard_body(answer.into_body()).await;
}

async fn discard_body(mut body: Incoming) {
    while let Ok(Some(_)) = next_data(&mut body).await {}
}

fn passed_on(headers: &HeaderMap) -> Vec<Header> {
    headers
        .iter()
        .filter(|(name, _)| chervilledge_caller::request::is_passed_on(name))
        .map(|(name, value)| Header { name: name.as_str().to_owned(), value: value.as_bytes().to_vec() })
        .collect()
}

/// Makes the semaphore of an answer's window.
#[must_use]
pub fn open_credit() -> Arc<Semaphore> {
    Arc::new(Semaphore::new(usize::try_from(WINDOW_BYTES).unwrap_or(usize::MAX)))
}

fn length(bytes: &[u8]) -> u64 {
    u64::try_from(bytes.len()).unwrap_or(u64::MAX)
}
