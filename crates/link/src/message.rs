//! Messages of a link.

use std::time::Duration;

use chervilledge_policy::code::Code;
use chervilledge_policy::id::{BootId, Name, RequestId};
use chervilledge_policy::membership::{Announcement, Heartbeat, Load};
use chervilledge_policy::request::{Origin, Outcome};
use chervilledge_policy::rollout::Stamp;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::task::{TaskCommand, TaskReport};

/// Version of the messages; a peer with another version is refused.
pub const VERSION: u16 = 2;

/// Bytes of an answer or of a request body that may be under way without a [`ToAgent::Window`] or
/// [`Reply::Window`].
pub const WINDOW_BYTES: u64 = 256 * 1024;

/// Largest part of a body in one message, in bytes.
pub const CHUNK_BYTES: usize = 32 * 1024;

/// Header field of a request or an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Name of the field, in lower case.
    pub name: String,
    /// Value of the field, which needn't be UTF-8.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// Message from an agent to an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToEntry {
    /// First message of a link.
    Hello(Box<Hello>),
    /// State of the worker, at a fixed interval and when it changes.
    Heartbeat(Heartbeat),
    /// What became of a request.
    Request(Reply),
    /// Report on batch tasks of the worker.
    Tasks(Vec<TaskReport>),
    /// Highest configuration version that the agent enforces, after a change.
    Enforced(Stamp),
    /// The agent lacks the documents of the version that was announced.
    WantConfiguration,
    /// Answer to [`ToAgent::WantConfiguration`].
    Configuration(Configuration),
}

/// Message from an entry to an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToAgent {
    /// Answer to [`Hello`].
    Welcome(Welcome),
    /// The link is refused.
    Refused(Code),
    /// Sign of life at a fixed interval.
    Heartbeat {
        /// Strictly increasing within a link.
        sequence: u64,
    },
    /// Heartbeats were missed: the next one is to give every field.
    WholeHeartbeat,
    /// Request to run.
    Start(Box<Start>),
    /// Part of a streamed request body.
    Body(BodyChunk),
    /// End of a streamed request body.
    BodyEnd {
        /// Identifier of the request.
        request: RequestId,
        /// Length of the whole body, in bytes.
        total_bytes: u64,
    },
    /// The answer is no longer wanted.
    Cancel {
        /// Identifier of the request.
        request: RequestId,
    },
    /// Question about a request after its link was lost; answers from now on carry the epoch.
    Ask {
        /// Request and number of the question.
        origin: Origin,
        /// Start of the agent that was given the request.
        agent: BootId,
    },
    /// Further bytes of the answer may be sent.
    Window {
        /// Identifier of the request.
        request: RequestId,
        /// Bytes that may be sent beyond those allowed before.
        bytes: u64,
    },
    /// Commands for batch tasks of the worker.
    Tasks(Vec<TaskCommand>),
    /// Highest configuration version that the entry enforces, after a change; its documents go to whoever lacks them.
    Enforced(Stamp),
    /// The entry lacks the documents of the version that was announced.
    WantConfiguration,
    /// Answer to [`ToEntry::WantConfiguration`].
    Configuration(Configuration),
    /// Entries known to this one, after a change.
    Entries(Vec<EntryAddress>),
    /// The worker is to drain.
    Drain,
}

/// First message of a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// Version of the messages.
    pub version: u16,
    /// Announcement of the worker.
    pub announcement: Announcement,
    /// State of the worker, counted as heartbeat 0 of the link.
    pub load: Load,
    /// Highest configuration version that the agent enforces.
    pub enforced: Option<Stamp>,
}

/// Answer to an accepted [`Hello`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Welcome {
    /// Start of the entry.
    pub entry: BootId,
    /// Entries known to this one, for further links.
    pub entries: Vec<EntryAddress>,
    /// Highest configuration version that the entry enforces.
    pub enforced: Option<Stamp>,
}

/// Where an entry accepts links.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryAddress {
    /// Start of the entry.
    pub entry: BootId,
    /// Failure domain of the entry.
    pub failure_domain: Name,
    /// Address of the link listener, as `IP:PORT`.
    pub address: String,
}

/// Body of a request in [`Start`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum StartBody {
    /// The whole body.
    Inline(#[serde(with = "serde_bytes")] Vec<u8>),
    /// The body follows in [`ToAgent::Body`] after [`Reply::Started`].
    Streamed {
        /// Length announced by the caller, in bytes.
        length_bytes: Option<u64>,
    },
}

/// Request to run.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Start {
    /// Identifier of the request.
    pub request: RequestId,
    /// Time that the caller still waits, counted from the receipt of the message.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining_ms: Duration,
    /// Whether the request may be shed before others.
    pub sheddable: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields to pass on.
    pub headers: Vec<Header>,
    /// Start of the agent that is meant; another start refuses the request.
    pub agent: BootId,
    /// Body of the request.
    pub body: StartBody,
}

/// What became of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Reply {
    /// The backend server is given the request; a streamed body may be sent.
    Started {
        /// Identifier of the request.
        request: RequestId,
    },
    /// The request wasn't started, and never will be under this identifier.
    NotStarted {
        /// Identifier of the request.
        request: RequestId,
        /// Reason of the refusal.
        code: Code,
        /// Time after which the worker may have room, in milliseconds.
        retry_after_ms: u32,
    },
    /// Short answer in one message.
    Whole {
        /// Request that is answered.
        origin: Origin,
        /// HTTP status.
        status: u16,
        /// Header fields to pass on.
        headers: Vec<Header>,
        /// Whole body, at most [`CHUNK_BYTES`] long.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Status and header fields of the answer.
    Head {
        /// Request that is answered.
        origin: Origin,
        /// HTTP status.
        status: u16,
        /// Header fields to pass on.
        headers: Vec<Header>,
        /// Length of the body as announced by the backend server.
        length_bytes: Option<u64>,
    },
    /// Part of the body of the answer.
    Chunk {
        /// Request that is answered.
        origin: Origin,
        /// Position of the first byte in the whole body.
        offset_bytes: u64,
        /// The bytes.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// End of a whole answer.
    End {
        /// Request that is answered.
        origin: Origin,
        /// Length of the whole body, in bytes.
        total_bytes: u64,
    },
    /// The request was started and its answer is lost or broken.
    Broken {
        /// Request that was to be answered.
        origin: Origin,
        /// What happened to the answer.
        code: Code,
    },
    /// Answer to [`ToAgent::Ask`].
    Outcome {
        /// Request and number of the question.
        origin: Origin,
        /// What the agent knows of the request.
        outcome: Outcome,
    },
    /// Further bytes of the request body may be sent.
    Window {
        /// Identifier of the request.
        request: RequestId,
        /// Bytes that may be sent beyond those allowed before.
        bytes: u64,
    },
}

impl Reply {
    /// Identifier of the request that the reply belongs to.
    #[must_use]
    pub const fn request(&self) -> RequestId {
        match self {
            Self::Started { request } | Self::NotStarted { request, .. } | Self::Window { request, .. } => *request,
            Self::Whole { origin, .. }
            | Self::Head { origin, .. }
            | Self::Chunk { origin, .. }
            | Self::End { origin, .. }
            | Self::Broken { origin, .. }
            | Self::Outcome { origin, .. } => origin.id,
        }
    }
}

/// Part of a request body.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BodyChunk {
    /// Identifier of the request.
    pub request: RequestId,
    /// Position of the first byte in the whole body.
    pub offset_bytes: u64,
    /// The bytes.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// Accepted configuration as carried by links.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Version and checksum.
    pub stamp: Stamp,
    /// The accepted version with its documents, as JSON.
    pub accepted: Name,
}
