//! Record of the requests that an agent ran, refused or was asked about.

use std::collections::VecDeque;
use std::time::Duration;

use crate::code::Code;
use crate::collections::Map;
use crate::id::{BootId, RequestId};

/// How a request left the agent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It never ran and will never start.
    NeverStarted {
        /// Why.
        code: Code,
    },
    /// It was handed to the backend server.
    Ran {
        /// Epoch at which its answer began to be sent, if one was.
        answered_epoch: Option<u32>,
    },
}

/// Bounds of the record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Time for which an outcome is kept.
    pub keep_for: Duration,
    /// Outcomes that are kept at most.
    pub outcomes_max: usize,
    /// Entries whose floor is kept at most; at least 1.
    pub entries_max: usize,
}

/// Largest sequence number of an entry whose outcome was dropped.
#[derive(Clone, Copy, Debug)]
struct Floor {
    sequence: u64,
    used: Duration,
}

/// Outcomes by request, bounded in number and time.
///
/// An outcome that is dropped leaves a floor behind: no request of the same entry up to its sequence number is taken
/// for a new one. So a request that was told *not started* can't start later, however long its dispatch was delayed.
#[derive(Clone, Debug)]
pub struct Outcomes {
    bounds: Bounds,
    /// Every key is in `order` once.
    kept: Map<RequestId, Outcome>,
    /// Requests in the order in which their outcomes were recorded.
    order: VecDeque<(Duration, RequestId)>,
    floors: Map<BootId, Floor>,
    /// Greatest entry start whose floor was dropped; starts up to it without a floor are forgotten whole.
    dropped_boot: Option<BootId>,
}

impl Outcomes {
    /// Makes an empty record.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, kept: Map::default(), order: VecDeque::new(), floors: Map::default(), dropped_boot: None }
    }

    /// Puts other bounds in force, from the next outcome on.
    pub fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Looks an outcome up.
    #[must_use]
    pub fn get(&self, id: RequestId) -> Option<Outcome> {
        self.kept.get(&id).copied()
    }

    /// Tells whether the outcome of a request that isn't kept may have been dropped.
    #[must_use]
    pub fn is_forgotten(&self, id: RequestId) -> bool {
        match self.floors.get(&id.entry) {
            Some(floor) => id.sequence <= floor.sequence,
            None => self.dropped_boot.is_some_and(|dropped| id.entry <= dropped),
        }
    }

    /// Records an outcome; the first one of a request stays.
    pub fn record(&mut self, now: Duration, id: RequestId, outcome: Outcome) {
        if self.kept.contains_key(&id) {
            return;
        }
        self.kept.insert(id, outcome);
        self.order.push_back((now, id));
        self.trim(now);
    }

    /// Drops outcomes past the bounds.
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
        let floor = self.floors.entry(id.entry).or_insert(Floor { sequence: id.sequence, used: now });
        floor.sequence = floor.sequence.max(id.sequence);
        floor.used = now;
        if self.floors.len() > self.bounds.entries_max {
            self.drop_floor();
        }
    }

    fn drop_floor(&mut self) {
        let oldest = self.floors.iter().min_by_key(|(boot, floor)| (floor.used, **boot)).map(|(boot, _)| *boot);
        if let Some(boot) = oldest {
            self.floors.remove(&boot);
            self.dropped_boot = self.dropped_boot.max(Some(boot));
        }
    }

    /// Number of kept outcomes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Tells whether no outcome is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }
}
