//! HTTP client for the worker's task runtime.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Timeout of one call; the runtime is on the same worker.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest answer that is read, in bytes: the statuses of thousands of tasks, of a few hundred bytes each.
const ANSWER_BYTES_MAX: usize = 2 * 1024 * 1024;

/// Command to start a task.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Start {
    /// Task name; used in the URL paths of later commands.
    pub task: Name,
    /// Epoch of the claim.
    pub epoch: u64,
    /// Kind of the task.
    pub kind: Name,
    /// Resources that the task uses.
    pub resources: Resources,
    /// Total execution time of the task at full speed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub run_ms: Duration,
    /// Lease that limits the task's execution.
    #[serde(flatten)]
    pub lease: Lease,
    /// Progress to resume from.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub checkpoint: Option<Duration>,
}

/// End of a lease, as enforced by the worker: the earlier of the two times.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Lease {
    /// Time remaining when the worker reads the command.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_end_ms_from_now: Duration,
    /// End on the machine's monotonic clock, which limits the lease if the command is read late.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_end_monotonic_ms: Duration,
}

/// State of a task on the worker.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Executing at its share of full speed.
    Running,
    /// Suspended by a command.
    Suspended,
    /// Suspended because its lease ended.
    Lapsed,
    /// Finished; holds no resources.
    Complete,
}

/// Status of a task as reported by the worker.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Task name.
    pub task: Name,
    /// Epoch of the claim.
    pub epoch: u64,
    /// Kind of the task.
    pub kind: Name,
    /// Resources that the task uses.
    pub resources: Resources,
    /// State on this worker.
    pub state: TaskState,
    /// Execution speed, as a percentage of full speed.
    pub share_percent: u8,
    /// Execution time so far, converted to full speed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub progress_ms: Duration,
}

/// Reason why the worker refused a command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// The worker doesn't hold the task.
    UnknownTask,
    /// The worker already holds the task, under this epoch or another.
    AlreadyHeld,
    /// The command is for another epoch.
    OtherEpoch,
    /// The lease has ended.
    LeaseEnded,
    /// The task is complete.
    Complete,
    /// The task failed to start.
    StartFailed,
    /// A field of the command is missing or out of range.
    Field,
}

/// Reason why a call failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Error {
    /// The connection failed; the command wasn't sent.
    Unsent(String),
    /// The worker refused the command and didn't change any state.
    Refused(Refusal),
    /// The command was sent, but its effect is unknown.
    Unknown(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unsent(error) => write!(f, "can't connect to the task runtime: {error}"),
            Self::Refused(refusal) => write!(f, "task runtime refused the command: {refusal:?}"),
            Self::Unknown(error) => write!(f, "no valid response from the task runtime: {error}"),
        }
    }
}

impl std::error::Error for Error {}

/// Request body of a command for an existing task.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct CommandBody {
    epoch: u64,
    #[serde(flatten, skip_serializing_if = "Option::is_none")]
    lease: Option<Lease>,
    #[serde(skip_serializing_if = "Option::is_none")]
    share_percent: Option<u8>,
}

/// HTTP client for the task runtime of one worker.
#[derive(Clone, Debug)]
pub struct Runtime {
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
}

/// Creates a client for the task runtime at `address`.
#[must_use]
pub fn open(address: SocketAddr) -> Runtime {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CALL_TIMEOUT));
    let client = Client::builder(TokioExecutor::new()).pool_max_idle_per_host(1).build(connector);
    Runtime { client, address }
}

impl Runtime {
    /// Lists the tasks that the worker holds, and the completed tasks that it still remembers.
    ///
    /// # Errors
    ///
    /// The reason why the list couldn't be read.
    pub async fn list(&self) -> Result<Vec<Status>, Error> {
        self.call(Method::GET, "/tasks", Bytes::new()).await
    }

    /// Starts a task.
    ///
    /// # Errors
    ///
    /// [`Error::Unknown`] if the task may be running; any other error if it isn't.
    pub async fn start(&self, start: &Start) -> Result<(), Error> {
        let _response: serde_json::Value = self.call(Method::POST, "/tasks", to_json_bytes(start)).await?;
        Ok(())
    }

    /// Sets the end of a task's lease.
    ///
    /// # Errors
    ///
    /// The reason why it may not have been set.
    pub async fn renew(&self, task: &str, epoch: u64, lease: Lease) -> Result<Status, Error> {
        self.send_command(task, "lease", &CommandBody { epoch, lease: Some(lease), share_percent: None }).await
    }

    /// Resumes a suspended task from memory.
    ///
    /// # Errors
    ///
    /// The reason why it may not have been resumed.
    pub async fn resume(&self, task: &str, epoch: u64) -> Result<Status, Error> {
        self.send_command(task, "resume", &CommandBody { epoch, ..CommandBody::default() }).await
    }

    /// Suspends a task, keeping it in memory.
    ///
    /// # Errors
    ///
    /// The reason why it may still be executing.
    pub async fn suspend(&self, task: &str, epoch: u64) -> Result<Status, Error> {
        self.send_command(task, "suspend", &CommandBody { epoch, ..CommandBody::default() }).await
    }

    /// Saves a checkpoint of a task's progress.
    ///
    /// # Errors
    ///
    /// The reason why it may not have been saved.
    pub async fn checkpoint(&self, task: &str, epoch: u64) -> Result<Status, Error> {
        self.send_command(task, "checkpoint", &CommandBody { epoch, ..CommandBody::default() }).await
    }

    /// Limits the execution speed of a task to a percentage of full speed.
    ///
    /// # Errors
    ///
    /// The reason why it may not have been set.
    pub async fn throttle(&self, task: &str, epoch: u64, share_percent: u8) -> Result<Status, Error> {
        self.send_command(task, "throttle", &CommandBody { epoch, lease: None, share_percent: Some(share_percent) })
            .await
    }

    /// Stops a task on this worker and returns its final status.
    ///
    /// # Errors
    ///
    /// The reason why the worker may still hold it.
    pub async fn stop(&self, task: &str, epoch: u64) -> Result<Status, Error> {
        self.send_command(task, "stop", &CommandBody { epoch, ..CommandBody::default() }).await
    }

    async fn send_command(&self, task: &str, command: &str, command_body: &CommandBody) -> Result<Status, Error> {
        self.call(Method::POST, &format!("/tasks/{task}/{command}"), to_json_bytes(command_body)).await
    }

    async fn call<T: DeserializeOwned>(&self, method: Method, path: &str, body: Bytes) -> Result<T, Error> {
        let result = tokio::time::timeout(CALL_TIMEOUT, self.send_request(method, path, body)).await;
        let (status, body) = result.unwrap_or_else(|_| Err(Error::Unknown("call timed out".to_owned())))?;
        if status.is_success() {
            return serde_json::from_slice(&body).map_err(|error| Error::Unknown(error.to_string()));
        }
        let refusal = serde_json::from_slice(&body);
        Err(refusal.map_or_else(|_| Error::Unknown(format!("status {status}")), Error::Refused))
    }

    async fn send_request(&self, method: Method, path: &str, body: Bytes) -> Result<(StatusCode, Bytes), Error> {
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
        Ok((status, read_answer(response.into_body()).await?))
    }
}

/// Reads a whole answer into one buffer, since each frame of its own would keep a read buffer.
async fn read_answer(body: Incoming) -> Result<Bytes, Error> {
    let mut body = Limited::new(body, ANSWER_BYTES_MAX);
    let mut bytes = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Error::Unknown(error.to_string()))?;
        if let Ok(part) = frame.into_data() {
            bytes.extend_from_slice(&part);
        }
    }
    Ok(bytes.freeze())
}

fn to_json_bytes<T: Serialize>(value: &T) -> Bytes {
    // Serializing structs of numbers and strings to JSON can't fail.
    serde_json::to_vec(value).map(Bytes::from).unwrap_or_default()
}
