//! Calls to the worker's task runtime.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Time for one call; the runtime is on the same worker.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Start of a task.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// Task; part of the paths of later commands.
    pub task: Name,
    /// Epoch of the claim.
    pub epoch: u64,
    /// Kind of the task.
    pub kind: Name,
    /// Resources that the task takes.
    pub resources: Resources,
    /// Time that the whole task executes at full speed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub run_ms: Duration,
    /// Lease.
    #[serde(flatten)]
    pub lease: Lease,
    /// Progress to go on from.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub checkpoint: Option<Duration>,
}

/// End of a lease, as the worker enforces it: whichever of the two comes first.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Time from the moment when the worker reads the command.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_end_ms_from_now: Duration,
    /// Reading of the machine's monotonic clock, for a command that is read late.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_end_monotonic_ms: Duration,
}

/// State of a task on the worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// It executes, at its share.
    Running,
    /// It was suspended on command.
    Suspended,
    /// It was suspended at the end of its lease.
    Lapsed,
    /// It executed to its end and holds nothing any more.
    Complete,
}

/// One task as the worker lists it.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Task.
    pub task: Name,
    /// Epoch of the claim.
    pub epoch: u64,
    /// Kind of the task.
    pub kind: Name,
    /// Resources that the task takes.
    pub resources: Resources,
    /// State on this worker.
    pub state: TaskState,
    /// Share of the full speed.
    pub share_percent: u8,
    /// Time executed so far, at full speed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub progress_ms: Duration,
}

/// Why the worker refused a command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The worker holds no such task.
    UnknownTask,
    /// The worker holds the task already, under this or another epoch.
    AlreadyHeld,
    /// The command is for another epoch.
    OtherEpoch,
    /// The lease has ended.
    LeaseEnded,
    /// The task is complete.
    Complete,
    /// The task failed to start.
    StartFailed,
    /// A field of the command is absent or out of range.
    Field,
}

/// Why a call gave no result.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// No connection could be made; the command wasn't sent.
    Unsent(String),
    /// The worker refused the command and has changed nothing.
    Refused(Refusal),
    /// The command was sent, and its effect isn't known.
    Unknown(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(error) => write!(f, "no connection to the task runtime: {error}"),
            Self::Refused(refusal) => write!(f, "task runtime refused the command: {refusal:?}"),
            Self::Unknown(error) => write!(f, "answer of the task runtime lost: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Command for one task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct Order {
    epoch: u64,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    lease: Option<Lease>,
    #[serde(skip_serializing_if = "Option::is_none")]
    share_percent: Option<u8>,
}

/// Client of one worker's task runtime.
#[derive(Clone, Debug)]
pub struct Runtime {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

/// Makes a client.
#[must_use]
pub fn open(address: SocketAddr) -> Runtime {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CALL_TIMEOUT));
    let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
    Runtime { client, address }
}

impl Runtime {
    /// Lists the tasks that the worker holds or has completed and not yet forgotten.
    ///
    /// # Errors
    ///
    /// The reason why the list isn't known.
    pub async fn list(&self) -> Result<Vec<Status>, Error> {
        self.call(Method::GET, "/tasks", Bytes::new()).await
    }

    /// Starts a task.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] when the task may run; the other errors when it doesn't.
    pub async fn start(&self, start: &Start) -> Result<(), Error> {
        let _null: serde_json::Value = self.call(Method::POST, "/tasks", encode(start)).await?;
        Ok(())
    }

    /// Sets the end of a task's lease.
    ///
    /// # Errors
    ///
    /// The reason why it may not have been set.
    pub async fn renew(&self, task: &str, epoch: u64, lease: Lease) -> Result<Status, Error> {
        self.order(task, "lease", &Order { epoch, lease: Some(lease), share_percent: None }).await
    }

    /// Lets a suspended task go on from memory.
    ///
    /// # Errors
    ///
    /// The reason why it may not go on.
    pub async fn resume(&self, task: &str, epoch: u64) -> Result<Status, Error> {
        self.order(task, "resume", &Order { epoch, ..Order::default() }).await
    }

    /// Keeps a task in memory without executing it.
    ///
    /// # Errors
    ///
    /// The reason why it may still execute.
    pub async fn suspend(&self, task: &str, epoch: u64) -> Result<Status, Error> {
        self.order(task, "suspend", &Order { epoch, ..Order::default() }).await
    }

    /// Keeps a task's progress.
    ///
    /// # Errors
    ///
    /// The reason why it may not be kept.
    pub async fn checkpoint(&self, task: &str, epoch: u64) -> Result<Status, Error> {
        self.order(task, "checkpoint", &Order { epoch, ..Order::default() }).await
    }

    /// Sets the share of its full speed at which a task executes.
    ///
    /// # Errors
    ///
    /// The reason why it may not have been set.
    pub async fn throttle(&self, task: &str, epoch: u64, share_percent: u8) -> Result<Status, Error> {
        self.order(task, "throttle", &Order { epoch, lease: None, share_percent: Some(share_percent) }).await
    }

    /// Ends a task on this worker; the status is its last.
    ///
    /// # Errors
    ///
    /// The reason why it may still be there.
    pub async fn stop(&self, task: &str, epoch: u64) -> Result<Status, Error> {
        self.order(task, "stop", &Order { epoch, ..Order::default() }).await
    }

    async fn order(&self, task: &str, command: &str, order: &Order) -> Result<Status, Error> {
        self.call(Method::POST, &format!("/tasks/{task}/{command}"), encode(order)).await
    }

    async fn call<T: DeserializeOwned>(&self, method: Method, path: &str, body: Bytes) -> Result<T, Error> {
        let answered = tokio::time::timeout(CALL_TIMEOUT, self.exchange(method, path, body)).await;
        let (status, body) = answered.unwrap_or_else(|_| Err(Error::Unknown("no answer in time".to_owned())))?;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|error| Error::Unknown(error.to_string()));
        }
        let refusal = serde_json::from_slice(&body);
        Err(refusal.map_or_else(|_| Error::Unknown(format!("status {status}")), Error::Refused))
    }

    async fn exchange(&self, method: Method, path: &str, body: Bytes) -> Result<(StatusCode, Bytes), Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| Error::Unsent(error.to_string()))?;
        let response: Response<Incoming> = self.client.request(request).await.map_err(|error| {
            if error.is_connect() { Error::Unsent(error.to_string()) } else { Error::Unknown(error.to_string()) }
        })?;
        let status = response.status();
        let body = response.into_body().collect().await.map_err(|error| Error::Unknown(error.to_string()))?;
        Ok((status, body.to_bytes()))
    }
}

fn encode<T: Serialize>(value: &T) -> Bytes {
    // Plain structs of numbers and texts always have a JSON form.
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
