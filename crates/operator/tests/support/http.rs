//! HTTP exchanges as text, without a client library between test and listener.

use std::net::SocketAddr;

use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Sends one request as text and gives the status and the body.
pub async fn exchange(address: SocketAddr, head: &str, secret: &str, body: &str) -> (u16, String) {
    let text = format!(
        "{head} HTTP/1.1\r\nhost: entry\r\nauthorization: Bearer {secret}\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let answer = raw(address, text.as_bytes()).await;
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0);
    let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    (status, body.to_owned())
}

/// Sends bytes and gives all that is answered until the end of the connection.
pub async fn raw(address: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(address).await.expect("the listener accepts");
    stream.write_all(bytes).await.expect("the listener reads");
    let mut answer = Vec::new();
    // A refused head is answered and reset; what came before the reset counts.
    if let Err(error) = stream.read_to_end(&mut answer).await {
        eprintln!("the connection ended with {error}");
    }
    String::from_utf8(answer).expect("answers are text")
}

/// JSON value of a body.
pub fn parse(body: &str) -> Value {
    serde_json::from_str(body).expect("a JSON answer")
}
