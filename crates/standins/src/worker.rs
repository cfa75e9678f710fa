//! Stand-in for a worker: its backend server and its tasks.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use crate::serve::{self, Answer, Hangup, Server};

/// Settings of the stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Name of the worker.
    pub worker: Name,
}

impl Default for Settings {
    fn default() -> Self {
        Self { worker: Name::from("worker") }
    }
}

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

/// Running stand-in; stops when dropped.
#[derive(Debug)]
pub struct Handle {
    server: Server,
}

/// Binds the stand-in to an address; port 0 takes a free port.
///
/// # Errors
///
/// The error of the listener.
pub async fn bind(address: SocketAddr, settings: Settings) -> io::Result<Handle> {
    let worker = settings.worker;
    let handle = move |_connection: Arc<()>, request| echo(Name::clone(&worker), request);
    let server = serve::bind(address, || (), handle).await?;
    Ok(Handle { server })
}

impl Handle {
    /// Address that the stand-in listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }
}

/// Computes the FNV-1a checksum of bytes.
#[must_use]
pub fn checksum(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3))
}

async fn echo(worker: Name, request: Request<Incoming>) -> Result<Answer, Hangup> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.or(Err(Hangup))?.to_bytes();
    if let Some(work_ms) = header(&parts.headers, "x-work-ms") {
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
    }
    let request_id = parts.headers.get("x-request-id").and_then(|value| value.to_str().ok()).unwrap_or_default();
    let echo = Echo {
        request_id: request_id.to_owned(),
        worker,
        path: parts.uri.path_and_query().map_or_else(String::new, ToString::to_string),
        body_length_bytes: body.len() as u64,
        body_checksum: checksum(&body),
    };
    Ok(serve::json(StatusCode::OK, &echo))
}

fn header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
