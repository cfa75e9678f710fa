//! Workers that fail or stall what they run are left out for a while.

use std::collections::VecDeque;
use std::time::Duration;

/// Ends that are looked at.
const WINDOW: usize = 8;
/// Failures among them after which a worker is left out.
const FAILURES_MAX: usize = 3;
/// Share of failures among them from which a worker is left out, in percent.
const FAILURE_PERCENT: usize = 50;
/// First time for which a worker is left out; doubles each time.
const EJECTION_FIRST: Duration = Duration::from_secs(2);
/// Longest time for which a worker is left out.
const EJECTION_MAX: Duration = Duration::from_secs(8);

/// What the ends of its runs say of a worker.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Whether each of the last ends was good; at most `WINDOW`.
    results: VecDeque<bool>,
    ejected_until: Duration,
    ejections: u32,
}

impl Health {
    /// Takes note of an end; tells whether the worker is left out from now on.
    pub fn run_ended(&mut self, is_good: bool, now: Duration) -> bool {
        if self.results.len() == WINDOW {
            self.results.pop_front();
        }
        self.results.push_back(is_good);
        if is_good {
            if self.results.iter().all(|end| *end) && self.results.len() == WINDOW {
                self.ejections = 0;
            }
            return false;
        }
        let failures = self.results.iter().filter(|end| !**end).count();
        let is_bad = failures >= FAILURES_MAX && failures * 100 >= FAILURE_PERCENT * self.results.len();
        if is_bad && now >= self.ejected_until {
            self.eject(now);
            return true;
        }
        false
    }

    /// Leaves the worker out from now on.
    pub fn eject(&mut self, now: Duration) {
        let wait = EJECTION_FIRST.saturating_mul(1 << self.ejections.min(8)).min(EJECTION_MAX);
        self.ejected_until = now + wait;
        self.ejections += 1;
        self.results.clear();
    }

    /// Whether the worker is left out.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }
}
