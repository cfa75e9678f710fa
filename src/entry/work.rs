//! A caller's request, as far as it is handed to an agent.

use std::hash::{Hash, Hasher};

use bytes::Bytes;
use chervilledge_link::message::Header;
use chervilledge_policy::id::Name;
use chervilledge_policy::retry;
use hyper::body::Incoming;
use rustc_hash::FxHasher;

/// Caller's request, as far as it is handed to an agent.
#[derive(Debug)]
pub struct Work {
    /// Service that is to answer.
    pub service: Name,
    /// HTTP method.
    pub method: String,
    /// Path and query at the backend server.
    pub target: String,
    /// Header fields to pass on.
    pub headers: Vec<Header>,
    /// Whether the request may be shed before others.
    pub sheddable: bool,
    /// Bounds on retries of the service.
    pub retry: retry::Settings,
    /// Body of the request.
    pub body: WorkBody,
}

impl Work {
    /// Checksum by which a repeated request is told from another one with the same idempotency key.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = FxHasher::default();
        (&*self.service, &self.method, &self.target).hash(&mut hasher);
        if let WorkBody::Whole(bytes) = &self.body {
            bytes.hash(&mut hasher);
        }
        hasher.finish()
    }
}

/// Body of a caller's request.
#[derive(Debug)]
pub enum WorkBody {
    /// The whole body.
    Whole(Bytes),
    /// A body that is read from the caller while it is handed on.
    Streamed(Streamed),
}

/// Body that is read from the caller while it is handed on.
#[derive(Debug)]
pub struct Streamed {
    /// What was read already.
    pub prefix: Bytes,
    /// What wasn't; taken by the dispatch that is started.
    pub rest: Option<Incoming>,
    /// Largest whole body, in bytes.
    pub bytes_max: u64,
}
