//! Client of the table service.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chervilledge_client::Answer;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::id::BootId;
use http::{HeaderMap, Method, StatusCode};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::sync::oneshot;

use crate::error::{Error, Outcome, Reason};
use crate::gate::Config;
use crate::history::{self, WriteTracker};
pub use crate::resolve::Resolution;
use crate::table::{
    COMMIT_PATH, Commit, Committed, Conflict, Expect, READ_PATH, Read, Row, Rows, SCAN_PATH, Scan, Write, WriteId,
};
use crate::transport::{self, Failure, Transport};

/// Settings of a [`Client`].
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Timeout of one call, from acquiring a connection to the end of the answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "call_timeout_ms")]
    pub call_timeout: Duration,
    /// Maximum number of concurrent calls.
    pub concurrent_calls: u32,
    /// Consecutive calls without an answer after which the platform is considered unavailable.
    pub failures_until_away: u32,
    /// Longest time after which a write that lost its connection can still take effect.
    ///
    /// Fences of such writes are kept for this time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "late_write_bound_ms")]
    pub late_write_bound: Duration,
    /// Maximum number of attempts of a read.
    pub read_attempts: u32,
    /// Upper bound of the delay before the second attempt; doubles with each attempt.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "backoff_first_ms")]
    pub backoff_first: Duration,
    /// Upper bound of the delay before any attempt.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "backoff_limit_ms")]
    pub backoff_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: SocketAddr::from(([127, 0, 0, 1], 7100)),
            call_timeout: Duration::from_secs(1),
            concurrent_calls: 16,
            failures_until_away: 3,
            late_write_bound: Duration::from_mins(10),
            read_attempts: 4,
            backoff_first: Duration::from_millis(20),
            backoff_limit: Duration::from_secs(2),
        }
    }
}

#[derive(Debug)]
struct Inner {
    settings: Settings,
    boot: BootId,
    clock: Clock,
    sequence: AtomicU64,
    history: Mutex<WriteTracker>,
    transport: Transport,
}

/// Client of the platform; cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Arc<Inner>,
}

/// Opens a client; connections are established on demand.
#[must_use]
pub fn open(settings: Settings, boot: BootId, clock: Clock) -> Client {
    let config = Config {
        concurrent_calls: settings.concurrent_calls.max(1),
        failures_until_away: settings.failures_until_away.max(1),
        call_timeout: settings.call_timeout,
        backoff_first: settings.backoff_first,
        backoff_limit: settings.backoff_limit,
    };
    let transport = Transport::open(settings.address, config, clock.clone(), boot.0);
    let sequence = AtomicU64::new(0);
    Client { inner: Arc::new(Inner { settings, boot, clock, sequence, history: Mutex::default(), transport }) }
}

impl Client {
    /// Returns a new transaction identifier, to be used for one call of [`Client::commit`].
    #[must_use]
    pub fn next_write_id(&self) -> WriteId {
        WriteId { boot: self.inner.boot, sequence: self.inner.sequence.fetch_add(1, Ordering::Relaxed) }
    }

    /// Returns the clock that the client was opened with.
    #[must_use]
    pub fn clock(&self) -> &Clock {
        &self.inner.clock
    }

    /// Returns the boot identifier of the process that the client was opened for.
    #[must_use]
    pub fn boot(&self) -> BootId {
        self.inner.boot
    }

    pub(crate) fn late_write_bound(&self) -> Duration {
        self.inner.settings.late_write_bound
    }

    /// Returns whether calls are rejected locally because the platform is unavailable.
    #[must_use]
    pub fn is_away(&self) -> bool {
        self.inner.transport.is_away()
    }

    /// Reads rows by key; rows that don't exist are left out.
    ///
    /// # Errors
    ///
    /// The last attempt's error, when every attempt failed.
    pub async fn read(&self, keys: Vec<Arc<str>>) -> Result<Vec<Row>, Error> {
        let rows: Rows = self.query(READ_PATH, &Read { keys }).await?;
        Ok(rows.rows)
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// The last attempt's error, when every attempt failed.
    pub async fn read_one(&self, key: impl Into<Arc<str>>) -> Result<Option<Row>, Error> {
        Ok(self.read(vec![key.into()]).await?.pop())
    }

    /// Reads at most `limit` rows whose key starts with `prefix` and is greater than `after`, in the order of keys.
    ///
    /// # Errors
    ///
    /// The last attempt's error, when every attempt failed.
    pub async fn scan(
        &self,
        prefix: impl Into<Arc<str>>,
        after: Option<Arc<str>>,
        limit: usize,
    ) -> Result<Vec<Row>, Error> {
        let rows: Rows = self.query(SCAN_PATH, &Scan { prefix: prefix.into(), after, limit }).await?;
        Ok(rows.rows)
    }

    /// Commits all writes or none, in one attempt.
    ///
    /// The transaction also writes a history row, from which [`Client::resolve`] determines its outcome. An unknown
    /// outcome is resolved in the background as well, so none remains unresolved once the platform answers. Dropping
    /// the future doesn't cancel the writes.
    pub async fn commit(&self, write_id: WriteId, writes: Vec<Write>) -> Outcome {
        let Some(key) = writes.first().map(|write| Arc::clone(&write.key)) else {
            return Outcome::Done(Vec::new());
        };
        // Before the task is spawned, so that the write can be resolved as soon as it may be sent.
        let deleted = self.begin_write(write_id);
        let client = self.clone();
        let (answer, outcome) = oneshot::channel();
        tokio::spawn(async move {
            let outcome = client.commit_once(write_id, writes, deleted).await;
            let is_unknown = outcome == Outcome::Unknown;
            // Fails when the caller has dropped its future and needs no answer.
            let _receiver_dropped = answer.send(outcome);
            if is_unknown {
                let resolution = client.resolve(write_id, &key).await;
                log::warn!(write_id:%, resolution:?; "platform_write_resolved");
            }
        });
        outcome.await.unwrap_or(Outcome::Unknown)
    }

    async fn commit_once(&self, write_id: WriteId, writes: Vec<Write>, deleted: Vec<WriteId>) -> Outcome {
        let count = writes.len();
        let outcome = self.send_commit(&with_history(write_id, writes, &deleted)).await;
        self.finish_write(write_id, deleted, outcome, count)
    }

    fn begin_write(&self, write_id: WriteId) -> Vec<WriteId> {
        let mut history = self.history();
        history.track(write_id);
        history.take_deletable(self.inner.clock.now(), self.inner.settings.late_write_bound)
    }

    fn finish_write(&self, write_id: WriteId, deleted: Vec<WriteId>, outcome: Outcome, count: usize) -> Outcome {
        let mut history = self.history();
        match outcome {
            Outcome::Done(versions) => {
                history.mark_confirmed(write_id);
                Outcome::Done(versions.into_iter().skip(1).take(count).collect())
            }
            Outcome::NotDone(reason) => {
                history.requeue_deletable(deleted);
                match resolution_from_conflict(&reason, write_id) {
                    Some(Resolution::Done(version)) => return Outcome::Done(vec![version; count]),
                    Some(_) => return Outcome::NotDone(Reason::Fenced),
                    None => history.mark_rejected(write_id),
                }
                Outcome::NotDone(reason)
            }
            Outcome::Unknown => {
                history.requeue_deletable(deleted);
                Outcome::Unknown
            }
        }
    }

    pub(crate) fn history(&self) -> MutexGuard<'_, WriteTracker> {
        self.inner.history.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) async fn send_commit(&self, commit: &Commit) -> Outcome {
        let Some(body) = encode(commit) else {
            return Outcome::NotDone(Reason::Invalid("body can't be encoded".to_owned()));
        };
        let answer = match self.inner.transport.call(Method::POST, COMMIT_PATH, HeaderMap::new(), body).await {
            Ok(answer) => answer,
            Err(Failure::NeverSent) => return Outcome::NotDone(Reason::NeverSent),
            Err(Failure::Lost | Failure::TimedOut) => return Outcome::Unknown,
        };
        match answer.status {
            StatusCode::OK => decode::<Committed>(&answer.body)
                .map_or(Outcome::Unknown, |committed| Outcome::Done(committed.versions)),
            StatusCode::CONFLICT => decode::<Conflict>(&answer.body)
                .map_or(Outcome::Unknown, |conflict| Outcome::NotDone(Reason::Conflict(conflict))),
            StatusCode::TOO_MANY_REQUESTS => {
                Outcome::NotDone(Reason::Refused { retry_after: transport::retry_after(&answer) })
            }
            StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => {
                Outcome::NotDone(Reason::Invalid(String::from_utf8_lossy(&answer.body).into_owned()))
            }
            // The status may come from an intermediary or the service; neither proves what became of the write.
            _ => Outcome::Unknown,
        }
    }

    async fn query<Q: Serialize, A: DeserializeOwned>(&self, path: &str, request: &Q) -> Result<A, Error> {
        self.retry(|| self.query_once(path, request)).await
    }

    pub(crate) async fn query_once<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, Error> {
        let body = encode(request).ok_or_else(|| Error::Malformed("request can't be encoded".to_owned()))?;
        let answer = self.call_once(Method::POST, path, HeaderMap::new(), body).await?;
        match answer.status {
            StatusCode::OK => decode(&answer.body).ok_or_else(|| Error::Malformed("body isn't as expected".to_owned())),
            status => Err(Error::Malformed(format!("status {status}"))),
        }
    }

    pub(crate) async fn call_once(
        &self,
        method: Method,
        path: &str,
        headers: HeaderMap,
        body: Bytes,
    ) -> Result<Answer, Error> {
        let answer = self.inner.transport.call(method, path, headers, body).await?;
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            return Err(Error::Refused { retry_after: transport::retry_after(&answer) });
        }
        Ok(answer)
    }

    /// Retries an idempotent call, up to `read_attempts`.
    pub(crate) async fn retry<T, F>(&self, call: impl Fn() -> F) -> Result<T, Error>
    where
        F: Future<Output = Result<T, Error>>,
    {
        let mut attempt = 0;
        loop {
            let error = match call().await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            attempt += 1;
            if attempt >= self.inner.settings.read_attempts {
                return Err(error);
            }
            tokio::time::sleep(self.backoff(attempt, &error)).await;
        }
    }

    /// Returns a random duration below `bound`.
    pub(crate) fn jitter(&self, bound: Duration) -> Duration {
        bound.mul_f64(self.inner.transport.random_fraction())
    }

    /// Exponential backoff with full jitter; at least the delay that the platform asked for, up to `backoff_limit`.
    pub(crate) fn backoff(&self, attempt: u32, error: &Error) -> Duration {
        let settings = &self.inner.settings;
        let doubled = settings.backoff_first.saturating_mul(1 << attempt.saturating_sub(1).min(16));
        let jittered = self.jitter(doubled.min(settings.backoff_limit));
        match error {
            Error::Refused { retry_after } => (*retry_after).min(settings.backoff_limit) + jittered,
            _ => jittered,
        }
    }
}

/// Puts the history row first, so that the platform reports its conflict before any other.
fn with_history(write_id: WriteId, writes: Vec<Write>, deleted: &[WriteId]) -> Commit {
    let history_deletes = deleted.iter().map(|old| Write::delete(history::key(*old), Expect::Any));
    let writes = std::iter::once(history::history_write(write_id)).chain(writes).chain(history_deletes).collect();
    Commit { write_id, writes }
}

/// Returns the resolution if the conflict is on the history row of the write itself.
fn resolution_from_conflict(reason: &Reason, write_id: WriteId) -> Option<Resolution> {
    let Reason::Conflict(Conflict { key, current: Some(row), .. }) = reason else {
        return None;
    };
    (*key == history::key(write_id)).then(|| history::resolution(row, write_id))
}

impl From<Failure> for Error {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::NeverSent | Failure::Lost => Self::Unreachable,
            Failure::TimedOut => Self::TimedOut,
        }
    }
}

fn encode<T: Serialize>(value: &T) -> Option<Bytes> {
    serde_json::to_vec(value).ok().map(Bytes::from)
}

fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}
