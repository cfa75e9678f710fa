//! An agent's control of batch tasks that slow the requests beside them.
//!
//! The agent sees the latency of each request without lag. While the 99th percentile exceeds its target, tasks are
//! throttled, the one that slows requests most first. When all are throttled to the floor and the target is still
//! exceeded, the task that loses the least work is evicted with a checkpoint, within a budget, and so is a task that
//! has been throttled to little progress for long; one that doesn't leave in time is stopped. Shares come back one step at a time after the latency has stayed well below its target, and
//! slower after each relapse.

use std::cmp::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::code::Code;
use crate::collections::Map;
use crate::task::{Epoch, TaskId};
use crate::window::Window;

/// Whole processor share of a task.
pub const SHARE_FULL_PERMILLE: u32 = 1000;

/// Budget that one eviction costs.
const EVICTION_COST_PERMILLE: u64 = 1000;

/// Evictions that can be saved up.
const EVICTIONS_SAVED_MAX: u64 = 3;

/// One in this many throttled tasks gets a larger share at a time, unless there was a relapse.
const RESTORE_PART: usize = 4;

/// Half the smallest share that is given back.
const SHARE_STEP_MIN_PERMILLE: u32 = 25;

/// Windows after a share came back within which an excess counts as a relapse.
const RELAPSE_WINDOWS: u32 = 3;

/// Doublings of the time to relax after relapses.
const RELAPSES_MAX: u32 = 5;

/// Share at or below which a task counts as starved.
const SHARE_STARVED_PERMILLE: u32 = 250;

/// Part of the slowdown of the worst task below which a task isn't evicted, since that would help little.
const VICTIM_SLOWDOWN_MIN: f64 = 0.5;

/// Part of the entering level that a share which comes back may be predicted to reach.
const RESTORE_LEVEL: f64 = 0.9;

/// Settings of the control.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Target of the 99th percentile of request latency.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "target_ms")]
    pub target: Duration,
    /// Window over which the percentile is taken.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "window_ms")]
    pub window: Duration,
    /// Requests in the window below which nothing is concluded from it.
    pub requests_min: u64,
    /// Part of the target above which shares are taken away.
    pub enter_permille: u64,
    /// Part of the target below which shares come back. Less than `enter_permille`.
    pub exit_permille: u64,
    /// Part of the target above which every task is throttled at once.
    pub severe_permille: u64,
    /// Smallest share; 0 suspends.
    pub share_min_permille: u32,
    /// Time at the floor after which a task is evicted.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "evict_after_ms")]
    pub evict_after: Duration,
    /// Time at a quarter of its processors or less after which a task is evicted, to run on another worker.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "starved_after_ms")]
    pub starved_after: Duration,
    /// Time that a task has to write its checkpoint before it is stopped.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stop_after_ms")]
    pub stop_after: Duration,
    /// Time below the exit level after which a share comes back.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "relax_after_ms")]
    pub relax_after: Duration,
    /// Evictions and stops allowed, in thousandths of task starts; 0 only throttles.
    pub evictions_max_permille: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            target: Duration::from_millis(50),
            window: Duration::from_secs(2),
            requests_min: 20,
            enter_permille: 1000,
            exit_permille: 800,
            severe_permille: 2000,
            share_min_permille: 50,
            evict_after: Duration::from_secs(5),
            starved_after: Duration::from_secs(30),
            stop_after: Duration::from_secs(10),
            relax_after: Duration::from_secs(2),
            evictions_max_permille: 10,
        }
    }
}

/// Task that runs beside the service.
#[derive(Clone, Debug)]
pub struct ColocatedTask {
    /// Identifier of the task.
    pub task: TaskId,
    /// Epoch that runs.
    pub epoch: Epoch,
    /// Slowdown expected of the task.
    pub slowdown: f64,
    /// Work that is lost if it resumes from its last checkpoint.
    pub uncheckpointed: Duration,
    /// Whether it can write a checkpoint now.
    pub can_checkpoint: bool,
    /// Processor share that it has.
    pub share_permille: u32,
}

/// What the agent does to a task, and why.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Action {
    /// Identifier of the task.
    pub task: TaskId,
    /// Epoch that it is meant for.
    pub epoch: Epoch,
    /// What is done.
    pub step: Step,
    /// Reason.
    pub code: Code,
}

/// Kind of an action.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// Sets a smaller processor share.
    Throttle {
        /// New share.
        share_permille: u32,
    },
    /// Writes a checkpoint and stops.
    Evict,
    /// Stops at once, to resume from the last checkpoint.
    Stop,
    /// Sets a larger processor share.
    Restore {
        /// New share.
        share_permille: u32,
    },
}

#[derive(Clone, Debug)]
struct Eviction {
    task: TaskId,
    epoch: Epoch,
    since: Duration,
}

/// Control of one worker's tasks.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: Settings,
    window: Window,
    /// Time since which the latency has stayed below the exit level.
    calm_since: Option<Duration>,
    /// Time since which every task has been at the floor while the target was exceeded.
    floor_since: Option<Duration>,
    /// Time of the last share that came back, until the latency shows whether it was right.
    restored_at: Option<Duration>,
    relapses: u32,
    /// Times since which tasks have been starved. Holds only residents.
    starved_since: Map<TaskId, Duration>,
    eviction: Option<Eviction>,
    /// Evictions that may be ordered, in thousandths.
    budget_permille: u64,
}

impl Controller {
    /// Opens a control that has seen no request.
    #[must_use]
    pub fn open(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            window: Window::open(settings.window, now),
            calm_since: None,
            floor_since: None,
            restored_at: None,
            relapses: 0,
            starved_since: Map::default(),
            eviction: None,
            budget_permille: 0,
        }
    }

    /// Notes the latency of a request.
    pub fn request_ended(&mut self, latency: Duration, now: Duration) {
        self.window.record(latency, now);
    }

    /// Notes the start of a task, which adds to the budget of evictions.
    pub fn task_started(&mut self) {
        let saved = self.budget_permille + self.settings.evictions_max_permille;
        self.budget_permille = saved.min(EVICTIONS_SAVED_MAX * EVICTION_COST_PERMILLE);
    }

    /// Notes that a task has left the worker.
    pub fn task_ended(&mut self, task: &TaskId) {
        if self.eviction.as_ref().is_some_and(|eviction| eviction.task == *task) {
            self.eviction = None;
        }
    }

    /// 99th percentile of request latency in thousandths of its target, if enough requests ended in the window.
    #[must_use]
    pub fn latency_permille(&self) -> Option<u64> {
        let latency = self.latency()?;
        Some(u64::try_from(latency.as_micros() * 1000 / self.settings.target.as_micros().max(1)).unwrap_or(u64::MAX))
    }

    /// 90th percentile as a multiple of the target, for [`crate::interference::Interference::observe`].
    ///
    /// It is steadier than the 99th over the same window.
    #[must_use]
    pub fn latency_ratio(&self) -> Option<f64> {
        if self.window.count() < self.settings.requests_min {
            return None;
        }
        Some(self.window.percentile_permille(900)?.as_secs_f64() / self.settings.target.as_secs_f64())
    }

    /// Decides what to do to the tasks; called a few times in each window.
    pub fn step(&mut self, residents: &[ColocatedTask], now: Duration) -> Vec<Action> {
        self.window.rotate(now);
        self.note_starved(residents, now);
        let latency = self.latency_permille();
        let mut actions = match latency {
            Some(permille) if permille > self.settings.enter_permille && self.is_significant() => {
                self.tighten(residents, permille, now)
            }
            Some(permille) if permille >= self.settings.exit_permille => self.hold(),
            Some(permille) => {
                self.floor_since = None;
                self.relax(residents, permille, now)
            }
            None => self.relax(residents, 0, now),
        };
        if !actions.is_empty() {
            self.window.clear(now);
        }
        if self.eviction.is_some() {
            actions.extend(self.stop_overdue(residents, now));
        } else if !actions.iter().any(|action| action.step == Step::Evict) {
            actions.extend(self.evict_starved(residents, now));
        }
        actions
    }

    fn latency(&self) -> Option<Duration> {
        if self.window.count() < self.settings.requests_min {
            return None;
        }
        self.window.percentile_permille(990)
    }

    /// Tells whether more requests exceed the level than one in a hundred and two standard deviations.
    fn is_significant(&self) -> bool {
        let level = self.settings.target.as_micros() * u128::from(self.settings.enter_permille) / 1000;
        let level = Duration::from_micros(u64::try_from(level).unwrap_or(u64::MAX));
        let above = self.window.count_above(level) * 100;
        let excess = above.saturating_sub(self.window.count());
        excess * excess > 4 * 100 * self.window.count()
    }

    fn hold(&mut self) -> Vec<Action> {
        self.calm_since = None;
        self.floor_since = None;
        Vec::new()
    }

    fn tighten(&mut self, residents: &[ColocatedTask], permille: u64, now: Duration) -> Vec<Action> {
        self.calm_since = None;
        if self.restored_at.take().is_some_and(|at| now < at + self.settings.window * RELAPSE_WINDOWS) {
            self.relapses = (self.relapses + 1).min(RELAPSES_MAX);
        }
        let throttled = self.throttle(residents, permille);
        if !throttled.is_empty() {
            self.floor_since = None;
            return throttled;
        }
        let floor_since = *self.floor_since.get_or_insert(now);
        if now < floor_since + self.settings.evict_after {
            return Vec::new();
        }
        self.evict_one(residents, now).into_iter().collect()
    }

    /// Halves the share of the task that slows requests most, or of every task when the target is exceeded severely.
    fn throttle(&self, residents: &[ColocatedTask], permille: u64) -> Vec<Action> {
        let floor = self.settings.share_min_permille;
        let mut above: Vec<&ColocatedTask> =
            residents.iter().filter(|resident| resident.share_permille > floor).collect();
        above.sort_by(|a, b| b.harm().total_cmp(&a.harm()).then_with(|| a.task.cmp(&b.task)));
        if permille < self.settings.severe_permille {
            above.truncate(1);
        }
        let throttle = |resident: &ColocatedTask| {
            let share_permille = (resident.share_permille / 2).max(floor);
            resident.action(Step::Throttle { share_permille }, Code::ThrottledForLatency)
        };
        above.into_iter().map(throttle).collect()
    }

    /// Evicts the cheapest of the tasks that slow requests much.
    fn evict_one(&mut self, residents: &[ColocatedTask], now: Duration) -> Option<Action> {
        let worst = residents.iter().map(|resident| resident.slowdown).fold(0.0, f64::max);
        let helps = |resident: &&ColocatedTask| resident.slowdown >= worst * VICTIM_SLOWDOWN_MIN;
        let action = self.evict(residents.iter().filter(helps).min_by(|a, b| cheaper(a, b))?, now)?;
        self.floor_since = Some(now);
        Some(action)
    }

    /// Evicts the cheapest of the tasks that make little progress here.
    fn evict_starved(&mut self, residents: &[ColocatedTask], now: Duration) -> Option<Action> {
        let since = |resident: &&ColocatedTask| self.starved_since.get(&resident.task);
        let is_overdue = |resident: &&ColocatedTask| {
            since(resident).is_some_and(|since| now >= *since + self.settings.starved_after)
        };
        let victim = residents.iter().filter(is_overdue).min_by(|a, b| cheaper(a, b))?;
        self.evict(victim, now)
    }

    /// Orders an eviction if none is under way and the budget allows it.
    fn evict(&mut self, victim: &ColocatedTask, now: Duration) -> Option<Action> {
        if self.eviction.is_some() || self.budget_permille < EVICTION_COST_PERMILLE {
            return None;
        }
        self.budget_permille -= EVICTION_COST_PERMILLE;
        self.eviction = Some(Eviction { task: victim.task.clone(), epoch: victim.epoch, since: now });
        if victim.can_checkpoint {
            Some(victim.action(Step::Evict, Code::EvictedForLatency))
        } else {
            Some(victim.action(Step::Stop, Code::StoppedForLatency))
        }
    }

    /// Stops a task that hasn't left in time.
    fn stop_overdue(&mut self, residents: &[ColocatedTask], now: Duration) -> Option<Action> {
        let eviction = self.eviction.as_mut().filter(|eviction| now >= eviction.since + self.settings.stop_after)?;
        eviction.since = now;
        let is_victim = |resident: &&ColocatedTask| resident.task == eviction.task && resident.epoch == eviction.epoch;
        let victim = residents.iter().find(is_victim);
        if victim.is_none() {
            self.eviction = None;
        }
        victim.map(|victim| victim.action(Step::Stop, Code::StoppedForLatency))
    }

    fn note_starved(&mut self, residents: &[ColocatedTask], now: Duration) {
        let is_starved = |resident: &&ColocatedTask| resident.share_permille <= SHARE_STARVED_PERMILLE;
        let starved = residents.iter().filter(is_starved);
        let since = |task: &TaskId| self.starved_since.get(task).copied().unwrap_or(now);
        self.starved_since = starved.map(|resident| (resident.task.clone(), since(&resident.task))).collect();
    }

    /// Doubles the shares of the tasks that slow requests least, after a time of calm.
    ///
    /// Several come back at once if they are predicted to leave the latency below the entering level, and one in any
    /// case. The time of calm doubles with each relapse, and halves with each share that came back for good.
    fn relax(&mut self, residents: &[ColocatedTask], permille: u64, now: Duration) -> Vec<Action> {
        let calm_since = *self.calm_since.get_or_insert(now);
        if now < calm_since + self.settings.relax_after * 2_u32.pow(self.relapses) {
            return Vec::new();
        }
        if self.restored_at.take().is_some() {
            self.relapses = self.relapses.saturating_sub(1);
        }
        let is_throttled = |resident: &&ColocatedTask| resident.share_permille < SHARE_FULL_PERMILLE;
        let mut throttled: Vec<&ColocatedTask> = residents.iter().filter(is_throttled).collect();
        if throttled.is_empty() {
            return Vec::new();
        }
        throttled.sort_by(|a, b| a.harm().total_cmp(&b.harm()).then_with(|| a.task.cmp(&b.task)));
        throttled.truncate(throttled.len().div_ceil(RESTORE_PART));
        let count = self.count_predicted_harmless(&throttled, permille).max(1);
        self.calm_since = Some(now);
        self.restored_at = Some(now);
        throttled.into_iter().take(count).map(|resident| self.restore(resident)).collect()
    }

    /// Number of tasks, from the first on, whose doubled shares are predicted to leave the latency low enough.
    #[expect(clippy::cast_precision_loss, reason = "levels stay far below 2^53")]
    fn count_predicted_harmless(&self, throttled: &[&ColocatedTask], permille: u64) -> usize {
        let room = self.settings.enter_permille as f64 * RESTORE_LEVEL;
        let mut added = 0.0;
        let mut fits = |resident: &&&ColocatedTask| {
            added += resident.harm() / f64::from(SHARE_FULL_PERMILLE);
            permille as f64 * (1.0 + added) <= room
        };
        throttled.iter().take_while(|resident| fits(resident)).count()
    }

    fn restore(&self, resident: &ColocatedTask) -> Action {
        let floor = self.settings.share_min_permille.max(SHARE_STEP_MIN_PERMILLE);
        let share_permille = (resident.share_permille.max(floor) * 2).min(SHARE_FULL_PERMILLE);
        resident.action(Step::Restore { share_permille }, Code::LatencyRecovered)
    }
}

impl ColocatedTask {
    /// Slowdown at the share that the task has now.
    fn harm(&self) -> f64 {
        self.slowdown * f64::from(self.share_permille)
    }

    fn action(&self, step: Step, code: Code) -> Action {
        Action { task: self.task.clone(), epoch: self.epoch, step, code }
    }
}

/// Orders tasks by the work that their eviction loses; one that can't write a checkpoint comes last.
fn cheaper(a: &ColocatedTask, b: &ColocatedTask) -> Ordering {
    let cost = |resident: &ColocatedTask| (!resident.can_checkpoint, resident.uncheckpointed);
    cost(a).cmp(&cost(b)).then_with(|| a.task.cmp(&b.task))
}
