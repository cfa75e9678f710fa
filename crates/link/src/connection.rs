//! Opening, accepting, reading and writing of links.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chervilledge_policy::code::Code;
use futures_util::{Sink, SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::{HeaderValue, StatusCode, header};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error as SocketError, Message};
use tokio_tungstenite::{WebSocketStream, accept_hdr_async_with_config, client_async_with_config};

use crate::error::Error;
use crate::message::{ToAgent, ToEntry};

/// Largest message of a link, in bytes; a larger one ends the link.
pub const MESSAGE_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Messages that may wait for a link's writer before senders wait.
const WRITER_QUEUE: usize = 1024;

/// Messages that the writer takes at once before it flushes.
const WRITER_BATCH: usize = 64;

/// Buffer that each link holds for what it reads; an entry holds one for every worker.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Bound on opening a link, from the first packet to the end of the handshake.
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Scheme of the `Authorization` header field.
const BEARER: &str = "Bearer ";

/// Sending half of a link; clones send on the same link.
#[derive(Clone, Debug)]
pub struct Sender<M> {
    queue: mpsc::Sender<M>,
}

impl<M: Send + 'static> Sender<M> {
    /// Queues a message without waiting; while the queue is full, the message waits aside and may be overtaken.
    pub fn post(&self, message: M) {
        if let Err(mpsc::error::TrySendError::Full(message)) = self.queue.try_send(message) {
            let queue = self.queue.clone();
            // A link that has ended loses the message, as it loses what is under way.
            tokio::spawn(async move { drop(queue.send(message).await) });
        }
    }
}

impl<M> Sender<M> {
    /// Queues a message, waiting while the queue is full.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] once the link has ended.
    pub async fn send(&self, message: M) -> Result<(), Error> {
        self.queue.send(message).await.or(Err(Error::Closed))
    }

    /// Queues a message, or drops it when the queue is full or the link has ended.
    #[must_use]
    pub fn try_send(&self, message: M) -> bool {
        self.queue.try_send(message).is_ok()
    }

    /// Tells whether the link has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Receiving half of a link; the link ends when it is dropped.
#[derive(Debug)]
pub struct Receiver {
    stream: futures_util::stream::SplitStream<WebSocketStream<TcpStream>>,
    /// Ends the writer, which may wait for a silent peer without bound.
    writer: AbortHandle,
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.writer.abort();
    }
}

impl Receiver {
    /// Waits for the next message, at most for `silence`.
    ///
    /// # Errors
    ///
    /// [`Error::Silent`] when nothing came within `silence`, [`Error::Decode`] for a malformed message,
    /// [`Error::Closed`] at the end of the link.
    pub async fn receive<M: DeserializeOwned>(&mut self, silence: Duration) -> Result<M, Error> {
        loop {
            let next = tokio::time::timeout(silence, self.stream.next()).await.or(Err(Error::Silent))?;
            match next {
                None | Some(Ok(Message::Close(_))) => return Err(Error::Closed),
                Some(Err(error)) => return Err(socket_error(&error)),
                Some(Ok(Message::Binary(bytes))) => return decode(&bytes),
                Some(Ok(Message::Ping(_) | Message::Pong(_) | Message::Frame(_))) => {}
                Some(Ok(Message::Text(_))) => return Err(Error::Decode("text frame".to_owned())),
            }
        }
    }
}

/// Decodes one message.
///
/// # Errors
///
/// [`Error::Decode`] when the bytes aren't exactly one message.
pub fn decode<M: DeserializeOwned>(bytes: &Bytes) -> Result<M, Error> {
    let mut rest: &[u8] = bytes;
    let message = ciborium::from_reader(&mut rest).map_err(|error| Error::Decode(error.to_string()))?;
    if rest.is_empty() { Ok(message) } else { Err(Error::Decode("bytes after the message".to_owned())) }
}

/// Encodes one message.
///
/// # Errors
///
/// [`Error::Encode`] when the message has no CBOR form.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut bytes).map_err(|error| Error::Encode(error.to_string()))?;
    Ok(bytes)
}

/// Opens a link from an agent to an entry.
///
/// # Errors
///
/// [`Error::Refused`] when the entry doesn't accept the secret, [`Error::TimedOut`] when the entry doesn't answer.
pub async fn open(address: SocketAddr, secret: &str) -> Result<(Sender<ToEntry>, Receiver), Error> {
    connect(address, secret).await
}

/// Opens a link that carries messages of any one type to the peer.
///
/// # Errors
///
/// As [`open`].
pub async fn connect<M>(address: SocketAddr, secret: &str) -> Result<(Sender<M>, Receiver), Error>
where
    M: Send + Serialize + 'static,
{
    tokio::time::timeout(OPEN_TIMEOUT, dial(address, secret)).await.or(Err(Error::TimedOut))?
}

/// Accepts a link of an agent; `is_valid` judges its secret.
///
/// # Errors
///
/// [`Error::Refused`] when the secret isn't valid, [`Error::TimedOut`] when the agent doesn't finish the handshake.
pub async fn accept(
    stream: TcpStream,
    is_valid: impl Fn(&str) -> bool + Unpin,
) -> Result<(Sender<ToAgent>, Receiver), Error> {
    accept_typed(stream, is_valid).await
}

/// Accepts a link that carries messages of any one type to the peer.
///
/// # Errors
///
/// As [`accept`].
pub async fn accept_typed<M>(
    stream: TcpStream,
    is_valid: impl Fn(&str) -> bool + Unpin,
) -> Result<(Sender<M>, Receiver), Error>
where
    M: Send + Serialize + 'static,
{
    stream.set_nodelay(true)?;
    let handshake = accept_hdr_async_with_config(stream, authorize(is_valid), Some(socket_config()));
    let socket = tokio::time::timeout(OPEN_TIMEOUT, handshake).await.or(Err(Error::TimedOut))?;
    let socket = socket.map_err(|error| handshake_error(&error))?;
    Ok(split(socket))
}

async fn dial<M>(address: SocketAddr, secret: &str) -> Result<(Sender<M>, Receiver), Error>
where
    M: Send + Serialize + 'static,
{
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut request = format!("ws://{address}/link").into_client_request().map_err(|error| socket_error(&error))?;
    let value = HeaderValue::from_str(&format!("{BEARER}{secret}")).or(Err(Error::Refused(Code::LinkSecret)))?;
    request.headers_mut().insert(header::AUTHORIZATION, value);
    let (socket, _) = client_async_with_config(request, stream, Some(socket_config()))
        .await
        .map_err(|error| handshake_error(&error))?;
    Ok(split(socket))
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_BYTES_MAX))
        .max_frame_size(Some(MESSAGE_BYTES_MAX))
        .read_buffer_size(READ_BUFFER_BYTES)
}

#[expect(clippy::result_large_err, reason = "the WebSocket library fixes the type of the refusal")]
fn authorize(is_valid: impl Fn(&str) -> bool) -> impl FnOnce(&Request, Response) -> Result<Response, ErrorResponse> {
    move |request, response| {
        let value = request.headers().get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        if value.and_then(|value| value.strip_prefix(BEARER)).is_some_and(is_valid) {
            return Ok(response);
        }
        let mut refusal = ErrorResponse::new(Some(Code::LinkSecret.to_string()));
        *refusal.status_mut() = StatusCode::UNAUTHORIZED;
        Err(refusal)
    }
}

fn split<M: Send + Serialize + 'static>(socket: WebSocketStream<TcpStream>) -> (Sender<M>, Receiver) {
    let (sink, stream) = socket.split();
    let (queue, messages) = mpsc::channel(WRITER_QUEUE);
    let writer = tokio::spawn(write(sink, messages)).abort_handle();
    (Sender { queue }, Receiver { stream, writer })
}

async fn write<M: Serialize>(
    mut sink: impl Sink<Message, Error = SocketError> + Unpin,
    mut messages: mpsc::Receiver<M>,
) {
    let mut batch = Vec::new();
    while messages.recv_many(&mut batch, WRITER_BATCH).await > 0 {
        for message in batch.drain(..) {
            let Ok(bytes) = encode(&message) else { return };
            if sink.feed(Message::Binary(bytes.into())).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
    // The peer may be gone already; the link ends either way.
    drop(sink.close().await);
}

fn socket_error(error: &SocketError) -> Error {
    match error {
        SocketError::ConnectionClosed | SocketError::AlreadyClosed => Error::Closed,
        other => Error::Socket(other.to_string()),
    }
}

fn handshake_error(error: &SocketError) -> Error {
    match error {
        SocketError::Http(response) if response.status() == StatusCode::UNAUTHORIZED => {
            Error::Refused(Code::LinkSecret)
        }
        other => socket_error(other),
    }
}
