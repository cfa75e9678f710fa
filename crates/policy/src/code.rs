//! Numbered result codes, used in answers to callers, on links, in logs and by the operators' command.
//!
//! `docs/ERRORS.md` holds the table; a test compares it with [`Code::ALL`]. Numbers are stable: a code that is no
//! longer used keeps its number.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! codes {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $text:literal;)*) => {
        /// Reason for a refusal, a failure or an action of the scheduler.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(into = "u16", try_from = "u16")]
        pub enum Code {
            $($(#[$doc])* $variant,)*
        }

        impl Code {
            /// Every code, in the order of its number.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)*];

            /// Stable number of the code.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$variant => $number,)* }
            }

            /// One line that names the reason.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$variant => $text,)* }
            }
        }
    };
}

codes! {
    // 1000 to 1999: answers to callers.
    /// The request names no configured service.
    UnknownService = 1001, "unknown service";
    /// No backend server of the service can take the request now.
    NoBackendServer = 1002, "no backend server available";
    /// The service is over its capacity.
    Overloaded = 1003, "service overloaded";
    /// The deadline passed before the request was started.
    DeadlineBeforeStart = 1004, "deadline passed before start";
    /// The backend server may have run the request; its answer was lost.
    OutcomeUnknown = 1005, "outcome unknown";
    /// The request body exceeds the limit.
    BodyTooLarge = 1006, "request body too large";
    /// The request head exceeds the limit or is malformed.
    BadRequest = 1007, "malformed request";
    /// The process is draining.
    Draining = 1008, "draining";
    /// The idempotency key can't be claimed while the platform is away.
    KeyUnavailable = 1009, "idempotency key can't be claimed";
    /// The idempotency key belongs to another request.
    KeyInUse = 1010, "idempotency key already in use";
    /// The process has no accepted configuration.
    NoConfiguration = 1011, "no accepted configuration";
    /// An earlier request with the idempotency key was answered.
    KeyAnswered = 1012, "earlier request with the idempotency key was answered";
    /// The work ahead of the job leaves it no time to be of use.
    BacklogTooLong = 1013, "backlog too long";
    // 2000 to 2999: links between entry and agent.
    /// The peer speaks a version that isn't supported.
    LinkVersion = 2001, "unsupported link version";
    /// The shared secret of the peer isn't valid.
    LinkSecret = 2002, "invalid link secret";
    /// A frame can't be decoded.
    LinkFrame = 2003, "malformed frame";
    /// The link was silent past its bound.
    LinkSilent = 2004, "link silent";
    /// The connection of the link ended.
    LinkClosed = 2005, "link closed";
    /// A newer start of the same agent is known.
    LinkBoot = 2006, "newer start of the agent known";
    // 3000 to 3999: batch tasks.
    /// No worker could ever hold the task.
    Unschedulable = 3001, "no worker can ever hold the task";
    /// The worker lacks the resources now.
    ResourcesExhausted = 3002, "worker has no room";
    /// The task failed on as many workers as allowed.
    FailedEverywhere = 3003, "task failed on several workers";
    /// The task was cancelled.
    Cancelled = 3004, "cancelled";
    /// The lease ended before it could be renewed.
    LeaseEnded = 3005, "lease ended";
    /// The epoch of a message is older than the task's.
    StaleEpoch = 3006, "stale epoch";
    /// The task was evicted to protect request latency.
    EvictedForLatency = 3007, "evicted to protect request latency";
    /// The task was throttled to protect request latency.
    ThrottledForLatency = 3008, "throttled to protect request latency";
    /// A task that can be neither repeated nor fenced lost its lease; how far it got isn't known.
    TaskOutcomeUnknown = 3009, "outcome of the task unknown";
    /// The state of the task doesn't allow the change.
    WrongTaskState = 3010, "change not allowed in the task's state";
    /// The agent hasn't taken stock of its worker yet.
    StockNotTaken = 3011, "worker's stock not taken";
    /// The task is larger than the team's whole quota.
    QuotaTooSmall = 3012, "task larger than the team's quota";
    /// The task was stopped without a new checkpoint to protect request latency.
    StoppedForLatency = 3013, "stopped to protect request latency";
    /// Request latency has recovered.
    LatencyRecovered = 3014, "request latency has recovered";
    /// The worker couldn't start the task.
    TaskStartFailed = 3021, "task failed to start";
    /// A job with the same key was submitted with other content.
    JobKeyInUse = 3022, "job key already in use";
    /// No job or task has the identifier.
    UnknownJob = 3023, "unknown job or task";
    /// The task was resumed under another entry's lease.
    LeaseHandedOver = 3024, "claim handed over to another entry's lease";
    // 4000 to 4999: configuration.
    /// The configuration has faults.
    ConfigurationInvalid = 4001, "configuration has faults";
    /// Another plan was accepted first.
    PlanConflict = 4002, "another plan was accepted first";
    /// Two configurations carry the same version with different checksums.
    VersionContradiction = 4003, "two configurations carry one version";
    /// The documents exceed the size that one row may hold.
    DocumentTooLarge = 4004, "documents too large";
    /// The plan doesn't belong to the documents sent with it.
    PlanMismatch = 4005, "plan doesn't match the documents";
    /// The history doesn't hold the version.
    UnknownVersion = 4006, "version not in the history";
    /// A document isn't JSON.
    NotJson = 4101, "not JSON";
    /// A field isn't part of the configuration.
    UnknownField = 4102, "unknown field";
    /// A required field is absent.
    MissingField = 4103, "missing field";
    /// A value has the wrong type or unit.
    WrongType = 4104, "wrong type";
    /// A value lies outside its range.
    OutOfRange = 4105, "out of range";
    /// An overlay belongs to no site of the base document.
    UnknownSite = 4106, "unknown site";
    /// An overlay names a service, team or batch kind that the base document lacks.
    UnknownName = 4107, "name absent from the base document";
    /// The quotas of all teams exceed what the site's workers hold.
    QuotaExceedsSite = 4108, "quotas exceed the site's workers";
    /// No worker of the site could ever hold what is declared.
    ExceedsWorker = 4109, "exceeds every worker of the site";
    /// Two values contradict each other.
    Contradiction = 4110, "values contradict each other";
    /// A key occurs twice in one object, or a value twice in one list.
    Duplicate = 4111, "duplicate";
    // 5000 to 5999: the platform.
    /// The platform refused the call or can't be reached; nothing was written.
    PlatformUnavailable = 5001, "platform unavailable";
    /// The outcome of a write isn't known yet.
    WriteUnknown = 5002, "outcome of a write unknown";
    /// Another write changed the row first; nothing was written.
    WriteConflict = 5003, "row changed by another write";
    /// The platform and this process don't understand each other.
    PlatformInvalid = 5004, "invalid call to the platform";
    // 6000 to 6999: command line and settings.
    /// The command line is wrong.
    Usage = 6001, "wrong usage";
    /// The settings file has faults.
    SettingsInvalid = 6002, "settings have faults";
    /// The operator's secret is absent or isn't valid.
    OperatorSecret = 6003, "invalid operator secret";
    /// The listener has no such route.
    UnknownRoute = 6004, "unknown route";
    /// The route exists, but not for this method.
    MethodNotAllowed = 6005, "method not allowed";
    /// The operator's request exceeds a limit of the listener.
    RequestTooLarge = 6006, "request too large";
    /// The operator's request took longer than the listener allows.
    RequestTimeout = 6007, "request timeout";
    /// The operator's request is malformed.
    RequestMalformed = 6008, "malformed request";
    /// The entry can't be reached or broke off its answer.
    EntryUnreachable = 6009, "entry unreachable";
    /// A file can't be read.
    FileUnreadable = 6010, "file unreadable";
    /// The entry has no link to the worker.
    UnknownWorker = 6011, "no link to the worker";
    /// The entry doesn't remember the request.
    UnknownRequest = 6012, "request not remembered";
}

/// A number that belongs to no code.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnknownCode(pub u16);

impl fmt::Display for UnknownCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no result code has the number {}", self.0)
    }
}

impl std::error::Error for UnknownCode {}

impl From<Code> for u16 {
    fn from(code: Code) -> Self {
        code.number()
    }
}

impl TryFrom<u16> for Code {
    type Error = UnknownCode;

    fn try_from(number: u16) -> Result<Self, Self::Error> {
        Self::ALL.iter().copied().find(|code| code.number() == number).ok_or(UnknownCode(number))
    }
}

impl fmt::Display for Code {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.text(), self.number())
    }
}
