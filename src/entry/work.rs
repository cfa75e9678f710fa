//! The parts of a caller's request that are forwarded to an agent.

use std::hash::{Hash, Hasher};

use chervilledge_link::message::Header;
use chervilledge_policy::id::Name;
use chervilledge_policy::retry;
use hyper::body::Incoming;
use rustc_hash::FxHasher;

use crate::entry::bodies::Held;

/// Parts of a caller's request that are forwarded to an agent.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// Service that answers the request.
    pub service: Name,
    /// HTTP method.
    pub method: String,
    /// Path and query at the backend server.
    pub target: String,
    /// Header fields to forward.
    pub headers: Vec<Header>,
    /// Whether the request is shed before others under overload.
    pub sheddable: bool,
    /// Retry limits of the service.
    pub retry: retry::Settings,
    /// Body of the request.
    pub body: ForwardedBody,
}

impl ForwardedRequest {
    /// Checksum that tells a repeated request from a different one with the same idempotency key.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = FxHasher::default();
        (&*self.service, &self.method, &self.target).hash(&mut hasher);
        if let ForwardedBody::Whole(bytes) = &self.body {
            bytes.hash(&mut hasher);
        }
        hasher.finish()
    }
}

/// Body of a caller's request.
#[derive(Debug)]
pub enum ForwardedBody {
    /// The whole body.
    Whole(Held),
    /// A body that is read from the caller while it is forwarded.
    Streamed(StreamedBody),
}

/// Body that is read from the caller while it is forwarded.
#[derive(Debug)]
pub struct StreamedBody {
    /// Bytes already read; taken together with the rest.
    pub prefix: Option<Held>,
    /// Rest of the body; taken by the dispatch that the agent starts.
    pub rest: Option<Incoming>,
    /// Maximum length of the whole body, in bytes.
    pub bytes_max: u64,
}
