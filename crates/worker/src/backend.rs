//! HTTP client for the backend server.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, Uri};
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Error of a request body that ends before it is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyAborted;

impl fmt::Display for BodyAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("request body ended early")
    }
}

impl std::error::Error for BodyAborted {}

/// Body of a request to the backend server.
pub type Body = UnsyncBoxBody<Bytes, BodyAborted>;

/// Reason why no response was received from the backend server.
#[derive(Debug)]
pub enum Error {
    /// The connection failed; the request wasn't sent.
    Connect(String),
    /// The request was sent, at least in part, but no response was received.
    Lost(String),
    /// The target isn't a valid URI; the request wasn't sent.
    Target(String),
}

impl Error {
    /// Returns true if the backend server can't have received the request.
    #[must_use]
    pub const fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::Target(_))
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(error) => write!(f, "can't connect to the backend server: {error}"),
            Self::Lost(error) => write!(f, "no response from the backend server: {error}"),
            Self::Target(error) => write!(f, "invalid request target: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Connect timeout; the backend server is on the same worker.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// HTTP client for one backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    client: Client<HttpConnector, Body>,
    address: SocketAddr,
}

/// Creates a client that keeps at most `idle_connections_max` idle connections.
#[must_use]
pub fn open(address: SocketAddr, idle_connections_max: usize) -> Backend {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    let client = Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(idle_connections_max)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build(connector);
    Backend { client, address }
}

impl Backend {
    /// Sends a request after setting its URI to `target` (path and query) on the backend server.
    ///
    /// # Errors
    ///
    /// [`Error::Lost`] if the backend server may have received the request; any other error if it can't have.
    pub async fn send(&self, target: &str, mut request: Request<Body>) -> Result<Response<Incoming>, Error> {
        let uri = format!("http://{}{target}", self.address);
        *request.uri_mut() = Uri::try_from(uri).map_err(|error| Error::Target(error.to_string()))?;
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() { Error::Connect(error.to_string()) } else { Error::Lost(error.to_string()) }
        })
    }
}
