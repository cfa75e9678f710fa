//! Stalled and slow runs.
//!
//! Handles workers on which tasks stall or take several times as long although their health looks good. A step that
//! allows copies gets a second run; another run is stopped, which saves its progress, and starts elsewhere.
//!
//! Also handles many filling runs that share the little that serving runs leave, where queues differ in priority. A
//! slowed run is stopped there only if that lets its own task end sooner, or if a more urgent waiting task takes its
//! capacity: stops that did neither cost large jobs 5 to 6.5 s each.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::collections::Set;
use chervilledge_policy::id::Name;

use super::jobs::JobEntry;
use super::placing::{TaskGroup, group};
use super::reservations::AppliedReservation;
use super::task::Run;
use super::{Cell, Note};
use crate::job::{TaskId, TaskKey};
use crate::pace::FULL_PERCENT;
use crate::preemption::DISPLACED_MAX;
use crate::stragglers::{self, SLOWED_MIN};
use crate::urgency::Rank;

/// Multiple of its expected duration after which a run that may have a copy gets one.
const COPY_FACTOR: f64 = 1.6;
/// Shortest time before a copy is made.
const COPY_MIN: Duration = Duration::from_millis(400);
/// Shortest time without progress after which a run counts as stalled.
const STALL_MIN: Duration = Duration::from_millis(1_800);
/// Fraction of the expected duration without progress after which a run counts as stalled.
const STALL_FACTOR: f64 = 0.6;
/// Time for which a run is slowed before it is stopped to wait for other capacity, if others wait too.
const STUCK_MIN: Duration = Duration::from_millis(1_500);
/// Progress from which a run is left to end where it is, in percent.
const MOVE_PERCENT_MAX: u32 = 85;
/// The same for a run whose progress can't be saved and would be lost by a move.
const UNSAVED_PERCENT_MAX: u32 = 30;
/// Least value of the limit on runs moved per pass, for small cells.
const MOVES_LIMIT_MIN: usize = 8;
/// Number of workers per run moved in a pass, so that moves scale with the cell.
const WORKERS_PER_MOVE: usize = 7;
/// Restarts of one task for lack of progress, after which it is left where it is.
const RESTARTS_MAX: usize = 3;
/// Number of unfinished tasks up to which the runs of a step count as its last ones, which decide when the step ends.
const LAST_RUNS_MAX: u32 = 4;
/// The same as a fraction of the step's tasks: one in this many.
const LAST_RUNS_DIVISOR: u32 = 10;
/// Time from the order to stop a run until its end is known.
const STOP_TIME: Duration = Duration::from_millis(900);
/// Time that a run needs to restore a checkpoint before it makes progress.
const RESTORE_TIME: Duration = Duration::from_millis(600);
/// Mean pace of filling runs that disturb nobody, in percent.
const UNDISTURBING_PACE_PERCENT: u32 = 78;

/// Run that has been slowed for long. Runs are moved in this order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SlowedRun {
    /// The run isn't one of the last ones of its step.
    is_early: bool,
    since: Duration,
    task: TaskId,
    number: u64,
}

impl Cell {
    /// Finds stalled and slow runs, and copies, moves or restarts them.
    pub fn watch_runs(&mut self, now: Duration) {
        let mut copies = Vec::new();
        let mut stalled = Vec::new();
        for entry in self.jobs.values().filter(|entry| entry.is_open()) {
            for (key, state) in entry.tasks.iter().filter(|(_, state)| !state.is_done && state.runs.len() == 1) {
                let run = &state.runs[0];
                let Some(started) = run.started.filter(|_| !run.is_stopping) else { continue };
                let Some(expected) = expected(entry, *key) else { continue };
                let task = TaskId { job: entry.job.id, key: *key };
                let is_speculative = entry.job.step(*key).is_some_and(|step| step.speculative);
                if is_speculative && (state.crashes.is_suspect() || state.crashes.repeated() > 0) {
                    continue;
                }
                if is_speculative && now.saturating_sub(started) >= expected.mul_f64(COPY_FACTOR).max(COPY_MIN) {
                    copies.push(task);
                } else if !is_speculative && state.avoided.len() < RESTARTS_MAX && is_stalled(run, expected, now) {
                    stalled.push((task, run.number, Arc::clone(&run.agent)));
                }
            }
        }
        self.move_slowed(now);
        self.move_or_yield(now);
        for task in copies {
            self.copy(task, now);
        }
        for (task, number, agent) in stalled {
            self.restart_elsewhere(task, number, &agent, now);
        }
    }

    /// Runs that have been slowed for at least `slowed_min` and may be stopped, either of services whose queues differ
    /// in priority or of all others.
    fn slowed_runs(&self, is_prioritized: bool, slowed_min: Duration, now: Duration) -> Vec<SlowedRun> {
        let mut slowed = Vec::new();
        let predicate = |entry: &&JobEntry| entry.is_open() && self.is_prioritized(entry) == is_prioritized;
        for entry in self.jobs.values().filter(predicate) {
            for (key, state) in entry.tasks.iter().filter(|(_, state)| state.runs.len() == 1) {
                let run = &state.runs[0];
                let is_saved = entry.job.step(*key).is_some_and(|step| step.checkpointing);
                let percent_max = if is_saved { MOVE_PERCENT_MAX } else { UNSAVED_PERCENT_MAX };
                if let Some(since) = run.slowed_since.filter(|_| !run.is_stopping && run.percent < percent_max)
                    && now.saturating_sub(since) >= slowed_min
                {
                    let task = TaskId { job: entry.job.id, key: *key };
                    slowed.push(SlowedRun { is_early: !is_last(entry, *key), since, task, number: run.number });
                }
            }
        }
        slowed
    }

    fn moves_max(&self) -> usize {
        self.agents.len().div_ceil(WORKERS_PER_MOVE).max(MOVES_LIMIT_MIN)
    }

    /// Moves runs that were slowed for long to workers where they disturb nobody, unless much progress would be lost.
    fn move_slowed(&mut self, now: Duration) {
        let mut slowed = self.slowed_runs(false, SLOWED_MIN, now);
        slowed.sort_unstable_by_key(|slowed| (slowed.since, slowed.task, slowed.number));
        let is_contended = !self.ready.is_empty();
        for SlowedRun { since, task, number, .. } in slowed.into_iter().take(self.moves_max()) {
            // While others wait, capacity is freed repeatedly, and urgency decides who gets it. In an evacuated
            // domain no run is stopped without capacity elsewhere.
            let is_evacuated = self.run(task, number).is_some_and(|run| self.is_evacuated(run));
            let is_stuck = is_contended && !is_evacuated && now.saturating_sub(since) >= STUCK_MIN;
            if is_stuck || self.undisturbing_worker(task, now).is_some() {
                self.counters.moves += 1;
                self.stop_runs(task, "slowed_down", |run| run.number == number);
            }
        }
    }

    /// Moves slowed runs that end sooner elsewhere, the last ones of their steps first, and stops others whose
    /// capacity a more urgent task takes. Applies to services whose queues differ in priority.
    fn move_or_yield(&mut self, now: Duration) {
        let mut slowed = self.slowed_runs(true, Duration::ZERO, now);
        if slowed.is_empty() {
            return;
        }
        slowed.sort_unstable();
        let mut applied = self.apply_reservations(now);
        let mut left = self.moves_max();
        let mut stuck = Vec::new();
        // Tasks of a step are identical: where one finds no worker that it doesn't disturb, the others don't either.
        let mut without_capacity: Set<TaskGroup> = Set::default();
        for run in slowed {
            if left > 0
                && !without_capacity.contains(&group(run.task))
                && let Some((here, there)) = self.ends_sooner(&run, now)
                && now.saturating_sub(run.since) >= stragglers::slowed_before_move(here, there)
            {
                if let Some(to) = self.undisturbing_worker(run.task, now) {
                    left -= 1;
                    self.move_run(&run, &to, here, there);
                    self.reserve(run.task, &to, &mut applied, now);
                    continue;
                }
                without_capacity.insert(group(run.task));
            }
            if run.is_early && now.saturating_sub(run.since) >= STUCK_MIN {
                stuck.push(run);
            }
        }
        self.yield_capacity(stuck, left, &mut applied, now);
        self.revert_reservations(applied);
    }

    /// Expected remaining time of a run's task where it is, and with a move to a worker where it disturbs nobody;
    /// `None` unless the move is faster.
    fn ends_sooner(&self, slowed: &SlowedRun, now: Duration) -> Option<(Duration, Duration)> {
        let entry = self.jobs.get(&slowed.task.job)?;
        let step = entry.job.step(slowed.task.key)?;
        let run = self.run(slowed.task, slowed.number)?;
        if step.lasting || step.gang || step.estimate.is_zero() {
            return None;
        }
        let full_estimate = entry.run_time(slowed.task.key.step);
        let left_percent = FULL_PERCENT.saturating_sub(run.percent);
        let by_pace = full_estimate * left_percent / run.pace_percent.max(1);
        let done_percent = run.percent.saturating_sub(run.slowed_from_percent).max(1);
        let by_progress = now.saturating_sub(slowed.since) * left_percent / done_percent;
        let here = by_pace.min(by_progress);
        let state = entry.tasks.get(&slowed.task.key)?;
        let to_do_percent = left_percent + state.unsaved_percent(run, step.checkpointing);
        let there = STOP_TIME + RESTORE_TIME + full_estimate * to_do_percent / UNDISTURBING_PACE_PERCENT;
        (there < here).then_some((here, there))
    }

    fn move_run(&mut self, slowed: &SlowedRun, to: &Name, here: Duration, there: Duration) {
        let Some(agent) = self.run(slowed.task, slowed.number).map(|run| Arc::clone(&run.agent)) else { return };
        self.counters.moves += 1;
        let (task, run, to) = (slowed.task, slowed.number, Arc::clone(to));
        self.notes.push(Note::RunMoved { task, run, agent, to, here, there });
        self.stop_runs(task, "slowed_down", |run| run.number == slowed.number);
    }

    /// Stops stuck runs whose capacity goes to a more urgent waiting task, the least urgent runs first.
    fn yield_capacity(
        &mut self,
        stuck: Vec<SlowedRun>,
        mut left: usize,
        applied: &mut Vec<AppliedReservation>,
        now: Duration,
    ) {
        let rank = |run: &SlowedRun| Some(self.rank(self.jobs.get(&run.task.job)?, run.task.key.step, now));
        let is_free = |run: &SlowedRun| {
            let state = self.jobs.get(&run.task.job).and_then(|entry| entry.tasks.get(&run.task.key));
            state.is_some_and(|state| state.displacements < DISPLACED_MAX)
                && self.step_of(run.task).is_some_and(|step| !step.lasting && !step.gang)
        };
        let mut stuck: Vec<(Rank, SlowedRun)> =
            stuck.into_iter().filter(is_free).filter_map(|run| Some((rank(&run)?, run))).collect();
        if stuck.is_empty() || left == 0 {
            return;
        }
        stuck.sort_unstable_by(|one, other| other.cmp(one));
        let mut under_way = self.agents_with_stops();
        // Tasks of a step are identical: where no stop helps one, none helps the others.
        let mut failed: Set<TaskGroup> = Set::default();
        for (waiting, task) in self.tasks_without_capacity(|_, _| true, now) {
            if left == 0 {
                return;
            }
            let is_worth_a_stop = stuck.iter().any(|(rank, _)| waiting.is_well_before(rank));
            if !is_worth_a_stop
                || failed.contains(&group(task))
                || self.reserve_after_stops(task, &under_way, applied, now)
            {
                continue;
            }
            let serves = |(rank, run): &(Rank, SlowedRun)| {
                waiting.is_well_before(rank)
                    && self.unavailable_left(run.task) > 0
                    && self
                        .run(run.task, run.number)
                        .is_some_and(|known| self.fits_after(task, &known.agent, &[(run.task, run.number)], now))
            };
            let Some(position) = stuck.iter().position(serves) else {
                failed.insert(group(task));
                continue;
            };
            let (_, run) = stuck.remove(position);
            let Some(agent) = self.run(run.task, run.number).map(|run| Arc::clone(&run.agent)) else { continue };
            left -= 1;
            self.counters.yields += 1;
            self.notes.push(Note::RunYielded { task: run.task, run: run.number, agent: Arc::clone(&agent), to: task });
            self.displace(run.task, run.number, "yielded");
            self.reserve(task, &agent, applied, now);
            under_way.insert(agent);
        }
    }

    fn copy(&mut self, task: TaskId, now: Duration) {
        // Copies only use capacity that no task waits for.
        if !self.ready.is_empty() {
            return;
        }
        if let Some(agent) = self.choose(task, None, now) {
            self.counters.copies += 1;
            self.start(task, &agent, None, now);
        }
    }

    fn restart_elsewhere(&mut self, task: TaskId, number: u64, agent: &Name, now: Duration) {
        if self.choose(task, None, now).is_none() {
            return;
        }
        self.counters.restarts += 1;
        if let Some(state) = self.task_mut(task) {
            state.avoided.push(Arc::clone(agent));
        }
        if let Some(known) = self.agents.get_mut(agent)
            && known.health.run_ended(false, now)
        {
            self.notes.push(Note::WorkerEjected { agent: Arc::clone(agent), reason: "no_progress" });
        }
        self.stop_runs(task, "no_progress", |run| run.number == number);
    }
}

/// Expected duration of a run; `None` for lasting runs.
fn expected(entry: &JobEntry, key: TaskKey) -> Option<Duration> {
    let step = entry.job.step(key)?;
    (!step.lasting && !step.gang && !step.estimate.is_zero()).then(|| entry.run_time(key.step))
}

/// Whether the unfinished tasks of a task's step are its last ones.
fn is_last(entry: &JobEntry, key: TaskKey) -> bool {
    let left = entry.left.get(&(key.occurrence, key.step)).copied().unwrap_or_default();
    entry.job.step(key).is_some_and(|step| left <= LAST_RUNS_MAX.max(step.count / LAST_RUNS_DIVISOR))
}

fn is_stalled(run: &Run, expected: Duration, now: Duration) -> bool {
    // The progress of a run slowed for the sake of others says nothing about its worker.
    run.slowed_since.is_none() && now.saturating_sub(run.progressed_at) >= expected.mul_f64(STALL_FACTOR).max(STALL_MIN)
}
