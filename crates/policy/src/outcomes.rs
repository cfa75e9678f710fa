//! Outcomes of the requests that an agent ran, refused or was queried about.

use std::collections::VecDeque;
use std::time::Duration;

use crate::code::Code;
use crate::collections::Map;
use crate::id::{BootId, RequestId};

/// Outcome of a request at the agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request never ran and will never start.
    NeverStarted {
        /// Reason.
        code: Code,
    },
    /// The request was handed to the backend server.
    Ran {
        /// Query epoch at which sending of its answer began, if it did.
        answered_epoch: Option<u32>,
    },
}

/// Bounds on the outcomes kept.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Retention time of an outcome.
    pub keep_for: Duration,
    /// Maximum number of outcomes kept.
    pub outcomes_max: usize,
    /// Maximum number of entries whose floors are kept; at least 1.
    pub entries_max: usize,
}

/// Highest sequence number of an entry's requests whose outcome was dropped.
#[derive(Clone, Copy, Debug)]
struct Floor {
    sequence: u64,
    raised_at: Duration,
}

/// Outcomes by request, bounded in number and time.
///
/// Dropping an outcome raises the floor of its entry: no request of that entry up to the dropped sequence number is
/// treated as new. A request reported as *not started* can therefore never start, however long its dispatch is delayed.
#[derive(Clone, Debug)]
pub struct Outcomes {
    bounds: Bounds,
    /// Every key occurs once in `order`.
    kept: Map<RequestId, Outcome>,
    /// Requests in the order in which their outcomes were recorded.
    order: VecDeque<(Duration, RequestId)>,
    floors: Map<BootId, Floor>,
    /// Greatest entry boot whose floor was dropped; boots up to it that have no floor count as forgotten entirely.
    dropped_boot: Option<BootId>,
}

impl Outcomes {
    /// Creates an empty collection.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, kept: Map::default(), order: VecDeque::new(), floors: Map::default(), dropped_boot: None }
    }

    /// Replaces the bounds; they apply from the next outcome on.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Returns the outcome of a request, if kept.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<Outcome> {
        self.kept.get(&id).copied()
    }

    /// Returns whether the outcome of a request that isn't kept may have been dropped.
    #[must_use]
    pub fn is_forgotten(&self, id: RequestId) -> bool {
        match self.floors.get(&id.entry) {
            Some(floor) => id.sequence <= floor.sequence,
            None => self.dropped_boot.is_some_and(|dropped| id.entry <= dropped),
        }
    }

    /// Records an outcome unless the request already has one.
    pub fn record(&mut self, now: Duration, id: RequestId, outcome: Outcome) {
        if self.kept.contains_key(&id) {
            return;
        }
        self.kept.insert(id, outcome);
        self.order.push_back((now, id));
        self.trim(now);
    }

    /// Drops outcomes that exceed the bounds.
    pub fn trim(&mut self, now: Duration) {
        while let Some(&(recorded, id)) = self.order.front() {
            let expired = now.saturating_sub(recorded) >= self.bounds.keep_for;
            if !expired && self.order.len() <= self.bounds.outcomes_max {
                break;
            }
            self.order.pop_front();
            self.kept.remove(&id);
            self.raise_floor(now, id);
        }
    }

    fn raise_floor(&mut self, now: Duration, id: RequestId) {
        let floor = self.floors.entry(id.entry).or_insert(Floor { sequence: id.sequence, raised_at: now });
        floor.sequence = floor.sequence.max(id.sequence);
        floor.raised_at = now;
        if self.floors.len() > self.bounds.entries_max {
            self.drop_floor();
        }
    }

    fn drop_floor(&mut self) {
        let oldest = self.floors.iter().min_by_key(|(boot, floor)| (floor.raised_at, **boot)).map(|(boot, _)| *boot);
        if let Some(boot) = oldest {
            self.floors.remove(&boot);
            self.dropped_boot = self.dropped_boot.max(Some(boot));
        }
    }

    /// Returns the number of kept outcomes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Returns whether no outcome is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}
