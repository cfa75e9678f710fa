//! Backend server of the worker's stand-in.

use std::net::SocketAddr;

use bytes::Bytes;
use chervilledge_standins::worker::{self, Echo, Settings, checksum};
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

#[tokio::test]
async fn answer_echoes_the_identity_of_the_request() {
    let handle = worker::bind(SocketAddr::from(([127, 0, 0, 1], 0)), Settings::default()).await.unwrap();
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::post(format!("http://{}/quote?x=1", handle.address()))
        .header("x-request-id", "r-1")
        .body(Full::from("mesh"))
        .unwrap();
    let body = client.request(request).await.unwrap().collect().await.unwrap().to_bytes();
    let echo: Echo = serde_json::from_slice(&body).unwrap();
    assert_eq!((echo.request_id.as_str(), echo.path.as_str()), ("r-1", "/quote?x=1"));
    assert_eq!((echo.body_length_bytes, echo.body_checksum), (4, checksum(b"mesh")));
}
