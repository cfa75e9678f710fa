//! Calls to the table service, each with a timeout.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use bytes::Bytes;
use chervilledge_policy::clock::Clock;
use chervilledge_policy::id::BootId;
use http::{HeaderMap, Method, StatusCode};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::error::{Error, Outcome, Reason};
use crate::table::{
    COMMIT_PATH, Commit, Committed, Conflict, READ_PATH, Read, Row, Rows, SCAN_PATH, Scan, Write, WriteId,
};
use crate::transport::{Failure, Transport};

/// Settings of a [`Client`].
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Time for one call, from asking for a connection to the end of the answer.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "call_timeout_ms")]
    pub call_timeout: Duration,
    /// Calls in progress at the same time.
    pub concurrent_calls: usize,
    /// Attempts at a read before its error is returned.
    pub read_attempts: u32,
    /// Upper bound of the wait before the second attempt; doubles with each attempt.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "backoff_first_ms")]
    pub backoff_first: Duration,
    /// Upper bound of the wait before any attempt.
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
    rng: std::sync::Mutex<SmallRng>,
    transport: Transport,
}

/// Handle on the platform, cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Arc<Inner>,
}

/// Opens a client; connections are made when calls need them.
#[must_use]
pub fn open(settings: Settings, boot: BootId, clock: Clock) -> Client {
    let transport = Transport::open(settings.address, settings.concurrent_calls, settings.call_timeout);
    let rng = std::sync::Mutex::new(SmallRng::seed_from_u64(boot.0));
    Client { inner: Arc::new(Inner { settings, boot, clock, sequence: AtomicU64::new(0), rng, transport }) }
}

impl Client {
    /// Issues an identifier for a transaction.
    #[must_use]
    pub fn next_write_id(&self) -> WriteId {
        WriteId { boot: self.inner.boot, sequence: self.inner.sequence.fetch_add(1, Ordering::Relaxed) }
    }

    /// Clock that the client was opened with.
    #[must_use]
    pub fn clock(&self) -> &Clock {
        &self.inner.clock
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
    pub async fn commit(&self, write_id: WriteId, writes: Vec<Write>) -> Outcome {
        self.send_commit(&Commit { write_id, writes }).await
    }

    async fn send_commit(&self, commit: &Commit) -> Outcome {
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
            StatusCode::TOO_MANY_REQUESTS => Outcome::NotDone(Reason::Refused { retry_after: answer.retry_after() }),
            StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND | StatusCode::METHOD_NOT_ALLOWED => {
                Outcome::NotDone(Reason::Invalid(String::from_utf8_lossy(&answer.body).into_owned()))
            }
            // Whether an intermediary or the service itself answers, nothing is proved.
            _ => Outcome::Unknown,
        }
    }

    async fn query<Q: Serialize, A: DeserializeOwned>(&self, path: &str, question: &Q) -> Result<A, Error> {
        let Some(body) = encode(question) else {
            return Err(Error::Malformed("question can't be encoded".to_owned()));
        };
        let mut attempt = 0;
        loop {
            let error = match self.query_once(path, body.clone()).await {
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

    async fn query_once<A: DeserializeOwned>(&self, path: &str, body: Bytes) -> Result<A, Error> {
        let answer = self.inner.transport.call(Method::POST, path, HeaderMap::new(), body).await?;
        match answer.status {
            StatusCode::OK => decode(&answer.body).ok_or_else(|| Error::Malformed("body isn't as expected".to_owned())),
            StatusCode::TOO_MANY_REQUESTS => Err(Error::Refused { retry_after: answer.retry_after() }),
            status => Err(Error::Malformed(format!("status {status}"))),
        }
    }

    /// Full jitter below a doubling bound; at least what the platform asked for.
    fn backoff(&self, attempt: u32, error: &Error) -> Duration {
        let settings = &self.inner.settings;
        let doubled = settings.backoff_first.saturating_mul(1 << attempt.saturating_sub(1).min(16));
        let jittered = self.jitter(doubled.min(settings.backoff_limit));
        match error {
            Error::Refused { retry_after } => (*retry_after).min(settings.backoff_limit) + jittered,
            _ => jittered,
        }
    }

    /// Draws a duration below `bound`.
    fn jitter(&self, bound: Duration) -> Duration {
        let share: f64 = self.inner.rng.lock().unwrap_or_else(std::sync::PoisonError::into_inner).random();
        bound.mul_f64(share)
    }
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
