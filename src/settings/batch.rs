//! Settings of batch work, the same for all processes of a site.

use std::time::Duration;

use chervilledge_policy::lease::Terms;
use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::settings::{Fault, push_if};

/// Settings of batch work.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Batch {
    /// Terms of leases. Entries tell agents theirs; every entry of a site has the same.
    pub lease: Terms,
    /// Parts of the queue that entries own. Every entry of a site has the same, and it never changes.
    pub shard_count: u32,
    /// Claims of one entry that wait for the table or for an agent's answer, at most.
    pub claims_in_flight_max: usize,
    /// Time for which claims and completions are gathered into one transaction.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub commit_gather_ms: Duration,
    /// Time for which renewals are gathered into one transaction.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub renew_gather_ms: Duration,
    /// Time between two looks at the table.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub poll_interval_ms: Duration,
    /// Time between two steps of an entry's or an agent's batch work.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub tick_ms: Duration,
    /// Window over which an agent takes the 99th percentile of request latency.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub latency_window_ms: Duration,
    /// Requests in that window below which an agent concludes nothing from it.
    pub latency_requests_min: u64,
    /// Evictions to protect request latency, in thousandths of task starts; 0 only throttles.
    pub evictions_max_permille: u64,
    /// Time after which workers that haven't linked up count as absent, for naming tasks that can never run.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub full_look_ms: Duration,
}

impl Default for Batch {
    fn default() -> Self {
        Self {
            lease: Terms::default(),
            shard_count: 16,
            claims_in_flight_max: 512,
            commit_gather_ms: Duration::from_millis(20),
            renew_gather_ms: Duration::from_millis(300),
            poll_interval_ms: Duration::from_millis(500),
            tick_ms: Duration::from_millis(100),
            latency_window_ms: Duration::from_secs(2),
            latency_requests_min: 20,
            evictions_max_permille: 10,
            full_look_ms: Duration::from_secs(30),
        }
    }
}

impl Batch {
    pub(crate) fn faults(&self, faults: &mut Vec<Fault>) {
        let lease = &self.lease;
        push_if(
            faults,
            lease.checkpoint_ahead + lease.renew_every >= lease.length,
            "$.batch.lease",
            "checkpoint_ahead_ms and renew_every_ms together aren't less than length_ms",
        );
        push_if(faults, lease.margin.is_zero(), "$.batch.lease.margin_ms", "is zero");
        push_if(faults, self.shard_count == 0, "$.batch.shard_count", "is zero");
        push_if(faults, self.tick_ms.is_zero(), "$.batch.tick_ms", "is zero");
        push_if(faults, self.poll_interval_ms.is_zero(), "$.batch.poll_interval_ms", "is zero");
        push_if(
            faults,
            self.poll_interval_ms * 4 > lease.length,
            "$.batch.poll_interval_ms",
            "is more than a quarter of the lease's length",
        );
    }
}
