//! Link connections: client and server handshake, receive half and send half.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervilledge_caller::budget::{Connection, Full};
use chervilledge_policy::code::Code;
use futures_util::{Sink, SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::AbortHandle;
use tokio_tungstenite::tungstenite::client::IntoClientRequest;
use tokio_tungstenite::tungstenite::handshake::server::{ErrorResponse, Request, Response};
use tokio_tungstenite::tungstenite::http::{HeaderValue, StatusCode, header};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{Error as SocketError, Message};
use tokio_tungstenite::{WebSocketStream, accept_hdr_async_with_config, client_async_with_config};

use crate::counted::Counted;
use crate::error::Error;
use crate::message::{ToAgent, ToEntry};

/// Maximum size of a message on a link, in bytes; a larger message closes the link.
pub const MESSAGE_BYTES_MAX: usize = 4 * 1024 * 1024;

/// Capacity of a link's send queue, in messages; senders wait while it is full.
const WRITER_QUEUE_CAPACITY: usize = 1024;

/// As [`WRITER_QUEUE_CAPACITY`], for a link that is counted in a budget: a queue of small messages takes no more than what a
/// connection counts for.
const COUNTED_QUEUE_CAPACITY: usize = 128;

/// Maximum number of messages that the writer task sends per flush.
const WRITER_BATCH_MAX: usize = 64;

/// Size of the read buffer of each link; kept small because an entry allocates one for every worker.
const READ_BUFFER_BYTES: usize = 4 * 1024;

/// Timeout for opening a link, including the WebSocket handshake (and the TCP connection on the client side).
const OPEN_TIMEOUT: Duration = Duration::from_secs(3);

/// Scheme prefix of the `Authorization` header field.
const BEARER_PREFIX: &str = "Bearer ";

/// Send half of a link; all clones send on the same link, in the order of their calls.
#[derive(Clone, Debug)]
pub struct Sender<M> {
    queue: mpsc::UnboundedSender<Queued<M>>,
    capacity: Arc<Semaphore>,
}

/// Message in the send queue.
#[derive(Debug)]
struct Queued<M> {
    message: M,
    /// Share of the capacity; `None` for a message posted to a full queue.
    _permit: Option<OwnedSemaphorePermit>,
}

impl<M> Sender<M> {
    /// Queues a message without blocking, even if the queue is full.
    pub fn post(&self, message: M) {
        let permit = Arc::clone(&self.capacity).try_acquire_owned().ok();
        // If the link is closed, the message is dropped, like other messages in flight.
        drop(self.queue.send(Queued { message, _permit: permit }));
    }

    /// Queues a message, waiting while the queue is full.
    ///
    /// # Errors
    ///
    /// [`Error::Closed`] if the link is closed.
    pub async fn send(&self, message: M) -> Result<(), Error> {
        let permit = Arc::clone(&self.capacity).acquire_owned().await.or(Err(Error::Closed))?;
        self.queue.send(Queued { message, _permit: Some(permit) }).or(Err(Error::Closed))
    }

    /// Waits for at most `timeout` until the queue isn't full.
    ///
    /// # Errors
    ///
    /// [`Error::Unread`] if it stays full.
    pub async fn ready(&self, timeout: Duration) -> Result<(), Error> {
        let permit = tokio::time::timeout(timeout, self.capacity.acquire()).await.or(Err(Error::Unread))?;
        permit.map(drop).or(Err(Error::Closed))
    }

    /// Queues a message and returns true, or drops it and returns false if the queue is full or the link is closed.
    #[must_use]
    pub fn try_send(&self, message: M) -> bool {
        let Ok(permit) = Arc::clone(&self.capacity).try_acquire_owned() else { return false };
        self.queue.send(Queued { message, _permit: Some(permit) }).is_ok()
    }

    /// Returns whether the link is closed.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.queue.is_closed()
    }
}

/// Receive half of a link; dropping it closes the link.
#[derive(Debug)]
pub struct Receiver {
    stream: futures_util::stream::SplitStream<WebSocketStream<Counted>>,
    /// Share of the budget, returned with each whole message; `None` for a peer that isn't counted.
    share: Option<Arc<Connection>>,
    /// Aborts the writer task, which may block indefinitely on a peer that doesn't read.
    writer: AbortHandle,
}

impl Drop for Receiver {
    fn drop(&mut self) {
        self.writer.abort();
    }
}

impl Receiver {
    /// Waits for the next message for at most `silence_timeout`.
    ///
    /// # Errors
    ///
    /// [`Error::Silent`] if no frame arrives within `silence_timeout`, [`Error::Decode`] for a malformed message,
    /// [`Error::Closed`] if the peer closed the link, [`Error::Full`] if the link has to make room for others,
    /// [`Error::Socket`] if the WebSocket layer failed.
    pub async fn receive<M: DeserializeOwned>(&mut self, silence_timeout: Duration) -> Result<M, Error> {
        loop {
            let next = tokio::time::timeout(silence_timeout, self.stream.next());
            let next = until_closed(self.share.as_deref(), next).await?.or(Err(Error::Silent))?;
            match next {
                None | Some(Ok(Message::Close(_))) => return Err(Error::Closed),
                Some(Err(error)) => return Err(socket_error(&error)),
                Some(Ok(Message::Binary(bytes))) => {
                    let message = decode(&bytes);
                    drop(bytes);
                    if let Some(share) = &self.share {
                        share.release();
                    }
                    return message;
                }
                Some(Ok(Message::Ping(_) | Message::Pong(_) | Message::Frame(_))) => {}
                Some(Ok(Message::Text(_))) => return Err(Error::Decode("text frame".to_owned())),
            }
        }
    }
}

/// Waits for `operation`, unless the connection has to make room for others before.
async fn until_closed<T>(share: Option<&Connection>, operation: impl Future<Output = T>) -> Result<T, Error> {
    let Some(share) = share else { return Ok(operation.await) };
    tokio::select! {
        result = operation => Ok(result),
        () = share.closed() => Err(Error::Full(Full)),
    }
}

/// Decodes one CBOR message.
///
/// # Errors
///
/// [`Error::Decode`] if the bytes aren't exactly one message.
pub fn decode<M: DeserializeOwned>(bytes: &Bytes) -> Result<M, Error> {
    let mut rest: &[u8] = bytes;
    let message = ciborium::from_reader(&mut rest).map_err(|error| Error::Decode(error.to_string()))?;
    if rest.is_empty() { Ok(message) } else { Err(Error::Decode("trailing bytes after the message".to_owned())) }
}

/// Encodes one message as CBOR.
///
/// # Errors
///
/// [`Error::Encode`] if the message can't be represented in CBOR.
pub fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::with_capacity(256);
    ciborium::into_writer(message, &mut bytes).map_err(|error| Error::Encode(error.to_string()))?;
    Ok(bytes)
}

/// Opens a link from an agent to an entry.
///
/// # Errors
///
/// [`Error::Refused`] if the entry rejects the secret, [`Error::TimedOut`] if it doesn't respond in time.
pub async fn open(address: SocketAddr, secret: &str) -> Result<(Sender<ToEntry>, Receiver), Error> {
    connect(address, secret).await
}

/// Opens a link that sends messages of type `M`.
///
/// # Errors
///
/// Same as [`open`].
pub async fn connect<M>(address: SocketAddr, secret: &str) -> Result<(Sender<M>, Receiver), Error>
where
    M: Send + Serialize + 'static,
{
    tokio::time::timeout(OPEN_TIMEOUT, dial(address, secret)).await.or(Err(Error::TimedOut))?
}

/// Accepts a link from an agent if `is_valid` returns true for its secret.
///
/// # Errors
///
/// [`Error::Refused`] if the secret is invalid, [`Error::TimedOut`] if the agent doesn't finish the handshake in time.
pub async fn accept(
    stream: TcpStream,
    is_valid: impl Fn(&str) -> bool + Unpin,
) -> Result<(Sender<ToAgent>, Receiver), Error> {
    accept_typed(stream, is_valid).await
}

/// Accepts a link that sends messages of type `M`.
///
/// # Errors
///
/// Same as [`accept`].
pub async fn accept_typed<M>(
    stream: TcpStream,
    is_valid: impl Fn(&str) -> bool + Unpin,
) -> Result<(Sender<M>, Receiver), Error>
where
    M: Send + Serialize + 'static,
{
    handshake(stream, None, is_valid).await
}

/// Accepts a link that sends messages of type `M`, from a peer that is counted in a budget and needs no secret.
///
/// # Errors
///
/// [`Error::Full`] if the link has to make room for others, [`Error::TimedOut`] if the peer doesn't finish the handshake in
/// time.
pub async fn accept_counted<M>(stream: TcpStream, share: Connection) -> Result<(Sender<M>, Receiver), Error>
where
    M: Send + Serialize + 'static,
{
    handshake(stream, Some(Arc::new(share)), |_| true).await
}

async fn handshake<M>(
    stream: TcpStream,
    share: Option<Arc<Connection>>,
    is_valid: impl Fn(&str) -> bool + Unpin,
) -> Result<(Sender<M>, Receiver), Error>
where
    M: Send + Serialize + 'static,
{
    stream.set_nodelay(true)?;
    let stream = Counted::new(stream, share.clone());
    let handshake = accept_hdr_async_with_config(stream, authorize(is_valid), Some(socket_config()));
    let handshake = tokio::time::timeout(OPEN_TIMEOUT, handshake);
    let socket = until_closed(share.as_deref(), handshake).await?.or(Err(Error::TimedOut))?;
    let socket = socket.map_err(|error| handshake_error(&error))?;
    if let Some(share) = &share {
        share.release();
    }
    Ok(spawn_writer(socket, share))
}

async fn dial<M>(address: SocketAddr, secret: &str) -> Result<(Sender<M>, Receiver), Error>
where
    M: Send + Serialize + 'static,
{
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let mut request = format!("ws://{address}/link").into_client_request().map_err(|error| socket_error(&error))?;
    let value = HeaderValue::from_str(&format!("{BEARER_PREFIX}{secret}")).or(Err(Error::Refused(Code::LinkSecret)))?;
    request.headers_mut().insert(header::AUTHORIZATION, value);
    let stream = Counted::new(stream, None);
    let (socket, _) = client_async_with_config(request, stream, Some(socket_config()))
        .await
        .map_err(|error| handshake_error(&error))?;
    Ok(spawn_writer(socket, None))
}

fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MESSAGE_BYTES_MAX))
        .max_frame_size(Some(MESSAGE_BYTES_MAX))
        .read_buffer_size(READ_BUFFER_BYTES)
}

#[expect(clippy::result_large_err, reason = "the WebSocket library defines the type of the error response")]
fn authorize(is_valid: impl Fn(&str) -> bool) -> impl FnOnce(&Request, Response) -> Result<Response, ErrorResponse> {
    move |request, response| {
        let value = request.headers().get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
        if value.and_then(|value| value.strip_prefix(BEARER_PREFIX)).is_some_and(is_valid) {
            return Ok(response);
        }
        let mut unauthorized = ErrorResponse::new(Some(Code::LinkSecret.to_string()));
        *unauthorized.status_mut() = StatusCode::UNAUTHORIZED;
        Err(unauthorized)
    }
}

fn spawn_writer<M: Send + Serialize + 'static>(
    socket: WebSocketStream<Counted>,
    share: Option<Arc<Connection>>,
) -> (Sender<M>, Receiver) {
    let (sink, stream) = socket.split();
    let (queue, messages) = mpsc::unbounded_channel();
    let writer = tokio::spawn(write_messages(sink, messages)).abort_handle();
    let capacity = if share.is_some() { COUNTED_QUEUE_CAPACITY } else { WRITER_QUEUE_CAPACITY };
    (Sender { queue, capacity: Arc::new(Semaphore::new(capacity)) }, Receiver { stream, share, writer })
}

async fn write_messages<M: Serialize>(
    mut sink: impl Sink<Message, Error = SocketError> + Unpin,
    mut messages: mpsc::UnboundedReceiver<Queued<M>>,
) {
    let mut batch = Vec::new();
    while messages.recv_many(&mut batch, WRITER_BATCH_MAX).await > 0 {
        for Queued { message, .. } in batch.drain(..) {
            let Ok(bytes) = encode(&message) else { return };
            if sink.feed(Message::Binary(bytes.into())).await.is_err() {
                return;
            }
        }
        if sink.flush().await.is_err() {
            return;
        }
    }
    // The close may fail if the peer has already disconnected; the link is closed either way.
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
