//! Answer to `GET /status`: which version is in force, and where it isn't yet.

use std::time::Duration;

use chervilledge_policy::rollout::{Contradiction, FleetVersions, Laggard, Rollout, Stamp};
use serde::{Deserialize, Serialize};

/// State of the rollout as one entry sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Status {
    /// Version that the entry enforces; none if it has learnt no accepted version.
    pub enforced: Option<Stamp>,
    /// Refused configuration that carries the enforced version with other documents.
    pub contradiction: Option<Contradiction>,
    /// Processes that reported to the entry.
    pub processes: usize,
    /// Processes that don't enforce the entry's version yet.
    pub laggards: Vec<Laggard>,
}

impl Status {
    /// Compares the processes known to an entry with the version that it enforces.
    #[must_use]
    pub fn new(now: Duration, rollout: &Rollout, fleet: &FleetVersions) -> Self {
        let enforced = rollout.enforced();
        Self {
            enforced,
            contradiction: rollout.contradiction(),
            processes: fleet.len(),
            laggards: enforced.map(|target| fleet.laggards(now, target)).unwrap_or_default(),
        }
    }
}
