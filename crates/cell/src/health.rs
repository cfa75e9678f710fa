//! Temporary ejection of workers whose runs fail or stall.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent runs that are considered.
const WINDOW: usize = 8;
/// Failures among them from which a worker is ejected.
const FAILURES_MAX: usize = 3;
/// Percentage of failures among them from which a worker is ejected.
const FAILURE_PERCENT: usize = 50;
/// Duration of the first ejection; doubles each time.
const EJECTION_FIRST: Duration = Duration::from_secs(2);
/// Longest duration of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(8);

/// Health of a worker, derived from the ends of its runs.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// Whether each of the last runs ended well; at most `WINDOW` of them.
    results: VecDeque<bool>,
    ejected_until: Duration,
    ejections: u32,
}

impl Health {
    /// Records the end of a run; returns whether it ejects the worker.
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

    /// Ejects the worker.
    pub fn eject(&mut self, now: Duration) {
        let wait = EJECTION_FIRST.saturating_mul(1 << self.ejections.min(8)).min(EJECTION_MAX);
        self.ejected_until = now + wait;
        self.ejections += 1;
        self.results.clear();
    }

    /// Whether the worker is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejected_until
    }
}
