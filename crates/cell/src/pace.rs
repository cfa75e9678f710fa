//! Pace of filling runs beside serving ones.
//!
//! Answers filling runs that disturb the latency of serving runs on the same worker, whose own load swings within seconds.
//! The tail of each serving run is divided into its own part and what filling runs add by the cores that they used in the
//! same half second; the pace of an image is what leaves the runs that it disturbs below their targets. What is known of
//! the images may be wrong, or too small to count for each of them: a run that stays over its target halts them all.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;

use crate::interference::Interference;
use crate::job::TaskId;

/// Part of the target that tails are steered to. A load that swings by half within 14 s, and is seen 0.7 s late, rises by
/// less than the rest.
const AIM_RATIO: f64 = 0.8;
/// Part of the way to a higher pace that is taken at once, since the figures are rough.
const RISE_PART: f64 = 0.6;
/// Pace below which filling runs are halted, in percent.
const HALT_PERCENT: f64 = 4.0;
/// Change of a pace that is worth an order, in percent.
const CHANGE_MIN_PERCENT: f64 = 4.0;
/// Pace of a run that isn't slowed down, in percent.
pub const FULL_PERCENT: u32 = 100;
/// Part of the time after which users count a tail over its target as harm, after which all filling runs are halted. The
/// rest is for the next look, the order, and the half second of the figures.
const HALT_AFTER_PART: f64 = 0.5;

/// Tail of a serving run against its target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tail {
    /// The run's task.
    pub task: TaskId,
    /// Image of the run.
    pub image: Name,
    /// Tail latency in the last half second.
    pub measured: Duration,
    /// What it must stay below.
    pub target: Duration,
}

impl Tail {
    /// Logarithm of the tail over its target; `None` when there is no figure.
    fn log_ratio(&self) -> Option<f64> {
        let is_known = !self.measured.is_zero() && !self.target.is_zero();
        is_known.then(|| (self.measured.as_secs_f64() / self.target.as_secs_f64()).ln())
    }
}

/// Processor time of the filling runs of an image.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cores {
    /// Cores used in the last half second.
    pub used: f64,
    /// Cores that they ask for.
    pub asked: f64,
}

/// Paces of the filling images on one worker.
#[derive(Clone, Debug)]
pub struct Paces {
    harm_after: Duration,
    percents: Map<Name, f64>,
    /// Tails as last seen.
    tails: Vec<Tail>,
    /// Since when serving runs have been over their targets, without a break.
    over_since: Map<TaskId, Duration>,
    is_halted: bool,
}

impl Paces {
    /// Starts without any image; `harm_after` is the time over its target after which users count a run as harmed.
    #[must_use]
    pub fn new(harm_after: Duration) -> Self {
        Self { harm_after, percents: Map::default(), tails: Vec::new(), over_since: Map::default(), is_halted: false }
    }

    /// Takes a look at the serving runs and at the filling images beside them, and decides the paces anew.
    pub fn observe(&mut self, tails: &[Tail], filling: &Map<Name, Cores>, interference: &Interference, now: Duration) {
        self.watch_targets(tails, now);
        self.tails = tails.to_vec();
        self.percents.retain(|image, _| filling.contains_key(image));
        for image in filling.keys() {
            let allowed = tails
                .iter()
                .filter(|tail| interference.is_disturbing(image, &tail.image))
                .filter_map(|tail| allowed_percent(tail, filling, interference))
                .fold(f64::from(FULL_PERCENT), f64::min);
            let former = self.percents.get(image).copied().unwrap_or(f64::from(FULL_PERCENT));
            let percent = if allowed > former { former + (allowed - former) * RISE_PART } else { allowed };
            let percent = if percent < HALT_PERCENT { 0.0 } else { percent };
            let is_end = percent == 0.0 || allowed >= f64::from(FULL_PERCENT);
            if is_end || (percent - former).abs() >= CHANGE_MIN_PERCENT {
                self.percents.insert(Arc::clone(image), percent);
            }
        }
    }

    /// Pace of a run that starts now, until the next look.
    #[must_use]
    pub fn first_percent(&self, image: &Name, asked_cores: f64, interference: &Interference) -> u32 {
        let allowed = self
            .tails
            .iter()
            .filter(|tail| interference.is_disturbing(image, &tail.image))
            .filter_map(|tail| {
                let added = interference.evidence(image, &tail.image).per_core_at_most() * asked_cores;
                Some(part_of(AIM_RATIO.ln() - tail.log_ratio()?, added))
            })
            .fold(f64::from(FULL_PERCENT), f64::min);
        whole_percent(allowed).min(self.percent(image))
    }

    /// Halts everything while a run has been over its target for long.
    fn watch_targets(&mut self, tails: &[Tail], now: Duration) {
        let is_over = |tail: &&Tail| tail.log_ratio().is_some_and(|log_ratio| log_ratio >= 0.0);
        let over: Map<TaskId, Duration> = tails
            .iter()
            .filter(is_over)
            .map(|tail| (tail.task, self.over_since.get(&tail.task).copied().unwrap_or(now)))
            .collect();
        let halt_after = self.harm_after.mul_f64(HALT_AFTER_PART);
        self.is_halted = over.values().any(|since| now.saturating_sub(*since) >= halt_after);
        self.over_since = over;
    }

    /// Pace of the runs of a filling image, in percent.
    #[must_use]
    pub fn percent(&self, image: &Name) -> u32 {
        if self.is_halted {
            return 0;
        }
        whole_percent(self.percents.get(image).copied().unwrap_or(f64::from(FULL_PERCENT)))
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the pace lies between 0 and 100")]
fn whole_percent(percent: f64) -> u32 {
    percent.round() as u32
}

/// Pace at which `room` is used up by what is added at full pace, in percent.
fn part_of(room: f64, added_at_full_pace: f64) -> f64 {
    (room / added_at_full_pace.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0) * f64::from(FULL_PERCENT)
}

/// Pace of all images that disturb a serving run at which its tail is where it is steered to; `None` without a figure.
fn allowed_percent(tail: &Tail, filling: &Map<Name, Cores>, interference: &Interference) -> Option<f64> {
    let log_ratio = tail.log_ratio()?;
    let (mut added, mut added_at_full_pace) = (0.0, 0.0);
    for (image, cores) in filling.iter().filter(|(image, _)| interference.is_disturbing(image, &tail.image)) {
        let evidence = interference.evidence(image, &tail.image);
        added += evidence.per_core() * cores.used;
        added_at_full_pace += evidence.per_core_at_most() * cores.asked;
    }
    Some(part_of(AIM_RATIO.ln() - (log_ratio - added), added_at_full_pace))
}
