//! The caller's side of an answer.

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

/// Parts of an answer that may wait between the driver and the caller's connection.
pub const ANSWER_QUEUE: usize = 2;

/// Result of the part of an answer's body that goes to the caller.
pub type Part = Result<Bytes, Broken>;

/// Where the answer goes.
#[derive(Debug)]
pub enum Caller {
    /// Nothing was sent yet.
    Waiting(oneshot::Sender<Response<Body>>),
    /// The head was sent; parts of the body follow.
    Receiving(mpsc::Sender<Part>),
    /// The whole answer was sent.
    Served,
    /// The caller went away.
    Gone,
}

/// Waits until the caller's connection takes a part (`true`) or the caller has gone away (`false`).
pub async fn offer(caller: &mut Caller, has_parts: bool) -> bool {
    match caller {
        Caller::Served | Caller::Gone => std::future::pending().await,
        Caller::Waiting(head) => {
            head.closed().await;
            false
        }
        Caller::Receiving(sender) if has_parts => sender.reserve().await.is_ok(),
        Caller::Receiving(sender) => {
            sender.closed().await;
            false
        }
    }
}

/// Ends the body of an answer so that the caller sees the break.
pub fn break_off(sender: mpsc::Sender<Part>, code: Code) {
    tokio::spawn(async move {
        // A caller that went away needs no break.
        drop(sender.send(Err(Broken(code))).await);
    });
}

/// Makes a body of the parts that come.
#[must_use]
pub fn streamed(parts: mpsc::Receiver<Part>) -> Body {
    let parts = stream::unfold(parts, |mut parts| async move {
        let part = parts.recv().await?;
        Some((part.map(Frame::data), parts))
    });
    StreamBody::new(parts).boxed_unsync()
}

/// Makes the answer for a caller of what the backend server gave.
#[must_use]
pub fn head_of(
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
