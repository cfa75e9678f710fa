//! Settings of the processes of a cell.

use std::net::SocketAddr;
use std::time::Duration;

use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

/// Longest useful lease of a worker: it must cover a restart of the agent, and the tasks of a lost worker wait that
/// long.
pub const LEASE_MAX: Duration = Duration::from_secs(5);

/// Settings of an entry.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name, unique among entries.
    pub name: Name,
    /// Address on which links are accepted.
    pub links_address: SocketAddr,
    /// Share of a core that the entry has; of two entries that could place, the one with the larger share does.
    pub processor_share: f64,
    /// Longest lease that a worker grants to its runs.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "worker_lease_max_ms")]
    pub worker_lease_max: Duration,
    /// Time after its acceptance within which a configuration must be in force.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "configuration_apply_ms")]
    pub configuration_apply: Duration,
    /// Time after the request within which starts in an evacuated failure domain must cease; absent where no domain is
    /// ever evacuated.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "evacuation_apply_ms")]
    pub evacuation_apply: Option<Duration>,
    /// Time after its acceptance within which a cancellation must stop the tasks of a job.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cancellation_apply_ms")]
    pub cancellation_apply: Duration,
    /// How long the state of an ended job is kept.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "ended_jobs_kept_s")]
    pub ended_jobs_kept: Duration,
    /// Time between SIGTERM and SIGKILL.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "stop_timeout_s")]
    pub stop_timeout: Duration,
}

impl Entry {
    /// Time within which a change of the operator's rows must be known.
    ///
    /// This is half of the time for an evacuation; the rest is needed for starts that were ordered before to be refused
    /// or acknowledged.
    #[must_use]
    pub fn operator_rows_known(&self) -> Duration {
        self.evacuation_apply.map_or(self.configuration_apply, |apply| self.configuration_apply.min(apply / 2))
    }

    /// Lease that the placer grants.
    #[must_use]
    pub fn lease(&self) -> Duration {
        self.worker_lease_max.min(LEASE_MAX)
    }
}

/// Longest lease of a worker where the agent's settings don't tell: the users' `max_hold_ms`.
const fn worker_lease_max() -> Duration {
    Duration::from_secs(10)
}

/// Settings of an agent.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Name, unique among agents.
    pub name: Name,
    /// Address on which links are accepted.
    pub links_address: SocketAddr,
    /// Longest lease that the worker grants to its runs.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "worker_lease_max", rename = "worker_lease_max_ms")]
    pub worker_lease_max: Duration,
    /// Time that a serving run has to stay over its latency target for users to count it as harmed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "latency_harm_after_ms")]
    pub latency_harm_after: Duration,
    /// Time between SIGTERM and SIGKILL, for most of which the agent goes on; without it the agent stops at once.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(default, rename = "stop_timeout_s")]
    pub stop_timeout: Duration,
}
