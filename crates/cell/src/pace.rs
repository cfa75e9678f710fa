//! Pace of filling runs beside serving ones.
//!
//! Answers filling runs that disturb the latency of serving runs on the same worker. The worker's figures are of the
//! last half second, so that a change of pace is judged only when all of that lies behind it. Each filling image has a
//! pace of its own, by the serving runs that it disturbs.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::{Map, Set};
use chervilledge_policy::id::Name;

use crate::interference::Interference;

/// Part of the target that the tail is steered to.
const AIM_RATIO: f64 = 0.75;
/// Part of the target from which filling runs are slowed down.
const SLOW_RATIO: f64 = 0.88;
/// Part of the target below which they may go faster.
const FAST_RATIO: f64 = 0.68;
/// Least factor by which the pace falls at once.
const FALL_FACTOR: f64 = 0.3;
/// Step by which the pace rises, in percent.
const RISE_PERCENT: f64 = 12.0;
/// The same, while the tail is below half of its target.
const RISE_FAST_PERCENT: f64 = 30.0;
/// Pace below which filling runs are halted.
const HALT_PERCENT: f64 = 6.0;
/// Full pace.
const FULL_PERCENT: f64 = 100.0;
/// Time after a change of pace before its effect fills the worker's figures: half a second, and the time of the order.
const SETTLE: Duration = Duration::from_millis(620);

/// Pace of the filling runs of one worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pacer {
    percent: f64,
    /// Figures of before this time say nothing of the present pace.
    settled: Duration,
}

impl Default for Pacer {
    fn default() -> Self {
        Self { percent: FULL_PERCENT, settled: Duration::ZERO }
    }
}

/// Pace from which the disturbing images that are known don't explain a tail that is still over its target.
const DISTRUST_PERCENT: u32 = 10;

/// Tail of a serving run against its target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tail {
    /// Image of the run.
    pub image: Name,
    /// Tail latency in the last half second.
    pub measured: Duration,
    /// What it must stay below.
    pub target: Duration,
}

impl Tail {
    /// The tail over its target; 0 without a target.
    fn ratio(&self) -> f64 {
        if self.target.is_zero() { 0.0 } else { self.measured.as_secs_f64() / self.target.as_secs_f64() }
    }
}

/// Paces of the filling images on one worker.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    pacers: Map<Name, Pacer>,
}

impl Paces {
    /// Takes a look at the serving runs beside filling runs of `images`, and decides their paces anew.
    pub fn observe(&mut self, tails: &[Tail], images: &Set<Name>, interference: &Interference, now: Duration) {
        self.pacers.retain(|image, _| images.contains(image));
        let unexplained: Vec<&Tail> =
            tails.iter().filter(|tail| tail.ratio() >= 1.0 && !self.is_explained(tail, images, interference)).collect();
        for image in images {
            let pacer = self.pacers.entry(Arc::clone(image)).or_default();
            let disturbed = tails.iter().filter(|tail| interference.is_disturbing(image, &tail.image));
            pacer.observe(disturbed.chain(unexplained.iter().copied()), now);
        }
    }

    /// Whether a filling image that disturbs the run still has a pace that matters.
    fn is_explained(&self, tail: &Tail, images: &Set<Name>, interference: &Interference) -> bool {
        images
            .iter()
            .any(|image| interference.is_disturbing(image, &tail.image) && self.percent(image) > DISTRUST_PERCENT)
    }

    /// Pace of the runs of a filling image, in percent.
    #[must_use]
    pub fn percent(&self, image: &Name) -> u32 {
        self.pacers.get(image).copied().unwrap_or_default().percent()
    }
}

impl Pacer {
    /// Takes a look at the serving runs, and gives the pace of the filling ones in percent.
    pub fn observe<'a>(&mut self, tails: impl Iterator<Item = &'a Tail>, now: Duration) -> u32 {
        if now < self.settled {
            return self.percent();
        }
        let former = self.percent;
        let ratio = tails.map(Tail::ratio).fold(0.0, f64::max);
        if ratio >= SLOW_RATIO {
            self.percent *= (AIM_RATIO / ratio).max(FALL_FACTOR);
            if self.percent < HALT_PERCENT {
                self.percent = 0.0;
            }
        } else if ratio <= FAST_RATIO {
            let step = if ratio < FAST_RATIO * AIM_RATIO { RISE_FAST_PERCENT } else { RISE_PERCENT };
            self.percent = (self.percent + step).min(FULL_PERCENT);
        }
        if (self.percent - former).abs() >= 1.0 {
            self.settled = now + SETTLE;
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
