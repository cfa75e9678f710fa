//! Pace of filling runs beside serving ones.
//!
//! Answers filling runs that disturb the latency of serving runs on the same worker, whose own load swings within seconds.
//! The tail of each serving run is divided into its own part and what filling runs add by the cores that they used in the
//! same half second; what its target leaves is the room that the filling runs share. Where they ask for more, the room goes
//! to the most urgent run first, at full pace as long as it lasts, so that jobs end one after another instead of all late
//! together. Runs of unknown urgency come last and share what is left at one pace.
//!
//! Invariant: the paces of all runs that disturb a tail add no more to it than its room, up to changes that are too small for
//! an order. Urgencies only decide who gets the room, never how much of it there is.
//!
//! What is known of the images may be wrong, or too small to count for each of them: a run that stays over its target halts
//! them all.

use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::Map;
use chervilledge_policy::id::Name;

use crate::interference::Interference;
use crate::job::TaskId;
use crate::urgency::Urgency;

/// Part of the target that tails are steered to. A load that swings by half within 14 s, and is seen 0.7 s late, rises by
/// less than the rest.
const AIM_RATIO: f64 = 0.8;
/// Part of the way to a higher pace that is taken at once, since the figures are rough.
const RISE_PART: f64 = 0.6;
/// Pace below which filling runs are halted, in percent.
pub(crate) const HALT_PERCENT: f64 = 4.0;
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

/// Processor time of a filling run.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Cores {
    /// Cores used in the last half second.
    pub used: f64,
    /// Cores that it asks for.
    pub asked: f64,
}

/// A filling run as a look shows it.
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
struct Paced {
    run: FillingRun,
    percent: f64,
}

/// What filling runs may add to the tail of a serving run.
#[derive(Clone, Debug)]
struct Room {
    /// Image of the serving run.
    image: Name,
    /// Logarithm of the factor by which its tail may rise above the run's own part.
    room: f64,
}

/// What a tail has left for the runs that aren't served yet.
#[derive(Clone, Copy, Debug)]
struct Left {
    /// As far as the rise of paces is bounded.
    bounded: f64,
    /// Without that bound.
    whole: f64,
}

/// Paces of the filling runs on one worker.
#[derive(Clone, Debug)]
pub struct Paces {
    harm_after: Duration,
    /// The runs in the order in which they are served.
    runs: Vec<Paced>,
    /// What the tails leave, as of the last look.
    rooms: Vec<Room>,
    /// Since when serving runs have been over their targets, without a break.
    over_since: Map<TaskId, Duration>,
    is_halted: bool,
}

impl Paces {
    /// Starts without any run; `harm_after` is the time over its target after which users count a run as harmed.
    #[must_use]
    pub fn new(harm_after: Duration) -> Self {
        Self { harm_after, runs: Vec::new(), rooms: Vec::new(), over_since: Map::default(), is_halted: false }
    }

    /// Takes a look at the serving runs and at the filling runs beside them, and decides the paces anew.
    pub fn observe(&mut self, tails: &[Tail], filling: &[FillingRun], interference: &Interference, now: Duration) {
        self.watch_targets(tails, now);
        self.take_runs(filling);
        self.rooms = tails.iter().filter_map(|tail| room(tail, filling, interference)).collect();
        let demands = self.demands(interference);
        let left = self.rooms.iter().enumerate().map(|(tail, room)| {
            let whole = room.room;
            let granted: f64 = self.runs.iter().zip(&demands).map(|(paced, of)| part(paced.percent) * of[tail]).sum();
            let asked: f64 = demands.iter().map(|of| of[tail]).sum();
            let rise = (whole.min(asked) - granted).max(0.0);
            Left { bounded: if rise > 0.0 { granted + rise * RISE_PART } else { whole }, whole }
        });
        let mut left: Vec<Left> = left.collect();
        let mut first = 0;
        while let Some(paced) = self.runs.get(first) {
            let is_shared = paced.run.urgency == Urgency::UNKNOWN;
            let end = if is_shared { self.runs.len() } else { first + 1 };
            self.serve(first..end, &demands, &mut left);
            first = end;
        }
    }

    /// Takes in a run that starts now. The room that the last look showed is used until the next one: less urgent runs give
    /// way to the new one, and no other run becomes faster.
    pub fn start(&mut self, run: FillingRun, interference: &Interference) {
        self.runs.retain(|paced| paced.run.run != run.run);
        self.insert(run);
        let demands = self.demands(interference);
        let mut left: Vec<Left> = self.rooms.iter().map(|room| Left { bounded: room.room, whole: room.room }).collect();
        for position in 0..self.runs.len() {
            let former = self.runs[position].percent;
            self.serve(position..position + 1, &demands, &mut left);
            let excess = self.runs[position].percent - former;
            if excess > 0.0 {
                self.runs[position].percent = former;
                take_off(&mut left, &demands[position], -excess);
            }
        }
    }

    /// Gives runs that share one pace their part of what is left, and takes it off.
    fn serve(&mut self, runs: Range<usize>, demands: &[Vec<f64>], left: &mut [Left]) {
        let asked: Vec<f64> =
            (0..left.len()).map(|tail| demands[runs.clone()].iter().map(|of| of[tail]).sum()).collect();
        let available = left.to_vec();
        for position in runs {
            let concerned =
                || available.iter().zip(&asked).zip(&demands[position]).filter(|(_, demand)| **demand > 0.0);
            let full = f64::from(FULL_PERCENT);
            let bounded = concerned().map(|((left, asked), _)| part_of(left.bounded, *asked)).fold(full, f64::min);
            let whole = concerned().map(|((left, asked), _)| part_of(left.whole, *asked)).fold(full, f64::min);
            let paced = &mut self.runs[position];
            paced.percent = worth_an_order(paced.percent, bounded, whole);
            take_off(left, &demands[position], paced.percent);
        }
    }

    /// What each run adds to each tail at full pace; 0 where it disturbs nobody.
    fn demands(&self, interference: &Interference) -> Vec<Vec<f64>> {
        let demand = |run: &FillingRun, room: &Room| {
            if interference.is_disturbing(&run.image, &room.image) {
                interference.evidence(&run.image, &room.image).per_core_at_most() * run.cores.asked
            } else {
                0.0
            }
        };
        let of_run = |paced: &Paced| self.rooms.iter().map(|room| demand(&paced.run, room)).collect();
        self.runs.iter().map(of_run).collect()
    }

    /// Takes in which runs there are. The order of those that were there changes only where one is clearly more urgent.
    fn take_runs(&mut self, filling: &[FillingRun]) {
        let mut present: Map<(TaskId, u64), &FillingRun> = filling.iter().map(|run| (run.run, run)).collect();
        let former = std::mem::take(&mut self.runs);
        for paced in former {
            let Some(run) = present.remove(&paced.run.run) else { continue };
            let is_after = |other: &Paced| run.urgency.is_clearly_before(other.run.urgency);
            let position = self.runs.iter().position(is_after).unwrap_or(self.runs.len());
            self.runs.insert(position, Paced { run: run.clone(), ..paced });
        }
        for run in filling.iter().filter(|run| present.contains_key(&run.run)) {
            self.insert(run.clone());
        }
    }

    /// Adds a run at its place in the order. Until its pace is decided it counts as at full pace, which is what a worker
    /// gives a run without an order.
    fn insert(&mut self, run: FillingRun) {
        let is_after = |other: &Paced| run.urgency < other.run.urgency;
        let position = self.runs.iter().position(is_after).unwrap_or(self.runs.len());
        self.runs.insert(position, Paced { run, percent: f64::from(FULL_PERCENT) });
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

    /// What the tails of each serving image leave for filling runs, as of the last look: the logarithm of the factor by which
    /// those may raise the tail above its own part, the least of the image's runs.
    #[must_use]
    pub fn headrooms(&self) -> Map<Name, f64> {
        let mut rooms: Map<Name, f64> = Map::default();
        for Room { image, room } in &self.rooms {
            let least = rooms.entry(Arc::clone(image)).or_insert(f64::INFINITY);
            *least = room.min(*least);
        }
        rooms
    }

    /// The runs in the order in which they are served.
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
        whole_percent(known.map_or(f64::from(FULL_PERCENT), |paced| paced.percent))
    }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "the pace lies between 0 and 100")]
fn whole_percent(percent: f64) -> u32 {
    percent.round() as u32
}

fn part(percent: f64) -> f64 {
    percent / f64::from(FULL_PERCENT)
}

/// Pace at which `room` is used up by what is added at full pace, in percent.
fn part_of(room: f64, added_at_full_pace: f64) -> f64 {
    (room / added_at_full_pace.max(f64::MIN_POSITIVE)).clamp(0.0, 1.0) * f64::from(FULL_PERCENT)
}

/// Takes off what a run uses of each tail's room at a pace; a negative one gives it back.
fn take_off(left: &mut [Left], demands: &[f64], percent: f64) {
    for (left, demand) in left.iter_mut().zip(demands) {
        left.bounded -= part(percent) * demand;
        left.whole -= part(percent) * demand;
    }
}

/// The pace that is ordered where `bounded` is due, and `whole` would be without the bound on rises.
fn worth_an_order(former: f64, bounded: f64, whole: f64) -> f64 {
    let full = f64::from(FULL_PERCENT);
    if bounded < HALT_PERCENT {
        0.0
    } else if whole >= full && full - bounded < CHANGE_MIN_PERCENT {
        full
    } else if (bounded - former).abs() >= CHANGE_MIN_PERCENT {
        bounded
    } else {
        former
    }
}

/// What a tail leaves for filling runs; `None` without a figure.
fn room(tail: &Tail, filling: &[FillingRun], interference: &Interference) -> Option<Room> {
    let log_ratio = tail.log_ratio()?;
    let is_disturbing = |run: &&FillingRun| interference.is_disturbing(&run.image, &tail.image);
    let added = |run: &FillingRun| interference.evidence(&run.image, &tail.image).per_core() * run.cores.used;
    let added: f64 = filling.iter().filter(is_disturbing).map(added).sum();
    Some(Room { image: Arc::clone(&tail.image), room: AIM_RATIO.ln() - (log_ratio - added) })
}
