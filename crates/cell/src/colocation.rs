//! Whether a filling task starts beside serving runs that it disturbs, or waits for a worker where it disturbs
//! nobody.
//!
//! Handles many filling tasks in a cell with serving runs on nearly every worker. A few disturbing runs use up the
//! latency headroom of a worker; another one that starts there raises tail latencies until its agent halts it, and
//! then makes no progress, while capacity where it disturbs nobody becomes free a moment later.
//!
//! Agents report the headroom of each serving image. It determines the pace at which a task would run, and thus the
//! cost of a start there against full pace. The task waits until its wait equals this cost, which is the break-even
//! rule of the ski-rental problem: whenever undisturbing capacity becomes free, it has lost at most twice what the
//! best choice would have cost.

use std::time::Duration;

use crate::pace::HALT_PERCENT;

/// Headroom assumed for an image before its agent has reported one, which takes less than a second.
pub const HEADROOM_UNREPORTED: f64 = 0.0;
/// Mean pace of disturbing runs below which no further one joins them, in percent: the headroom is used up, whatever
/// was reported.
pub const CROWDED_PERCENT: u32 = 50;

/// Effect of a filling task on the tail latency of a serving image. Both figures are logarithms of factors.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Disturbance {
    /// Headroom left when all disturbing runs on the worker are at full pace; negative when they can't be.
    pub headroom: f64,
    /// What the task adds at full pace; greater than 0.
    pub added: f64,
}

/// Pace of a task beside the tails that it disturbs, in percent.
#[must_use]
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the pace lies between 0 and 100")]
pub fn expected_pace_percent(disturbances: impl IntoIterator<Item = Disturbance>) -> u32 {
    let parts = disturbances.into_iter().map(|Disturbance { headroom, added }| headroom / added.max(f64::MIN_POSITIVE));
    (parts.fold(1.0, f64::min).max(0.0) * 100.0) as u32
}

/// Whether a task that has waited for `waited` should start at an expected pace; `estimate` is its run time at full
/// pace.
#[must_use]
pub fn is_worth_starting(estimate: Duration, pace_percent: u32, waited: Duration) -> bool {
    if pace_percent >= 100 {
        return true;
    }
    if f64::from(pace_percent) < HALT_PERCENT {
        return false;
    }
    waited.saturating_add(estimate) >= estimate * 100 / pace_percent
}
