//! Messages exchanged on a link.

use std::time::Duration;

use chervilledge_policy::code::Code;
use chervilledge_policy::id::{BootId, Name, RequestId};
use chervilledge_policy::membership::{Announcement, Heartbeat, Load};
use chervilledge_policy::request::{Origin, Outcome};
use chervilledge_policy::rollout::Stamp;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::task::{TaskCommand, TaskReport};

/// Protocol version; a peer with a different version is refused.
pub const VERSION: u16 = 2;

/// Initial flow control window: bytes of a response body or request body that may be sent before the first
/// [`ToAgent::Window`] or [`Reply::Window`].
pub const WINDOW_BYTES: u64 = 256 * 1024;

/// Maximum size of a body chunk in one message, in bytes.
pub const CHUNK_BYTES: usize = 32 * 1024;

/// Header field of a request or a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Header {
    /// Field name, in lower case.
    pub name: String,
    /// Field value, not necessarily UTF-8.
    #[serde(with = "serde_bytes")]
    pub value: Vec<u8>,
}

/// Message from an agent to an entry.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToEntry {
    /// First message of a link.
    Hello(Box<Hello>),
    /// Worker state, sent at a fixed interval and on change.
    Heartbeat(Heartbeat),
    /// Progress, response or outcome of a request.
    Request(Reply),
    /// Reports on the worker's batch tasks.
    Tasks(Vec<TaskReport>),
    /// Highest configuration version that the agent enforces, sent on change.
    Enforced(Stamp),
    /// Requests the documents of the announced version, which the agent doesn't have.
    WantConfiguration,
    /// Response to [`ToAgent::WantConfiguration`].
    Configuration(Configuration),
}

/// Message from an entry to an agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum ToAgent {
    /// Response to [`Hello`].
    Welcome(Welcome),
    /// The link is refused.
    Refused(Code),
    /// Heartbeat of the entry, sent at a fixed interval.
    Heartbeat {
        /// Strictly increasing within a link.
        sequence: u64,
    },
    /// The entry missed heartbeats; the agent's next heartbeat must contain every field.
    WholeHeartbeat,
    /// Starts a request on the worker.
    Start(Box<Start>),
    /// Chunk of a streamed request body.
    Body(BodyChunk),
    /// End of a streamed request body.
    BodyEnd {
        /// Identifier of the request.
        request: RequestId,
        /// Total length of the body, in bytes.
        total_bytes: u64,
    },
    /// Cancels the request: the response is no longer needed.
    Cancel {
        /// Identifier of the request.
        request: RequestId,
    },
    /// Queries a request after its link was lost; replies from then on carry the query's epoch.
    Ask {
        /// Request and epoch of the query.
        origin: Origin,
        /// Boot ID of the agent that the request was sent to.
        agent: BootId,
    },
    /// Extends the flow control window of the response body.
    Window {
        /// Identifier of the request.
        request: RequestId,
        /// Number of bytes added to the window.
        bytes: u64,
    },
    /// Commands for the worker's batch tasks.
    Tasks(Vec<TaskCommand>),
    /// Highest configuration version that the entry enforces, sent on change; agents request missing documents.
    Enforced(Stamp),
    /// Requests the documents of the announced version, which the entry doesn't have.
    WantConfiguration,
    /// Response to [`ToEntry::WantConfiguration`].
    Configuration(Configuration),
    /// Entries that this entry knows, sent on change.
    Entries(Vec<EntryAddress>),
    /// Tells the worker to drain.
    Drain,
}

/// First message of a link.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Hello {
    /// Protocol version.
    pub version: u16,
    /// Announcement of the worker.
    pub announcement: Announcement,
    /// Worker state; counts as heartbeat 0 of the link.
    pub load: Load,
    /// Highest configuration version that the agent enforces.
    pub enforced: Option<Stamp>,
}

/// Response to an accepted [`Hello`].
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Welcome {
    /// Boot ID of the entry.
    pub entry: BootId,
    /// Entries that this entry knows, so that the agent can open links to them.
    pub entries: Vec<EntryAddress>,
    /// Highest configuration version that the entry enforces.
    pub enforced: Option<Stamp>,
}

/// Address at which an entry accepts links.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryAddress {
    /// Boot ID of the entry.
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
    /// The body is sent in [`ToAgent::Body`] messages after [`Reply::Started`].
    Streamed {
        /// Content length declared by the caller, in bytes.
        length_bytes: Option<u64>,
    },
}

/// Request to be run by the backend server.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Start {
    /// Identifier of the request.
    pub request: RequestId,
    /// Time until the caller's deadline, measured from receipt of this message.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining_ms: Duration,
    /// Whether the request may be shed before others under load.
    pub sheddable: bool,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header fields to forward.
    pub headers: Vec<Header>,
    /// Boot ID of the target agent; an agent with a different boot ID refuses the request.
    pub agent: BootId,
    /// Body of the request.
    pub body: StartBody,
}

/// Progress, response or outcome of a request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum Reply {
    /// The request is being sent to the backend server; a streamed body may follow.
    Started {
        /// Identifier of the request.
        request: RequestId,
    },
    /// The request wasn't started and will never be started under this identifier.
    NotStarted {
        /// Identifier of the request.
        request: RequestId,
        /// Reason of the refusal.
        code: Code,
        /// Time after which the worker may have capacity, in milliseconds.
        retry_after_ms: u32,
    },
    /// Complete short response in one message.
    Whole {
        /// Request that this replies to.
        origin: Origin,
        /// HTTP status.
        status: u16,
        /// Header fields to forward.
        headers: Vec<Header>,
        /// Complete body, at most [`CHUNK_BYTES`] long.
        #[serde(with = "serde_bytes")]
        body: Vec<u8>,
    },
    /// Status and header fields of a streamed response.
    Head {
        /// Request that this replies to.
        origin: Origin,
        /// HTTP status.
        status: u16,
        /// Header fields to forward.
        headers: Vec<Header>,
        /// Content length declared by the backend server, in bytes.
        length_bytes: Option<u64>,
    },
    /// Chunk of the response body.
    Chunk {
        /// Request that this replies to.
        origin: Origin,
        /// Offset of the first byte in the complete body.
        offset_bytes: u64,
        /// Content of the chunk.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// End of a complete response.
    End {
        /// Request that this replies to.
        origin: Origin,
        /// Total length of the body, in bytes.
        total_bytes: u64,
    },
    /// The request was started, but its response is lost or incomplete.
    Broken {
        /// Request whose response failed.
        origin: Origin,
        /// Reason of the failure.
        code: Code,
    },
    /// Response to [`ToAgent::Ask`].
    Outcome {
        /// Request and epoch of the query.
        origin: Origin,
        /// Outcome of the request as known to the agent.
        outcome: Outcome,
    },
    /// Extends the flow control window of the request body.
    Window {
        /// Identifier of the request.
        request: RequestId,
        /// Number of bytes added to the window.
        bytes: u64,
    },
}

impl Reply {
    /// Returns the identifier of the request that the reply belongs to.
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

/// Chunk of a request body.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BodyChunk {
    /// Identifier of the request.
    pub request: RequestId,
    /// Offset of the first byte in the complete body.
    pub offset_bytes: u64,
    /// Content of the chunk.
    #[serde(with = "serde_bytes")]
    pub bytes: Vec<u8>,
}

/// Accepted configuration as sent on links.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Configuration {
    /// Version and checksum.
    pub stamp: Stamp,
    /// The accepted version with its documents, as JSON.
    pub accepted: Name,
}
