//! Runs that stand still or are slow.
//!
//! Answers workers on which tasks stand still or take several times as long while their health looks good. A step that
//! allows copies gets a second one; another run is stopped, which saves its progress, and starts elsewhere.

use std::sync::Arc;
use std::time::Duration;

use chervilledge_policy::id::Name;

use super::jobs::{JobEntry, Run};
use super::{Cell, Note};
use crate::job::{TaskId, TaskKey};

/// Times its expected duration after which a run that may have a copy gets one.
const COPY_FACTOR: f64 = 1.6;
/// Shortest time before a copy is made.
const COPY_MIN: Duration = Duration::from_millis(400);
/// Time without progress after which a run counts as standing still.
const STILL_MIN: Duration = Duration::from_millis(1_800);
/// Part of the expected duration without progress after which a run counts as standing still.
const STILL_FACTOR: f64 = 0.6;
/// Time for which a run is slowed down before it is moved.
const SLOWED_MIN: Duration = Duration::from_millis(1_200);
/// Time for which a run is slowed down before it waits for other room, if others wait too.
const STUCK_MIN: Duration = Duration::from_millis(1_500);
/// Progress from which a run is left to end where it is, in percent.
const MOVE_PERCENT_MAX: u32 = 85;
/// The same for a run whose progress can't be saved and is lost by a move.
const UNSAVED_PERCENT_MAX: u32 = 30;
/// Runs that are moved at one time, at least.
const MOVES_MIN: usize = 8;
/// Workers for each of which one run is moved at one time, so that moves keep up with the size of the cell.
const WORKERS_PER_MOVE: usize = 7;
/// Restarts of one task for lack of progress, after which it is left where it is.
const RESTARTS_MAX: usize = 3;

impl Cell {
    /// Looks for runs that stand still or are slow, and acts on them.
    pub fn watch_runs(&mut self, now: Duration) {
        let mut copies = Vec::new();
        let mut still = Vec::new();
        for entry in self.jobs.values().filter(|entry| entry.is_open()) {
            let ratio = self.estimates.get(&entry.job.queue).copied().unwrap_or(1.0);
            for (key, state) in entry.tasks.iter().filter(|(_, state)| !state.is_done && state.runs.len() == 1) {
                let run = &state.runs[0];
                let Some(started) = run.started.filter(|_| !run.is_stopping) else { continue };
                let Some(expected) = expected(entry, *key, ratio) else { continue };
                let task = TaskId { job: entry.job.id, key: *key };
                let is_speculative = entry.job.step(*key).is_some_and(|step| step.speculative);
                if is_speculative && now.saturating_sub(started) >= expected.mul_f64(COPY_FACTOR).max(COPY_MIN) {
                    copies.push(task);
                } else if !is_speculative && state.avoided.len() < RESTARTS_MAX && is_still(run, expected, now) {
                    still.push((task, run.number, Arc::clone(&run.agent)));
                }
            }
        }
        self.move_slowed(now);
        for task in copies {
            self.copy(task, now);
        }
        for (task, number, agent) in still {
            self.restart_elsewhere(task, number, &agent, now);
        }
    }

    /// Moves runs that were slowed down for long to workers where they disturb nobody, unless much progress would be lost.
    fn move_slowed(&mut self, now: Duration) {
        let mut slowed: Vec<(Duration, TaskId, u64)> = Vec::new();
        for entry in self.jobs.values().filter(|entry| entry.is_open()) {
            for (key, state) in entry.tasks.iter().filter(|(_, state)| state.runs.len() == 1) {
                let run = &state.runs[0];
                let is_saved = entry.job.step(*key).is_some_and(|step| step.checkpointing);
                let percent_max = if is_saved { MOVE_PERCENT_MAX } else { UNSAVED_PERCENT_MAX };
                if let Some(since) = run.slowed.filter(|_| !run.is_stopping && run.percent < percent_max)
                    && now.saturating_sub(since) >= SLOWED_MIN
                {
                    slowed.push((since, TaskId { job: entry.job.id, key: *key }, run.number));
                }
            }
        }
        slowed.sort_unstable();
        let is_contended = !self.ready.is_empty();
        let moves_max = self.agents.len().div_ceil(WORKERS_PER_MOVE).max(MOVES_MIN);
        for (since, task, number) in slowed.into_iter().take(moves_max) {
            // Room comes up again and again while others wait; their order decides who gets it.
            // In an evacuated domain nothing is stopped without room elsewhere.
            let is_evacuated = self.run(task, number).is_some_and(|run| self.is_evacuated(run));
            let is_stuck = is_contended && !is_evacuated && now.saturating_sub(since) >= STUCK_MIN;
            if is_stuck || self.has_calm_room(task, now) {
                self.counters.moves += 1;
                self.stop_runs(task, "slowed_down", |run| run.number == number);
            }
        }
    }

    fn copy(&mut self, task: TaskId, now: Duration) {
        // Copies only use what nobody waits for.
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
            && known.health.ended(false, now)
        {
            self.notes.push(Note::WorkerEjected { agent: Arc::clone(agent), reason: "no_progress" });
        }
        self.stop_runs(task, "no_progress", |run| run.number == number);
    }
}

/// Time that a run should take; `None` for runs that last.
fn expected(entry: &JobEntry, key: TaskKey, ratio: f64) -> Option<Duration> {
    let step = entry.job.step(key)?;
    (!step.lasting && !step.gang && !step.estimate.is_zero()).then(|| step.estimate.mul_f64(ratio))
}

fn is_still(run: &Run, expected: Duration, now: Duration) -> bool {
    // A run that was slowed down for the sake of others says nothing of its worker.
    run.slowed.is_none() && now.saturating_sub(run.moved) >= expected.mul_f64(STILL_FACTOR).max(STILL_MIN)
}
