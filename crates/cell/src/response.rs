//! Response times of the store, and the delay by which an entry leaves a claim of the cell to entries nearer to the
//! store.
//!
//! Handles a cell in two regions with the store in one of them: a placer in the other region adds the latency between
//! them to each end that it makes durable. Only the difference between the entries of the cell counts, so that a
//! store that is slow for all of them delays no claim.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of reads whose minimum counts: one slow read says nothing about the latency, and a changed latency shows
/// after this many reads.
const READS_MAX: usize = 8;
/// Excess over the reference response time that is ignored: the variation of a store that answers in some 10 ms.
const TOLERANCE: Duration = Duration::from_millis(10);
/// Wait per millisecond of excess: the 12 ms between two regions then exceed the random delay before a claim.
const WAIT_FACTOR: u32 = 15;
/// Longest wait; it prolongs a takeover when only distant entries are left.
pub const WAIT_MAX: Duration = Duration::from_millis(200);
/// The reference is the response time reached by one in this many entries, so that the stale row of a removed entry
/// doesn't decide.
const REFERENCE_DIVISOR: usize = 4;

/// Response times of an entry's last reads.
#[derive(Clone, Debug, Default)]
pub struct RecentReadTimes(VecDeque<Duration>);

impl RecentReadTimes {
    /// Adds the response time of a read.
    pub fn add(&mut self, took: Duration) {
        if self.0.len() >= READS_MAX {
            self.0.pop_front();
        }
        self.0.push_back(took);
    }

    /// Shortest response time; `None` before the first read.
    #[must_use]
    pub fn least(&self) -> Option<Duration> {
        self.0.iter().min().copied()
    }
}

/// Delay of an entry's claim, by its own response time and those that the other entries report.
#[must_use]
pub fn claim_wait(own: Option<Duration>, others: impl IntoIterator<Item = Duration>) -> Duration {
    let Some(own) = own else { return Duration::ZERO };
    let mut all: Vec<Duration> = others.into_iter().chain([own]).collect();
    all.sort_unstable();
    let excess = own.saturating_sub(all[(all.len() - 1) / REFERENCE_DIVISOR]);
    if excess <= TOLERANCE { Duration::ZERO } else { (excess * WAIT_FACTOR).min(WAIT_MAX) }
}
