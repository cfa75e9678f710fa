//! Response times of the store, and how long an entry leaves a claim of the cell to entries that are nearer to it.
//!
//! Handles a cell in two regions with the store in one of them: a placer in the other region adds the way between them to
//! each end that it makes durable. What matters is the difference between the entries of the cell, so that a store that is
//! slow for all of them delays nobody.

use std::collections::VecDeque;
use std::time::Duration;

/// Reads whose least time counts: one slow read says nothing of the way, and a changed way shows after so many.
const RECENT_MAX: usize = 8;
/// Response time above what is possible that doesn't count: the swing of a store that answers in some 10 ms.
const TOLERANCE: Duration = Duration::from_millis(10);
/// Wait for each millisecond above what is possible: 12 ms between two regions exceed the random pause before a claim.
const WAIT_FACTOR: u32 = 15;
/// Longest wait, which a takeover takes longer when only distant entries are left.
pub const WAIT_MAX: Duration = Duration::from_millis(200);
/// What is possible is what one in so many entries reaches, so that a row that a removed entry has left doesn't decide.
const POSSIBLE_PART: usize = 4;

/// Times of an entry's last reads.
#[derive(Clone, Debug, Default)]
pub struct RecentReadTimes(VecDeque<Duration>);

impl RecentReadTimes {
    /// Adds the time of a read.
    pub fn add(&mut self, took: Duration) {
        if self.0.len() >= RECENT_MAX {
            self.0.pop_front();
        }
        self.0.push_back(took);
    }

    /// Least time; `None` before the first read.
    #[must_use]
    pub fn least(&self) -> Option<Duration> {
        self.0.iter().min().copied()
    }
}

/// Wait of an entry before its claim, by its own response time and those that the other entries tell.
#[must_use]
pub fn claim_wait(own: Option<Duration>, others: impl IntoIterator<Item = Duration>) -> Duration {
    let Some(own) = own else { return Duration::ZERO };
    let mut all: Vec<Duration> = others.into_iter().chain([own]).collect();
    all.sort_unstable();
    let excess = own.saturating_sub(all[(all.len() - 1) / POSSIBLE_PART]);
    if excess <= TOLERANCE { Duration::ZERO } else { (excess * WAIT_FACTOR).min(WAIT_MAX) }
}
