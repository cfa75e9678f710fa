//! Control of batch tasks that slow down the requests on the same worker.
//!
//! The agent measures the latency of each request without lag. While the 99th percentile exceeds its target, tasks are
//! throttled, starting with the one that slows requests most. If all tasks have the minimum share and the target is
//! still exceeded, the task that loses the least work is evicted with a checkpoint, within a budget; so is a task that
//! has made little progress for long because of throttling. A task that doesn't leave in time is stopped. Shares are
//! restored step by step once the latency has stayed well below its target, and more slowly after each relapse, that
//! is, when the target is exceeded shortly after a share was restored.

use std::cmp::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::code::Code;
use crate::collections::Map;
use crate::task::{Epoch, TaskId};
use crate::window::Window;

/// Full processor share of a task.
pub const SHARE_FULL_PERMILLE: u32 = 1000;

/// Budget consumed by one eviction.
const EVICTION_COST_PERMILLE: u64 = 1000;

/// Maximum number of evictions that can accumulate in the budget.
const EVICTIONS_SAVED_MAX: u64 = 3;

/// At most one in this many throttled tasks, rounded up, gets a larger share at a time.
const RESTORE_DIVISOR: usize = 4;

/// Half of the minimum share after a restore.
const SHARE_STEP_MIN_PERMILLE: u32 = 25;

/// Number of windows after a restore within which exceeding the target counts as a relapse.
const RELAPSE_WINDOWS: u32 = 3;

/// Maximum number of doublings of the time before a restore.
const RELAPSES_MAX: u32 = 5;

/// Share at or below which a task counts as starved.
const SHARE_STARVED_PERMILLE: u32 = 250;

/// Fraction of the worst task's slowdown below which evicting a task would help little.
const VICTIM_SLOWDOWN_RATIO_MIN: f64 = 0.5;

/// Fraction of the enter level that the latency predicted after a restore may reach.
const RESTORE_LEVEL: f64 = 0.9;

/// Settings of the controller.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Target of the 99th percentile of request latency.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "target_ms")]
    pub target: Duration,
    /// Length of the window over which the percentile is computed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "window_ms")]
    pub window: Duration,
    /// Minimum number of requests in the window for its percentile to be used.
    pub requests_min: u64,
    /// Latency above which shares are reduced, in thousandths of the target.
    pub enter_permille: u64,
    /// Latency below which shares are restored, in thousandths of the target. Less than `enter_permille`.
    pub exit_permille: u64,
    /// Latency above which all tasks are throttled at once, in thousandths of the target.
    pub severe_permille: u64,
    /// Minimum share; 0 suspends the task.
    pub share_min_permille: u32,
    /// Time with all tasks at the minimum share after which a task is evicted.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "evict_after_ms")]
    pub evict_after: Duration,
    /// Time at a quarter of its processor share or less after which a task is evicted, to run on another worker.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "starved_after_ms")]
    pub starved_after: Duration,
    /// Time for an evicted task to write its checkpoint before it is stopped.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "stop_after_ms")]
    pub stop_after: Duration,
    /// Time below the exit level after which a share is restored.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "relax_after_ms")]
    pub relax_after: Duration,
    /// Maximum number of evictions and stops, in thousandths of task starts; 0 allows throttling only.
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

/// Task that runs on the same worker as the service.
#[derive(Clone, Debug)]
pub struct ColocatedTask {
    /// Identifier of the task.
    pub task: TaskId,
    /// Running epoch.
    pub epoch: Epoch,
    /// Slowdown of requests expected from the task.
    pub slowdown: f64,
    /// Work lost if the task resumes from its last checkpoint.
    pub uncheckpointed: Duration,
    /// Whether the task can write a checkpoint now.
    pub can_checkpoint: bool,
    /// Current processor share.
    pub share_permille: u32,
}

/// Action on a task, with its reason.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Action {
    /// Identifier of the task.
    pub task: TaskId,
    /// Epoch that the action applies to.
    pub epoch: Epoch,
    /// Kind of the action.
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
    /// Writes a checkpoint and stops the task.
    Evict,
    /// Stops the task immediately, to resume from the last checkpoint.
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

/// Controller of one worker's tasks.
#[derive(Clone, Debug)]
pub struct Controller {
    settings: Settings,
    window: Window,
    /// Time since which the latency has been below the exit level.
    recovered_since: Option<Duration>,
    /// Time since which the target has been exceeded with every task at the minimum share.
    floor_since: Option<Duration>,
    /// Time of the last restore, until the latency shows whether it caused a relapse.
    restored_at: Option<Duration>,
    relapses: u32,
    /// Times since which tasks have been starved. Contains only tasks on the worker.
    starved_since: Map<TaskId, Duration>,
    eviction: Option<Eviction>,
    /// Available evictions, in thousandths.
    budget_permille: u64,
}

impl Controller {
    /// Creates a controller without observations.
    #[must_use]
    pub fn open(settings: Settings, now: Duration) -> Self {
        Self {
            settings,
            window: Window::open(settings.window, now),
            recovered_since: None,
            floor_since: None,
            restored_at: None,
            relapses: 0,
            starved_since: Map::default(),
            eviction: None,
            budget_permille: 0,
        }
    }

    /// Records the latency of a request.
    pub fn request_ended(&mut self, latency: Duration, now: Duration) {
        self.window.record(latency, now);
    }

    /// Records the start of a task, which adds to the eviction budget.
    pub fn task_started(&mut self) {
        let saved = self.budget_permille + self.settings.evictions_max_permille;
        self.budget_permille = saved.min(EVICTIONS_SAVED_MAX * EVICTION_COST_PERMILLE);
    }

    /// Records that a task has left the worker.
    pub fn task_ended(&mut self, task: &TaskId) {
        if self.eviction.as_ref().is_some_and(|eviction| eviction.task == *task) {
            self.eviction = None;
        }
    }

    /// Returns the 99th percentile of request latency in thousandths of its target, if the window has enough requests.
    #[must_use]
    pub fn latency_permille(&self) -> Option<u64> {
        let latency = self.latency()?;
        Some(u64::try_from(latency.as_micros() * 1000 / self.settings.target.as_micros().max(1)).unwrap_or(u64::MAX))
    }

    /// Returns the 90th percentile as a multiple of the target, for [`crate::interference::Interference::observe`].
    ///
    /// It is steadier than the 99th over the same window.
    #[must_use]
    pub fn latency_ratio(&self) -> Option<f64> {
        if self.window.count() < self.settings.requests_min {
            return None;
        }
        Some(self.window.percentile_permille(900)?.as_secs_f64() / self.settings.target.as_secs_f64())
    }

    /// Returns the actions to take now; to be called a few times per window.
    pub fn step(&mut self, tasks: &[ColocatedTask], now: Duration) -> Vec<Action> {
        self.window.rotate(now);
        self.update_starved(tasks, now);
        let latency = self.latency_permille();
        let mut actions = match latency {
            Some(latency_permille) if latency_permille > self.settings.enter_permille && self.is_significant() => {
                self.tighten(tasks, latency_permille, now)
            }
            Some(latency_permille) if latency_permille >= self.settings.exit_permille => self.hold_shares(),
            Some(latency_permille) => {
                self.floor_since = None;
                self.relax(tasks, latency_permille, now)
            }
            None => self.relax(tasks, 0, now),
        };
        if !actions.is_empty() {
            self.window.clear(now);
        }
        if self.eviction.is_some() {
            actions.extend(self.stop_overdue(tasks, now));
        } else if !actions.iter().any(|action| action.step == Step::Evict) {
            actions.extend(self.evict_starved(tasks, now));
        }
        actions
    }

    fn latency(&self) -> Option<Duration> {
        if self.window.count() < self.settings.requests_min {
            return None;
        }
        self.window.percentile_permille(990)
    }

    /// Returns whether the number of requests above the enter level exceeds 1% by more than two standard deviations.
    fn is_significant(&self) -> bool {
        let level = self.settings.target.as_micros() * u128::from(self.settings.enter_permille) / 1000;
        let level = Duration::from_micros(u64::try_from(level).unwrap_or(u64::MAX));
        let above = self.window.count_above(level) * 100;
        let excess = above.saturating_sub(self.window.count());
        excess * excess > 4 * 100 * self.window.count()
    }

    fn hold_shares(&mut self) -> Vec<Action> {
        self.recovered_since = None;
        self.floor_since = None;
        Vec::new()
    }

    fn tighten(&mut self, tasks: &[ColocatedTask], latency_permille: u64, now: Duration) -> Vec<Action> {
        self.recovered_since = None;
        if self.restored_at.take().is_some_and(|at| now < at + self.settings.window * RELAPSE_WINDOWS) {
            self.relapses = (self.relapses + 1).min(RELAPSES_MAX);
        }
        let throttled = self.throttle(tasks, latency_permille);
        if !throttled.is_empty() {
            self.floor_since = None;
            return throttled;
        }
        let floor_since = *self.floor_since.get_or_insert(now);
        if now < floor_since + self.settings.evict_after {
            return Vec::new();
        }
        self.evict_cheapest(tasks, now).into_iter().collect()
    }

    /// Halves the share of the task that slows requests most, or of every task if the target is exceeded severely.
    fn throttle(&self, tasks: &[ColocatedTask], latency_permille: u64) -> Vec<Action> {
        let floor = self.settings.share_min_permille;
        let mut above: Vec<&ColocatedTask> =
            tasks.iter().filter(|colocated| colocated.share_permille > floor).collect();
        above.sort_by(|a, b| b.weighted_slowdown().total_cmp(&a.weighted_slowdown()).then_with(|| a.task.cmp(&b.task)));
        if latency_permille < self.settings.severe_permille {
            above.truncate(1);
        }
        let throttle = |colocated: &ColocatedTask| {
            let share_permille = (colocated.share_permille / 2).max(floor);
            colocated.action(Step::Throttle { share_permille }, Code::ThrottledForLatency)
        };
        above.into_iter().map(throttle).collect()
    }

    /// Evicts the cheapest of the tasks that slow requests considerably.
    fn evict_cheapest(&mut self, tasks: &[ColocatedTask], now: Duration) -> Option<Action> {
        let worst = tasks.iter().map(|colocated| colocated.slowdown).fold(0.0, f64::max);
        let slows_much = |colocated: &&ColocatedTask| colocated.slowdown >= worst * VICTIM_SLOWDOWN_RATIO_MIN;
        let action = self.evict(tasks.iter().filter(slows_much).min_by(|a, b| compare_eviction_cost(a, b))?, now)?;
        self.floor_since = Some(now);
        Some(action)
    }

    /// Evicts the cheapest of the starved tasks.
    fn evict_starved(&mut self, tasks: &[ColocatedTask], now: Duration) -> Option<Action> {
        let since = |colocated: &&ColocatedTask| self.starved_since.get(&colocated.task);
        let is_overdue = |colocated: &&ColocatedTask| {
            since(colocated).is_some_and(|since| now >= *since + self.settings.starved_after)
        };
        let victim = tasks.iter().filter(is_overdue).min_by(|a, b| compare_eviction_cost(a, b))?;
        self.evict(victim, now)
    }

    /// Starts an eviction if none is in progress and the budget allows it.
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

    /// Stops an evicted task that hasn't left in time.
    fn stop_overdue(&mut self, tasks: &[ColocatedTask], now: Duration) -> Option<Action> {
        let eviction = self.eviction.as_mut().filter(|eviction| now >= eviction.since + self.settings.stop_after)?;
        eviction.since = now;
        let is_victim =
            |colocated: &&ColocatedTask| colocated.task == eviction.task && colocated.epoch == eviction.epoch;
        let victim = tasks.iter().find(is_victim);
        if victim.is_none() {
            self.eviction = None;
        }
        victim.map(|victim| victim.action(Step::Stop, Code::StoppedForLatency))
    }

    fn update_starved(&mut self, tasks: &[ColocatedTask], now: Duration) {
        let is_starved = |colocated: &&ColocatedTask| colocated.share_permille <= SHARE_STARVED_PERMILLE;
        let starved = tasks.iter().filter(is_starved);
        let since = |task: &TaskId| self.starved_since.get(task).copied().unwrap_or(now);
        self.starved_since = starved.map(|colocated| (colocated.task.clone(), since(&colocated.task))).collect();
    }

    /// Doubles the shares of the tasks that slow requests least, once the latency has stayed low.
    ///
    /// Several shares are restored at once if the latency is predicted to stay below the enter level, and one in any
    /// case. The waiting time doubles with each relapse, and halves with each restore without a relapse.
    fn relax(&mut self, tasks: &[ColocatedTask], latency_permille: u64, now: Duration) -> Vec<Action> {
        let recovered_since = *self.recovered_since.get_or_insert(now);
        if now < recovered_since + self.settings.relax_after * 2_u32.pow(self.relapses) {
            return Vec::new();
        }
        if self.restored_at.take().is_some() {
            self.relapses = self.relapses.saturating_sub(1);
        }
        let is_throttled = |colocated: &&ColocatedTask| colocated.share_permille < SHARE_FULL_PERMILLE;
        let mut throttled: Vec<&ColocatedTask> = tasks.iter().filter(is_throttled).collect();
        if throttled.is_empty() {
            return Vec::new();
        }
        throttled
            .sort_by(|a, b| a.weighted_slowdown().total_cmp(&b.weighted_slowdown()).then_with(|| a.task.cmp(&b.task)));
        throttled.truncate(throttled.len().div_ceil(RESTORE_DIVISOR));
        let count = self.count_predicted_harmless(&throttled, latency_permille).max(1);
        self.recovered_since = Some(now);
        self.restored_at = Some(now);
        throttled.into_iter().take(count).map(|colocated| self.restore(colocated)).collect()
    }

    /// Returns the number of leading tasks whose doubled shares are predicted to keep the latency low enough.
    #[expect(clippy::cast_precision_loss, reason = "levels stay far below 2^53")]
    fn count_predicted_harmless(&self, throttled: &[&ColocatedTask], latency_permille: u64) -> usize {
        let level_max = self.settings.enter_permille as f64 * RESTORE_LEVEL;
        let mut added = 0.0;
        let mut is_harmless = |colocated: &&&ColocatedTask| {
            added += colocated.weighted_slowdown() / f64::from(SHARE_FULL_PERMILLE);
            latency_permille as f64 * (1.0 + added) <= level_max
        };
        throttled.iter().take_while(|colocated| is_harmless(colocated)).count()
    }

    fn restore(&self, colocated: &ColocatedTask) -> Action {
        let floor = self.settings.share_min_permille.max(SHARE_STEP_MIN_PERMILLE);
        let share_permille = (colocated.share_permille.max(floor) * 2).min(SHARE_FULL_PERMILLE);
        colocated.action(Step::Restore { share_permille }, Code::LatencyRecovered)
    }
}

impl ColocatedTask {
    /// Returns the slowdown weighted by the task's current share.
    fn weighted_slowdown(&self) -> f64 {
        self.slowdown * f64::from(self.share_permille)
    }

    fn action(&self, step: Step, code: Code) -> Action {
        Action { task: self.task.clone(), epoch: self.epoch, step, code }
    }
}

/// Orders tasks by the work lost by their eviction; tasks that can't write a checkpoint come last.
fn compare_eviction_cost(a: &ColocatedTask, b: &ColocatedTask) -> Ordering {
    let cost = |colocated: &ColocatedTask| (!colocated.can_checkpoint, colocated.uncheckpointed);
    cost(a).cmp(&cost(b)).then_with(|| a.task.cmp(&b.task))
}
