//! Configuration that is in force at one site.
//!
//! Times, sizes and shares carry their unit in the name of the field, in the documents as in the code. Maps are
//! ordered by name, so that the same configuration always has the same text.

use std::collections::BTreeMap;
use std::time::Duration;

use chervilledge_policy::capacity::Resources;
use chervilledge_policy::id::Name;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// Whole configuration of one site: the base document with the site's overlay.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Latency-critical services by name.
    pub services: BTreeMap<Name, Service>,
    /// Teams that submit batch jobs, by name.
    pub teams: BTreeMap<Name, Team>,
    /// Kinds of batch tasks by name.
    pub batch_kinds: BTreeMap<Name, BatchKind>,
    /// Bounds that protect request latency from batch tasks.
    pub colocation: Colocation,
    /// Sites by name; overlays leave them as they are.
    pub sites: BTreeMap<Name, Site>,
}

/// Latency-critical service.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Rank when requests are shed, 0 to 9; the lowest is shed first.
    pub priority: u8,
    /// Latency that the 99th percentile of requests should keep.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub latency_target_ms: Duration,
    /// Workers of the site that run a backend server of the service.
    pub workers: u32,
    /// Requests that one backend server runs at the same time.
    pub slots: u32,
    /// Connections that one backend server accepts; at least one for each slot.
    pub connections: u32,
    /// HTTP methods whose requests may run more than once.
    pub idempotent_methods: Vec<Name>,
    /// Retries allowed, as a share of the first attempts.
    pub retry_budget_percent: u8,
    /// Requests that may wait for one backend server.
    pub queue_limit: u32,
    /// Longest time that a request may wait for a slot.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub queue_wait_ms: Duration,
    /// Largest request body.
    pub request_body_limit_bytes: u64,
}

/// Team that submits batch jobs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// What the team's running tasks may hold together at the site.
    pub quota: Quota,
}

/// Bound on what the running tasks of one team hold together.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Processor time, in thousandths of a core.
    pub processor_millicores: u64,
    /// Memory, in bytes.
    pub memory_bytes: u64,
    /// Whole accelerators.
    pub accelerators: u32,
    /// Tasks that run at the same time.
    pub running_tasks: u32,
}

impl Quota {
    /// The divisible resources of the quota.
    #[must_use]
    pub fn resources(&self) -> Resources {
        Resources {
            processor_millicores: self.processor_millicores,
            memory_bytes: self.memory_bytes,
            accelerators: self.accelerators,
        }
    }
}

/// Kind of batch task.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BatchKind {
    /// Declared size of one task.
    pub resources: Resources,
    /// Declared run time of one task; a prior that measurements correct.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub run_time_ms: Duration,
    /// Time between two checkpoints.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub checkpoint_interval_ms: Duration,
    /// The task may be slowed down to protect request latency.
    pub may_throttle: bool,
    /// The task may be evicted after a checkpoint to protect request latency.
    pub may_evict: bool,
    /// Workers on which a task may fail before it stops with its reason.
    pub worker_attempts: u32,
}

/// Bounds that protect request latency from batch tasks.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Colocation {
    /// Latency, as a share of the target, below which a throttled task returns; lower than the throttle threshold.
    pub resume_at_percent: u32,
    /// Latency, as a share of the target, from which batch tasks are throttled.
    pub throttle_at_percent: u32,
    /// Latency, as a share of the target, from which batch tasks are evicted; higher than the throttle threshold.
    pub evict_at_percent: u32,
    /// Time for which a threshold must be passed before it counts.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub hold_ms: Duration,
    /// Evictions that one worker may carry out in an hour.
    pub evictions_per_hour: u32,
}

/// Site with its workers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Failure domains of the site.
    pub failure_domains: Vec<Name>,
    /// Workers of the site by the name of their shape.
    pub worker_shapes: BTreeMap<Name, WorkerShape>,
}

/// Workers of one size.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WorkerShape {
    /// Number of workers of this shape.
    pub workers: u32,
    /// Workers in one rack.
    pub workers_per_rack: u32,
    /// The platform's guards against overuse are enabled on these workers.
    pub guards: bool,
    /// What one worker can hold.
    pub resources: Resources,
}
