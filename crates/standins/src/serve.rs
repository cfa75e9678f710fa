//! HTTP/1.1 server of the stand-ins.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{AbortHandle, JoinSet};

/// Answer with its body in memory.
pub(crate) type Answer = Response<Full<Bytes>>;

/// Closes the connection in place of an answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Hangup;

impl fmt::Display for Hangup {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed on command")
    }
}

impl std::error::Error for Hangup {}

/// Running server; stops with all of its connections when dropped.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    accept: AbortHandle,
}

impl Drop for Server {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

/// Serves requests; `connect` makes the state of each connection, which lives as long as the connection.
pub(crate) async fn bind<C, F, R>(
    address: SocketAddr,
    connect: impl Fn() -> C + Send + 'static,
    handle: F,
) -> io::Result<Server>
where
    C: Send + Sync + 'static,
    F: Fn(Arc<C>, Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Result<Answer, Hangup>> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let accept = tokio::spawn(async move {
        // Dropped with this task, which ends the connections.
        let mut connections = JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            connections.spawn(serve_connection(stream, Arc::new(connect()), handle.clone()));
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(Server { address, accept: accept.abort_handle() })
}

async fn serve_connection<C, F, R>(stream: TcpStream, connection: Arc<C>, handle: F)
where
    C: Send + Sync + 'static,
    F: Fn(Arc<C>, Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Result<Answer, Hangup>> + Send + 'static,
{
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let service = service_fn(move |request| handle(Arc::clone(&connection), request));
    // An error here is a peer that went away or a hang-up on command; both end the connection only.
    let _ended = hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

/// Makes an answer with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    let body = serde_json::to_vec(value).expect("bodies of the stand-ins can be encoded");
    bytes(status, Bytes::from(body))
}

/// Makes an answer with a body of text.
pub(crate) fn text(status: StatusCode, body: &str) -> Answer {
    bytes(status, Bytes::copy_from_slice(body.as_bytes()))
}

/// Makes an answer with a body of bytes.
pub(crate) fn bytes(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}
