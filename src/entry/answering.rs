//! Delivery of answers to callers.

use bytes::Bytes;
use chervilledge_caller::REQUEST_ID_HEADER;
use chervilledge_caller::answer::{Body, Broken};
use chervilledge_link::message::Header;
use chervilledge_policy::code::Code;
use chervilledge_policy::id::RequestId;
use futures_util::stream;
use http::{HeaderName, HeaderValue, Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use tokio::sync::{mpsc, oneshot};

/// Maximum number of body parts queued between the driver and the caller's connection.
pub const ANSWER_QUEUE_PARTS: usize = 2;

/// Part of an answer's body, or the error that aborts the body.
pub type BodyPart = Result<Bytes, Broken>;

/// State of the delivery of an answer to its caller.
#[derive(Debug)]
pub enum CallerState {
    /// Nothing has been sent yet.
    Waiting(oneshot::Sender<Response<Body>>),
    /// The head was sent; parts of the body follow.
    Receiving(mpsc::Sender<BodyPart>),
    /// The complete answer was sent.
    Served,
    /// The caller has disconnected.
    Gone,
}

/// Waits until the caller's connection can take a part (`true`) or the caller has disconnected (`false`).
pub async fn wait_for_caller(caller: &mut CallerState, has_parts: bool) -> bool {
    match caller {
        CallerState::Served | CallerState::Gone => std::future::pending().await,
        CallerState::Waiting(head) => {
            head.closed().await;
            false
        }
        CallerState::Receiving(sender) if has_parts => sender.reserve().await.is_ok(),
        CallerState::Receiving(sender) => {
            sender.closed().await;
            false
        }
    }
}

/// Aborts the body of an answer with an error that the caller can detect.
pub fn abort_body(sender: mpsc::Sender<BodyPart>, code: Code) {
    tokio::spawn(async move {
        // Sending fails if the caller has disconnected, which needs no abort.
        drop(sender.send(Err(Broken(code))).await);
    });
}

/// Builds a body that streams the received parts.
#[must_use]
pub fn streaming_body(parts: mpsc::Receiver<BodyPart>) -> Body {
    let parts = stream::unfold(parts, |mut parts| async move {
        let part = parts.recv().await?;
        Some((part.map(Frame::data), parts))
    });
    StreamBody::new(parts).boxed_unsync()
}

/// Builds the response for a caller from the backend server's answer.
#[must_use]
pub fn build_response(
    id: RequestId,
    status: u16,
    headers: &[Header],
    length_bytes: Option<u64>,
    body: Body,
) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let fields = response.headers_mut();
    for header in headers {
        let name = HeaderName::try_from(header.name.as_str());
        let value = HeaderValue::from_bytes(&header.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            fields.append(name, value);
        }
    }
    if let Some(length_bytes) = length_bytes {
        fields.insert(http::header::CONTENT_LENGTH, HeaderValue::from(length_bytes));
    }
    if let Ok(value) = HeaderValue::try_from(id.to_string()) {
        fields.insert(HeaderName::from_static(REQUEST_ID_HEADER), value);
    }
    response
}
