//! Stand-in for the platform's table service and object store.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use chervilledge_platform::table::{COMMIT_PATH, Committed, READ_PATH, Rows, SCAN_PATH};
use http::header::IF_NONE_MATCH;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::serve::{self, Answer, Hangup, Server};
use crate::store::Attempt;
pub use crate::store::Entry;
use crate::store::Store;

/// Start of the path of an object.
const OBJECT_PREFIX: &str = "/objects/";

/// Settings of the stand-in.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Transactions carried in a second.
    pub writes_per_s: u32,
    /// Reads carried in a second.
    pub reads_per_s: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self { writes_per_s: 300, reads_per_s: 2_000 }
    }
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
}

/// Binds the stand-in to an address; port 0 takes a free port.
///
/// # Errors
///
/// The error of the listener.
pub async fn bind(address: SocketAddr, _settings: Settings) -> io::Result<Handle> {
    let state = Arc::new(State { store: Mutex::default() });
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

    /// Commits after the given number, in order.
    #[must_use]
    pub fn ledger_after(&self, number: u64) -> Vec<Entry> {
        self.state.store().ledger_after(number)
    }
}

impl State {
    fn store(&self) -> MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Answer, Hangup> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.or(Err(Hangup))?.to_bytes();
        let path = parts.uri.path();
        let answer = match (&parts.method, path) {
            (&Method::POST, READ_PATH) => self.read(&body),
            (&Method::POST, SCAN_PATH) => self.scan(&body),
            (&Method::POST, COMMIT_PATH) => self.commit(&body),
            (&Method::GET, "/ledger") => {
                let after = parts.uri.query().and_then(|query| query.strip_prefix("after=")?.parse().ok());
                serve::json(StatusCode::OK, &self.store().ledger_after(after.unwrap_or(0)))
            }
            (method, path) => match path.strip_prefix(OBJECT_PREFIX) {
                Some(key) => self.object(method, key, parts.headers.contains_key(IF_NONE_MATCH), body),
                None => serve::text(StatusCode::NOT_FOUND, "unknown path"),
            },
        };
        Ok(answer)
    }

    fn object(&self, method: &Method, key: &str, only_if_absent: bool, body: Bytes) -> Answer {
        let mut store = self.store();
        match *method {
            Method::GET => store.object(key).map_or_else(
                || serve::text(StatusCode::NOT_FOUND, "no such object"),
                |object| serve::bytes(StatusCode::OK, object),
            ),
            Method::PUT if store.put_object(key, body, only_if_absent) => serve::text(StatusCode::CREATED, ""),
            Method::PUT => serve::text(StatusCode::PRECONDITION_FAILED, "object exists"),
            Method::DELETE => {
                store.delete_object(key);
                serve::text(StatusCode::NO_CONTENT, "")
            }
            _ => serve::text(StatusCode::METHOD_NOT_ALLOWED, "objects take GET, PUT and DELETE"),
        }
    }

    fn read(&self, body: &Bytes) -> Answer {
        with_body(body, |read: chervilledge_platform::table::Read| {
            serve::json(StatusCode::OK, &Rows { rows: self.store().read(&read.keys) })
        })
    }

    fn scan(&self, body: &Bytes) -> Answer {
        with_body(body, |scan| serve::json(StatusCode::OK, &Rows { rows: self.store().scan(&scan) }))
    }

    fn commit(&self, body: &Bytes) -> Answer {
        with_body(body, |commit| match self.store().commit(commit) {
            Attempt::Committed(versions) => serve::json(StatusCode::OK, &Committed { versions }),
            Attempt::Conflict(conflict) => serve::json(StatusCode::CONFLICT, &conflict),
            Attempt::Invalid(reason) => serve::text(StatusCode::BAD_REQUEST, reason),
        })
    }
}

fn with_body<T: DeserializeOwned>(body: &Bytes, answer: impl FnOnce(T) -> Answer) -> Answer {
    match serde_json::from_slice(body) {
        Ok(value) => answer(value),
        Err(error) => serve::text(StatusCode::BAD_REQUEST, &error.to_string()),
    }
}
