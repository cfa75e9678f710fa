//! Stand-in for the platform's table service and object store.
//!
//! Calls are paced at the rates of the settings and refused with 429 and `Retry-After` beyond them. A transaction
//! counts as one write; a read counts once for each started hundred of the rows that it returns.
//!
//! `POST /control` replaces the [`Faults`] in force; `GET /ledger?after=N` returns the commits after number `N`.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use chervilledge_store::object::OBJECT_PREFIX;
use chervilledge_store::table::{COMMIT_PATH, Commit, Committed, READ_PATH, Read, Row, Rows, SCAN_PATH, Scan};
use http::header::IF_NONE_MATCH;
use http::request::Parts;
use http::{HeaderValue, Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use tokio::time::{Instant, sleep, sleep_until};

use crate::rate::Pace;
use crate::serve::{self, Answer, Hangup, Server};
use crate::store::Attempt;
pub use crate::store::Entry;
use crate::store::Store;

/// Rows that a read returns at the cost of one read.
const ROWS_PER_READ: usize = 100;

/// Settings of the stand-in.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Transactions and writes of objects carried in a second.
    pub writes_per_s: u32,
    /// Reads carried in a second.
    pub reads_per_s: u32,
    /// Longest wait for a place within the rates; calls beyond are refused.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "wait_limit_ms")]
    pub wait_limit: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self { writes_per_s: 300, reads_per_s: 2_000, wait_limit: Duration::from_millis(200) }
    }
}

/// Faults in force, as the body of `POST /control`; a fault that isn't named is off.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Closes every connection in place of an answer; nothing takes effect.
    pub down: bool,
    /// Time added to every call.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "slow_ms")]
    pub slow: Duration,
    /// Next writes that take effect while their connection is closed in place of an answer.
    pub lose_reply_next: u32,
    /// Next writes that don't take effect while their connection is closed in place of an answer.
    pub lose_request_next: u32,
    /// Unless zero, every write closes its connection at once and takes effect after this time.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "delay_effect_ms")]
    pub delay_effect: Duration,
    /// Unless zero, reads see the rows of a past moment, at most this time ago.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stale_reads_ms")]
    pub stale_reads: Duration,
}

/// Calls that the stand-in has carried and refused.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Counts {
    /// Commits and writes of objects that were carried, whatever their result.
    pub writes: u64,
    /// Reads of rows and objects that were carried.
    pub reads: u64,
    /// Calls refused beyond the rates.
    pub refused: u64,
    /// Calls whose connection was closed because the platform was down.
    pub hung_up: u64,
    /// Bytes of the bodies of commits that were carried.
    pub commit_bytes: u64,
}

/// Running stand-in; stops when dropped.
#[derive(Debug)]
pub struct Handle {
    server: Server,
    state: Arc<State>,
}

#[derive(Debug)]
struct State {
    store: Mutex<Store>,
    past: Mutex<Option<(Instant, Store)>>,
    faults: Mutex<Faults>,
    counts: Mutex<Counts>,
    writes: Mutex<Pace>,
    reads: Mutex<Pace>,
}

/// What becomes of one write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fate {
    Carried,
    ReplyLost,
    RequestLost,
    Late(Duration),
}

/// Binds the stand-in to an address; port 0 takes a free port.
///
/// # Errors
///
/// The error of the listener.
pub async fn bind(address: SocketAddr, settings: Settings) -> io::Result<Handle> {
    let state = Arc::new(State {
        store: Mutex::default(),
        past: Mutex::default(),
        faults: Mutex::default(),
        counts: Mutex::default(),
        writes: Mutex::new(Pace::new(settings.writes_per_s, settings.wait_limit)),
        reads: Mutex::new(Pace::new(settings.reads_per_s, settings.wait_limit)),
    });
    let shared = Arc::clone(&state);
    let handle = move |_connection: Arc<()>, request| {
        let state = Arc::clone(&shared);
        async move { state.answer(request).await }
    };
    let server = serve::bind(address, || (), handle).await?;
    Ok(Handle { server, state })
}

impl Handle {
    /// Address that the stand-in listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the faults in force.
    pub fn control(&self, faults: Faults) {
        self.state.control(faults);
    }

    /// Commits after the given number, in order.
    #[must_use]
    pub fn ledger_after(&self, number: u64) -> Vec<Entry> {
        lock(&self.state.store).ledger_after(number)
    }

    /// Calls carried and refused so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        *lock(&self.state.counts)
    }
}

impl State {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Result<Answer, Hangup> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.or(Err(Hangup))?.to_bytes();
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, "/control") => Ok(with_body(&body, |faults| {
                self.control(faults);
                serve::text(StatusCode::NO_CONTENT, "")
            })),
            (&Method::GET, "/ledger") => Ok(self.ledger(&parts)),
            (&Method::GET, "/counts") => Ok(serve::json(StatusCode::OK, &*lock(&self.counts))),
            _ => self.answer_with_faults(&parts, body).await,
        }
    }

    async fn answer_with_faults(self: Arc<Self>, parts: &Parts, body: Bytes) -> Result<Answer, Hangup> {
        self.hang_up_when_down()?;
        let slow = lock(&self.faults).slow;
        if !slow.is_zero() {
            sleep(slow).await;
            self.hang_up_when_down()?;
        }
        match (&parts.method, parts.uri.path()) {
            (&Method::POST, READ_PATH) => self.answer_read(&body, |store, read: Read| store.read(&read.keys)).await,
            (&Method::POST, SCAN_PATH) => self.answer_read(&body, |store, scan: Scan| store.scan(&scan)).await,
            (&Method::POST, COMMIT_PATH) => self.answer_write(move |state| state.commit(&body)).await,
            (method, path) => match path.strip_prefix(OBJECT_PREFIX) {
                Some(key) => {
                    let only_if_absent = parts.headers.contains_key(IF_NONE_MATCH);
                    self.answer_object(method, key.to_owned(), only_if_absent, body).await
                }
                None => Ok(serve::text(StatusCode::NOT_FOUND, "unknown path")),
            },
        }
    }

    fn hang_up_when_down(&self) -> Result<(), Hangup> {
        if lock(&self.faults).down {
            lock(&self.counts).hung_up += 1;
            return Err(Hangup);
        }
        Ok(())
    }

    fn control(&self, faults: Faults) {
        *lock(&self.past) = None;
        *lock(&self.faults) = faults;
    }

    fn ledger(&self, parts: &Parts) -> Answer {
        let after = parts.uri.query().and_then(|query| query.strip_prefix("after=")?.parse().ok());
        serve::json(StatusCode::OK, &lock(&self.store).ledger_after(after.unwrap_or(0)))
    }

    async fn answer_read<Q: DeserializeOwned>(
        &self,
        body: &Bytes,
        find: impl FnOnce(&Store, Q) -> Vec<Row>,
    ) -> Result<Answer, Hangup> {
        let question = match serde_json::from_slice(body) {
            Ok(question) => question,
            Err(error) => return Ok(serve::text(StatusCode::BAD_REQUEST, &error.to_string())),
        };
        if let Some(refusal) = self.wait_for_read().await {
            return Ok(refusal);
        }
        self.hang_up_when_down()?;
        let rows = self.with_rows(|store| find(store, question));
        let further_reads = rows.len().saturating_sub(1) / ROWS_PER_READ;
        lock(&self.reads).charge(u32::try_from(further_reads).unwrap_or(u32::MAX));
        Ok(serve::json(StatusCode::OK, &Rows { rows }))
    }

    /// Shows the rows of now, or of a past moment when reads are stale.
    fn with_rows<T>(&self, show: impl FnOnce(&Store) -> T) -> T {
        let stale_reads = lock(&self.faults).stale_reads;
        if stale_reads.is_zero() {
            return show(&lock(&self.store));
        }
        let mut past = lock(&self.past);
        let fresh = past.take().filter(|(taken, _)| taken.elapsed() < stale_reads);
        let (_, store) = past.insert(fresh.unwrap_or_else(|| (Instant::now(), lock(&self.store).rows_only())));
        show(store)
    }

    async fn answer_write(
        self: Arc<Self>,
        write: impl FnOnce(&Self) -> Answer + Send + 'static,
    ) -> Result<Answer, Hangup> {
        let place = lock(&self.writes).take(Instant::now());
        match place {
            Ok(place) => sleep_until(place).await,
            Err(wait) => return Ok(self.refuse(wait)),
        }
        lock(&self.counts).writes += 1;
        self.hang_up_when_down()?;
        match self.next_fate() {
            Fate::Carried => Ok(write(&self)),
            Fate::RequestLost => Err(Hangup),
            Fate::ReplyLost => {
                write(&self);
                Err(Hangup)
            }
            Fate::Late(delay) => {
                tokio::spawn(async move {
                    sleep(delay).await;
                    write(&self);
                });
                Err(Hangup)
            }
        }
    }

    fn next_fate(&self) -> Fate {
        let mut faults = lock(&self.faults);
        if faults.lose_request_next > 0 {
            faults.lose_request_next -= 1;
            Fate::RequestLost
        } else if faults.lose_reply_next > 0 {
            faults.lose_reply_next -= 1;
            Fate::ReplyLost
        } else if faults.delay_effect.is_zero() {
            Fate::Carried
        } else {
            Fate::Late(faults.delay_effect)
        }
    }

    async fn wait_for_read(&self) -> Option<Answer> {
        let place = lock(&self.reads).take(Instant::now());
        match place {
            Ok(place) => sleep_until(place).await,
            Err(wait) => return Some(self.refuse(wait)),
        }
        lock(&self.counts).reads += 1;
        None
    }

    fn refuse(&self, wait: Duration) -> Answer {
        lock(&self.counts).refused += 1;
        let mut answer = serve::text(StatusCode::TOO_MANY_REQUESTS, "beyond the rate");
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let headers = answer.headers_mut();
        headers.insert("retry-after", HeaderValue::from(wait.as_secs() + 1));
        headers.insert("retry-after-ms", HeaderValue::from(wait_ms));
        answer
    }

    fn commit(&self, body: &Bytes) -> Answer {
        lock(&self.counts).commit_bytes += body.len() as u64;
        with_body(body, |commit: Commit| match lock(&self.store).commit(commit) {
            Attempt::Committed(versions) => serve::json(StatusCode::OK, &Committed { versions }),
            Attempt::Conflict(conflict) => serve::json(StatusCode::CONFLICT, &conflict),
            Attempt::Invalid(reason) => serve::text(StatusCode::BAD_REQUEST, reason),
        })
    }

    async fn answer_object(
        self: Arc<Self>,
        method: &Method,
        key: String,
        only_if_absent: bool,
        body: Bytes,
    ) -> Result<Answer, Hangup> {
        match *method {
            Method::GET => Ok(self.get_object(&key).await),
            Method::PUT => self.answer_write(move |state| state.put_object(&key, only_if_absent, body)).await,
            Method::DELETE => {
                let delete = move |state: &Self| {
                    lock(&state.store).delete_object(&key);
                    serve::text(StatusCode::NO_CONTENT, "")
                };
                self.answer_write(delete).await
            }
            _ => Ok(serve::text(StatusCode::METHOD_NOT_ALLOWED, "objects take GET, PUT and DELETE")),
        }
    }

    async fn get_object(&self, key: &str) -> Answer {
        if let Some(refusal) = self.wait_for_read().await {
            return refusal;
        }
        lock(&self.store).object(key).map_or_else(
            || serve::text(StatusCode::NOT_FOUND, "no such object"),
            |object| serve::bytes(StatusCode::OK, object),
        )
    }

    fn put_object(&self, key: &str, only_if_absent: bool, body: Bytes) -> Answer {
        if lock(&self.store).put_object(key, body, only_if_absent) {
            serve::text(StatusCode::CREATED, "")
        } else {
            serve::text(StatusCode::PRECONDITION_FAILED, "object exists")
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn with_body<T: DeserializeOwned>(body: &Bytes, answer: impl FnOnce(T) -> Answer) -> Answer {
    match serde_json::from_slice(body) {
        Ok(value) => answer(value),
        Err(error) => serve::text(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
