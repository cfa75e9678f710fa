//! Whether a filling task starts beside serving runs that it disturbs, or waits for a worker where it disturbs nobody.
//!
//! Answers many filling tasks in a cell where something serves on nearly every worker. What the latency targets leave of a
//! worker is used up by a few disturbing runs; one that starts there nevertheless raises the tails until its agent has halted
//! it, and stands still then, while room where it disturbs nobody comes up a moment later.
//!
//! Agents tell what the tails of each serving image leave. From that follows the pace at which a task would run, and so what a
//! start there costs against full pace. The task waits until it has waited for as long, which is the break-even rule of the
//! ski-rental problem: whenever calm room comes up, it has lost at most twice what the best choice would have cost.

use std::time::Duration;

use crate::pace::HALT_PERCENT;

/// What a tail is taken to leave before its agent has told, which it does within a second.
pub const HEADROOM_UNREPORTED: f64 = 0.0;
/// Mean pace of disturbing runs below which no further one joins them, in percent: the room is taken, whatever was told of it.
pub const CROWDED_PERCENT: u32 = 50;

/// What a filling task finds at a tail that it disturbs. Both figures are logarithms of factors of the tail latency.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Disturbance {
    /// What the tail leaves once all disturbing runs on the worker are at full pace; negative when they can't be.
    pub headroom: f64,
    /// What the task adds at full pace, more than 0.
    pub added: f64,
}

/// Pace at which a task would run beside tails that it disturbs, in percent.
#[must_use]
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the pace lies between 0 and 100")]
pub fn expected_pace_percent(disturbances: impl IntoIterator<Item = Disturbance>) -> u32 {
    let parts = disturbances.into_iter().map(|Disturbance { headroom, added }| headroom / added.max(f64::MIN_POSITIVE));
    (parts.fold(1.0, f64::min).max(0.0) * 100.0) as u32
}

/// Whether a task that has waited for so long starts where it would run at a pace; `estimate` is its time at full pace.
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
