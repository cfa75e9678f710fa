//! HTTP calls and waiting that the tests of this package share.

#![allow(dead_code, reason = "no test file uses all of it")]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Bound of every wait; reached only by a fault.
const PATIENCE: Duration = Duration::from_mins(1);

/// Address that takes a free port.
pub fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Client that keeps connections open.
pub fn http_client() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Sends a request on a connection of its own; `None` when the connection is lost before the whole answer.
pub async fn send(request: Request<Full<Bytes>>) -> Option<(StatusCode, Bytes)> {
    let exchange = async {
        let response = http_client().request(request).await.ok()?;
        let status = response.status();
        Some((status, response.into_body().collect().await.ok()?.to_bytes()))
    };
    tokio::time::timeout(PATIENCE, exchange).await.expect("an end within the bound")
}

/// Sends a JSON body and reads a JSON answer; null when the answer has none.
pub async fn call(address: SocketAddr, method: Method, path: &str, body: &Value) -> (StatusCode, Value) {
    let body = if body.is_null() { Bytes::new() } else { Bytes::from(body.to_string()) };
    let uri = format!("http://{address}{path}");
    let request = Request::builder().method(method).uri(uri).body(Full::new(body)).unwrap();
    let (status, body) = send(request).await.expect("an answer");
    (status, serde_json::from_slice(&body).unwrap_or(Value::Null))
}

/// Waits until a condition holds.
pub async fn wait_until(condition: impl Fn() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < PATIENCE, "the condition holds within the bound");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}
