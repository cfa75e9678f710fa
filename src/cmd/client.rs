//! HTTP client of an entry's operators' listener.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chervilledge_operator::secret::Secrets;
use chervilledge_policy::code::Code;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::runtime::{Builder, Runtime};
use tokio::time;

use super::error::Error;

/// Time to connect to the entry.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a whole exchange; longer than the entry takes to give up.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(40);
/// Largest answer.
const ANSWER_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Client of one entry.
#[derive(Debug)]
pub(crate) struct Client {
    address: SocketAddr,
    secrets: Secrets,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    runtime: Runtime,
}

/// Why an exchange gave no answer.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The request never left.
    NotSent(Error),
    /// The request may have reached the entry.
    Lost(Error),
    /// The entry refused it.
    Refused(Error),
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NotSent(error) | Failure::Lost(error) | Failure::Refused(error) => error,
        }
    }
}

impl Client {
    /// Makes a client; nothing is sent yet.
    pub(crate) fn open(address: SocketAddr, secrets: Secrets) -> Result<Self, Error> {
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let http = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Ok(Self { address, secrets, http, runtime })
    }

    /// Asks for a path.
    pub(crate) fn get(&self, path: &str) -> Result<Value, Failure> {
        self.send(Method::GET, path, Bytes::new())
    }

    /// Sends a JSON value to a path.
    pub(crate) fn post(&self, path: &str, body: &Value) -> Result<Value, Failure> {
        self.send(Method::POST, path, Bytes::from(body.to_string()))
    }

    fn send(&self, method: Method, path: &str, body: Bytes) -> Result<Value, Failure> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(AUTHORIZATION, format!("Bearer {}", self.secrets.presented()))
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Failure::NotSent(self.fault(error.to_string())))?;
        let exchange = async { time::timeout(EXCHANGE_TIMEOUT, self.exchange(request)).await };
        let lost = |_| Failure::Lost(self.fault(format!("no answer in {} s", EXCHANGE_TIMEOUT.as_secs())));
        self.runtime.block_on(exchange).map_err(lost)?
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Value, Failure> {
        let response = self.http.request(request).await.map_err(|error| {
            let fault = self.fault(describe(&error));
            if error.is_connect() { Failure::NotSent(fault) } else { Failure::Lost(fault) }
        })?;
        let status = response.status();
        let body = self.body(response).await?;
        if status == StatusCode::OK { Ok(body) } else { Err(Failure::Refused(self.refusal(status, &body))) }
    }

    async fn body(&self, response: Response<Incoming>) -> Result<Value, Failure> {
        let collected = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES).collect().await;
        let bytes = collected.map_err(|error| Failure::Lost(self.fault(error.to_string())))?.to_bytes();
        serde_json::from_slice(&bytes).map_err(|error| Failure::Lost(self.fault(format!("answer: {error}"))))
    }

    fn refusal(&self, status: StatusCode, body: &Value) -> Error {
        let number = body.get("code").and_then(Value::as_u64).and_then(|number| u16::try_from(number).ok());
        match number.and_then(|number| Code::try_from(number).ok()) {
            Some(code) => Error::Refused { code, detail: body.get("detail").cloned().unwrap_or_default() },
            None => self.fault(format!("answered {status} without a known code")),
        }
    }

    /// Error about this entry.
    pub(crate) fn fault(&self, fault: String) -> Error {
        Error::Entry { address: self.address, fault }
    }
}

/// Text of an error with its causes.
fn describe(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes.map(ToString::to_string).collect::<Vec<_>>().join(": ")
}
