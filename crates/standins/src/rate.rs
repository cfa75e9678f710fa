//! Enforced rate of calls: beyond it they wait, and beyond a bound of the wait they are refused.

use std::time::Duration;

use tokio::time::Instant;

/// Paces calls at an even rate.
#[derive(Debug)]
pub(crate) struct Pace {
    interval: Duration,
    wait_limit: Duration,
    next: Instant,
}

impl Pace {
    pub(crate) fn new(calls_per_s: u32, wait_limit: Duration) -> Self {
        Self { interval: Duration::from_secs(1) / calls_per_s.max(1), wait_limit, next: Instant::now() }
    }

    /// Takes the next place; an error tells after which time there would be one within the bound.
    pub(crate) fn take(&mut self, now: Instant) -> Result<Instant, Duration> {
        let start = self.next.max(now);
        let wait = start - now;
        if wait > self.wait_limit {
            return Err(wait);
        }
        self.next = start + self.interval;
        Ok(start)
    }

    /// Adds the cost of further calls to one that has its place.
    pub(crate) fn charge(&mut self, calls: u32) {
        self.next += self.interval * calls;
    }
}
