//! Pace of filling runs beside serving ones.
//!
//! Handles filling runs that raise the latency of serving runs on the same worker, whose own load varies within
//! seconds. The tail latency of each serving run is divided into its own part and the part that filling runs add
//! through the cores that they used in the same half second; the rest up to its target is the headroom that the
//! filling runs share. If they ask for more, the most urgent run gets the headroom first, at full pace as long as it
//! lasts, so that jobs end one after another instead of all late together. Runs of unknown urgency come last and
//! share the rest at one pace.
//!
//! Invariant: the paces of all runs that disturb a tail add no more to it than its headroom, up to changes too small
//! for an order. Urgencies only decide who gets the headroom, never how much of it there is.
//!
//! The estimated effects of images may be wrong, or too small to count for each image alone: a serving run that stays
//! over its target halts all filling runs.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;

use crate::interference::Interference;
use crate::job::TaskId;
use crate::urgency::Urgency;

/// Fraction of the target that tail latencies are controlled to. A load that varies by half within 14 s, and is seen
/// 0.7 s late, rises by less than the remaining fraction.
const AIM_RATIO: f64 = 0.8;
/// Fraction of the step to a higher pace that is taken at once, since the figures are inaccurate.
const RISE_FRACTION: f64 = 0.6;
/// Pace below which filling runs are halted, in percent.
pub(crate) const HALT_PERCENT: f64 = 4.0;
/// Smallest change of a pace that justifies an order, in percent.
const CHANGE_MIN_PERCENT: f64 = 4.0;
/// Pace of a run that isn't slowed, in percent.
pub const FULL_PERCENT: u32 = 100;
/// Fraction of the time after which users count a tail over its target as harm; after it, all filling runs are
/// halted. The rest of the time is for the next sample, the order, and the half second that the figures cover.
const HALT_AFTER_FRACTION: f64 = 0.5;

/// Tail latency of a serving run and its target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Tail {
    /// The run's task.
    pub task: TaskId,
    /// Image of the run.
    pub image: Name,
    /// Tail latency in the last half second.
    pub measured: Duration,
    /// Limit for the tail latency.
    pub target: Duration,
}

impl Tail {
    /// Logarithm of the tail over its target; `None` without a measurement.
    fn log_ratio(&self) -> Option<f64> {
        let is_known = !self.measured.is_zero() && !self.target.is_zero();
        is_known.then(|| (self.measured.as_secs_f64() / self.target.as_secs_f64()).ln())
    }
}

/// Processor time of a filling run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cores {
    /// Cores used in the last half second.
    pub used: f64,
    /// Cores that it asks for.
    pub asked: f64,
}

/// Filling run in a sample.
#[derive(Clone, Debug, PartialEq)]
pub struct FillingRun {
    /// Task and number of the run.
    pub run: (TaskId, u64),
    /// Its image.
    pub image: Name,
    /// Its processor time.
    pub cores: Cores,
    /// Its urgency.
    pub urgency: Urgency,
}

/// A filling run and its pace.
#[derive(Clone, Debug)]
struct PacedRun {
    run: FillingRun,
    percent: f64,
}

/// Latency headroom of a serving run for filling runs.
#[derive(Clone, Debug)]
struct Headroom {
    /// Image of the serving run.
    image: Name,
    /// Logarithm of the factor by which its tail may rise above the run's own part.
    log_factor: f64,
}

/// Headroom of a tail that is left for the runs without a pace yet.
#[derive(Clone, Copy, Debug)]
struct RemainingHeadroom {
    /// With the limit on the rise of paces.
    ramped: f64,
    /// Without that limit.
    total: f64,
}

/// Paces of the filling runs on one worker.
#[derive(Clone, Debug)]
pub struct Paces {
    harm_after: Duration,
    /// Runs in the order in which they get headroom.
    runs: Vec<PacedRun>,
    /// Headrooms, as of the last sample.
    headrooms: Vec<Headroom>,
    /// Since when serving runs have been continuously over their targets.
    over_since: Map<TaskId, Duration>,
    is_halted: bool,
}

impl Paces {
    /// Creates the paces of a worker without runs; `harm_after` is the time over its target after which users count a
    /// serving run as harmed.
    #[must_use]
    pub fn new(harm_after: Duration) -> Self {
        Self { harm_after, runs: Vec::new(), headrooms: Vec::new(), over_since: Map::default(), is_halted: false }
    }

    /// Processes a sample of the serving runs and the filling runs beside them, and decides the paces anew.
    pub fn observe(&mut self, tails: &[Tail], filling: &[FillingRun], interference: &Interference, now: Duration) {
        self.update_halt(tails, now);
        self.update_runs(filling);
        self.headrooms = tails.iter().filter_map(|tail| headroom(tail, filling, interference)).collect();
        let demands = self.demands(interference);
        let remaining = self.headrooms.iter().enumerate().map(|(tail, headroom)| {
            let total = headroom.log_factor;
            let granted: f64 =
                self.runs.iter().zip(&demands).map(|(paced, demand)| fraction(paced.percent) * demand[tail]).sum();
            let asked: f64 = demands.iter().map(|demand| demand[tail]).sum();
            let rise = (total.min(asked) - granted).max(0.0);
            RemainingHeadroom { ramped: if rise > 0.0 { granted + rise * RISE_FRACTION } else { total }, total }
        });
        let mut remaining: Vec<RemainingHeadroom> = remaining.collect();
        let mut first = 0;
        while let Some(paced) = self.runs.get(first) {
            let is_shared = paced.run.urgency == Urgency::UNKNOWN;
            let end = if is_shared { self.runs.len() } else { first + 1 };
            self.assign_paces(first..end, &demands, &mut remaining);
            first = end;
        }
    }

    /// Adds a run that is being started. Until the next sample it uses the headroom of the last one: less urgent runs
    /// slow down in its favor, and no other run becomes faster.
    pub fn start(&mut self, run: FillingRun, interference: &Interference) {
        self.runs.retain(|paced| paced.run.run != run.run);
        self.insert(run);
        let demands = self.demands(interference);
        let mut remaining: Vec<RemainingHeadroom> = self
            .headrooms
            .iter()
            .map(|headroom| RemainingHeadroom { ramped: headroom.log_factor, total: headroom.log_factor })
            .collect();
        for position in 0..self.runs.len() {
            let previous = self.runs[position].percent;
            self.assign_paces(position..position + 1, &demands, &mut remaining);
            let excess = self.runs[position].percent - previous;
            if excess > 0.0 {
                self.runs[position].percent = previous;
                deduct(&mut remaining, &demands[position], -excess);
            }
        }
    }

    /// Assigns one common pace to the runs in a range, and deducts what they use of the headroom.
    fn assign_paces(&mut self, runs: Range<usize>, demands: &[Vec<f64>], remaining: &mut [RemainingHeadroom]) {
        let asked: Vec<f64> =
            (0..remaining.len()).map(|tail| demands[runs.clone()].iter().map(|demand| demand[tail]).sum()).collect();
        let available = remaining.to_vec();
        for position in runs {
            let concerned =
                || available.iter().zip(&asked).zip(&demands[position]).filter(|(_, demand)| **demand > 0.0);
            let full = f64::from(FULL_PERCENT);
            let ramped =
                concerned().map(|((remaining, asked), _)| pace_filling(remaining.ramped, *asked)).fold(full, f64::min);
            let total =
                concerned().map(|((remaining, asked), _)| pace_filling(remaining.total, *asked)).fold(full, f64::min);
            let paced = &mut self.runs[position];
            paced.percent = next_pace(paced.percent, ramped, total);
            deduct(remaining, &demands[position], paced.percent);
        }
    }

    /// Headroom that each run uses of each tail at full pace; 0 where it disturbs nobody.
    fn demands(&self, interference: &Interference) -> Vec<Vec<f64>> {
        let demand = |run: &FillingRun, headroom: &Headroom| {
            if interference.is_disturbing(&run.image, &headroom.image) {
                interference.evidence(&run.image, &headroom.image).per_core_at_most() * run.cores.asked
            } else {
                0.0
            }
        };
        let of_run = |paced: &PacedRun| self.headrooms.iter().map(|headroom| demand(&paced.run, headroom)).collect();
        self.runs.iter().map(of_run).collect()
    }

    /// Updates the set of runs. The order of known runs changes only where one is clearly more urgent.
    fn update_runs(&mut self, filling: &[FillingRun]) {
        let mut present: Map<(TaskId, u64), &FillingRun> = filling.iter().map(|run| (run.run, run)).collect();
        let previous = std::mem::take(&mut self.runs);
        for paced in previous {
            let Some(run) = present.remove(&paced.run.run) else { continue };
            let is_after = |other: &PacedRun| run.urgency.is_clearly_before(other.run.urgency);
            let position = self.runs.iter().position(is_after).unwrap_or(self.runs.len());
            self.runs.insert(position, PacedRun { run: run.clone(), ..paced });
        }
        for run in filling.iter().filter(|run| present.contains_key(&run.run)) {
            self.insert(run.clone());
        }
    }

    /// Inserts a run at its position in the order. Until its pace is decided it counts as at full pace, which is the
    /// pace of a run without an order.
    fn insert(&mut self, run: FillingRun) {
        let is_after = |other: &PacedRun| run.urgency < other.run.urgency;
        let position = self.runs.iter().position(is_after).unwrap_or(self.runs.len());
        self.runs.insert(position, PacedRun { run, percent: f64::from(FULL_PERCENT) });
    }

    /// Halts all filling runs while a serving run has been over its target for too long.
    fn update_halt(&mut self, tails: &[Tail], now: Duration) {
        let is_over = |tail: &&Tail| tail.log_ratio().is_some_and(|log_ratio| log_ratio >= 0.0);
        let over: Map<TaskId, Duration> = tails
            .iter()
            .filter(is_over)
            .map(|tail| (tail.task, self.over_since.get(&tail.task).copied().unwrap_or(now)))
            .collect();
        let halt_after = self.harm_after.mul_f64(HALT_AFTER_FRACTION);
        self.is_halted = over.values().any(|since| now.saturating_sub(*since) >= halt_after);
        self.over_since = over;
    }

    /// Headroom of each serving image, as of the last sample: the logarithm of the factor by which filling runs may
    /// raise the tail above its own part, the least of the image's runs.
    #[must_use]
    pub fn log_headroom_by_image(&self) -> Map<Name, f64> {
        let mut headrooms: Map<Name, f64> = Map::default();
        for Headroom { image, log_factor } in &self.headrooms {
            let least = headrooms.entry(Arc::clone(image)).or_insert(f64::INFINITY);
            *least = log_factor.min(*least);
        }
        headrooms
    }

    /// Runs in the order in which they get headroom.
    pub fn runs(&self) -> impl Iterator<Item = (TaskId, u64)> {
        self.runs.iter().map(|paced| paced.run.run)
    }

    /// Pace of a run, in percent.
    #[must_use]
    pub fn percent(&self, run: (TaskId, u64)) -> u32 {
        if self.is_halted {
            return 0;
        }
        let known = self.runs.iter().find(|paced| paced.run.run == run);
        rounded_percent(known.map_or(f64::from(FULL_PERCENT), |paced| paced.percent))
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the pace lies between 0 and 100")]
fn rounded_percent(percent: f64) -> u32 {
    percent.round() as u32
}

fn fraction(percent: f64) -> f64 {
    percent / f64::from(FULL_PERCENT)
}

/// Pace at which a demand at full pace uses up `headroom`, in percent.
fn pace_filling(headroom: f64, added_at_full_pace: f64) -> f64 {
    (headroom / added_at_full_pace.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0) * f64::from(FULL_PERCENT)
}

/// Deducts what a run uses of each tail's headroom at a pace; a negative pace returns it.
fn deduct(remaining: &mut [RemainingHeadroom], demands: &[f64], percent: f64) {
    for (remaining, demand) in remaining.iter_mut().zip(demands) {
        remaining.ramped -= fraction(percent) * demand;
        remaining.total -= fraction(percent) * demand;
    }
}

/// Pace to order when `ramped` is due and `total` would be without the limit on rises.
fn next_pace(previous: f64, ramped: f64, total: f64) -> f64 {
    let full = f64::from(FULL_PERCENT);
    if ramped < HALT_PERCENT {
        0.0
    } else if total >= full && full - ramped < CHANGE_MIN_PERCENT {
        full
    } else if (ramped - previous).abs() >= CHANGE_MIN_PERCENT {
        ramped
    } else {
        previous
    }
}

/// Headroom of a tail; `None` without a measurement.
fn headroom(tail: &Tail, filling: &[FillingRun], interference: &Interference) -> Option<Headroom> {
    let log_ratio = tail.log_ratio()?;
    let is_disturbing = |run: &&FillingRun| interference.is_disturbing(&run.image, &tail.image);
    let added = |run: &FillingRun| interference.evidence(&run.image, &tail.image).per_core() * run.cores.used;
    let added: f64 = filling.iter().filter(is_disturbing).map(added).sum();
    Some(Headroom { image: Arc::clone(&tail.image), log_factor: AIM_RATIO.ln() - (log_ratio - added) })
}
