//! Pace of filling runs beside serving ones.
//!
//! Answers filling runs that disturb the latency of serving runs on the same worker. The pace falls at once by a factor
//! and rises in small steps, so that the tail of a serving run is over its target for two looks at most.

use std::time::Duration;

/// Part of the target from which filling runs are slowed down.
const SLOW_RATIO: f64 = 0.85;
/// Part of the target below which they may go faster.
const FAST_RATIO: f64 = 0.65;
/// Factor by which the pace falls.
const FALL_FACTOR: f64 = 0.5;
/// Step by which the pace rises, in percent.
const RISE_PERCENT: f64 = 10.0;
/// Pace below which filling runs are halted.
const HALT_PERCENT: f64 = 8.0;
/// Full pace.
const FULL_PERCENT: f64 = 100.0;

/// Pace of the filling runs of one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pacer {
    percent: f64,
}

impl Default for Pacer {
    fn default() -> Self {
        Self { percent: FULL_PERCENT }
    }
}

/// Tail of a serving run against its target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tail {
    /// Tail latency in the last half second.
    pub measured: Duration,
    /// What it must stay below.
    pub target: Duration,
}

impl Pacer {
    /// Takes a look at the serving runs, and gives the pace of the filling ones in percent.
    pub fn observe(&mut self, tails: &[Tail]) -> u32 {
        let ratio = tails
            .iter()
            .filter(|tail| !tail.target.is_zero())
            .map(|tail| tail.measured.as_secs_f64() / tail.target.as_secs_f64())
            .fold(0.0, f64::max);
        if ratio >= SLOW_RATIO {
            self.percent *= FALL_FACTOR;
            if self.percent < HALT_PERCENT {
                self.percent = 0.0;
            }
        } else if ratio <= FAST_RATIO {
            self.percent = (self.percent + RISE_PERCENT).min(FULL_PERCENT);
        }
        self.percent()
    }

    /// Pace in force, in percent.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the pace lies between 0 and 100")]
    pub fn percent(&self) -> u32 {
        self.percent.round() as u32
    }
}
