//! Settings of the processes of a cell.

use std::net::SocketAddr;
use std::time::Duration;

use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, DurationSecondsWithFrac, serde_as};

/// Longest lease of a worker that is useful: an agent's restart must fit, and a lost worker's tasks wait that long.
pub const LEASE_MAX: Duration = Duration::from_secs(5);

/// Settings of an entry.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// Name, unique among entries.
    pub name: Name,
    /// Where links are taken.
    pub links_address: SocketAddr,
    /// Part of a core that the entry has; of two that could place, the one with more does.
    pub processor_share: f64,
    /// Longest lease that a worker grants its runs.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "worker_lease_max_ms")]
    pub worker_lease_max: Duration,
    /// Time after its acceptance within which a configuration is in force.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "configuration_apply_ms")]
    pub configuration_apply: Duration,
    /// Time after its request within which nothing starts in an evacuated failure domain any more; absent where no domain is
    /// evacuated.
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    #[serde(default, rename = "evacuation_apply_ms")]
    pub evacuation_apply: Option<Duration>,
    /// Time after its acceptance within which a cancellation stops the tasks of a job.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cancellation_apply_ms")]
    pub cancellation_apply: Duration,
    /// Time for which the state of an ended job is kept.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "ended_jobs_kept_s")]
    pub ended_jobs_kept: Duration,
    /// Time between SIGTERM and SIGKILL.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "stop_timeout_s")]
    pub stop_timeout: Duration,
}

impl Entry {
    /// Time within which a change of the operator's rows is known.
    ///
    /// That is half of the time for an evacuation: starts that were ordered before need the rest to be refused or taken.
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

/// Settings of an agent.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Agent {
    /// Name, unique among agents.
    pub name: Name,
    /// Where links are taken.
    pub links_address: SocketAddr,
    /// Time over its latency target after which users count a serving run as harmed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "latency_harm_after_ms")]
    pub latency_harm_after: Duration,
}
